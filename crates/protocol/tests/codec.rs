//! Guards against records that change when they are encoded and decoded, and against malformed
//! input that makes a reader panic.

use authority::{
    AuthorityRecord, LeaseClaim, LeaseScope, OrderId, OrderIntent, OrderKind, PriceClass,
};
use base::{
    Execution, FencingToken, Incarnation, LogOffset, NodeDigest, ProcessDigest, RecordId,
    RequestRate, Span, WallTime, WeightVersion,
};
use configuration::{ConfigEdit, ConfigRecord, ConfigVersion, EnvironmentName};
use delivery::{
    ClaimDone, ClaimEvent, ClaimKey, ClaimOutcome, Conviction, Fingerprint, RequestId, RunClaim,
};
use dispatch::{LimitClaim, NodeClaims, PeerEntry, WantedRate};
use fleet::{DemandKey, DemandSnapshot, SLOTS_PER_WEEK, WorkClass};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed, TestRunner},
};
use protocol::{
    CrashKey, CrashRecord, ForwardOutcome, LimitRecord, MAX_MESSAGE_BYTES, ModelDemand, NodeRecord,
    SampleEntry, SampleSnapshot, StepPrompts, StreamDigest, StreamOrigin, StreamRecord,
    WireAuthority, decode_crash_record, decode_limit_record, decode_message, decode_model_demand,
    decode_node_record, decode_record, decode_run_claim, decode_stream_origin, encode_crash_record,
    encode_limit_record, encode_message, encode_model_demand, encode_node_record, encode_record,
    encode_run_claim, encode_stream_origin, stream_origin_key,
};
use rollout::{
    DeliveryNumber, SampleBound, SampleFilled, SampleRecord, SampleTable, SampleVoided, Score,
    SlotKey, StepShape, TrainerId, TrainerStated, VersionSpan, VoidReason,
};
use serde_json::json;
use usage::{UsageAmount, UsageBatch, UsageByCustomer, UsageRecord};

const ID: RecordId = RecordId { writer: Incarnation(u64::MAX), sequence: 7 };

#[track_caller]
fn check_round_trip<T: StreamRecord + PartialEq + std::fmt::Debug>(record: &T) {
    let (id, decoded) =
        decode_record::<T>(&encode_record(ID, record)).expect("an encoded record can be decoded");
    assert_eq!(id, ID);
    assert_eq!(&decoded, record);
}

#[test]
fn authority_records_are_unchanged_by_encoding_and_decoding() {
    check_round_trip(&AuthorityRecord::Claim(LeaseClaim {
        scope: LeaseScope::Zone(String::from("kingston-c")),
        holder: Incarnation(4),
        attempt: 2,
        term: Span::from_secs(10),
        clear_from: LogOffset(90),
    }));
    for price in [PriceClass::Regular, PriceClass::Cheap] {
        check_round_trip(&AuthorityRecord::Intent(intent(OrderKind::Start { count: 2, price })));
    }
    check_round_trip(&AuthorityRecord::Intent(intent(OrderKind::Stop {
        upstream: String::from("e-1"),
    })));
}

/// Guards against an order intent of an earlier release, which has no price class, that cannot be
/// decoded. A new lease holder would skip it and never learn the outcome of the order.
#[test]
fn intent_without_price_class_orders_regular_upstreams() {
    let record = json!({
        "id": { "writer": 3, "sequence": 9 },
        "record": { "Intent": {
            "id": { "writer": 3, "sequence": 1 },
            "scope": "Fleet",
            "service": "draft-models",
            "kind": { "Start": 2 },
            "fencing": 41,
        } },
    });
    let (_, decoded) = decode_record::<AuthorityRecord>(&encode_message(&record)).unwrap();
    let kind = OrderKind::Start { count: 2, price: PriceClass::Regular };
    assert_eq!(decoded, AuthorityRecord::Intent(intent(kind)));
}

#[test]
fn start_order_with_count_zero_is_refused() {
    let record =
        AuthorityRecord::Intent(intent(OrderKind::Start { count: 0, price: PriceClass::Regular }));
    let error = decode_record::<AuthorityRecord>(&encode_record(ID, &record));
    assert!(error.is_err(), "{error:?}");
}

#[test]
fn other_records_are_unchanged_by_encoding_and_decoding() {
    check_round_trip(&ConfigRecord::Edit(ConfigEdit {
        id: ID,
        environment: EnvironmentName::from("trial"),
        base: ConfigVersion(7),
        text: String::from("environment = \"trial\"\n"),
    }));
    let mut usage = UsageByCustomer::default();
    let amount = UsageAmount { requests: 1, prompt_tokens: u64::MAX, generated_tokens: 0 };
    usage.add("cordial", amount).expect("the usage does not overflow");
    check_round_trip(&UsageRecord::Batch(UsageBatch { id: ID, usage }));
    check_round_trip(&Conviction { fingerprint: Fingerprint([7; 16]), expires_at: WallTime(-1) });
    check_round_trip(&ClaimEvent::DoneRead(ClaimDone {
        claim: ClaimKey([9; 16]),
        holder: RequestId { node: Incarnation(1), sequence: 2 },
        outcome: ClaimOutcome::Answered { status: 200, body: vec![0, 255] },
    }));
}

