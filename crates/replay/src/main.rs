//! Replays seeded traces against the decision core and its baselines.

fn main() {}
