//! The cases by name.

use std::path::Path;

use crate::Verdict;

mod gang_checkpoints;
mod killed_holders;
mod power_losses;
mod queue_count;
mod silence;
mod unsent_starts;

pub fn play(case: &str, root: &Path, scratch: &Path, with_trouble: bool) -> Option<Verdict> {
    match case {
        "power-losses" => Some(power_losses::play(root, scratch, with_trouble)),
        "gang-checkpoints" => Some(gang_checkpoints::play(root, scratch, with_trouble)),
        "killed-holders" => Some(killed_holders::play(root, scratch, with_trouble)),
        "queue-count" => Some(queue_count::play(root, scratch, with_trouble)),
        "silence" => Some(silence::play(root, scratch, with_trouble)),
        "unsent-starts" => Some(unsent_starts::play(root, scratch, with_trouble)),
        _ => None,
    }
}
