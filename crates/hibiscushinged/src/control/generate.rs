//! Generation of samples: placement of open slots, attempts on engines and reruns of stragglers.
//!
//! Each open slot is owned by one live node. When two nodes both take a slot for theirs, because
//! their views of the membership differ, both generate a sample and the first `Filled` record in
//! log order wins.

mod attempt;

use std::{
    cell::Cell,
    collections::{BTreeMap, VecDeque},
    rc::Rc,
};

use base::{EventCode, Moment, Span, UpstreamKey, WeightVersion};
use rollout::{
    CostBenefitRule, OpenSlot, SlotKey, StragglerAction, StragglerDetector, TrainerId,
    TrainerScheduler,
};
use tokio::sync::Notify;

use crate::{
    control::{
        Control,
        slots::{SlotOwners, slot_hash},
    },
    shared::NodePhase,
    telemetry::log_event,
};

/// Maximum number of slots that this node runs at once. Two trainers with 2,048 samples a step need
/// 13 on each of 320 nodes.
const MAX_SLOTS: usize = 64;

/// Maximum number of slots that this node runs at once while live requests are queued: about 10% of
/// [`MAX_SLOTS`], the share that is guaranteed to samples.
const MAX_SLOTS_UNDER_LOAD: usize = 6;

/// Time between two scans of all open slots when no slot was opened. A scan compares the nodes for
/// each slot, which takes milliseconds at 4,096 slots and 320 nodes.
const SCAN_PERIOD: Span = Span::from_secs(2);

/// Expected bytes of one token of text, to reserve space in the store before a sample is generated.
const BYTES_PER_TOKEN: usize = 8;

/// Slots that this node runs or is to run.
pub(crate) struct GenerationDriver {
    pub(crate) trainer_scheduler: TrainerScheduler,
    pub(crate) stragglers: StragglerDetector<CostBenefitRule>,
    running: BTreeMap<SlotKey, SlotRun>,
    /// Open slots that this node owns and does not run, by trainer.
    queued_slots: BTreeMap<TrainerId, VecDeque<OpenSlot>>,
    owners: Option<SlotOwners>,
    next_scan: Moment,
    last_attempt: u64,
}

/// A slot with its running attempts.
struct SlotRun {
    generation: u32,
    attempts: Vec<Rc<SampleAttempt>>,
}

/// One attempt at a slot. It resumes on another engine when a stream fails.
pub(crate) struct SampleAttempt {
    slot: SlotKey,
    generation: u32,
    number: u64,
    upstream: Cell<Option<UpstreamKey>>,
    cancelled: Cell<bool>,
    cancel: Notify,
}

/// Parameters of the sample that an attempt generates.
#[derive(Debug, Clone)]
pub(crate) struct SampleWork {
    service: String,
    prompt: String,
    max_tokens: u32,
    seed: u64,
}

impl GenerationDriver {
    pub(crate) fn new() -> Self {
        Self {
            trainer_scheduler: TrainerScheduler::default(),
            stragglers: StragglerDetector::new(CostBenefitRule::default()),
            running: BTreeMap::new(),
            queued_slots: BTreeMap::new(),
            owners: None,
            next_scan: Moment(0),
            last_attempt: 0,
        }
    }

    /// Makes the next placement scan all open slots, after slots were opened or freed.
    pub(crate) fn request_scan(&mut self) {
        self.next_scan = Moment(0);
    }

    /// Removes a slot from the queue of its trainer.
    fn dequeue(&mut self, slot: SlotKey) {
        if let Some(slots) = self.queued_slots.get_mut(&slot.trainer) {
            slots.retain(|open| open.slot != slot);
        }
    }

    pub(crate) fn running_slots(&self) -> Vec<SlotKey> {
        self.running.keys().copied().collect()
    }

    pub(crate) fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Removes the next slot to place from the queues. The trainer is chosen by fair queueing.
    fn next_slot(&mut self) -> Option<OpenSlot> {
        let Self { trainer_scheduler, queued_slots, .. } = self;
        let trainer = trainer_scheduler
            .select(|id| queued_slots.get(&id).is_some_and(|slots| !slots.is_empty()))?;
        queued_slots.get_mut(&trainer)?.pop_front()
    }

    fn add_attempt(&mut self, open: OpenSlot, work: &SampleWork) -> Rc<SampleAttempt> {
        self.trainer_scheduler.charge(open.slot.trainer, u64::from(work.max_tokens));
        self.last_attempt += 1;
        let attempt = Rc::new(SampleAttempt {
            slot: open.slot,
            generation: open.generation,
            number: self.last_attempt,
            upstream: Cell::new(None),
            cancelled: Cell::new(false),
            cancel: Notify::new(),
        });
        let run = self
            .running
            .entry(open.slot)
            .or_insert_with(|| SlotRun { generation: open.generation, attempts: Vec::new() });
        run.attempts.push(Rc::clone(&attempt));
        attempt
    }
}

impl SampleAttempt {
    fn stop(&self) {
        self.cancelled.set(true);
        self.cancel.notify_one();
    }
}

impl Control {
    /// Starts attempts at open slots that this node owns, up to the limit of running slots.
    pub(crate) fn place_samples(self: &Rc<Self>, now: Moment, owners: &SlotOwners) {
        if self.shared.phase() != NodePhase::Serving {
            return;
        }
        let live_callers_wait = self.shared.scheduler().queued_tokens() > 0;
        let limit = if live_callers_wait { MAX_SLOTS_UNDER_LOAD } else { MAX_SLOTS };
        self.scan_slots(now, owners);
        loop {
            let next = {
                let mut state = self.state();
                let generation = &mut state.samples.generation;
                if generation.running_count() >= limit {
                    return;
                }
                generation.next_slot()
            };
            let Some(open) = next else { return };
            let Some(work) = self.sample_work(open) else { continue };
            if !self.has_room(&work) {
                return;
            }
            let attempt = self.state().samples.generation.add_attempt(open, &work);
            actix_rt::spawn(Rc::clone(self).run_attempt(attempt, work, None));
        }
    }

