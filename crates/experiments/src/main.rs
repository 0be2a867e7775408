//! Measures policies against baselines.

fn main() {}
