//! Guards against records that do not survive the wire, and against malformed input that stops a
//! reader.

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed, TestRunner},
};
use protocol::{
    ConfigEdit, LogRecord, MAX_MESSAGE_BYTES, OrderIntent, UsageBatch, UsageLine, WireId,
    decode_message, encode_message,
};
use rstest::rstest;

#[rstest]
#[case::edit(LogRecord::ConfigEdit(ConfigEdit {
    environment: String::from("trial"),
    base_version: 7,
    text: String::from("[environment]\nname = \"trial\"\n"),
    author: String::from("ana"),
}))]
#[case::intent(LogRecord::OrderIntent(OrderIntent {
    order: WireId { writer: u64::MAX, sequence: 1 },
    zone: String::from("kingston-c"),
    service: String::from("draft-models"),
    kind: String::from("start"),
    count: 2,
    upstream: String::new(),
    fencing: 41,
}))]
#[case::batch(LogRecord::UsageBatch(UsageBatch {
    incarnation: 3,
    sequence: 9,
    lines: vec![UsageLine {
        customer: String::from("cordial"),
        requests: 1,
        prompt_tokens: u64::MAX,
        generated_tokens: 0,
    }],
}))]
fn record_survives_the_wire(#[case] record: LogRecord) {
    let bytes = encode_message(&record);
    assert_eq!(decode_message::<LogRecord>(&bytes), Ok(record));
}

#[test]
fn message_over_the_size_limit_is_refused() {
    let bytes = vec![0xc0; MAX_MESSAGE_BYTES + 1];
    let error = decode_message::<LogRecord>(&bytes).expect_err("the message is too long");
    assert!(error.to_string().contains("exceed the limit"), "{error}");
}

#[test]
fn arbitrary_bytes_never_panic() {
    let config = Config { rng_seed: RngSeed::Fixed(11), ..Config::default() };
    let bytes = prop::collection::vec(any::<u8>(), 0..256);
    let outcome = TestRunner::new(config).run(&bytes, |bytes| {
        // A record that decodes by chance encodes to something that decodes to the same record.
        if let Ok(record) = decode_message::<LogRecord>(&bytes) {
            prop_assert_eq!(decode_message(&encode_message(&record)), Ok(record));
        }
        Ok(())
    });
    outcome.expect("no input breaks the decoder");
}
