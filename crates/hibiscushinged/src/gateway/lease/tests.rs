//! Calls of the lease holder that are in flight when it resigns, with orders to an engine.

use std::rc::Rc;

use authority::{AuthorityRecord, LeaseAction, LeaseRole};
use base::{FencingToken, LogOffset, Moment, Span, WeightVersion};
use platform::{EngineControlClient, WeightLoadRequest};
use tokio::{io::AsyncReadExt as _, net::TcpListener, sync::oneshot};

use super::holder_client;
use crate::gateway::{control_state::ControlState, test_support::node};

/// Gives the lease to this node at `now`, as if its claim were the first record of the log.
fn acquire(control: &ControlState, now: Moment) {
    let mut manager = control.lease.lease_manager.borrow_mut();
    manager.restart_from(now, LogOffset(0));
    manager.set_role(LeaseRole::Candidate);
    manager.set_claim_delay(Span::ZERO);
    let claim = manager.tick(now);
    let [LeaseAction::Append(claim)] = claim.as_slice() else { panic!("no claim: {claim:?}") };
    manager.read(now, LogOffset(0), claim);
}

fn releases(actions: &[LeaseAction]) -> bool {
    let release =
        |action: &LeaseAction| matches!(action, LeaseAction::Append(AuthorityRecord::Release(_)));
    actions.iter().any(release)
}

/// Pattern: a planned stop of the holder while its order is on the way to an engine.
///
/// Guards against a lease that is released before the engine has responded: its successor orders at
/// once, and the order of this node arrives with a lower fencing token.
#[actix_rt::test]
async fn lease_is_released_after_the_order_in_flight() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let engine = listener.local_addr().unwrap();
    let (arrived, order_arrived) = oneshot::channel();
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut order = [0; 4_096];
        assert!(stream.read(&mut order).await.unwrap() > 0);
        arrived.send(()).unwrap();
        // The engine never responds; the test ends the call.
        std::future::pending::<()>().await;
    });
    let control = Rc::new(ControlState::new(node("127.0.0.1:1".parse().unwrap())));
    let now = control.node.now();
    acquire(&control, now);
    let sender = Rc::clone(&control);
    let order = actix_rt::spawn(async move {
        let client = EngineControlClient::new(holder_client(&sender, Span::from_secs(8)));
        let call = sender.lease.begin_call(&sender.node).expect("this node holds the lease");
        let request = WeightLoadRequest {
            engine: String::from("e"),
            model: String::from("m"),
            version: WeightVersion(1),
            accepted_orders: 0,
            holder: call.identity.holder.clone(),
            fencing: call.identity.fencing,
        };
        let result = client.load_weights(engine, &request, Span::from_secs(60)).await;
        call.finish(&result);
    });
    order_arrived.await.unwrap();
    let resign = |at: Moment| control.lease.lease_manager.borrow_mut().resign(at).into_vec();
    assert_eq!(resign(now), [LeaseAction::ReleaseDeferred(FencingToken(0))]);
    order.abort();
    let _ = order.await;
    // Without a response the order may still arrive within the order timeout.
    assert!(!releases(&resign(now)), "an order without a response may still arrive");
    assert!(control.lease.lease_manager.borrow().is_resigning());
}
