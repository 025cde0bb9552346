//! Spans that vary from a seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Random numbers of one stream of traffic; the same for the same seed and stream.
pub struct TrafficRandom {
    rng: ChaCha8Rng,
}

impl TrafficRandom {
    /// Numbers of `stream` under `seed`.
    pub fn new(seed: u64, stream: u64) -> TrafficRandom {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(stream);
        TrafficRandom { rng }
    }

    /// A span between half and one and a half of `mean`.
    pub fn around(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(self.rng.random_range(0.5..1.5))
    }

    /// A number below `bound`.
    pub fn below(&mut self, bound: usize) -> usize {
        self.rng.random_range(0..bound.max(1))
    }

    /// Whether something of this chance happens.
    pub fn happens(&mut self, chance: f64) -> bool {
        self.rng.random::<f64>() < chance
    }
}
