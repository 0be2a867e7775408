//! Records of the stream `demand`.

// The wire fields correspond to those of the domain types, which are documented there.
#![allow(missing_docs)]

use fleet::{DemandKey, DemandSnapshot, SLOTS_PER_WEEK, WorkClass};

use crate::codec::{MalformedMessage, StreamRecord, wire};

wire! {
    /// A record of the stream `demand`: the learned weekly demand of one service, zone and class of
    /// work.
    pub enum WireDemand {
        /// A snapshot, written by the lease holder of the scope `fleet`. `means` has one mean for
        /// each slot of the week, in thousandths, or `u32::MAX` for a slot without observations.
        Carry {
            service: String,
            zone: String,
            class: WireWorkClass,
            time_zone: String,
            means: Vec<u32>,
        },
    }

    #[derive(Copy)]
    pub enum WireWorkClass {
        Live,
        Samples,
    }
}

impl StreamRecord for DemandSnapshot {
    type Wire = WireDemand;

    fn from_wire(wire: WireDemand) -> Result<Self, MalformedMessage> {
        let WireDemand::Carry { service, zone, class, time_zone, means } = wire;
        if means.len() != usize::from(SLOTS_PER_WEEK) {
            let slots = means.len();
            return Err(MalformedMessage::new(format!(
                "a demand snapshot has {slots} slots instead of {SLOTS_PER_WEEK}"
            )));
        }
        let class = match class {
            WireWorkClass::Live => WorkClass::Live,
            WireWorkClass::Samples => WorkClass::Samples,
        };
        Ok(Self { key: DemandKey { service, zone, class }, time_zone, means })
    }
}

impl From<&DemandSnapshot> for WireDemand {
    fn from(snapshot: &DemandSnapshot) -> Self {
        let DemandSnapshot { key, time_zone, means } = snapshot.clone();
        let class = match key.class {
            WorkClass::Live => WireWorkClass::Live,
            WorkClass::Samples => WireWorkClass::Samples,
        };
        Self::Carry { service: key.service, zone: key.zone, class, time_zone, means }
    }
}
