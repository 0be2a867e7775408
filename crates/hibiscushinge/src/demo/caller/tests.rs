use serde_json::json;
use stand_ins::token_text;

use super::{CallerResponse, GenerationRequest};

/// Verifies a response of three tokens that `change` has altered.
fn check_verification(change: impl Fn(&mut Vec<serde_json::Value>), expected: Result<(), &str>) {
    let request = GenerationRequest { prompt: String::from("a sleeve"), max_tokens: 3, seed: 4 };
    let token = |index| json!({ "index": index, "token": token_text(4, "a sleeve", index) });
    let mut lines = (0..3).map(token).collect::<Vec<_>>();
    lines.push(json!({ "end": true, "tokens": 3, "prompt_tokens": 2 }));
    change(&mut lines);
    let body = lines.iter().map(|line| format!("{line}\n")).collect();
    let result = request.verify(&CallerResponse { status: 200, body, ..CallerResponse::default() });
    match expected {
        Ok(()) => assert_eq!(result, Ok(())),
        Err(part) => {
            assert!(result.as_ref().is_err_and(|mismatch| mismatch.contains(part)), "{result:?}");
        }
    }
}

/// Guards against a demo that accepts an incomplete or altered response.
#[test]
fn damaged_responses_are_reported() {
    check_verification(|_| (), Ok(()));
    check_verification(|lines| drop(lines.remove(1)), Err("token 1 should be"));
    check_verification(|lines| lines.insert(1, lines[0].clone()), Err("token 1 should be"));
    check_verification(|lines| lines[2]["token"] = json!("hop1 "), Err("token 2 should be"));
    check_verification(|lines| drop(lines.pop()), Err("3 tokens, then"));
    check_verification(|lines| lines[3]["tokens"] = json!(4), Err("3 tokens, then"));
    check_verification(|lines| drop(lines.remove(2)), Err("2 tokens, then"));
    check_verification(
        |lines| *lines = vec![json!({ "end": true, "tokens": 0 })],
        Err("0 tokens of 3"),
    );
    check_verification(Vec::clear, Err("0 tokens, then"));
}
