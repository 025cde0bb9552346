//! Fencing tokens, by which workers refuse calls of earlier schedulers and calls meant for an earlier
//! incarnation of the worker.

use almondpass_schema::ids;

/// Bits of a token that tell incarnations of workers apart within a tenure: a million worker restarts, where
/// a deployment of the planned size has hundreds a day. Tokens stay exact as JSON numbers, which have 53
/// bits, for eight thousand million tenures.
const GENERATION_BITS: u32 = 20;

/// Token of the calls that the holder of `epoch` sends to a worker in its incarnation number `generation`.
/// The token rises with each tenure, and within a tenure with each incarnation that is found. So a call that
/// arrives late, at an incarnation that has been polled since, is refused there. Neither the call's deadline,
/// which is by the clock of the earlier incarnation, nor the worker's id would stop it, and a task would run
/// twice.
pub fn token(epoch: ids::Epoch, generation: u32) -> ids::FencingToken {
    let max_generation = (1 << GENERATION_BITS) - 1;
    (epoch << GENERATION_BITS) | u64::from(generation.min(max_generation))
}
