//! A training step with groups of samples.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::{Value, json};

use super::StepResult;
use crate::demo::{
    account::PromiseAccount,
    caller::CallerAsk,
    world::{DemoWorld, TRAINER, observe},
};

const GROUPS: u64 = 3;
const IN_GROUP: u64 = 4;
const TOKENS: u64 = 40;

/// Entries by delivery number, as a trainer received them.
type Received = BTreeMap<u64, Value>;

pub(super) async fn run(world: &mut DemoWorld, account: &mut PromiseAccount) -> StepResult {
    let held = engine_versions(world);
    let version = held.last().copied().ok_or("no engine reports a version")?;
    let prompts = (0..GROUPS).map(|_| world.generation(0).prompt).collect::<Vec<_>>();
    let body = json!({
        "step": 1, "version": version, "prompts": prompts, "samples_per_group": IN_GROUP,
        "max_tokens": TOKENS,
    });
    let ask = CallerAsk {
        daemon: world.daemons[0].addresses.listen,
        path: "trainers/layouts/steps",
        key: Some(world.trainer_key.clone()),
        idempotency_key: None,
        body: body.to_string(),
    };
    let answer = world.caller.call(&ask).await;
    if answer.status != 200 {
        return Err(format!("the step was not opened: {}", answer.body));
    }

    let wanted = GROUPS * IN_GROUP;
    let mut received = Received::new();
    let mut repeated = 0;
    for daemon in (0..world.daemons.len()).cycle().skip(1) {
        let after = received.last_key_value().map_or(0, |(number, _)| *number);
        let entries = fetch(world, daemon, after, version).await;
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
    account.check(
        "A step's samples reach the trainer, each once",
        slots == wanted && samples.len() as u64 == wanted && repeated == 0,
        format!(
            "{GROUPS} groups of {IN_GROUP} asked; {} samples of {slots} slots came, {repeated} \
             repeated",
            samples.len()
        ),
    );

    let held = engine_versions(world).union(&held).copied().collect::<BTreeSet<_>>();
    let named = samples.iter().flat_map(|entry| entry["versions"].as_array().into_iter().flatten());
    let named = named.filter_map(|span| span["version"].as_u64()).collect::<BTreeSet<_>>();
    let covered = samples.iter().filter(|entry| covers_all_tokens(entry)).count();
    account.check(
        "Each sample names the weight versions that produced it",
        covered == samples.len() && !named.is_empty() && named.is_subset(&held),
        format!(
            "{covered} of {} samples name a version for each token; named {named:?}, engines held \
             {held:?}",
            samples.len()
        ),
    );

    let mut again = Received::new();
    while again.len() < received.len() {
        let after = again.last_key_value().map_or(0, |(number, _)| *number);
        let entries = fetch(world, 0, after, version).await;
        if entries.is_empty() {
            break;
        }
        again.extend(entries);
    }
    let same = received.iter().filter(|(number, entry)| again.get(number) == Some(entry)).count();
    account.check(
        "A delivery number brings the same sample again",
        same == received.len() && again.len() == received.len(),
        format!("{same} of {} numbers brought the same entry at another daemon", received.len()),
    );
    Ok(())
}

/// Fetches what follows a delivery number. Nothing came when the result is empty.
async fn fetch(world: &DemoWorld, daemon: usize, after: u64, version: u64) -> Received {
    let path = format!("/v1/trainers/{TRAINER}/samples?after={after}&version={version}");
    let address = world.daemons[daemon].addresses.listen;
    let read = || async {
        let answer = world.caller.get(address, &path, &world.trainer_key).await;
        let value = answer.lines().pop().unwrap_or_default();
        let entries = value["samples"].as_array().cloned().unwrap_or_default();
        let numbered = entries.into_iter().filter_map(|entry| {
            let number = entry["number"].as_u64()?;
            Some((number, entry))
        });
        numbered.collect::<Received>()
    };
    observe(read, |entries| !entries.is_empty()).await
}

fn engine_versions(world: &DemoWorld) -> BTreeSet<u64> {
    let inspected = world.engines.iter().map(stand_ins::Engine::inspect);
    inspected.filter_map(|view| view["version"].as_u64()).collect()
}

/// Tells whether the named versions cover the sample's tokens without gap.
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
