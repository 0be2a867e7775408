//! Checks of [`LeaseManager`].

use authority::{
    AuthorityRecord, CallEnd, FencingSupport, LeaseAction, LeaseClaim, LeaseManager, LeaseRelease,
    LeaseRenewal, LeaseRole, LeaseScope, LeaseSettings, LossCause, PermitDenial,
};
use base::{FencingToken, Incarnation, LogOffset, Moment, Span};
use rstest::rstest;

const OWN_PROCESS: Incarnation = Incarnation(1);
const OTHER_PROCESS: Incarnation = Incarnation(2);
const THIRD_PROCESS: Incarnation = Incarnation(3);

fn at(secs: u64) -> Moment {
    Moment(0) + Span::from_secs(secs)
}

fn lease_manager(first: u64) -> LeaseManager {
    let settings = LeaseSettings::default();
    let mut lease_manager =
        LeaseManager::new(settings, LeaseScope::Usage, OWN_PROCESS, LeaseRole::Candidate);
    lease_manager.restart_from(at(0), LogOffset(first));
    lease_manager
}

fn claim(holder: Incarnation, attempt: u32, clear_from: u64) -> AuthorityRecord {
    AuthorityRecord::Claim(LeaseClaim {
        scope: LeaseScope::Usage,
        holder,
        attempt,
        term: Span::from_secs(10),
        clear_from: LogOffset(clear_from),
    })
}

fn renewal(holder: Incarnation, attempt: u32, claim: u64) -> AuthorityRecord {
    AuthorityRecord::Renewal(LeaseRenewal {
        scope: LeaseScope::Usage,
        holder,
        attempt,
        claim: FencingToken(claim),
        term: Span::from_secs(10),
    })
}

fn release(holder: Incarnation, claim: u64) -> AuthorityRecord {
    let claim = FencingToken(claim);
    AuthorityRecord::Release(LeaseRelease { scope: LeaseScope::Usage, holder, claim })
}

fn appended(actions: &[LeaseAction]) -> Option<AuthorityRecord> {
    match actions {
        [LeaseAction::Append(record)] => Some(record.clone()),
        [] => None,
        actions => panic!("unexpected {actions:?}"),
    }
}

/// Guards against two readers that disagree on the holder, in particular when an append takes
/// effect late or twice.
#[rstest]
#[case::first_claim_wins(&[claim(OTHER_PROCESS, 1, 0), claim(THIRD_PROCESS, 1, 0)], Some(0))]
#[case::successor(&[claim(OTHER_PROCESS, 1, 0), claim(THIRD_PROCESS, 1, 1)], Some(1))]
#[case::late_claim(&[claim(OTHER_PROCESS, 1, 0), claim(THIRD_PROCESS, 1, 1), claim(OWN_PROCESS, 9, 1)], Some(1))]
#[case::repeated_claim(&[claim(OTHER_PROCESS, 1, 0), claim(THIRD_PROCESS, 1, 1), claim(OTHER_PROCESS, 1, 0)], Some(1))]
#[case::renewed_meanwhile(&[claim(OTHER_PROCESS, 1, 0), renewal(OTHER_PROCESS, 2, 0), claim(THIRD_PROCESS, 1, 1)], Some(0))]
#[case::after_renewal(&[claim(OTHER_PROCESS, 1, 0), renewal(OTHER_PROCESS, 2, 0), claim(THIRD_PROCESS, 1, 2)], Some(2))]
#[case::late_renewal(&[claim(OTHER_PROCESS, 1, 0), claim(THIRD_PROCESS, 1, 1), renewal(OTHER_PROCESS, 2, 0), claim(OWN_PROCESS, 9, 2)], Some(3))]
#[case::repeated_renewal(&[claim(OTHER_PROCESS, 1, 0), renewal(OTHER_PROCESS, 2, 0), renewal(OTHER_PROCESS, 2, 0), claim(THIRD_PROCESS, 1, 2)], Some(3))]
#[case::renewal_after_release(&[claim(OTHER_PROCESS, 1, 0), release(OTHER_PROCESS, 0), renewal(OTHER_PROCESS, 2, 0), claim(THIRD_PROCESS, 1, 2)], Some(3))]
#[case::foreign_release(&[claim(OTHER_PROCESS, 1, 0), release(THIRD_PROCESS, 0), claim(THIRD_PROCESS, 1, 1)], Some(2))]
#[case::clear_from_above_the_own_offset(&[claim(OTHER_PROCESS, 1, 0), claim(THIRD_PROCESS, 1, 9)], Some(0))]
#[case::nothing(&[renewal(OTHER_PROCESS, 2, 0)], None)]
fn log_order_decides_between_claims(
    #[case] records: &[AuthorityRecord],
    #[case] in_force: Option<u64>,
) {
    let mut lease_manager = lease_manager(0);
    for (offset, record) in (0..).map(LogOffset).zip(records) {
        lease_manager.read(at(0), offset, record);
    }
    assert_eq!(lease_manager.claim_in_force(), in_force.map(FencingToken));
}

