//! Seeded fault schedules: several nodes follow one log, and a trainer counts stale, double, lost
//! and wrong samples among those it receives.

mod node;
mod trainer;
mod world;

use serde::Deserialize;

pub(crate) use self::world::run_schedule;

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct FaultScenario {
    pub(crate) schedules: u64,
    pub(crate) nodes: usize,
    pub(crate) engines: usize,
    pub(crate) streams_per_engine: usize,
    pub(crate) tokens_per_second: f64,
    pub(crate) mean_tokens: u32,
    pub(crate) groups: u32,
    pub(crate) samples_per_group: u32,
    pub(crate) steps: u64,
    pub(crate) staleness_bound: u64,
    pub(crate) fault_seconds: f64,
    pub(crate) limit_seconds: f64,
}

/// Violations that the trainer counted and faults that were injected, of one schedule or summed
/// over several.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct FaultOutcome {
    /// Samples delivered beyond the staleness bound, by the weight versions that the engines really
    /// had.
    pub(crate) stale: u64,
    /// Slots of which the trainer held two valid samples at once.
    pub(crate) double: u64,
    /// Slots without a sample at the end.
    pub(crate) lost: u64,
    /// Delivery numbers that were bound to two samples.
    pub(crate) rebound: u64,
    /// Samples whose version spans differ from the versions that the engines really used.
    pub(crate) wrong_spans: u64,
    /// Nodes whose sample table differed from that of the first node at the end.
    pub(crate) different_books: u64,
    /// Schedules with any of the violations above.
    pub(crate) dirty_schedules: u64,
    /// Samples delivered.
    pub(crate) delivered: u64,
    /// Void delivery numbers that the trainer received.
    pub(crate) voids: u64,
    /// This and the following fields count injected faults.
    pub(crate) holders_killed: u64,
    pub(crate) nodes_cut_off: u64,
    pub(crate) appends_late: u64,
    pub(crate) append_answers_lost: u64,
    pub(crate) answers_lost: u64,
    pub(crate) swaps_in_stream: u64,
    pub(crate) engines_reclaimed: u64,
    pub(crate) outages: u64,
    /// Returns of the trainer to its checkpoint.
    pub(crate) asked_again: u64,
    pub(crate) scoring_failures: u64,
}

impl FaultOutcome {
    /// Returns whether the trainer received every slot exactly once, within the staleness bound and
    /// with the true weight versions, and all nodes agree on the sample table.
    pub(crate) const fn is_clean(&self) -> bool {
        let violations = self.stale + self.double + self.lost + self.rebound + self.wrong_spans;
        violations + self.different_books == 0
    }

    pub(crate) const fn add(&mut self, other: &Self) {
        self.stale += other.stale;
        self.double += other.double;
        self.lost += other.lost;
        self.rebound += other.rebound;
        self.wrong_spans += other.wrong_spans;
        self.different_books += other.different_books;
        self.delivered += other.delivered;
        self.voids += other.voids;
        self.holders_killed += other.holders_killed;
        self.nodes_cut_off += other.nodes_cut_off;
        self.appends_late += other.appends_late;
        self.append_answers_lost += other.append_answers_lost;
        self.answers_lost += other.answers_lost;
        self.swaps_in_stream += other.swaps_in_stream;
        self.engines_reclaimed += other.engines_reclaimed;
        self.outages += other.outages;
        self.asked_again += other.asked_again;
        self.scoring_failures += other.scoring_failures;
    }

    /// Returns the rows of the report: schedules with a violation, deliveries and injected faults.
    /// The counts of each violation are reported as targets.
    pub(crate) fn rows(&self) -> Vec<(&'static str, u64)> {
        vec![
            ("schedules with a wrong count", self.dirty_schedules),
            ("samples delivered", self.delivered),
            ("void numbers told", self.voids),
            ("holders killed", self.holders_killed),
            ("nodes cut off", self.nodes_cut_off),
            ("appends that took effect late", self.appends_late),
            ("lost append answers", self.append_answers_lost),
            ("lost answers to the trainer", self.answers_lost),
            ("streams with a swap", self.swaps_in_stream),
            ("engines reclaimed", self.engines_reclaimed),
            ("outages of log or store", self.outages),
            ("returns to a checkpoint", self.asked_again),
            ("scoring failures", self.scoring_failures),
        ]
    }
}
