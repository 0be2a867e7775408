//! Leases that this node claims: those of its own zone, of usage reports and of the fleet.

use std::rc::Rc;

use authority::{
    AuthorityRecord, FencingSupport, LeaseAction, LeaseManager, LeaseRole, LeaseScope,
    LeaseSettings, OrderAction, OrderManager, OrderSettings,
};
use base::{FencingToken, Incarnation, LogOffset, Moment, Span, rendezvous_weight};
use clients::{CallError, SendPermit};
use document::FencingCheck;

use crate::{
    control::{
        Control,
        follow::{NextRead, StreamEvent, follow},
        streams::USAGE_STREAM,
    },
    shared::{SharedState, call_end},
    telemetry::log_event,
};

/// Upper bound of the delay before a node claims a free lease. Each node derives its own delay from
/// its incarnation, so that candidates rarely claim at the same moment.
const MAX_CLAIM_DELAY: Span = Span::from_millis(1_500);

/// Lease and order state machines of one scope.
pub(crate) struct ScopeDriver {
    pub(crate) scope: LeaseScope,
    pub(crate) lease_manager: LeaseManager,
    pub(crate) order_manager: OrderManager,
    /// Fencing token of the lease while it is held.
    held_token: Option<FencingToken>,
}

/// Creates the drivers of a node's scopes: its own zone, `usage` and `fleet`.
pub(crate) fn scope_drivers(shared: &SharedState) -> Vec<ScopeDriver> {
    let zone = LeaseScope::Zone(shared.settings.zone.clone());
    let scopes = [zone, LeaseScope::Usage, LeaseScope::Fleet];
    let driver = |scope: LeaseScope| ScopeDriver::new(shared, scope);
    scopes.into_iter().map(driver).collect()
}

/// Starts to follow the authority streams of the own zone and the fleet. The lease of the usage
/// scope is in the stream `usage`, which the usage driver follows.
pub(crate) fn start(control: &Rc<Control>) {
    for scope in [LeaseScope::Zone(control.shared.settings.zone.clone()), LeaseScope::Fleet] {
        let stream = scope.stream();
        follow::<AuthorityRecord>(control, stream, move |control, event| {
            control.on_authority(&scope, event);
            NextRead::Continue
        });
    }
}

/// Returns the stream that carries the lease records of a scope.
fn lease_stream(scope: &LeaseScope) -> String {
    match scope {
        LeaseScope::Usage => String::from(USAGE_STREAM),
        LeaseScope::Zone(_) | LeaseScope::Fleet => scope.stream(),
    }
}

impl ScopeDriver {
    fn new(shared: &SharedState, scope: LeaseScope) -> Self {
        let lease = &shared.settings.lease;
        let settings = LeaseSettings {
            term: lease.term,
            renewal: lease.renewal,
            margin: lease.margin,
            order_timeout: lease.order_timeout,
            extra_wait: lease.extra_wait,
        };
        let incarnation = shared.incarnation;
        let mut lease_manager =
            LeaseManager::new(settings, scope.clone(), incarnation, LeaseRole::Candidate);
        lease_manager.set_claim_delay(claim_delay(incarnation, &scope));
        let order_settings = OrderSettings {
            order_timeout: lease.order_timeout,
            query_retry_delay: Span::from_secs(1),
            fencing_support: fencing_support(shared.settings.platform_fencing),
        };
        let order_manager = OrderManager::new(order_settings, scope.clone(), incarnation);
        Self { scope, lease_manager, order_manager, held_token: None }
    }
}

/// Converts the configured fencing support of a receiver of orders.
pub(crate) const fn fencing_support(check: FencingCheck) -> FencingSupport {
    match check {
        FencingCheck::Checked => FencingSupport::Checked,
        FencingCheck::Ignored => FencingSupport::Ignored,
    }
}

fn claim_delay(incarnation: Incarnation, scope: &LeaseScope) -> Span {
    let scope_number = match scope {
        LeaseScope::Zone(_) => 0,
        LeaseScope::Usage => 1,
        LeaseScope::Fleet => 2,
    };
    Span(rendezvous_weight(incarnation.0, scope_number) % MAX_CLAIM_DELAY.0)
}

impl Control {
    /// Returns whether this node holds the lease of a scope now.
    pub(crate) fn holds(&self, scope: &LeaseScope, now: Moment) -> bool {
        self.fencing(scope, now).is_some()
    }

    /// Returns the fencing token while this node holds the lease of a scope. Receivers must check
    /// the token; for others see [`Control::permit`].
    pub(crate) fn fencing(&self, scope: &LeaseScope, now: Moment) -> Option<FencingToken> {
        self.permit(scope, now, FencingSupport::Checked)
    }

