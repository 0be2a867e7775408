//! A training step: groups of samples, their weight versions, and repeated delivery.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::{Value, json};

use super::StepResult;
use crate::demo::{
    caller::CallerRequest,
    checks::PromiseChecks,
    deployment::{DemoDeployment, TRAINER, poll_until},
};

const GROUPS: u64 = 3;
const SAMPLES_PER_GROUP: u64 = 4;
const SAMPLE_TOKENS: u64 = 40;

/// Samples and voids by delivery number, as a trainer received them.
type Received = BTreeMap<u64, Value>;

pub(super) async fn run(deployment: &mut DemoDeployment, checks: &mut PromiseChecks) -> StepResult {
    let loaded = engine_versions(deployment);
    let version = loaded.last().copied().ok_or("no engine reports a version")?;
    let prompts = (0..GROUPS).map(|_| deployment.generation(0).prompt).collect::<Vec<_>>();
    let body = json!({
        "step": 1, "version": version, "prompts": prompts, "samples_per_group": SAMPLES_PER_GROUP,
        "max_tokens": SAMPLE_TOKENS,
    });
    let request = CallerRequest {
        daemon: deployment.daemons[0].addresses.listen,
        path: "trainers/layouts/steps",
        key: Some(deployment.trainer_key.clone()),
        idempotency_key: None,
        body: body.to_string(),
    };
    let response = deployment.caller.call(&request).await;
    if response.status != 200 {
        return Err(format!("the step was not opened: {}", response.body));
    }

    let wanted = GROUPS * SAMPLES_PER_GROUP;
    let mut received = Received::new();
    let mut repeated = 0;
    for daemon in (0..deployment.daemons.len()).cycle().skip(1) {
        let after = received.last_key_value().map_or(0, |(number, _)| *number);
        let entries = fetch(deployment, daemon, after, version).await;
        if entries.is_empty() {
            break;
        }
        for (number, entry) in entries {
            repeated += usize::from(received.insert(number, entry).is_some());
        }
        if received.values().filter(|entry| entry["void"].is_null()).count() as u64 >= wanted {
            break;
        }
    }
    let samples = received.values().filter(|entry| entry["void"].is_null()).collect::<Vec<_>>();
    let slots = samples.iter().map(|entry| (entry["group"].as_u64(), entry["index"].as_u64()));
    let slots = slots.collect::<BTreeSet<_>>().len() as u64;
    checks.record(
        "A step's samples reach the trainer, each once",
        slots == wanted && samples.len() as u64 == wanted && repeated == 0,
        format!(
            "{GROUPS} groups of {SAMPLES_PER_GROUP} asked; {} samples of {slots} slots came, \
             {repeated} repeated",
            samples.len()
        ),
    );

    let loaded = engine_versions(deployment).union(&loaded).copied().collect::<BTreeSet<_>>();
    let named = samples.iter().flat_map(|entry| entry["versions"].as_array().into_iter().flatten());
    let named = named.filter_map(|span| span["version"].as_u64()).collect::<BTreeSet<_>>();
    let covered = samples.iter().filter(|entry| covers_all_tokens(entry)).count();
    checks.record(
        "Each sample names the weight versions that produced it",
        covered == samples.len() && !named.is_empty() && named.is_subset(&loaded),
        format!(
            "{covered} of {} samples name a version for each token; named {named:?}, engines held \
             {loaded:?}",
            samples.len()
        ),
    );

    let mut refetched = Received::new();
    while refetched.len() < received.len() {
        let after = refetched.last_key_value().map_or(0, |(number, _)| *number);
        let entries = fetch(deployment, 0, after, version).await;
        if entries.is_empty() {
            break;
        }
        refetched.extend(entries);
    }
    let same =
        received.iter().filter(|(number, entry)| refetched.get(number) == Some(entry)).count();
    checks.record(
        "A delivery number brings the same sample again",
        same == received.len() && refetched.len() == received.len(),
        format!("{same} of {} numbers brought the same entry at another daemon", received.len()),
    );
    Ok(())
}

/// Fetches the entries after a delivery number, and polls until there are some. The result is empty
/// when none came before the timeout.
async fn fetch(deployment: &DemoDeployment, daemon: usize, after: u64, version: u64) -> Received {
    let path = format!("/v1/trainers/{TRAINER}/samples?after={after}&version={version}");
    let address = deployment.daemons[daemon].addresses.listen;
    let read = || async {
        let response = deployment.caller.get(address, &path, &deployment.trainer_key).await;
        let value = response.lines().pop().unwrap_or_default();
        let entries = value["samples"].as_array().cloned().unwrap_or_default();
        let numbered = entries.into_iter().filter_map(|entry| {
            let number = entry["number"].as_u64()?;
            Some((number, entry))
        });
        numbered.collect::<Received>()
    };
    poll_until(read, |entries| !entries.is_empty()).await
}

fn engine_versions(deployment: &DemoDeployment) -> BTreeSet<u64> {
    let inspected = deployment.engines.iter().map(stand_ins::Engine::inspect);
    inspected.filter_map(|view| view["version"].as_u64()).collect()
}

/// Returns whether the weight versions of a sample cover its tokens without gaps.
fn covers_all_tokens(entry: &Value) -> bool {
    let mut next = 0;
    for span in entry["versions"].as_array().into_iter().flatten() {
        if span["from"].as_u64() != Some(next) {
            return false;
        }
        next = span["to"].as_u64().unwrap_or_default();
    }
    let words = entry["text"].as_str().unwrap_or_default().split_whitespace().count();
    next == words as u64 && Some(next) == entry["tokens"].as_u64()
}
