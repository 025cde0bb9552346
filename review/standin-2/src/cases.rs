//! The cases by name.

use std::path::Path;

use crate::Verdict;

mod crashes;
mod gang_checkpoints;
mod killed_holders;
mod queue_count;
mod silence;

pub fn play(case: &str, root: &Path, scratch: &Path, with_trouble: bool) -> Option<Verdict> {
    match case {
        "crashes" => Some(crashes::play(root, scratch, with_trouble)),
        "gang-checkpoints" => Some(gang_checkpoints::play(root, scratch, with_trouble)),
        "killed-holders" => Some(killed_holders::play(root, scratch, with_trouble)),
        "queue-count" => Some(queue_count::play(root, scratch, with_trouble)),
        "silence" => Some(silence::play(root, scratch, with_trouble)),
        _ => None,
    }
}
