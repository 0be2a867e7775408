//! Checks of the gateway's settings.

use document::GatewaySettings;
use rstest::rstest;

const SETTINGS: &str = r#"
cores = 1
listen = "127.0.0.1:1"
ready = "127.0.0.1:2"
metrics = "127.0.0.1:3"
peer = "127.0.0.1:4"
[store]
address = "127.0.0.1:5"
partitions = 1
reads_per_s = 1000
record_bytes = 262144
call_bytes = 2097152
least_member_life_ms = 1000
[promises]
drain_ms = 2000
grace_s = 8
lease_ms = 3000
window_s = 5
usage_due_s = 10
results_s = 120
settle_ms = 1000
"#;

/// Parses the settings with these lines about regions, for a VM in zone `a`.
fn parse(regions: &str) -> Result<GatewaySettings, String> {
    let text = format!("vm_name = \"vm\"\nzone = \"a\"\n{regions}\n{SETTINGS}");
    GatewaySettings::parse("gateway.toml", &text)
        .map_err(|problems| problems.iter().map(ToString::to_string).collect())
}

/// Guards against a map of zones that is not read in one of its forms, or without which a file of an
/// earlier template is rejected.
#[rstest]
#[case::none("", None, None)]
#[case::region_of_the_vm("region = \"north\"", Some("north"), None)]
#[case::table("zones = { a = \"north\", b = \"south\" }", Some("north"), Some("south"))]
#[case::json(r#"zones = '{"a":"north","b":"south"}'"#, Some("north"), Some("south"))]
#[case::empty_text("region = \"north\"\nzones = ''", Some("north"), None)]
fn regions_are_read(#[case] regions: &str, #[case] own: Option<&str>, #[case] other: Option<&str>) {
    let settings = parse(regions).unwrap();
    assert_eq!((settings.region_of("a"), settings.region_of("b")), (own, other));
    assert_eq!(settings.zone_regions().get("a").map(String::as_str), own);
}

/// Guards against settings by which requests run in the wrong region without notice.
#[rstest]
#[case::other_region("region = \"south\"\nzones = { a = \"north\" }", "key `region`")]
#[case::empty_region("region = \"\"", "key `region`")]
#[case::zone_without_region("zones = { a = \"north\", b = \"\" }", "key `zones.b`")]
#[case::no_json("zones = 'a: north'", "key `zones`")]
#[case::no_table("zones = 7", "")]
fn wrong_regions_are_rejected(#[case] regions: &str, #[case] expected: &str) {
    let problems = parse(regions).unwrap_err();
    assert!(problems.contains(expected), "{problems}");
}

/// Guards against a settings file of an earlier template that is rejected, and against a value that
/// is not used.
#[rstest]
#[case::earlier_template("", 3_000)]
#[case::rendered("stable_ms = 4500\n", 4_500)]
fn stable_time_is_read(#[case] line: &str, #[case] expected_ms: u64) {
    let text = format!("vm_name = \"vm\"\nzone = \"a\"\n{SETTINGS}{line}");
    let settings = GatewaySettings::parse("gateway.toml", &text).unwrap();
    assert_eq!(settings.promises.stable.as_millis(), expected_ms);
}
