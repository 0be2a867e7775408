//! One attempt at a sample slot: it picks an engine, reads its token stream, resumes on another
//! engine after a failure, stores the sample and appends the `Filled` record.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use base::{EventCode, UpstreamKey, WeightVersion};
use clients::{
    CallError, EngineControl as _, EnginePriority, GenerateRequest, TokenEvent, TokenSource as _,
};
use membership::{PeerState, stable_hash};
use protocol::{PeerMessage, SampleEntry, WireSampleCopy};
use rollout::{SampleFilled, SampleRecord, SpanTracker};
use routing::{PickRequest, RequestOutcome};
use smallvec::{SmallVec, smallvec};

use crate::{
    clock::wall_now,
    control::{
        Control,
        generate::{SampleAttempt, SampleWork},
        sample_store::StoreOutcome,
        slots::has_reported,
        streams::SAMPLE_STREAM,
    },
    telemetry::log_event,
};

/// Maximum number of engines that one attempt uses before it ends and its slot is placed again.
const MAX_ENGINES: u32 = 4;

/// Maximum number of picks for one choice of an engine. An engine that may not take the sample is
/// excluded from the next pick.
const MAX_PICKS: usize = 8;

/// Delay before a failed attempt ends. It limits how often a slot is placed while no engine can
/// take it.
const FAILED_ATTEMPT_DELAY: Duration = Duration::from_millis(300);

/// Maximum number of peers that are asked to hold a copy. If none does, the node holds its sample
/// alone.
const MAX_COPY_REQUESTS: usize = 4;

/// Length of the prompt prefix that is hashed for cache affinity, in bytes.
const PREFIX_BYTES: usize = 256;

/// Versions that the trainer is assumed to advance before the sample is delivered, at most its
/// staleness bound.
const MAX_VERSION_LEAD: u64 = 1;

/// Text and tokens that an attempt has generated so far.
#[derive(Default)]
struct Progress {
    text: String,
    tracker: SpanTracker,
}

/// How an exchange with an engine ended.
enum ExchangeOutcome {
    Completed,
    Failed(CallError),
    Cancelled,
}

impl Control {
    /// Runs an attempt until its `Filled` record is appended or it fails or is cancelled. `avoid`
    /// is the engine of a straggling attempt at the same slot.
    pub(super) async fn run_attempt(
        self: Rc<Self>,
        attempt: Rc<SampleAttempt>,
        work: SampleWork,
        avoid: Option<UpstreamKey>,
    ) {
        let generated = self.generate_sample(&attempt, &work, avoid).await;
        {
            let actual = generated.as_ref().map_or(0, |progress| progress.tracker.tokens());
            let mut state = self.state();
            let trainer_scheduler = &mut state.samples.generation.trainer_scheduler;
            trainer_scheduler.reconcile(
                attempt.slot.trainer,
                work.max_tokens.into(),
                actual.into(),
            );
        }
        let filled = match generated {
            Some(progress) => self.fill_slot(&attempt, progress).await,
            None => false,
        };
        // After an append the slot stays in `running` until the `Filled` record is read back.
        if !filled {
            if !attempt.cancelled.get() {
                actix_rt::time::sleep(FAILED_ATTEMPT_DELAY).await;
            }
            self.end_attempt(&attempt);
        }
    }

