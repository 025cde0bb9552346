//! Fencing tokens: what bars calls of earlier schedulers, and calls meant for an earlier life of a worker.

use almondpass_schema::ids;

/// Bits of a token that tell lives of workers apart within a tenure: a million restarts of workers,
/// where a deployment of the planned size has hundreds a day. Tokens stay exact as numbers of JSON,
/// 53 bits, for eight thousand million tenures.
const GENERATION_BITS: u32 = 20;

/// The token of what the holder of `epoch` sends to a worker in that generation of it. It rises with
/// each tenure, and within one with each life that is found: a call that is carried out late, by a
/// life that has been looked at since, is refused there. Neither its deadline, which is by a former
/// clock, nor the worker's id would stop it, and a task would run twice.
pub fn token(epoch: ids::Epoch, generation: u32) -> ids::FencingToken {
    let most = (1 << GENERATION_BITS) - 1;
    (epoch << GENERATION_BITS) | u64::from(generation.min(most))
}
