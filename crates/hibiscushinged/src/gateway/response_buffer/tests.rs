//! Bodies without end beside ordinary ones.

use super::BufferBudget;

/// Memory limit of a VM of 512 MiB.
const MEMORY_LIMIT: usize = 512 << 20;

const CHUNK: [u8; 8 << 10] = [0; 8 << 10];

/// Guards against a node that exceeds its memory limit because several upstreams send bodies
/// without end, and against ordinary responses that fail beside them.
#[test]
fn endless_bodies_leave_room_for_others() {
    let budget = BufferBudget::new(MEMORY_LIMIT);
    let mut endless: Vec<_> = (0..20).map(|_| budget.buffer()).collect();
    let mut open = true;
    while open {
        open = false;
        for buffer in &mut endless {
            open |= buffer.push(&CHUNK).is_ok();
        }
    }
    assert!(budget.used.get() <= MEMORY_LIMIT / 8, "{} bytes are held", budget.used.get());
    let mut ordinary = budget.buffer();
    for _ in 0..128 {
        assert_eq!(ordinary.push(&CHUNK), Ok(()));
    }
    assert_eq!(ordinary.finish().len(), 128 * CHUNK.len());
    drop(endless);
    assert_eq!(budget.used.get(), 0);
}

/// Guards against refusing a long response while nothing else is read.
#[test]
fn single_body_may_take_half_of_the_capacity() {
    let budget = BufferBudget::new(MEMORY_LIMIT);
    let mut buffer = budget.buffer();
    let mut bytes = 0;
    while buffer.push(&CHUNK).is_ok() {
        bytes += CHUNK.len();
    }
    assert_eq!(bytes, MEMORY_LIMIT / 16);
}
