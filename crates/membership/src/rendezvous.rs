//! Rendezvous hashing: each key has the candidates in an order of its own, and the loss of one
//! candidate moves only what it was first for.

use std::collections::BTreeMap;

use xxhash_rust::xxh3;

/// Candidates, most preferred for `key` first.
pub fn ranked<'a>(key: &str, candidates: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked = candidates.into_iter().collect::<Vec<_>>();
    ranked.sort_by_cached_key(|it| (std::cmp::Reverse(weight(key, it)), *it));
    ranked
}

/// The most preferred candidate for `key`.
pub fn preferred<'a>(key: &str, candidates: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    candidates.into_iter().max_by_key(|it| (weight(key, it), std::cmp::Reverse(*it)))
}

/// The candidate for `key` when all `keys` are shared out evenly: each takes its most preferred
/// candidate that does not yet have its share. By preference alone a few keys may well all fall to
/// the same candidate.
pub fn balanced_candidate<'a>(
    key: &str,
    keys: impl IntoIterator<Item = &'a str>,
    candidates: &[&'a str],
) -> Option<&'a str> {
    let mut keys = keys.into_iter().collect::<Vec<_>>();
    keys.sort_unstable();
    let share = keys.len().div_ceil(candidates.len().max(1));
    let mut taken = BTreeMap::new();
    for it in keys {
        let ranked = ranked(it, candidates.iter().copied());
        let with_room = ranked.into_iter().find(|it| taken.get(it).is_none_or(|n| *n < share))?;
        if it == key {
            return Some(with_room);
        }
        *taken.entry(with_room).or_insert(0) += 1;
    }
    None
}

fn weight(key: &str, candidate: &str) -> u64 {
    xxh3::xxh3_64_with_seed(candidate.as_bytes(), xxh3::xxh3_64(key.as_bytes()))
}