/// Guards against a snapshot with missing slots, whose means would be restored into the wrong ones.
#[test]
fn demand_snapshot_without_all_slots_of_the_week_is_refused() {
    let key = DemandKey {
        service: String::from("draft-models"),
        zone: String::from("hobart-a"),
        class: WorkClass::Samples,
    };
    let time_zone = String::from("Australia/Hobart");
    let means = vec![u32::MAX; usize::from(SLOTS_PER_WEEK)];
    let mut snapshot = DemandSnapshot { key, time_zone, means };
    check_round_trip(&snapshot);
    snapshot.means.pop();
    let error = decode_record::<DemandSnapshot>(&encode_record(ID, &snapshot));
    assert!(error.is_err(), "{error:?}");
}

/// Guards against a crash that other nodes count for another request or another process.
#[test]
fn crash_records_are_unchanged_by_encoding_and_decoding() {
    let key = CrashKey {
        fingerprint: Fingerprint([0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 255]),
        process: 77,
    };
    let record = CrashRecord {
        started_at: WallTime(3),
        ended_at: WallTime(4),
        isolated: true,
        expires_at: WallTime(5),
    };
    for record in [Some(record), None] {
        let (text, value) = encode_crash_record(key, record);
        assert_eq!(decode_crash_record(&text, value.as_deref()), Ok((key, record)));
    }
    for malformed in
        ["", "0001/1", "zz0102030405060708090a0b0c0d0eff/1", "+00102030405060708090a0b0c0d0eff/1"]
    {
        assert!(decode_crash_record(malformed, None).is_err(), "{malformed}");
    }
}

/// Guards against a claim that keeps other nodes from running another request, or is never deleted.
#[test]
fn run_claims_are_unchanged_by_encoding_and_decoding() {
    let claim = RunClaim { fingerprint: Fingerprint([7; 16]), node: Incarnation(9), number: 300 };
    for lifetime in [Some(Span::from_millis(1_300)), None] {
        let (key, value) = encode_run_claim(claim, lifetime);
        assert!(decode_crash_record(&key, value.as_deref()).is_err(), "{key}");
        assert_eq!(decode_run_claim(&key, value.as_deref()), Ok((claim, lifetime)));
    }
    for malformed in ["", "run/", "run/07/1/2", "run/07070707070707070707070707070707/9/1/1"] {
        assert!(decode_run_claim(malformed, None).is_err(), "{malformed}");
    }
}

/// Guards against a node that others cannot reach, and against a refusal of another node that claims
/// that the request has not run.
#[test]
fn entries_and_outcomes_of_nodes_are_unchanged_by_encoding_and_decoding() {
    let entry = PeerEntry {
        name: String::from("vm-1"),
        zone: String::from("z"),
        address: "10.1.0.7:7675".parse().unwrap(),
    };
    let record = NodeRecord { entry, written_at: WallTime(9) };
    let (key, value) = encode_node_record(&record);
    assert_eq!(decode_node_record(&key, &value), Ok(record));
    assert!(decode_node_record("vm-1", b"").is_err());
    let refused = [Execution::NotRun, Execution::MayHaveRun].map(ForwardOutcome::Refused);
    let others =
        [ForwardOutcome::Response, ForwardOutcome::LinksLost, ForwardOutcome::ConfigDiffers];
    for outcome in refused.into_iter().chain(others) {
        assert_eq!(ForwardOutcome::parse(outcome.as_str()), outcome);
    }
    let unknown = ForwardOutcome::parse("unknown");
    assert_eq!(unknown, ForwardOutcome::Refused(Execution::MayHaveRun));
}

#[test]
fn message_over_the_size_limit_is_refused() {
    let bytes = vec![0xc0; MAX_MESSAGE_BYTES + 1];
    let error = decode_message::<WireAuthority>(&bytes).expect_err("the message is too long");
    assert!(error.to_string().contains("exceed the limit"), "{error}");
}

#[test]
fn arbitrary_bytes_never_panic() {
    let config = Config { rng_seed: RngSeed::Fixed(11), ..Config::default() };
    let bytes = prop::collection::vec(any::<u8>(), 0..256);
    let outcome = TestRunner::new(config).run(&bytes, |bytes| {
        // Where random bytes happen to be a valid record, it must encode and decode to itself.
        if let Ok((id, record)) = decode_record::<AuthorityRecord>(&bytes) {
            let decoded_again = decode_record::<AuthorityRecord>(&encode_record(id, &record));
            prop_assert_eq!(decoded_again, Ok((id, record)));
        }
        Ok(())
    });
    outcome.expect("arbitrary bytes decode to an error or to a record that can be encoded again");
}

