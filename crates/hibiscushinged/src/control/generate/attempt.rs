//! One attempt at a sample slot: choice of an engine, its stream, resumption and the fill record.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use base::{EventCode, Execution, RouteKey, Span, UpstreamKey, WeightVersion};
use clients::{
    CallError, EngineControl as _, EnginePriority, GenerateRequest, TokenEvent, TokenSource as _,
};
use delivery::{Fingerprint, FingerprintStatus, IsolationRequest};
use membership::{PeerState, stable_hash};
use protocol::{PeerMessage, SampleEntry, WireSampleCopy};
use rollout::{SampleFilled, SampleRecord, SpanTracker};
use routing::{PickRequest, RequestOutcome};
use smallvec::{SmallVec, smallvec};
use tokio::sync::oneshot;

use crate::{
    clock::wall_now,
    control::{
        Control,
        generate::{SampleAttempt, SampleWork},
        sample_store::StoreOutcome,
        slots::is_heard,
        streams::SAMPLE_STREAM,
    },
    telemetry::log_event,
};

/// Engines that one attempt may go through before its slot is placed anew.
const MAX_ENGINES: u32 = 4;

/// Engines that are looked at for one choice. The picker compares a few of them each time.
const MAX_PICKS: usize = 8;

/// Wait before an attempt that found no engine or failed is given up. It bounds how often a slot
/// without any engine is placed.
const PAUSE: Duration = Duration::from_millis(300);

/// Peers that are asked to hold a copy before a node holds its sample alone.
const MAX_COPIES: usize = 4;

/// Longest wait of a suspect for an engine of its own.
const ISOLATION_WAIT: Span = Span::from_secs(10);

/// Bytes of a prompt that make up its prefix.
const PREFIX_BYTES: usize = 256;

/// How many versions the trainer may be further when the sample is delivered, if its bound allows.
const LEAD: u64 = 1;

/// What an attempt has made so far.
#[derive(Default)]
struct Progress {
    text: String,
    tracker: SpanTracker,
}

/// How an exchange with an engine ended.
enum ExchangeEnd {
    Whole,
    Broken(CallError),
    Cancelled,
}

impl Control {
    /// Runs an attempt to its end.
    pub(super) async fn run_attempt(
        self: Rc<Self>,
        attempt: Rc<SampleAttempt>,
        work: SampleWork,
        avoid: Option<UpstreamKey>,
    ) {
        let made = self.make_sample(&attempt, &work, avoid).await;
        {
            let actual = made.as_ref().map_or(0, |progress| progress.tracker.tokens());
            let mut state = self.state();
            let trainer_scheduler = &mut state.samples.generation.trainer_scheduler;
            trainer_scheduler.reconcile(
                attempt.slot.trainer,
                work.max_tokens.into(),
                actual.into(),
            );
        }
        let filled = match made {
            Some(progress) => self.fill_slot(&attempt, progress).await,
            None => false,
        };
        // The slot stays with the attempt until its fill record is read back.
        if !filled {
            if !attempt.cancelled.get() {
                actix_rt::time::sleep(PAUSE).await;
            }
            self.end_attempt(&attempt);
        }
    }

    /// Makes the sample, on several engines when streams break. `None` when it was cancelled, no
    /// engine could take it, or what there is of it became stale.
    async fn make_sample(
        self: &Rc<Self>,
        attempt: &Rc<SampleAttempt>,
        work: &SampleWork,
        avoid: Option<UpstreamKey>,
    ) -> Option<Progress> {
        let mut progress = Progress::default();
        let mut tried: SmallVec<[UpstreamKey; 4]> = avoid.into_iter().collect();
        let fingerprint = Fingerprint::of(&work.trainer, "samples", work.prompt.as_bytes());
        for exchange in 0..MAX_ENGINES {
            if attempt.cancelled.get() || self.is_stale(attempt, &progress) {
                return None;
            }
            let (upstream, address) =
                self.choose_engine(attempt, work, fingerprint, &tried).await?;
            self.note_placed(attempt, upstream, progress.tracker.tokens());
            let offset = progress.tracker.tokens();
            let left = work.max_tokens.saturating_sub(offset);
            let started = {
                let now = self.now();
                self.state().samples.generation.stragglers.started(now, attempt.slot, upstream);
                let mut scheduler = self.shared.scheduler();
                scheduler.start(now, wall_now(), upstream, left, Some(fingerprint))
            };
            let id = self.stream_id(attempt, exchange);
            let end = self.exchange(attempt, work, &id, address, &mut progress).await;
            let tokens = progress.tracker.tokens();
            let work_end = match end {
                ExchangeEnd::Whole => RequestOutcome::Completed { tokens: tokens - offset },
                ExchangeEnd::Broken(_) | ExchangeEnd::Cancelled => RequestOutcome::Failed,
            };
            let now = self.now();
            self.shared.scheduler().finish(now, started, work_end);
            match end {
                ExchangeEnd::Whole => {
                    self.handle_suspect_event(delivery::SuspectEvent::Finished {
                        upstream,
                        fingerprint,
                    });
                    self.stop_losers(now, attempt, tokens);
                    return (!self.is_stale(attempt, &progress)).then_some(progress);
                }
                ExchangeEnd::Cancelled => {
                    self.handle_suspect_event(delivery::SuspectEvent::Finished {
                        upstream,
                        fingerprint,
                    });
                    // The closed connection tells the engine as well.
                    let _ = self.engines.cancel(address, &id).await;
                    return None;
                }
                ExchangeEnd::Broken(error) => {
                    let slot = self.state().samples.slot_text(attempt.slot);
                    let upstream_name = self.upstream_name(upstream);
                    tracing::info!(slot, upstream = upstream_name, tokens, %error, "stream broke");
                    self.state().samples.generation.stragglers.failed(attempt.slot, upstream);
                    self.check_crash(upstream, fingerprint).await;
                    attempt.upstream.set(None);
                    tried.push(upstream);
                }
            }
        }
        None
    }

