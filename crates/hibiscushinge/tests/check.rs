//! `hibiscushinge check`, run as a process.

use std::{
    path::Path,
    process::{Command, Output},
};

use rstest::rstest;
use serde_json::Value;

fn run(arguments: &[&str]) -> Output {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut command = Command::new(env!("CARGO_BIN_EXE_hibiscushinge"));
    command.current_dir(root).args(arguments).output().unwrap()
}

/// Guards against exit codes and output that differ from what scripts rely on.
#[rstest]
#[case::fine(&["check", "examples/derwent.toml"], 0, "examples/derwent.toml: no problems")]
#[case::settings(&["check", "--settings", "examples/daemon.toml"], 0, "no problems")]
#[case::problems(&["check", "examples/daemon.toml"], 1, "key `time_zone`")]
#[case::missing_file(&["check", "examples/none.toml"], 1, "reading the file failed")]
#[case::wrong_use(&["check"], 2, "file")]
#[case::unknown_command(&["chek"], 2, "chek")]
fn check_has_its_exit_code_and_output(
    #[case] arguments: &[&str],
    #[case] code: i32,
    #[case] expected: &str,
) {
    let output = run(arguments);
    let text = [output.stdout, output.stderr].concat();
    let text = String::from_utf8(text).unwrap();
    assert_eq!(output.status.code(), Some(code), "{text}");
    assert!(text.contains(expected), "{text}");
}

/// Guards against JSON output that lacks the result or the kind of the file, or the line, value or
/// allowed keys of a problem.
#[test]
fn json_output_has_every_field() {
    let output = run(&["check", "--json", "examples/daemon.toml"]);
    let result = serde_json::from_slice::<Value>(&output.stdout).unwrap();
    assert_eq!((&result["valid"], &result["kind"]), (&false.into(), &"environment".into()));
    let problems = result["problems"].as_array().unwrap();
    let unknown = problems.iter().find(|problem| problem["key"] == "vm_name").unwrap();
    assert_eq!((&unknown["line"], &unknown["value"]), (&5.into(), &"(unknown key)".into()));
    assert!(unknown["allowed"].as_str().unwrap().contains("time_zone"));
}
