//! `edit`, `promote`, `diff` and `show` as operators run them.

mod common;

use serde_json::Value;

use common::{example, file, parts, platform, tool};

/// Guards against a second operator's change that overwrites the first one.
#[actix_rt::test]
async fn one_of_two_edits_on_the_same_base_wins() {
    let platform = platform();
    let address = platform.address().to_string();
    let common = ["edit", "--platform", &address, "--environment", "trial", "--base"];
    let first = file(&example());
    let created = tool(&[&common[..], &["0", &first]].concat()).await;
    assert_eq!(parts(&created).0, 0, "{created:?}");

    let changed = [file(&example().replace("\"5m\"", "\"6m\"")), file(&format!("{}\n", example()))];
    let (one, other) = (
        [&common[..], &["1", &changed[0]]].concat(),
        [&common[..], &["1", "--json", &changed[1]]].concat(),
    );
    let (one, other) = tokio::join!(tool(&one), tool(&other));
    let (one, other) = (parts(&one), parts(&other));
    let mut codes = [one.0, other.0];
    codes.sort_unstable();
    assert_eq!(codes, [0, 3], "{one:?} {other:?}");
    if one.0 == 3 {
        assert!(one.2.contains("trial is at version 2"), "{one:?}");
        assert!(one.2.contains("--base 2"), "the message says what to do: {one:?}");
    } else {
        let result = serde_json::from_str::<Value>(&other.1).unwrap();
        assert_eq!((&result["outcome"], &result["winner"]), (&"conflict".into(), &2.into()));
    }

    let winner = if one.0 == 0 { &changed[0] } else { &changed[1] };
    let shown = tool(&["show", "--platform", &address, "--environment", "trial"]).await;
    let (code, text, version) = parts(&shown);
    assert_eq!((code, text), (0, std::fs::read_to_string(winner).unwrap()));
    assert_eq!(version, "version 2 of trial\n");
}

/// Guards against a promotion that copies something else than the reviewed trial document.
#[actix_rt::test]
async fn promotion_copies_the_trial_document() {
    let platform = platform();
    let address = platform.address().to_string();
    let on = ["--platform", &address];
    let text = file(&example());
    let edit = |environment| [&["edit"], &on[..], &["--environment", environment, &text]].concat();
    let (code, _, base) = parts(&tool(&edit("trial")).await);
    assert_eq!((code, base.as_str()), (0, "building on version 0 of trial\n"));

    let missing = tool(&[&["promote"], &on[..], &["--from", "rehearsal"]].concat()).await;
    assert_eq!(parts(&missing).0, 1, "{missing:?}");
    let stale = tool(&[&["promote"], &on[..], &["--version", "4"]].concat()).await;
    assert_eq!(parts(&stale).0, 3, "{stale:?}");
    let promoted = tool(&[&["promote"], &on[..]].concat()).await;
    let (code, result, _) = parts(&promoted);
    assert_eq!((code, result.as_str()), (0, "accepted: version 1 of production\n"));
    let (code, shown, _) = parts(&tool(&[&["show"], &on[..]].concat()).await);
    assert_eq!((code, shown), (0, example()));
}

/// Guards against a difference that is left out, or shown with the sides reversed.
#[actix_rt::test]
async fn difference_names_removed_and_added_lines() {
    let platform = platform();
    let address = platform.address().to_string();
    let on = ["--platform", &address];
    let text = file(&example());
    let edit = tool(&[&["edit"], &on[..], &["--environment", "trial", &text]].concat()).await;
    assert_eq!(parts(&edit).0, 0, "{edit:?}");

    let same = tool(&[&["diff"], &on[..], &["trial", &text]].concat()).await;
    let (code, shown, _) = parts(&same);
    assert!(code == 0 && shown.contains("are the same"), "{shown}");
    let changed = file(&example().replace("usage_window = \"5m\"", "usage_window = \"7m\""));
    let differs = tool(&[&["diff"], &on[..], &["trial", &changed]].concat()).await;
    let (code, shown, _) = parts(&differs);
    assert_eq!(code, 0);
    for line in ["-usage_window = \"5m\"", "+usage_window = \"7m\"", "trial (version 1)"] {
        assert!(shown.contains(line), "{shown}");
    }
    let json = tool(&[&["diff"], &on[..], &["--json", "trial", &changed]].concat()).await;
    let json = serde_json::from_slice::<Value>(&json.stdout).unwrap();
    assert_eq!(json["changes"].as_array().map(Vec::len), Some(2), "{json}");
    assert_eq!(json["changes"][0]["change"], "removed");
}

/// Guards against a change that is reported as made although the document is invalid, and against a
/// failure that scripts take for a conflict.
#[actix_rt::test]
async fn failures_have_their_exit_codes() {
    let platform = platform();
    let address = platform.address().to_string();
    let invalid = file("environment = \"trial\"\n");
    let edit = ["edit", "--platform", &address, "--environment", "trial"];
    let (code, _, error) = parts(&tool(&[&edit[..], &[&invalid]].concat()).await);
    assert!(code == 1 && error.contains("time_zone"), "{error}");
    let (code, _, error) = parts(&tool(&["show", "--platform", &address]).await);
    assert!(code == 1 && error.contains("hibiscushinge edit"), "{error}");
    let (code, _, error) = parts(&tool(&edit).await);
    assert!(code == 2 && error.contains("file"), "{error}");
    platform.stop().await;
    let (code, _, error) = parts(&tool(&["show", "--platform", &address]).await);
    assert!(code == 1 && error.contains("log is unavailable"), "{error}");
}
