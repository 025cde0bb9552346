//! Replay library: traces, baselines and measurements.