    /// Reads one stream. Tokens that arrived stay in `progress` when it breaks.
    async fn exchange(
        &self,
        attempt: &SampleAttempt,
        work: &SampleWork,
        id: &str,
        address: SocketAddr,
        progress: &mut Progress,
    ) -> ExchangeEnd {
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
            () = attempt.cancel.notified() => return ExchangeEnd::Cancelled,
        };
        let mut tokens = match opened {
            Ok(tokens) => tokens,
            Err(error) => return ExchangeEnd::Broken(error),
        };
        loop {
            let event = tokio::select! {
                event = tokens.next() => event,
                () = attempt.cancel.notified() => return ExchangeEnd::Cancelled,
            };
            match event {
                Ok(Some(TokenEvent::Token { index, text, version })) => {
                    // The client checks that tokens follow each other, so this cannot fail.
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
                Ok(Some(TokenEvent::End { .. }) | None) => return ExchangeEnd::Whole,
                Err(error) => return ExchangeEnd::Broken(error),
            }
        }
    }

    /// Chooses an engine whose sample will not be stale at delivery.
    async fn choose_engine(
        self: &Rc<Self>,
        attempt: &SampleAttempt,
        work: &SampleWork,
        fingerprint: Fingerprint,
        tried: &[UpstreamKey],
    ) -> Option<(UpstreamKey, SocketAddr)> {
        let status = self.shared.scheduler().fingerprint_status(wall_now(), fingerprint);
        let chosen = match status {
            FingerprintStatus::Convicted { .. } => None,
            FingerprintStatus::Suspect => self.isolated_engine(work, fingerprint).await,
            FingerprintStatus::Clear => {
                let (version, bound) = self.trainer_version(attempt.slot)?;
                let lead = LEAD.min(bound);
                // An older engine makes a sample that is valid now, which beats an idle engine.
                let fresh = self.pick_engine(work, tried, version, bound, lead);
                fresh.or_else(|| self.pick_engine(work, tried, version, bound, 0))
            }
        };
        let upstream = chosen?;
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

    /// Waits for an engine of its own, as a request that may crash engines must. All samples of a
    /// group are suspects together, since their prompt is what may crash an engine.
    async fn isolated_engine(
        self: &Rc<Self>,
        work: &SampleWork,
        fingerprint: Fingerprint,
    ) -> Option<UpstreamKey> {
        let now = self.now();
        let (reply, answer) = oneshot::channel();
        let request = self.shared.next_request_id();
        let isolation = IsolationRequest {
            request,
            fingerprint,
            // No route leads to samples.
            route: RouteKey(u32::MAX),
            deadline: now + ISOLATION_WAIT,
            execution: Execution::MayHaveRun,
            upstreams: SmallVec::new(),
        };
        let actions = self.shared.scheduler().request_isolation(
            now,
            wall_now(),
            &work.service,
            isolation,
            reply,
        );
        self.spread(actions);
        answer.await.ok()?.ok()
    }

    fn note_placed(&self, attempt: &SampleAttempt, upstream: UpstreamKey, offset: u32) {
        let slot = self.state().samples.slot_text(attempt.slot);
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

    /// Tells whether the tokens so far can no longer be delivered.
    fn is_stale(&self, attempt: &SampleAttempt, progress: &Progress) -> bool {
        let oldest = progress.tracker.spans().iter().map(|span| span.version.0).min();
        let Some(oldest) = oldest else { return false };
        let stated = self.trainer_version(attempt.slot);
        stated.is_none_or(|(version, bound)| oldest + bound < version.0)
    }

    /// Returns the peers to ask for a copy: the replica holder of this node, then other zones.
    fn copy_targets(&self) -> Vec<SocketAddr> {
        let state = self.state();
        let table = &state.peers.table;
        let own_zone = &table.own_identity().zone;
        let others = table.iter().filter(|(key, peer)| {
            *key != table.own() && peer.state == PeerState::Live && is_heard(&peer.vm)
        });
        let mut others =
            others.map(|(key, peer)| (peer.vm.zone == *own_zone, key)).collect::<Vec<_>>();
        others.sort_unstable();
        let keys = table.replica_holder().into_iter().chain(others.into_iter().map(|(_, key)| key));
        keys.take(MAX_COPIES).filter_map(|key| state.peers.address(key)).collect()
    }

    /// Keeps the bytes on two nodes and appends the fill record. Returns whether it was appended.
    async fn fill_slot(self: &Rc<Self>, attempt: &SampleAttempt, progress: Progress) -> bool {
        let Progress { text, tracker } = progress;
        let sample = self.state().writer.next_id(SAMPLE_STREAM);
        let now = self.now();
        let kept = self.state().samples.store.insert(now, sample, text.clone());
        if kept == StoreOutcome::Full || tracker.tokens() == 0 {
            self.state().samples.store.remove(sample);
            return false;
        }
        let mut holders = smallvec![self.shared.incarnation];
        let copy = WireSampleCopy { sample: sample.into(), text };
        let digest = stable_hash(&copy.text);
        let copy = PeerMessage::SampleCopy(copy);
        // A node without any peer holds its samples alone.
        for address in self.copy_targets() {
            if let Some(PeerMessage::Done(holder)) = self.ask_peer(address, &copy).await {
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