    /// Generates the sample, resuming on another engine after a failed stream. Returns `None` when
    /// the attempt was cancelled, no engine could take it, or its tokens became stale.
    async fn generate_sample(
        self: &Rc<Self>,
        attempt: &Rc<SampleAttempt>,
        work: &SampleWork,
        avoid: Option<UpstreamKey>,
    ) -> Option<Progress> {
        let mut progress = Progress::default();
        let mut tried: SmallVec<[UpstreamKey; 4]> = avoid.into_iter().collect();
        for exchange in 0..MAX_ENGINES {
            if attempt.cancelled.get() || self.is_stale(attempt, &progress) {
                return None;
            }
            let (upstream, address) = self.choose_engine(attempt, work, &tried)?;
            self.record_placement(attempt, upstream, progress.tracker.tokens());
            let offset = progress.tracker.tokens();
            let remaining_tokens = work.max_tokens.saturating_sub(offset);
            let in_flight = {
                let now = self.now();
                self.state().samples.generation.stragglers.started(now, attempt.slot, upstream);
                let mut scheduler = self.shared.scheduler();
                // Samples are owed whatever happens to their engines, so they are never suspects.
                scheduler.start(now, wall_now(), upstream, remaining_tokens, None)
            };
            let id = self.stream_id(attempt, exchange);
            let exchange_outcome = self.exchange(attempt, work, &id, address, &mut progress).await;
            let tokens = progress.tracker.tokens();
            let outcome = match exchange_outcome {
                ExchangeOutcome::Completed => RequestOutcome::Completed { tokens: tokens - offset },
                ExchangeOutcome::Failed(_) | ExchangeOutcome::Cancelled => RequestOutcome::Failed,
            };
            let now = self.now();
            self.shared.scheduler().finish(now, in_flight, outcome);
            match exchange_outcome {
                ExchangeOutcome::Completed => {
                    self.cancel_other_attempts(now, attempt, tokens);
                    return (!self.is_stale(attempt, &progress)).then_some(progress);
                }
                ExchangeOutcome::Cancelled => {
                    // The result is ignored: the engine also stops when the connection closes.
                    let _ = self.engines.cancel(address, &id).await;
                    return None;
                }
                ExchangeOutcome::Failed(error) => {
                    let slot = self.state().samples.slot_name(attempt.slot);
                    let upstream_name = self.upstream_name(upstream);
                    tracing::info!(
                        slot,
                        upstream = upstream_name,
                        tokens,
                        %error,
                        "token stream failed; the attempt resumes if it may use another engine"
                    );
                    self.state().samples.generation.stragglers.failed(attempt.slot, upstream);
                    self.check_crash(upstream, None).await;
                    attempt.upstream.set(None);
                    tried.push(upstream);
                }
            }
        }
        None
    }

    /// Reads one token stream from an engine. After a failure, `progress` keeps the received
    /// tokens.
    async fn exchange(
        &self,
        attempt: &SampleAttempt,
        work: &SampleWork,
        id: &str,
        address: SocketAddr,
        progress: &mut Progress,
    ) -> ExchangeOutcome {
        let request = GenerateRequest {
            id: String::from(id),
            prompt: work.prompt.clone(),
            max_tokens: work.max_tokens,
            offset: progress.tracker.tokens(),
            seed: work.seed,
            priority: EnginePriority::Sample,
        };
        let opened = tokio::select! {
            opened = self.engines.generate(address, &request) => opened,
            () = attempt.cancel.notified() => return ExchangeOutcome::Cancelled,
        };
        let mut tokens = match opened {
            Ok(tokens) => tokens,
            Err(error) => return ExchangeOutcome::Failed(error),
        };
        loop {
            let event = tokio::select! {
                event = tokens.next() => event,
                () = attempt.cancel.notified() => return ExchangeOutcome::Cancelled,
            };
            match event {
                Ok(Some(TokenEvent::Token { index, text, version })) => {
                    // The client rejects tokens out of sequence, so this cannot fail.
                    if progress.tracker.append(index, 1, version).is_err() {
                        continue;
                    }
                    progress.text.push_str(&text);
                    let count = progress.tracker.tokens();
                    if let Some(upstream) = attempt.upstream.get() {
                        let mut state = self.state();
                        state.samples.generation.stragglers.progress(attempt.slot, upstream, count);
                    }
                }
                Ok(Some(TokenEvent::End { .. }) | None) => return ExchangeOutcome::Completed,
                Err(error) => return ExchangeOutcome::Failed(error),
            }
        }
    }

    /// Chooses an engine whose weights keep the sample within the trainer's staleness bound.
    fn choose_engine(
        &self,
        attempt: &SampleAttempt,
        work: &SampleWork,
        tried: &[UpstreamKey],
    ) -> Option<(UpstreamKey, SocketAddr)> {
        let (version, bound) = self.trainer_version(attempt.slot)?;
        let lead = MAX_VERSION_LEAD.min(bound);
        // Prefers engines whose sample stays valid if the trainer advances meanwhile. Otherwise an
        // older engine whose sample is valid now is better than leaving it idle.
        let fresh = self.pick_engine(work, tried, version, bound, lead);
        let upstream = fresh.or_else(|| self.pick_engine(work, tried, version, bound, 0))?;
        let (_, _, address) = self.engine_target(upstream)?;
        attempt.upstream.set(Some(upstream));
        Some((upstream, address))
    }

