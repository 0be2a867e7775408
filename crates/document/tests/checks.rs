//! Validation of documents and settings when they are loaded.

use base::Span;
use document::{
    BufferBounds, DaemonSettings, EnvironmentDocument, FencingCheck, IsolatedKeyPolicy,
    LeaseSettings, TimeoutSettings,
};
use rstest::rstest;

const SMALL_DOCUMENT: &str = r#"
environment = "trial"
time_zone = "Australia/Hobart"

[[zones]]
name = "hobart-a"
region = "tas-south"
entry_vms = 4

[[services]]
name = "drafts"
kind = "model"

[[services]]
name = "scorer"
kind = "plain"

[[pools]]
service = "drafts"
zone = "hobart-a"
min_count = 1
max_count = 4
price_cents_per_hour = 250
startup = "90s"
speed = 900
fencing = "checked"

[[routes]]
path = "drafts"
service = "drafts"
max_deadline = "2m"

[[customers]]
name = "brewers"
keys = ["0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"]
weight = 1
tokens_per_second = 500
requests_per_second = 20

[[trainers]]
name = "layouts"
key = "fedcba9876543210fedcba9876543210fedcba9876543210fedcba9876543210"
service = "drafts"
staleness_bound = 2
min_group = 4
max_group = 16
scorer = "scorer"
"#;

const SETTINGS: &str = r#"
vm_name = "entry-1"
zone = "hobart-a"
environment = "trial"
listen = "127.0.0.1:8080"
peer = "127.0.0.1:8081"
admin = "127.0.0.1:8082"
platform = "127.0.0.1:7000"
traffic_threads = 2
"#;

/// Replaces `from` by `to` in the small document, and checks that the problems begin and end as
/// expected.
fn check_problems(from: &str, to: &str, expected: &[(&str, &str)]) {
    assert!(SMALL_DOCUMENT.contains(from), "the small document does not contain {from:?}");
    let text = SMALL_DOCUMENT.replacen(from, to, 1);
    let problems = EnvironmentDocument::parse("trial.toml", &text).unwrap_err();
    let found = problems.iter().map(ToString::to_string).collect::<Vec<_>>();
    assert_eq!(found.len(), expected.len(), "{found:#?}");
    for (line, (location, allowed)) in found.iter().zip(expected) {
        assert!(line.starts_with(&format!("trial.toml:{location}")), "{line}");
        assert!(line.ends_with(allowed), "{line}");
    }
}

/// Guards against defaults of optional keys that differ from those in docs/design.md.
#[test]
fn small_document_and_settings_load_with_defaults() {
    let document = EnvironmentDocument::parse("trial.toml", SMALL_DOCUMENT).unwrap();
    assert_eq!(document.keys_when_isolated, IsolatedKeyPolicy::ServeFor(Span::from_secs(300)));
    assert_eq!(document.max_swapping_share, 0.34);
    assert_eq!(document.pools[0].startup, Span::from_secs(90));
    assert!(!document.routes[0].idempotent && !document.routes[0].open);
    let settings = DaemonSettings::parse("daemon.toml", SETTINGS).unwrap();
    assert_eq!(settings.lease.term, Span::from_secs(10));
    assert_eq!(settings.bounds.log_records, 10_000);
    assert_eq!(settings.platform_fencing, FencingCheck::Ignored);
    let text = format!("platform_fencing = \"checked\"\n{SETTINGS}");
    let settings = DaemonSettings::parse("daemon.toml", &text).unwrap();
    assert_eq!(settings.platform_fencing, FencingCheck::Checked);
}

/// Guards against an invalid value that is accepted, or whose problem lacks the line, the key or
/// the allowed values.
#[rstest]
#[case::unknown_key("entry_vms = 4", "entry_vms = 4\nentry_vm = 5",
    &[("9: key `zones[0].entry_vm`: value (unknown key)", "one of the keys name, region, entry_vms")])]
#[case::unit_missing("\"90s\"", "\"90\"",
    &[("24: key `pools[0].startup`: value \"90\"", "units us, ms, s, m, h")])]
#[case::unit_wrong("\"90s\"", "\"90 sec\"",
    &[("24: key `pools[0].startup`: value \"90 sec\"", "units us, ms, s, m, h")])]
#[case::number_without_unit("\"90s\"", "90",
    &[("24: key `pools[0].startup`: value 90", "units us, ms, s, m, h")])]
#[case::out_of_range("entry_vms = 4", "entry_vms = 0",
    &[("8: key `zones[0].entry_vms`: value 0", "an integer from 1 to 10000")])]
