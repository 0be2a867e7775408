//! Exhaustive breadth-first search over the states of a specification.

use std::{
    fmt,
    hash::{Hash, Hasher},
};

use base::derive_value;
use pathfinding::directed::bfs::{bfs, bfs_reach};

/// A transition system whose reachable states must satisfy invariants.
pub trait Specification {
    /// State of all processes and of their environment: network, log and platform.
    type State: Clone + Eq + Hash;
    /// Label of a transition. Traces print its `Debug` form.
    type Step: fmt::Debug;

    /// Returns the state in which every run starts.
    fn initial(&self) -> Self::State;

    /// Returns every transition out of `state`, with the state that it leads to.
    fn steps(&self, state: &Self::State) -> Vec<(Self::Step, Self::State)>;

    /// Returns the names of the invariants that [`Specification::broken_invariant`] checks.
    fn invariants(&self) -> &'static [&'static str];

    /// Returns the name of an invariant that `state` violates.
    fn broken_invariant(&self, state: &Self::State) -> Option<&'static str>;

    /// Describes a state in one line, for traces.
    fn describe(&self, state: &Self::State) -> String;
}

derive_value! {
    /// Result of a search of all reachable states.
    pub struct Exploration {
        /// Number of different states.
        pub states: usize,
        /// Largest number of steps on a shortest path to a state.
        pub depth: usize,
        /// First violated invariant in breadth-first order. The search stops there.
        pub broken: Option<&'static str>,
    }
}

/// A state with its distance from the initial state. Comparison and hash ignore the distance.
#[derive(Clone)]
struct Node<S> {
    state: S,
    depth: usize,
}

impl<S: PartialEq> PartialEq for Node<S> {
    fn eq(&self, other: &Self) -> bool {
        self.state == other.state
    }
}

impl<S: Eq> Eq for Node<S> {}

impl<S: Hash> Hash for Node<S> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.state.hash(hasher);
    }
}

/// Visits every reachable state, or stops at the first one that violates an invariant.
pub fn explore<T: Specification>(specification: &T) -> Exploration {
    let start = Node { state: specification.initial(), depth: 0 };
    let successors = |node: &Node<T::State>| {
        let depth = node.depth + 1;
        let steps = specification.steps(&node.state);
        steps.into_iter().map(move |(_, state)| Node { state, depth })
    };
    let mut exploration = Exploration { states: 0, depth: 0, broken: None };
    for node in bfs_reach(start, successors) {
        exploration.states += 1;
        exploration.depth = exploration.depth.max(node.depth);
        exploration.broken = specification.broken_invariant(&node.state);
        if exploration.broken.is_some() {
            break;
        }
    }
    exploration
}

/// Returns the lines of a shortest trace to a state that violates `invariant`, or `None` when no
/// reachable state does.
pub fn counterexample<T: Specification>(
    specification: &T,
    invariant: &'static str,
) -> Option<Vec<String>> {
    let initial = specification.initial();
    let successors =
        |state: &T::State| specification.steps(state).into_iter().map(|(_, state)| state);
    let breaks = |state: &T::State| specification.broken_invariant(state) == Some(invariant);
    let path = bfs(&initial, successors, breaks)?;
    let mut lines = vec![format!("initial state: {}", specification.describe(&path[0]))];
    for pair in path.windows(2) {
        let steps = specification.steps(&pair[0]);
        let step = steps.iter().find(|(_, state)| *state == pair[1]);
        let name = step.map(|(step, _)| format!("{step:?}")).unwrap_or_default();
        lines.push(format!("{name}: {}", specification.describe(&pair[1])));
    }
    lines.push(format!("violated invariant: {invariant}"));
    Some(lines)
}

/// Checks that no reachable state violates an invariant, and prints `bounds` and the size of the
/// search.
///
/// # Panics
///
/// Panics when a state violates an invariant, after printing a shortest trace to it.
pub fn check_invariants<T: Specification>(specification: &T, bounds: &impl fmt::Debug) {
    let result = explore(specification);
    println!("{bounds:?}: {result:?}, invariants: {:?}", specification.invariants());
    if let Some(broken) = result.broken {
        print_counterexample(specification, broken);
    }
    assert_eq!(result.broken, None);
}

/// Checks that the search finds a violation of `invariant` in a specification that lacks a guard on
/// which the invariant depends, or has a faulty one in its place.
///
/// # Panics
///
/// Panics when no reachable state violates `invariant`.
pub fn check_violation_found<T: Specification>(specification: &T, invariant: &'static str) {
    let found = print_counterexample(specification, invariant);
    assert!(
        found,
        "no reachable state violates `{invariant}`, although a guard for it is missing or faulty"
    );
}

fn print_counterexample<T: Specification>(specification: &T, invariant: &'static str) -> bool {
    let trace = counterexample(specification, invariant);
    for line in trace.iter().flatten() {
        println!("{line}");
    }
    trace.is_some()
}
