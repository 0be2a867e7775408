//! State of the engine stand-in: queue, running generations, prefix cache and weight version.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use clients::wire::{self, Priority};
use serde_json::{Value, json};

use crate::{EngineOptions, lag::LaggingValue, platform::now_ms};

/// Maximum number of request ids and headers that are recorded for `GET /inspect`.
const MAX_RECORDED: usize = 100_000;

#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) load: LaggingValue<wire::EngineLoadReport>,
    pub(crate) tokens_per_second: u32,
    pub(crate) failing_swaps: u32,
    pub(crate) imported_caches: BTreeSet<String>,
    pub(crate) target_version: u64,
    pub(crate) highest_fencing: u64,
    version: u64,
    failed_swaps: u64,
    leaving: bool,
    batch_slowdown: f64,
    max_running: usize,
    max_cached_prefixes: usize,
    next_number: u64,
    entries: BTreeMap<u64, Entry>,
    cached_prefixes: VecDeque<u64>,
    runs: BTreeMap<String, u64>,
    headers: BTreeSet<(String, String)>,
    cancelled: BTreeSet<String>,
    tokens: u64,
}

/// A queued or running generation.
#[derive(Debug)]
struct Entry {
    id: String,
    priority: Priority,
    running: bool,
    /// Index of the next token.
    index: u32,
}

impl EngineState {
    pub(crate) fn new(options: &EngineOptions, now: Instant) -> Self {
        let load = wire::EngineLoadReport {
            running: 0,
            queued: 0,
            tokens_per_second: 0,
            version: options.version,
            leaving: false,
            cached_prefixes: Vec::new(),
            measured_at_ms: now_ms(),
        };
        Self {
            load: LaggingValue::new(options.report_lag, load, now),
            tokens_per_second: options.tokens_per_second,
            failing_swaps: options.failing_swaps,
            imported_caches: BTreeSet::new(),
            target_version: options.version,
            highest_fencing: 0,
            version: options.version,
            failed_swaps: 0,
            leaving: false,
            batch_slowdown: options.batch_slowdown,
            max_running: options.max_running,
            max_cached_prefixes: options.cached_prefixes,
            next_number: 0,
            entries: BTreeMap::new(),
            cached_prefixes: VecDeque::new(),
            runs: BTreeMap::new(),
            headers: BTreeSet::new(),
            cancelled: BTreeSet::new(),
            tokens: 0,
        }
    }

    pub(crate) fn record_headers(&mut self, headers: &[(String, String)]) {
        if self.headers.len() < MAX_RECORDED {
            self.headers.extend(headers.iter().cloned());
        }
    }

    /// Adds a generation to the queue and returns its number, which orders the queue.
    pub(crate) fn enqueue(&mut self, request: &wire::Generate, now: Instant) -> u64 {
        if self.runs.len() < MAX_RECORDED {
            *self.runs.entry(request.id.clone()).or_default() += 1;
        }
        self.cancelled.remove(&request.id);
        let number = self.next_number;
        self.next_number += 1;
        let entry = Entry {
            id: request.id.clone(),
            priority: request.priority,
            running: false,
            index: request.offset,
        };
        self.entries.insert(number, entry);
        self.update_load(now);
        number
    }

    /// Starts a generation if a slot is free and the generation is the first of the queue: live
    /// ones before samples, then in order of arrival.
    pub(crate) fn try_start(&mut self, number: u64, now: Instant) -> bool {
        if self.running_count() >= self.max_running {
            return false;
        }
        let waiting = self.entries.iter().filter(|(_, entry)| !entry.running);
        let first = waiting
            .min_by_key(|(number, entry)| (matches!(entry.priority, Priority::Sample), **number));
        if first.is_none_or(|(first, _)| *first != number) {
            return false;
        }
        if let Some(entry) = self.entries.get_mut(&number) {
            entry.running = true;
        }
        self.update_load(now);
        true
    }

    pub(crate) fn remove(&mut self, number: u64, now: Instant) {
        self.entries.remove(&number);
        self.update_load(now);
    }

    /// Counts a token of a generation and returns the weight version that produced it.
    pub(crate) fn record_token(&mut self, number: u64) -> u64 {
        self.tokens += 1;
        if let Some(entry) = self.entries.get_mut(&number) {
            entry.index += 1;
        }
        self.version
    }

    /// Returns the time per token of each running generation.
    pub(crate) fn token_time(&self) -> Duration {
        let others = self.running_count().saturating_sub(1) as f64;
        let seconds = 1.0 / f64::from(self.tokens_per_second.max(1));
        Duration::from_secs_f64(seconds * self.batch_slowdown.mul_add(others, 1.0))
    }

    /// Returns whether the prefix is in the cache, and makes it the most recently used one.
    pub(crate) fn touch_prefix(&mut self, prefix: u64) -> bool {
        let known = self.cached_prefixes.iter().position(|known| *known == prefix);
        if let Some(index) = known {
            self.cached_prefixes.remove(index);
        }
        self.cached_prefixes.push_back(prefix);
        if self.cached_prefixes.len() > self.max_cached_prefixes {
            self.cached_prefixes.pop_front();
        }
        known.is_some()
    }

    pub(crate) fn cancel(&mut self, id: String) {
        self.cancelled.insert(id);
    }

    pub(crate) fn is_cancelled(&self, id: &str) -> bool {
        self.cancelled.contains(id)
    }

    /// Returns the index of the next token of a running generation.
    pub(crate) fn progress_of(&self, id: &str) -> Option<u32> {
        let mut entries = self.entries.values();
        entries.find(|entry| entry.running && entry.id == id).map(|entry| entry.index)
    }

    pub(crate) fn set_leaving(&mut self, now: Instant) {
        self.leaving = true;
        self.update_load(now);
    }

    /// Makes a loaded version the one in use, unless another one has been ordered meanwhile or the
    /// swap is made to fail.
    pub(crate) fn swap(&mut self, version: u64, now: Instant) {
        if self.target_version != version {
            return;
        }
        if self.failing_swaps > 0 {
            self.failing_swaps -= 1;
            return;
        }
        self.version = version;
        self.update_load(now);
    }

    /// Ends a load. If the version is not in use by now, the load has failed and can be ordered
    /// again.
    pub(crate) fn end_load(&mut self, version: u64) {
        if self.target_version == version && self.version != version {
            self.failed_swaps += 1;
            self.target_version = self.version;
        }
    }

    pub(crate) fn inspect(&self) -> Value {
        json!({
            "runs": self.runs,
            "headers": self.headers,
            "cancelled": self.cancelled,
            "imported": self.imported_caches,
            "version": self.version,
            "failed_swaps": self.failed_swaps,
            "highest_fencing": self.highest_fencing,
            "running": self.running_count(),
            "queued": self.entries.len() - self.running_count(),
            "tokens": self.tokens,
        })
    }

    fn running_count(&self) -> usize {
        self.entries.values().filter(|entry| entry.running).count()
    }

    /// Computes the load report. Readers see it after the time set by `report_lag`.
    fn update_load(&mut self, now: Instant) {
        let running = self.running_count();
        let speed = running as f64 / self.token_time().as_secs_f64();
        let load = wire::EngineLoadReport {
            running: running as u32,
            queued: (self.entries.len() - running) as u32,
            tokens_per_second: speed as u32,
            version: self.version,
            leaving: self.leaving,
            cached_prefixes: self.cached_prefixes.iter().copied().collect(),
            measured_at_ms: now_ms(),
        };
        self.load.set(now, load);
    }
}