fn intent(kind: OrderKind) -> OrderIntent {
    OrderIntent {
        id: OrderId { issuer: Incarnation(3), number: 1 },
        scope: LeaseScope::Fleet,
        service: String::from("draft-models"),
        kind,
        fencing: FencingToken(41),
    }
}

/// Guards against a snapshot from which a node that starts late builds a different sample table
/// than the nodes that applied all records.
#[test]
fn sample_entries_are_unchanged_by_encoding_and_decoding() {
    let trainer = TrainerId::from_name("layouts");
    let slot = |index| SlotKey { trainer, step: 3, group: 0, index };
    let filled = |index| SampleFilled {
        slot: slot(index),
        generation: 0,
        sample: RecordId { sequence: u64::from(index) + 1, ..ID },
        spans: [VersionSpan { version: WeightVersion(4), from: 0, to: 9 }].into_iter().collect(),
        tokens: 9,
        digest: u64::MAX,
        holders: [Incarnation(1), Incarnation(2)].into_iter().collect(),
    };
    let shape = StepShape { step: 3, groups: 1, samples_per_group: 3 };
    let stated = TrainerStated {
        trainer,
        name: String::from("layouts"),
        follows: 0,
        version: WeightVersion(5),
        staleness_bound: 1,
        acknowledged: DeliveryNumber(0),
        opened: Some(shape),
    };
    let step_prompts = StepPrompts { prompts: vec![String::from("draft a sleeve")], max_tokens: 9 };
    let bound = SampleBound { slot: slot(0), sample: filled(0).sample, score: Some(Score(-7)) };
    let voided = SampleVoided { slot: slot(1), sample: filled(1).sample, reason: VoidReason::Lost };
    let records = [
        SampleRecord::Stated(stated),
        SampleRecord::Filled(filled(0)),
        SampleRecord::Filled(filled(1)),
        SampleRecord::Bound(bound),
        SampleRecord::Voided(voided),
    ];
    let mut table = SampleTable::default();
    for record in records {
        table.apply(&record);
        let step_prompts = matches!(record, SampleRecord::Stated(_)).then(|| step_prompts.clone());
        check_round_trip(&SampleEntry::Record { record, step_prompts });
    }
    table.apply(&SampleRecord::Filled(filled(2)));
    let snapshot = table.snapshot(trainer, LogOffset(6)).expect("the trainer is known");
    check_round_trip(&SampleEntry::Snapshot(Box::new(SampleSnapshot {
        snapshot,
        step_prompts: vec![(3, step_prompts)],
    })));
}

/// Guards against a limit or claim that other nodes read for another process, node or rate.
#[test]
fn limit_records_are_unchanged_by_encoding_and_decoding() {
    let claim = LimitClaim {
        process: ProcessDigest(u64::MAX),
        wanted: WantedRate { callers: RequestRate(21_000), items: RequestRate(4_000) },
        claimed: RequestRate(500),
        is_seen: true,
    };
    let claims = NodeClaims { incarnation: Incarnation(3), sequence: 9, claims: vec![claim] };
    for record in [
        LimitRecord::Limit(ProcessDigest(7), Some(RequestRate(2_900))),
        LimitRecord::Limit(ProcessDigest(7), None),
        LimitRecord::Claims(NodeDigest(8), Some(claims)),
        LimitRecord::Claims(NodeDigest(8), None),
    ] {
        let (key, value) = encode_limit_record(&record);
        assert_eq!(decode_limit_record(&key, value.as_deref()), Ok(record));
    }
    for malformed in ["", "limit/", "limit/x", "node/-1", "share/7"] {
        assert!(decode_limit_record(malformed, None).is_err(), "{malformed}");
    }
    assert!(decode_limit_record("limit/7", Some(b"x")).is_err());
}

/// Guards against a stream that goes on at another software version than the one that began it.
#[test]
fn stream_origins_are_unchanged_by_encoding_and_decoding() {
    let origin =
        StreamOrigin { software_version: String::from("v1.2"), begun_at: WallTime(1_700_000) };
    assert_eq!(decode_stream_origin(&encode_stream_origin(&origin)), Ok(origin));
    assert!(decode_stream_origin(b"v1").is_err());
    let keys = [StreamDigest(1), StreamDigest(0x10)].map(stream_origin_key);
    assert_eq!(keys, ["0000000000000001", "0000000000000010"]);
}

/// Guards against a demand that changes when it is encoded and decoded.
#[test]
fn model_demand_is_unchanged_by_encoding_and_decoding() {
    let demand = ModelDemand { tokens: u64::MAX, written_at: WallTime(-3) };
    assert_eq!(decode_model_demand(&encode_model_demand(demand)), Ok(demand));
    assert!(decode_model_demand(b"").is_err());
}
