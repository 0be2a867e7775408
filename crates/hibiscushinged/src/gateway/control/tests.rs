//! Records of the operator's topic, in the orders in which a node may read them.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use bytes::Bytes;
use rstest::rstest;
use tokio::sync::mpsc;

use super::OperatorSink;
use crate::gateway::{
    control_state::ControlState, fetch::KeyChange, test_support::traffic,
    topic_follower::ChangeSink as _,
};

/// One response of the store to the follower of the topic.
enum ReadStep {
    /// A full read with these keys, and these unreadable ones.
    All(&'static [&'static str], &'static [&'static str]),
    /// Further records, each with whether its key is written or deleted.
    Changes(&'static [(&'static str, bool)]),
}

use ReadStep::{All, Changes};

const A: &str = "evacuate/a";
const B: &str = "evacuate/b";

fn change(key: &str, written: bool) -> KeyChange {
    let value = written.then(|| Bytes::from_static(b"{}"));
    KeyChange { offset: 1, key: String::from(key), value }
}

/// Pattern: orders and withdrawals arrive in single records and in full reads, which the store's loss
/// of its history causes.
///
/// Guards against an evacuation that ends without a withdrawal, or outlives it: by a full read, a key
/// whose value cannot be read, a malformed configuration beside it, an overlap of a full read with the
/// records after it, or an order and a withdrawal that cross.
#[rstest]
#[case::order(&[All(&[], &[]), Changes(&[(A, true)])], &["a"])]
#[case::node_starts_meanwhile(&[All(&[A, B], &[])], &["a", "b"])]
#[case::withdrawal(&[All(&[A], &[]), Changes(&[(A, false)])], &[])]
#[case::withdrawal_of_one(&[All(&[A, B], &[]), Changes(&[(A, false)])], &["b"])]
#[case::ordered_again(&[Changes(&[(A, true), (A, false), (A, true)])], &["a"])]
#[case::withdrawn_before_it_is_known(&[All(&[], &[]), Changes(&[(A, false)])], &[])]
#[case::history_lost(&[All(&[], &[]), Changes(&[(A, true)]), All(&[A], &[])], &["a"])]
#[case::withdrawn_with_the_history(&[Changes(&[(A, true), (B, true)]), All(&[B], &[])], &["b"])]
#[case::ordered_with_the_history(&[Changes(&[(A, true)]), All(&[B], &[])], &["b"])]
#[case::unreadable_value(&[Changes(&[(A, true)]), All(&[], &[A])], &["a"])]
#[case::malformed_configuration(&[All(&["config", A], &[])], &["a"])]
#[case::overlap_of_reads(&[All(&[A], &[]), Changes(&[(A, true), (A, false), (A, true)])], &["a"])]
#[actix_rt::test]
async fn evacuated_zones_follow_the_topic(#[case] steps: &[ReadStep], #[case] expected: &[&str]) {
    let traffic = traffic("127.0.0.1:1".parse().unwrap());
    let control = Rc::new(ControlState::new(Arc::clone(&traffic.node)));
    let (updates, _changes) = mpsc::unbounded_channel();
    let sink = OperatorSink { control, updates, active: RefCell::default() };
    for step in steps {
        match step {
            All(keys, unreadable) => {
                let changes = keys.iter().map(|key| change(key, true)).collect();
                let unreadable: Vec<String> =
                    unreadable.iter().map(|key| String::from(*key)).collect();
                sink.replace(changes, &unreadable);
            }
            Changes(changes) => {
                for (key, written) in *changes {
                    sink.apply(change(key, *written));
                }
            }
        }
    }
    let evacuated = traffic.node.evacuated.load();
    assert_eq!(evacuated.zones().collect::<Vec<_>>(), expected);
    assert_eq!(traffic.node.metrics.evacuated_zones.get(), expected.len() as i64);
}