    /// Queues the open slots that this node owns when the set of live nodes has changed, a scan was
    /// requested or [`SCAN_PERIOD`] has passed.
    fn scan_slots(&self, now: Moment, owners: &SlotOwners) {
        let mut state = self.state();
        let samples = &mut state.samples;
        let generation = &mut samples.generation;
        let is_same = generation.owners.as_ref().is_some_and(|known| known.is_same(owners));
        if is_same && generation.next_scan > now {
            return;
        }
        generation.next_scan = now + SCAN_PERIOD;
        generation.owners = Some(owners.clone());
        generation.queued_slots.clear();
        for (trainer, _) in samples.table.trainers() {
            let open = samples.table.open_slots(trainer);
            let open = open.filter(|open| {
                !generation.running.contains_key(&open.slot) && owners.owns(open.slot)
            });
            generation.queued_slots.insert(trainer, open.collect());
        }
    }

    fn sample_work(&self, open: OpenSlot) -> Option<SampleWork> {
        let entry = self.trainer_entry(open.slot.trainer)?;
        let state = self.state();
        let step_prompts = state.samples.step_prompts.get(&(open.slot.trainer, open.slot.step))?;
        Some(SampleWork {
            service: entry.service,
            prompt: step_prompts.prompts.get(open.slot.group as usize)?.clone(),
            max_tokens: step_prompts.max_tokens,
            // Samples of a group must differ, and so must a replacement from the voided sample.
            seed: base::rendezvous_weight(slot_hash(open.slot), u64::from(open.generation)),
        })
    }

    /// Returns whether the store has space for the samples of all running slots and of one more.
    /// Evicts acknowledged samples where needed.
    fn has_room(&self, work: &SampleWork) -> bool {
        let mut state = self.state();
        let samples = &mut state.samples;
        let sample_bytes = (work.max_tokens as usize).saturating_mul(BYTES_PER_TOKEN);
        samples.store.make_room(sample_bytes.saturating_mul(samples.generation.running_count() + 1))
    }

    /// Starts a second attempt on another engine for slots whose attempt is a straggler.
    pub(crate) fn rerun_stragglers(self: &Rc<Self>, now: Moment) {
        let actions = {
            let mut state = self.state();
            let generation = &mut state.samples.generation;
            let free_slots = MAX_SLOTS.saturating_sub(generation.running_count());
            generation.stragglers.poll(now, free_slots)
        };
        for action in actions {
            let StragglerAction::Rerun { slot, avoid } = action else { continue };
            let open = {
                let state = self.state();
                let run = state.samples.generation.running.get(&slot);
                run.map(|run| OpenSlot { slot, generation: run.generation })
            };
            let Some(open) = open else { continue };
            let Some(work) = self.sample_work(open) else { continue };
            let (name, late) = (self.state().samples.slot_name(slot), self.upstream_name(avoid));
            log_event!(StragglerRerun, slot = name, late);
            self.trace(name, EventCode::StragglerRerun, format!("the attempt on {late} is late"));
            let attempt = self.state().samples.generation.add_attempt(open, &work);
            actix_rt::spawn(Rc::clone(self).run_attempt(attempt, work, Some(avoid)));
        }
    }

    /// Stops all attempts at a slot that is filled or no longer needed, and removes the slot.
    pub(crate) fn end_slot(&self, slot: SlotKey) {
        let mut state = self.state();
        let generation = &mut state.samples.generation;
        generation.dequeue(slot);
        // All attempts are stopped below, so the detector's list of them is not needed.
        let _ = generation.stragglers.cancel_slot(slot);
        let Some(run) = generation.running.remove(&slot) else { return };
        for attempt in run.attempts {
            attempt.stop();
        }
    }

    /// Removes an ended attempt. When it was the slot's last one, the slot is queued again.
    fn end_attempt(&self, attempt: &SampleAttempt) {
        let mut state = self.state();
        let generation = &mut state.samples.generation;
        let Some(run) = generation.running.get_mut(&attempt.slot) else { return };
        run.attempts.retain(|other| other.number != attempt.number);
        if run.attempts.is_empty() {
            generation.running.remove(&attempt.slot);
            let open = OpenSlot { slot: attempt.slot, generation: attempt.generation };
            generation.queued_slots.entry(attempt.slot.trainer).or_default().push_back(open);
        }
    }

    /// Stops the other attempts at a slot after `winner` has completed.
    fn cancel_other_attempts(&self, now: Moment, winner: &SampleAttempt, tokens: u32) {
        let mut state = self.state();
        let generation = &mut state.samples.generation;
        if let Some(upstream) = winner.upstream.get() {
            // The attempts to stop are taken from the slot's run below.
            let _ = generation.stragglers.finished(now, winner.slot, upstream, tokens);
        }
        let Some(run) = generation.running.get(&winner.slot) else { return };
        for attempt in run.attempts.iter().filter(|other| other.number != winner.number) {
            attempt.stop();
        }
    }

    /// Returns the weight version that the slot's trainer stated last, and its staleness bound.
    fn trainer_version(&self, slot: SlotKey) -> Option<(WeightVersion, u64)> {
        self.state().samples.table.stated_version(slot.trainer)
    }
}
