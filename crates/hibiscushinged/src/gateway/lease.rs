//! The fleet lease, kept as records in the store's log.

#[cfg(test)]
mod tests;

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
        holder::{LEASE_RENEWAL_PERIOD, claim_pause},
    },
    shared::NodePhase,
    telemetry::log_event,
};

/// Topic of the lease records.
const LEASE_TOPIC: &str = "authority";

/// Timeout for connecting to an engine or to the receiver of usage reports.
const CONNECT_TIMEOUT: Span = Span::from_millis(300);

/// Longest time that a read of lease records waits at the store.
const POLL_WAIT: Span = Span::from_millis(400);

/// Interval between ticks of the lease manager.
const TICK_PERIOD: Duration = Duration::from_millis(50);

/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Returns a client that writes requests with a body only while this node holds the lease. The
/// lease is checked as the last step before the bytes are sent.
pub(crate) fn holder_client(control: &Rc<ControlState>, idle_timeout: Span) -> HttpClient {
    let control = Rc::clone(control);
    HttpClient::with_reset_on_close(CONNECT_TIMEOUT, idle_timeout).guarded(move || {
        let permit = control.lease.permit(&control.node);
        if permit.is_some() { SendPermit::Granted } else { SendPermit::Denied }
    })
}

/// Follows the lease records, and claims, renews and resigns the lease.
pub(crate) async fn keep_lease(control: Rc<ControlState>) {
    actix_rt::spawn(follow_records(Rc::clone(&control)));
    loop {
        tokio::time::sleep(TICK_PERIOD).await;
        let now = control.node.now();
        let resigning =
            control.node.phase() == NodePhase::Draining || control.node.has_lost_engines();
        let actions = {
            let mut lease_manager = control.lease.lease_manager.borrow_mut();
            let pause_over = now >= *control.lease.no_claim_before.borrow();
            let is_candidate =
                pause_over && !resigning && control.node.phase() == NodePhase::Serving;
            lease_manager.set_role(if is_candidate {
                LeaseRole::Candidate
            } else {
                LeaseRole::Observer
            });
            if resigning { lease_manager.resign(now) } else { lease_manager.tick(now) }
        };
        for action in actions {
            apply_action(&control, action);
        }
    }
}

async fn follow_records(control: Rc<ControlState>) {
    let mut next_offset = 0;
    let mut started = false;
    loop {
        match control.store.read(LEASE_TOPIC, 0, next_offset, POLL_WAIT).await {
            Ok(ReadResponse::Records { records, .. }) => {
                if !started {
                    started = true;
                    restart(&control, next_offset);
                }
                for record in records {
                    next_offset = record.offset + 1;
                    apply_record(&control, record.offset, &record.bytes);
                }
            }
            Ok(ReadResponse::Trimmed { first }) => {
                started = true;
                next_offset = first;
                restart(&control, first);
            }
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

fn restart(control: &Rc<ControlState>, first: u64) {
    let now = control.node.now();
    let actions = control.lease.lease_manager.borrow_mut().restart_from(now, LogOffset(first));
    for action in actions {
        apply_action(control, action);
    }
}

fn apply_record(control: &Rc<ControlState>, offset: u64, bytes: &Bytes) {
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
        apply_action(control, action);
    }
}

fn apply_action(control: &Rc<ControlState>, action: LeaseAction) {
    match action {
        LeaseAction::Acquired(fencing) => {
            log_event!(LeaseAcquired, fencing = fencing.0);
        }
        LeaseAction::ReleaseDeferred(fencing) => {
            log_event!(LeaseReleaseDeferred, fencing = fencing.0);
        }
        LeaseAction::Lost { fencing, cause } => {
            let node = &control.node;
            control.lease.no_claim_before.replace(node.now() + claim_pause(node));
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
    // An append that takes longer than the renewal period is useless: the next renewal is due by
    // then.
    let appended = tokio::time::timeout(to_duration(LEASE_RENEWAL_PERIOD), append).await;
    if !matches!(appended, Ok(Ok(AppendResponse::Appended { .. }))) {
        control.lease.lease_manager.borrow_mut().append_refused();
    }
}