    /// Returns the check that runs just before an order is sent to a receiver that needs no intent
    /// in the log, such as an engine. It passes while this node holds the scope under `fencing`.
    pub(crate) fn lease_check(
        self: &Rc<Self>,
        scope: &LeaseScope,
        fencing: FencingToken,
        fencing_support: FencingSupport,
    ) -> impl Fn() -> SendPermit + 'static {
        let (control, scope) = (Rc::clone(self), scope.clone());
        move || match control.permit(&scope, control.now(), fencing_support) {
            Some(held) if held == fencing => SendPermit::Granted,
            _ => SendPermit::Denied,
        }
    }

    /// Returns the fencing token under which an order may be sent now to a receiver with this
    /// fencing support. A receiver that ignores tokens gets no order until the lease of an earlier
    /// holder has surely ended.
    pub(crate) fn permit(
        &self,
        scope: &LeaseScope,
        now: Moment,
        fencing_support: FencingSupport,
    ) -> Option<FencingToken> {
        let state = self.state();
        let found = state.scopes.iter().find(|driver| driver.scope == *scope);
        found.and_then(|driver| driver.lease_manager.permit(now, fencing_support).ok())
    }

    fn on_authority(self: &Rc<Self>, scope: &LeaseScope, event: StreamEvent<AuthorityRecord>) {
        match event {
            StreamEvent::ReadingFrom(offset) => self.lease_reading_from(scope, offset),
            StreamEvent::Retained(_) => {}
            StreamEvent::Record { offset, record, .. } => {
                self.lease_record(scope, offset, &record);
            }
        }
    }

    pub(crate) fn lease_reading_from(self: &Rc<Self>, scope: &LeaseScope, offset: LogOffset) {
        let now = self.now();
        self.with_scope(scope, |driver| {
            (driver.lease_manager.restart_from(now, offset).into_vec(), Vec::new())
        });
    }

    pub(crate) fn lease_record(
        self: &Rc<Self>,
        scope: &LeaseScope,
        offset: LogOffset,
        record: &AuthorityRecord,
    ) {
        let now = self.now();
        self.with_scope(scope, |driver| {
            let lease_actions = driver.lease_manager.read(now, offset, record).into_vec();
            let order_actions =
                driver.order_manager.read(now, &driver.lease_manager, record).into_vec();
            (lease_actions, order_actions)
        });
    }

    pub(crate) fn tick_scopes(self: &Rc<Self>, now: Moment) {
        for scope in self.scopes() {
            self.with_scope(&scope, |driver| {
                let lease_actions = driver.lease_manager.tick(now).into_vec();
                let order_actions =
                    driver.order_manager.tick(now, &driver.lease_manager).into_vec();
                (lease_actions, order_actions)
            });
        }
    }

    fn scopes(&self) -> Vec<LeaseScope> {
        let state = self.state();
        state.scopes.iter().map(|driver| driver.scope.clone()).collect()
    }

    /// Gives up all leases, so that other nodes need not wait for their expiry after a shutdown. A
    /// lease with calls in flight is released later, see [`Control::is_resigning`].
    pub(crate) fn resign(self: &Rc<Self>) {
        let now = self.now();
        for scope in self.scopes() {
            self.with_scope(&scope, |driver| {
                (driver.lease_manager.resign(now).into_vec(), Vec::new())
            });
        }
    }

    /// Returns whether a lease is kept until calls under it can no longer arrive.
    pub(crate) fn is_resigning(&self) -> bool {
        self.state().scopes.iter().any(|driver| driver.lease_manager.is_resigning())
    }

    /// Makes a call that only the holder of a scope may make. The lease is not released while it may
    /// still arrive.
    pub(crate) async fn call_as_holder<T>(
        self: &Rc<Self>,
        scope: &LeaseScope,
        call: impl Future<Output = Result<T, CallError>>,
    ) -> Result<T, CallError> {
        self.with_scope(scope, |driver| {
            driver.lease_manager.begin_call();
            (Vec::new(), Vec::new())
        });
        let result = call.await;
        let end = call_end(&result);
        let now = self.now();
        self.with_scope(scope, |driver| {
            driver.lease_manager.end_call(now, end);
            (Vec::new(), Vec::new())
        });
        result
    }

    /// Runs `decide` on the driver of a scope and performs the actions that it returns. Does
    /// nothing for an unknown scope.
    pub(crate) fn with_scope(
        self: &Rc<Self>,
        scope: &LeaseScope,
        decide: impl FnOnce(&mut ScopeDriver) -> (Vec<LeaseAction>, Vec<OrderAction>),
    ) {
        let (lease_actions, order_actions) = {
            let mut state = self.state();
            let found = state.scopes.iter_mut().find(|driver| driver.scope == *scope);
            let Some(driver) = found else { return };
            decide(driver)
        };
        for action in lease_actions {
            match action {
                LeaseAction::Append(record) => self.append_lease(scope, &record),
                LeaseAction::Acquired(fencing) => {
                    log_event!(LeaseAcquired, scope = %scope, fencing = fencing.0);
                    self.set_held_token(scope, Some(fencing));
                }
                LeaseAction::ReleaseDeferred(fencing) => {
                    log_event!(LeaseReleaseDeferred, scope = %scope, fencing = fencing.0);
                }
                LeaseAction::Lost { cause, .. } => {
                    log_event!(LeaseLost, scope = %scope, cause = ?cause);
                    self.set_held_token(scope, None);
                }
            }
        }
        for action in order_actions {
            self.perform_order(scope, action);
        }
    }

    fn set_held_token(&self, scope: &LeaseScope, fencing: Option<FencingToken>) {
        let mut state = self.state();
        if let Some(driver) = state.scopes.iter_mut().find(|driver| driver.scope == *scope) {
            driver.held_token = fencing;
        }
    }

    fn append_lease(self: &Rc<Self>, scope: &LeaseScope, record: &AuthorityRecord) {
        if self.append_authority(scope, record).is_err() {
            let mut state = self.state();
            if let Some(driver) = state.scopes.iter_mut().find(|driver| driver.scope == *scope) {
                driver.lease_manager.append_refused();
            }
        }
    }

    pub(crate) fn append_authority(
        self: &Rc<Self>,
        scope: &LeaseScope,
        record: &AuthorityRecord,
    ) -> Result<(), record_log::BufferFull> {
        let stream = lease_stream(scope);
        match scope {
            LeaseScope::Usage => {
                let entry = protocol::UsageEntry::Lease(record.clone());
                self.append(&stream, &entry).map(drop)
            }
            LeaseScope::Zone(_) | LeaseScope::Fleet => self.append(&stream, record).map(drop),
        }
    }
}
