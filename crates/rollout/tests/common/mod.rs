//! Test helpers: `Filled` records and a trainer.

use base::{Incarnation, RecordId, WeightVersion};
use rollout::{
    Delivery, DeliveryNumber, SampleFilled, SampleOutcome, SampleRecord, SampleTable, SlotKey,
    SpanTracker, StepShape, TrainerId, TrainerStated,
};

pub(crate) const TRAINER: TrainerId = TrainerId::from_name("sleeves");

pub(crate) fn slot(index: u32) -> SlotKey {
    SlotKey { trainer: TRAINER, step: 1, group: 0, index }
}

/// Builds a `Filled` record of a sample held by nodes 1 and 2. `spans` are pairs of weight version
/// and number of tokens.
pub(crate) fn filled(
    index: u32,
    generation: u32,
    sequence: u64,
    spans: &[(u64, u32)],
) -> SampleFilled {
    let mut tracker = SpanTracker::default();
    for &(version, tokens) in spans {
        tracker.append(tracker.tokens(), tokens, WeightVersion(version)).unwrap();
    }
    SampleFilled {
        slot: slot(index),
        generation,
        sample: RecordId { writer: Incarnation(1), sequence },
        spans: tracker.spans().into(),
        tokens: tracker.tokens(),
        digest: sequence,
        holders: [Incarnation(1), Incarnation(2)].into_iter().collect(),
    }
}

/// A trainer with a staleness bound of 2 versions whose statements are all valid. It opens its
/// steps at version 10.
pub(crate) struct Trainer {
    pub(crate) id: TrainerId,
    statements: u64,
}

impl Default for Trainer {
    fn default() -> Self {
        Self { id: TRAINER, statements: 0 }
    }
}

impl Trainer {
    pub(crate) fn statement(
        &self,
        acknowledged: u64,
        version: u64,
        opened: Option<StepShape>,
    ) -> TrainerStated {
        TrainerStated {
            trainer: self.id,
            name: String::from("sleeves"),
            follows: self.statements,
            version: WeightVersion(version),
            staleness_bound: 2,
            acknowledged: DeliveryNumber(acknowledged),
            opened,
        }
    }

    pub(crate) fn open(&mut self, table: &mut SampleTable, samples: u32) -> Vec<SampleOutcome> {
        self.open_step(table, 1, samples)
    }

    pub(crate) fn open_step(
        &mut self,
        table: &mut SampleTable,
        step: u64,
        samples: u32,
    ) -> Vec<SampleOutcome> {
        let shape = StepShape { step, groups: 1, samples_per_group: samples };
        let stated = self.statement(step - 1, 10, Some(shape));
        self.statements += 1;
        table.apply(&SampleRecord::Stated(stated)).into_iter().collect()
    }

    pub(crate) fn fetch(
        &mut self,
        table: &mut SampleTable,
        after: u64,
        version: u64,
    ) -> Vec<Delivery> {
        let stated = self.statement(after, version, None);
        self.statements += 1;
        table.apply(&SampleRecord::Stated(stated));
        table
            .deliveries(self.id, self.statements)
            .expect("the statement applied last must be answerable")
    }
}
