//! `edit`, `promote`, `diff` and `show`, run as processes.

mod common;

use serde_json::{Value, json};
use stand_ins::Platform;

use common::{example_document, exit_and_output, platform, run_tool, wait_for, write_file};

/// Guards against a second operator's change that overwrites the first one.
#[actix_rt::test]
async fn one_of_two_edits_on_the_same_base_wins() {
    let platform = platform();
    let address = platform.address().to_string();
    let common = ["edit", "--platform", &address, "--environment", "trial", "--base"];
    let first = write_file(&example_document());
    let created = run_tool(&[&common[..], &["0", &first]].concat()).await;
    assert_eq!(exit_and_output(&created).0, 0, "{created:?}");

    let changed = [
        write_file(&example_document().replace("\"5m\"", "\"6m\"")),
        write_file(&format!("{}\n", example_document())),
    ];
    let (one, other) = (
        [&common[..], &["1", &changed[0]]].concat(),
        [&common[..], &["1", "--json", &changed[1]]].concat(),
    );
    let (one, other) = tokio::join!(run_tool(&one), run_tool(&other));
    let (one, other) = (exit_and_output(&one), exit_and_output(&other));
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
    let shown = run_tool(&["show", "--platform", &address, "--environment", "trial"]).await;
    let (code, text, version) = exit_and_output(&shown);
    assert_eq!((code, text), (0, std::fs::read_to_string(winner).unwrap()));
    assert_eq!(version, "version 2 of trial\n");
}

/// Guards against a promotion that copies another text than that of the reviewed trial document.
#[actix_rt::test]
async fn promotion_copies_the_trial_document() {
    let platform = platform();
    let address = platform.address().to_string();
    let platform_args = ["--platform", &address];
    let text = write_file(&example_document());
    let edit = |environment| {
        [&["edit"], &platform_args[..], &["--environment", environment, &text]].concat()
    };
    let (code, _, base) = exit_and_output(&run_tool(&edit("trial")).await);
    assert_eq!((code, base.as_str()), (0, "building on version 0 of trial\n"));

    let missing =
        run_tool(&[&["promote"], &platform_args[..], &["--from", "rehearsal"]].concat()).await;
    assert_eq!(exit_and_output(&missing).0, 1, "{missing:?}");
    let stale = run_tool(&[&["promote"], &platform_args[..], &["--version", "4"]].concat()).await;
    assert_eq!(exit_and_output(&stale).0, 3, "{stale:?}");
    let promoted = run_tool(&[&["promote"], &platform_args[..]].concat()).await;
    let (code, result, _) = exit_and_output(&promoted);
    assert_eq!((code, result.as_str()), (0, "accepted: version 1 of production\n"));
    let (code, shown, _) =
        exit_and_output(&run_tool(&[&["show"], &platform_args[..]].concat()).await);
    assert_eq!((code, shown), (0, example_document()));
}

/// Guards against a difference that is left out, or shown with the sides reversed.
#[actix_rt::test]
async fn diff_shows_removed_and_added_lines() {
    let platform = platform();
    let address = platform.address().to_string();
    let platform_args = ["--platform", &address];
    let text = write_file(&example_document());
    let edit =
        run_tool(&[&["edit"], &platform_args[..], &["--environment", "trial", &text]].concat())
            .await;
    assert_eq!(exit_and_output(&edit).0, 0, "{edit:?}");

    let same = run_tool(&[&["diff"], &platform_args[..], &["trial", &text]].concat()).await;
    let (code, shown, _) = exit_and_output(&same);
    assert!(code == 0 && shown.contains("are the same"), "{shown}");
    let changed =
        write_file(&example_document().replace("usage_window = \"5m\"", "usage_window = \"7m\""));
    let differs = run_tool(&[&["diff"], &platform_args[..], &["trial", &changed]].concat()).await;
    let (code, shown, _) = exit_and_output(&differs);
    assert_eq!(code, 0);
    for line in ["-usage_window = \"5m\"", "+usage_window = \"7m\"", "trial (version 1)"] {
        assert!(shown.contains(line), "{shown}");
    }
    let json =
        run_tool(&[&["diff"], &platform_args[..], &["--json", "trial", &changed]].concat()).await;
    let json = serde_json::from_slice::<Value>(&json.stdout).unwrap();
    assert_eq!(json["changes"].as_array().map(Vec::len), Some(2), "{json}");
    assert_eq!(json["changes"][0]["change"], "removed");
}

/// Guards against an invalid document that is reported as accepted, and against a failure with the
/// exit code of a conflict.
#[actix_rt::test]
async fn failures_have_their_exit_codes() {
    let platform = platform();
    let address = platform.address().to_string();
    let invalid = write_file("environment = \"trial\"\n");
    let edit = ["edit", "--platform", &address, "--environment", "trial"];
    let (code, _, error) = exit_and_output(&run_tool(&[&edit[..], &[&invalid]].concat()).await);
    assert!(code == 1 && error.contains("time_zone"), "{error}");
    let (code, _, error) = exit_and_output(&run_tool(&["show", "--platform", &address]).await);
    assert!(code == 1 && error.contains("hibiscushinge edit"), "{error}");
    let (code, _, error) = exit_and_output(&run_tool(&edit).await);
    assert!(code == 2 && error.contains("file"), "{error}");
    platform.stop().await;
    let (code, _, error) = exit_and_output(&run_tool(&["show", "--platform", &address]).await);
    assert!(code == 1 && error.contains("log is unavailable"), "{error}");
}

/// Guards against an edit that is reported as failed because responses of the log were lost.
#[actix_rt::test]
async fn edit_is_accepted_once_although_responses_are_lost() {
    let platform = platform();
    set_fault(&platform, &json!({ "lose_append_answers": 8 })).await;
    let address = platform.address().to_string();
    let file = write_file(&example_document());
    let edit = ["edit", "--platform", &address, "--environment", "trial", "--base", "0", &file];
    let (code, _, error) = exit_and_output(&run_tool(&edit).await);
    assert_eq!(code, 0, "{error}");
    let shown = run_tool(&["show", "--platform", &address, "--environment", "trial"]).await;
    assert_eq!(exit_and_output(&shown).2, "version 1 of trial\n");
}

/// Guards against a command that fails because one read of the log failed.
#[actix_rt::test]
async fn show_repeats_a_failed_read() {
    let platform = platform();
    let address = platform.address().to_string();
    let file = write_file(&example_document());
    let edit = ["edit", "--platform", &address, "--environment", "trial", "--base", "0", &file];
    assert_eq!(exit_and_output(&run_tool(&edit).await).0, 0);

    set_fault(&platform, &json!({ "log_down": true })).await;
    let reads = || platform.inspect()["reads"].as_u64().unwrap();
    let reads_before = reads();
    let show = ["show", "--platform", &address, "--environment", "trial"];
    let end_outage = async {
        let failed_read = async || (reads() > reads_before).then_some(());
        wait_for("a failed read", failed_read).await;
        set_fault(&platform, &json!({ "log_down": false })).await;
    };
    let (shown, ()) = tokio::join!(run_tool(&show), end_outage);
    assert_eq!(exit_and_output(&shown).2, "version 1 of trial\n");
}

async fn set_fault(platform: &Platform, change: &Value) {
    let url = format!("http://{}/faults", platform.address());
    let response = awc::Client::new().post(url).send_json(change).await.unwrap();
    assert!(response.status().is_success(), "the platform refused {change}");
}