/// Guards against a successor that claims before term (10 s), margin (2 s) and order timeout (3 s)
/// have passed since it read the last record.
#[rstest]
#[case::empty_stream(0, &[], 0)]
#[case::unknown_beginning(7, &[], 15)]
#[case::after_claim(0, &[(3, claim(OTHER_PROCESS, 1, 0))], 18)]
#[case::after_renewal(0, &[(3, claim(OTHER_PROCESS, 1, 0)), (9, renewal(OTHER_PROCESS, 2, 0))], 24)]
#[case::after_void_renewal(0, &[(3, claim(OTHER_PROCESS, 1, 0)), (9, renewal(THIRD_PROCESS, 2, 0))], 18)]
#[case::after_release(0, &[(3, claim(OTHER_PROCESS, 1, 0)), (4, release(OTHER_PROCESS, 0))], 4)]
#[case::release_with_unknown_beginning(7, &[(4, release(OTHER_PROCESS, 3))], 19)]
#[case::claim_with_unknown_beginning(7, &[(4, claim(OTHER_PROCESS, 2, 3))], 19)]
fn a_successor_waits_for_the_whole_term(
    #[case] first: u64,
    #[case] records: &[(u64, AuthorityRecord)],
    #[case] claims_at: u64,
) {
    let mut lease_manager = lease_manager(first);
    let mut offset = LogOffset(first);
    for (secs, record) in records {
        lease_manager.read(at(*secs), offset, record);
        offset = offset.next();
    }
    let due = at(claims_at);
    assert_eq!(lease_manager.next_deadline(), Some(due));
    if due > at(0) {
        assert!(lease_manager.tick(due - Span(1)).is_empty(), "the successor claimed too early");
    }
    assert!(matches!(appended(&lease_manager.tick(due)), Some(AuthorityRecord::Claim(_))));
}

/// Guards against a term that counts from when the record is read back instead of from before it is
/// sent, and against orders within the margin.
#[test]
fn the_term_counts_from_before_sending() {
    let mut lease_manager = lease_manager(0);
    let own = appended(&lease_manager.tick(at(1))).expect("the stream is empty");
    assert!(
        lease_manager.tick(at(2)).is_empty(),
        "a second claim was sent while the first was pending"
    );
    let actions = lease_manager.read(at(6), LogOffset(0), &own);
    assert_eq!(actions.as_slice(), [LeaseAction::Acquired(FencingToken(0))]);
    assert_eq!(lease_manager.held_token(at(9) - Span(1)), Some(FencingToken(0)));
    assert_eq!(lease_manager.held_token(at(9)), None, "the margin must begin 8 s after sending");

    let renewal = appended(&lease_manager.tick(at(6))).expect("a renewal is due 3 s after sending");
    lease_manager.read(at(8), LogOffset(1), &renewal);
    assert_eq!(lease_manager.held_token(at(14) - Span(1)), Some(FencingToken(0)));
    assert_eq!(
        lease_manager.permit(at(13), FencingSupport::Ignored),
        Err(PermitDenial::ExtraWait(at(36))),
        "the extra wait must end 30 s after the claim was read back"
    );
    let lost = LeaseAction::Lost { fencing: FencingToken(0), cause: LossCause::Expired };
    assert_eq!(lease_manager.tick(at(14)).as_slice(), [lost]);
    assert_eq!(lease_manager.permit(at(14), FencingSupport::Checked), Err(PermitDenial::NotHeld));
}

/// Guards against a process that takes the lease from its claim although the term had already ended
/// when it read the claim back.
#[test]
fn a_claim_that_takes_effect_late_gives_no_lease() {
    let mut lease_manager = lease_manager(0);
    let own = appended(&lease_manager.tick(at(0))).expect("the stream is empty");
    assert!(lease_manager.read(at(8), LogOffset(0), &own).is_empty());
    assert_eq!(lease_manager.held_token(at(8)), None);
    assert_eq!(lease_manager.next_deadline(), Some(at(23)), "it must wait like any successor");
}