    fn pick_engine(
        &self,
        work: &SampleWork,
        tried: &[UpstreamKey],
        version: WeightVersion,
        bound: u64,
        lead: u64,
    ) -> Option<UpstreamKey> {
        let mut avoid = SmallVec::<[UpstreamKey; 8]>::from_slice(tried);
        let prefix = &work.prompt.as_bytes()[..work.prompt.len().min(PREFIX_BYTES)];
        let prefix = stable_hash(&String::from_utf8_lossy(prefix));
        for _ in 0..MAX_PICKS {
            let request = PickRequest {
                tokens: work.max_tokens,
                prompt_tokens: (work.prompt.len() / 4) as u32,
                prefix: Some(prefix),
                min_version: Some(WeightVersion((version.0 + lead).saturating_sub(bound))),
                avoid: &avoid,
            };
            let choice = self.shared.scheduler().pick(self.now(), &work.service, &request)?;
            if self.state().weights.may_take(choice.upstream, version, bound, lead) {
                return Some(choice.upstream);
            }
            avoid.push(choice.upstream);
        }
        None
    }

    fn record_placement(&self, attempt: &SampleAttempt, upstream: UpstreamKey, offset: u32) {
        let slot = self.state().samples.slot_name(attempt.slot);
        let name = self.upstream_name(upstream);
        let generation = attempt.generation;
        log_event!(SamplePlaced, slot, upstream = name, generation, offset);
        let detail = format!("{name} from token {offset}");
        self.trace(slot, EventCode::SamplePlaced, detail);
    }

    fn stream_id(&self, attempt: &SampleAttempt, exchange: u32) -> String {
        let node = self.shared.incarnation.0;
        format!("{node:016x}-s{:x}-{exchange}", attempt.number)
    }

    /// Returns whether the oldest token exceeds the trainer's staleness bound, so that the sample
    /// cannot be delivered.
    fn is_stale(&self, attempt: &SampleAttempt, progress: &Progress) -> bool {
        let oldest = progress.tracker.spans().iter().map(|span| span.version.0).min();
        let Some(oldest) = oldest else { return false };
        let stated = self.trainer_version(attempt.slot);
        stated.is_none_or(|(version, bound)| oldest + bound < version.0)
    }

    /// Returns the peers to ask to hold a copy: first this node's replica holder, then peers in
    /// other zones, then the rest.
    fn copy_targets(&self) -> Vec<SocketAddr> {
        let state = self.state();
        let table = &state.peers.table;
        let own_zone = &table.own_identity().zone;
        let others = table.iter().filter(|(key, peer)| {
            *key != table.own() && peer.state == PeerState::Live && has_reported(&peer.vm)
        });
        let mut others =
            others.map(|(key, peer)| (peer.vm.zone == *own_zone, key)).collect::<Vec<_>>();
        others.sort_unstable();
        let keys = table.replica_holder().into_iter().chain(others.into_iter().map(|(_, key)| key));
        keys.take(MAX_COPY_REQUESTS).filter_map(|key| state.peers.address(key)).collect()
    }

    /// Stores the sample on this node and one peer, and appends the `Filled` record. Returns
    /// whether it was appended.
    async fn fill_slot(self: &Rc<Self>, attempt: &SampleAttempt, progress: Progress) -> bool {
        let Progress { text, tracker } = progress;
        let sample = self.state().writer.next_id(SAMPLE_STREAM);
        let now = self.now();
        let stored = self.state().samples.store.insert(now, sample, text.clone());
        if stored == StoreOutcome::Full || tracker.tokens() == 0 {
            self.state().samples.store.remove(sample);
            return false;
        }
        let mut holders = smallvec![self.shared.incarnation];
        let copy = WireSampleCopy { sample: sample.into(), text };
        let digest = stable_hash(&copy.text);
        let copy = PeerMessage::SampleCopy(copy);
        // When no peer takes a copy, this node holds the sample alone.
        for address in self.copy_targets() {
            if let Some(PeerMessage::Done(holder)) = self.call_peer(address, &copy).await {
                holders.push(base::Incarnation(holder));
                break;
            }
        }
        let record = SampleRecord::Filled(SampleFilled {
            slot: attempt.slot,
            generation: attempt.generation,
            sample,
            spans: tracker.spans().iter().copied().collect(),
            tokens: tracker.tokens(),
            digest,
            holders,
        });
        let entry = SampleEntry::Record { record, step_prompts: None };
        if self.append_with_id(SAMPLE_STREAM, sample, &entry).is_err() {
            self.state().samples.store.remove(sample);
            return false;
        }
        true
    }
}