#[case::max_below_min("min_count = 1", "min_count = 9",
    &[("22: key `pools[0].max_count`: value 4", "not below min_count, which is 9")])]
#[case::unknown_reference("zone = \"hobart-a\"", "zone = \"hobart-b\"",
    &[("20: key `pools[0].zone`: value \"hobart-b\"", "one of \"hobart-a\"")])]
#[case::scorer_must_be_plain("scorer = \"scorer\"", "scorer = \"drafts\"",
    &[("47: key `trainers[0].scorer`: value \"drafts\"", "one of \"scorer\"")])]
#[case::key_instead_of_digest("0123456789abcdef0", "my-secret-key",
    &[("35: key `customers[0].keys[0]`: value (not shown)", "64 hexadecimal digits, the SHA-256 of a key")])]
#[case::unknown_time_zone("Australia/Hobart", "Australia/Hobert",
    &[("3: key `time_zone`: value \"Australia/Hobert\"", "such as \"Europe/Oslo\"")])]
#[case::missing_key("weight = 1", "",
    &[("33: key `customers[0].weight`", "from 1 to 1000; the key is required")])]
#[case::duplicate_name("\"scorer\"\nkind", "\"drafts\"\nkind", &[
    ("15: key `services[1].name`", "a name that no other entry of this list has"),
    ("47: key `trainers[0].scorer`", "one of \"drafts\""),
])]
#[case::syntax("[[zones]]", "[[zones]", &[("5: key `(syntax)`", "")])]
fn invalid_document_is_refused(
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected: &[(&str, &str)],
) {
    check_problems(from, to, expected);
}

/// Guards against an example document that no longer loads.
#[rstest]
#[case::derwent("derwent.toml", include_str!("../../../examples/derwent.toml"), 11)]
#[case::hmla("hmla.toml", include_str!("../../../examples/hmla.toml"), 10)]
fn example_document_loads(#[case] file: &str, #[case] text: &str, #[case] entry_vms: u32) {
    let document = EnvironmentDocument::parse(file, text).unwrap();
    assert_eq!(document.zones.iter().map(|zone| zone.entry_vms).sum::<u32>(), entry_vms);
    assert_eq!(document.customers.len(), 8);
}

/// Guards against an example whose values differ from the defaults that it claims to show.
#[test]
fn example_settings_show_the_defaults() {
    let text = include_str!("../../../examples/daemon.toml");
    let settings = DaemonSettings::parse("daemon.toml", text).unwrap();
    assert_eq!(settings.bounds, BufferBounds::default());
    assert_eq!(settings.timeouts, TimeoutSettings::default());
    assert_eq!(settings.lease, LeaseSettings::default());
}

/// Guards against validation that stops at the first problem.
#[test]
fn all_problems_are_reported_at_once() {
    let text = SMALL_DOCUMENT.replace("\"90s\"", "\"soon\"").replace("weight = 1", "weight = -1");
    let text = text.replace("kind = \"plain\"", "kind = \"odd\"");
    let problems = EnvironmentDocument::parse("trial.toml", &text).unwrap_err();
    let keys = problems.iter().map(|problem| problem.key.as_str()).collect::<Vec<_>>();
    for key in ["services[1].kind", "pools[0].startup", "customers[0].weight"] {
        assert!(keys.contains(&key), "{keys:?}");
    }
}

/// Guards against a lease whose holder stops using it before it would renew it.
#[test]
fn lease_term_not_above_renewal_plus_margin_is_refused() {
    let text = format!("{SETTINGS}[lease]\nterm = \"5s\"\n");
    let problems = DaemonSettings::parse("daemon.toml", &text).unwrap_err();
    assert_eq!(problems.len(), 1, "{problems:?}");
    assert_eq!(problems[0].key, "lease.term");
}

/// Guards against a panic, or a problem without line, key or allowed values, when any one line is
/// missing.
#[test]
fn document_without_one_line_loads_or_is_refused_with_a_location() {
    for omitted in 0..SMALL_DOCUMENT.lines().count() {
        let lines = SMALL_DOCUMENT.lines().enumerate().filter(|(index, _)| *index != omitted);
        let text = lines.map(|(_, line)| format!("{line}\n")).collect::<String>();
        let Err(problems) = EnvironmentDocument::parse("trial.toml", &text) else {
            continue;
        };
        let lines = text.lines().count();
        assert!(!problems.is_empty(), "line {omitted}");
        for problem in problems {
            assert!((1..=lines + 1).contains(&problem.line), "line {omitted}: {problem}");
            assert!(!problem.key.is_empty() && !problem.allowed.is_empty(), "{problem}");
        }
    }
}