/// Guards against a holder that keeps the lease after a later claim or after a gap in the log.
#[rstest]
#[case::succeeded(|lease_manager: &mut LeaseManager| lease_manager.read(at(2), LogOffset(1), &claim(OTHER_PROCESS, 1, 1)), LossCause::Succeeded)]
#[case::gap(|lease_manager: &mut LeaseManager| lease_manager.restart_from(at(2), LogOffset(9)), LossCause::GapInLog)]
fn a_holder_loses_the_lease(
    #[case] event: fn(&mut LeaseManager) -> smallvec::SmallVec<[LeaseAction; 4]>,
    #[case] cause: LossCause,
) {
    let mut lease_manager = lease_manager(0);
    let own = appended(&lease_manager.tick(at(0))).expect("the stream is empty");
    lease_manager.read(at(1), LogOffset(0), &own);
    let lost = LeaseAction::Lost { fencing: FencingToken(0), cause };
    assert_eq!(event(&mut lease_manager).as_slice(), [lost]);
    assert_eq!(lease_manager.held_token(at(2)), None);
}

/// Guards against a reader without the beginning of the stream that takes the lease although a
/// record whose validity it could not decide precedes its claim.
#[test]
fn an_undecided_record_voids_the_own_claim() {
    let mut lease_manager = lease_manager(7);
    let own =
        appended(&lease_manager.tick(at(15))).expect("the lease can be claimed after the wait");
    lease_manager.read(at(16), LogOffset(7), &renewal(OTHER_PROCESS, 4, 2));
    assert!(lease_manager.read(at(16), LogOffset(8), &own).is_empty());
    assert_eq!(lease_manager.held_token(at(16)), None);

    let own =
        appended(&lease_manager.tick(at(31))).expect("the lease can be claimed after the wait");
    let actions = lease_manager.read(at(32), LogOffset(9), &own);
    assert_eq!(actions.as_slice(), [LeaseAction::Acquired(FencingToken(9))]);
}

/// Guards against a planned stop after which successors wait for the whole term, or after which a
/// pending claim of the process gives it the lease again.
#[test]
fn a_resigned_process_releases_the_lease() {
    let mut lease_manager = lease_manager(0);
    let own = appended(&lease_manager.tick(at(0))).expect("the stream is empty");
    let mut pending = lease_manager.clone();
    lease_manager.read(at(1), LogOffset(0), &own);
    let lost = LeaseAction::Lost { fencing: FencingToken(0), cause: LossCause::Released };
    assert_eq!(
        lease_manager.resign(at(1)).as_slice(),
        [LeaseAction::Append(release(OWN_PROCESS, 0)), lost]
    );
    assert_eq!((lease_manager.held_token(at(1)), lease_manager.next_deadline()), (None, None));

    assert!(pending.resign(at(0)).is_empty());
    let actions = pending.read(at(1), LogOffset(0), &own);
    assert_eq!(actions.as_slice(), [LeaseAction::Append(release(OWN_PROCESS, 0))]);
}

/// Pattern: a planned stop while an order is on its way to an engine that does not check fencing
/// tokens.
///
/// Guards against a lease that is released while a call under it may still arrive: the successor
/// claims it at once, and the late call arrives with a lower fencing token. Without a response the
/// call may arrive until the order timeout of 3 s has passed. A lease whose term ends first is not released.
#[rstest]
#[case::answered(CallEnd::Answered, 2, Some(2))]
#[case::not_sent(CallEnd::NotSent, 2, Some(2))]
#[case::unanswered(CallEnd::Unanswered, 2, Some(6))]
#[case::term_ends_first(CallEnd::Unanswered, 6, None)]
fn check_call_in_flight_at_the_release(
    #[case] end: CallEnd,
    #[case] ends_at: u64,
    #[case] released_at: Option<u64>,
) {
    let mut lease_manager = lease_manager(0);
    let own = appended(&lease_manager.tick(at(0))).expect("the stream is empty");
    lease_manager.read(at(0), LogOffset(0), &own);
    lease_manager.begin_call();
    let deferred = LeaseAction::ReleaseDeferred(FencingToken(0));
    assert_eq!(lease_manager.resign(at(1)).as_slice(), [deferred]);
    assert_eq!(lease_manager.held_token(at(1)), None, "no further call may begin");
    let mut released = None;
    for secs in 1..20 {
        if secs == ends_at {
            lease_manager.end_call(at(secs), end);
        }
        for action in lease_manager.tick(at(secs)) {
            if action == LeaseAction::Append(release(OWN_PROCESS, 0)) {
                released = Some(secs);
            }
        }
    }
    assert_eq!(released, released_at);
    assert!(!lease_manager.is_resigning());
}
