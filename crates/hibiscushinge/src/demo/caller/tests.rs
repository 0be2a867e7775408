use serde_json::json;
use stand_ins::token_text;

use super::{CallerAnswer, GenerateAsk};

/// Judges a whole answer of three tokens after `change` has damaged it.
fn check(change: impl Fn(&mut Vec<serde_json::Value>), expected: Result<(), &str>) {
    let ask = GenerateAsk { prompt: String::from("a sleeve"), max_tokens: 3, seed: 4 };
    let token = |index| json!({ "index": index, "token": token_text(4, "a sleeve", index) });
    let mut lines = (0..3).map(token).collect::<Vec<_>>();
    lines.push(json!({ "end": true, "tokens": 3, "prompt_tokens": 2 }));
    change(&mut lines);
    let body = lines.iter().map(|line| format!("{line}\n")).collect();
    let result = ask.judge(&CallerAnswer { status: 200, body, ..CallerAnswer::default() });
    match expected {
        Ok(()) => assert_eq!(result, Ok(())),
        Err(part) => {
            assert!(result.as_ref().is_err_and(|fault| fault.contains(part)), "{result:?}");
        }
    }
}

/// Guards against a demo that takes a damaged answer for a whole one.
#[test]
fn damaged_answers_are_not_whole() {
    check(|_| (), Ok(()));
    check(|lines| drop(lines.remove(1)), Err("token 1 should be"));
    check(|lines| lines.insert(1, lines[0].clone()), Err("token 1 should be"));
    check(|lines| lines[2]["token"] = json!("hop1 "), Err("token 2 should be"));
    check(|lines| drop(lines.pop()), Err("3 tokens, then"));
    check(|lines| lines[3]["tokens"] = json!(4), Err("3 tokens, then"));
    check(|lines| drop(lines.remove(2)), Err("2 tokens, then"));
    check(|lines| *lines = vec![json!({ "end": true, "tokens": 0 })], Err("0 tokens of 3"));
    check(Vec::clear, Err("0 tokens, then"));
}
