//! The lease of the duties in the store's log.

use std::{rc::Rc, time::Duration};

use authority::{AuthorityRecord, LeaseAction, LeaseRole};
use base::{LogOffset, Span};
use bytes::Bytes;
use clients::{HttpClient, SendPermit};
use platform::{AppendResponse, ReadResponse};
use protocol::{StreamRecord as _, WireAuthority, decode_message, encode_message};

use crate::{
    clock::to_duration,
    gateway::{
        control_state::ControlState,
        holder::{RENEWAL, rest},
    },
    shared::NodePhase,
    telemetry::log_event,
};

/// Topic of the lease records.
const LEASE_TOPIC: &str = "authority";

/// Longest time for a connection to a receiver of orders or reports.
const CONNECT_TIMEOUT: Span = Span::from_millis(300);

/// Longest wait of a read for lease records.
const POLL_WAIT: Span = Span::from_millis(400);

/// Time between two looks at the clock.
const TICK: Duration = Duration::from_millis(50);

/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Returns a client whose requests with a body are written only while this node holds the lease. The
/// lease is checked as the last step before the bytes.
pub(crate) fn holder_client(control: &Rc<ControlState>, idle: Span) -> HttpClient {
    let control = Rc::clone(control);
    HttpClient::with_reset_on_close(CONNECT_TIMEOUT, idle).guarded(move || {
        let permit = control.lease.permit(&control.node);
        if permit.is_some() { SendPermit::Granted } else { SendPermit::Denied }
    })
}

/// Follows the lease records, and claims, renews and gives up the lease.
pub(crate) async fn keep_lease(control: Rc<ControlState>) {
    actix_rt::spawn(follow_records(Rc::clone(&control)));
    loop {
        tokio::time::sleep(TICK).await;
        let now = control.node.now();
        let draining = control.node.phase() == NodePhase::Draining;
        let actions = {
            let mut lease_manager = control.lease.lease_manager.borrow_mut();
            let rested = now >= *control.lease.rests_until.borrow();
            let stands = rested && !draining && control.node.phase() == NodePhase::Serving;
            lease_manager.set_role(if stands { LeaseRole::Candidate } else { LeaseRole::Observer });
            if draining { lease_manager.resign() } else { lease_manager.tick(now) }
        };
        for action in actions {
            act(&control, action);
        }
    }
}

async fn follow_records(control: Rc<ControlState>) {
    let mut next = 0;
    let mut begun = false;
    loop {
        match control.store.read(LEASE_TOPIC, 0, next, POLL_WAIT).await {
            Ok(ReadResponse::Records { records, .. }) => {
                if !begun {
                    begun = true;
                    restart(&control, next);
                }
                for record in records {
                    next = record.offset + 1;
                    take_record(&control, record.offset, &record.bytes);
                }
            }
            Ok(ReadResponse::Trimmed { first }) => {
                begun = true;
                next = first;
                restart(&control, first);
            }
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

fn restart(control: &Rc<ControlState>, first: u64) {
    let now = control.node.now();
    let actions = control.lease.lease_manager.borrow_mut().restart_from(now, LogOffset(first));
    for action in actions {
        act(control, action);
    }
}

fn take_record(control: &Rc<ControlState>, offset: u64, bytes: &Bytes) {
    let record = decode_message::<WireAuthority>(bytes).and_then(AuthorityRecord::from_wire);
    let record = match record {
        Ok(record) => record,
        Err(error) => {
            log_event!(warn, LogRecordRefused, topic = LEASE_TOPIC, offset, reason = %error);
            return;
        }
    };
    let now = control.node.now();
    let actions = control.lease.lease_manager.borrow_mut().read(now, LogOffset(offset), &record);
    for action in actions {
        act(control, action);
    }
}

fn act(control: &Rc<ControlState>, action: LeaseAction) {
    match action {
        LeaseAction::Acquired(fencing) => {
            log_event!(LeaseAcquired, fencing = fencing.0);
        }
        LeaseAction::Lost { fencing, cause } => {
            let node = &control.node;
            control.lease.rests_until.replace(node.now() + rest(node));
            log_event!(LeaseLost, fencing = fencing.0, ?cause);
        }
        LeaseAction::Append(record) => {
            let control = Rc::clone(control);
            actix_rt::spawn(async move { append(&control, &record).await });
        }
    }
}

async fn append(control: &ControlState, record: &AuthorityRecord) {
    let records = [Bytes::from(encode_message(&WireAuthority::from(record)))];
    let append = control.store.append(LEASE_TOPIC, 0, None, &records);
    // A renewal that takes longer than the time between two is of no use.
    let appended = tokio::time::timeout(to_duration(RENEWAL), append).await;
    if !matches!(appended, Ok(Ok(AppendResponse::Appended { .. }))) {
        control.lease.lease_manager.borrow_mut().append_refused();
    }
}
