//! Rendezvous hashing: each key ranks the candidates in its own order, so the loss of a candidate moves only
//! the keys that ranked it first.

use std::collections::BTreeMap;

use xxhash_rust::xxh3;

/// Returns the candidates in the order of preference of `key`, most preferred first.
pub fn ranked<'a>(key: &str, candidates: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked = candidates.into_iter().collect::<Vec<_>>();
    ranked.sort_by_cached_key(|it| (std::cmp::Reverse(weight(key, it)), *it));
    ranked
}

/// Returns the candidate that `key` prefers most; `None` without candidates.
pub fn preferred<'a>(key: &str, candidates: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    candidates.into_iter().max_by_key(|it| (weight(key, it), std::cmp::Reverse(*it)))
}

/// Returns the candidate for `key` when all `keys` are distributed evenly: in sorted order, each key is
/// assigned to its most preferred candidate that has less than its share of keys. By preference alone, a
/// small number of keys could all be assigned to the same candidate. `None` if `keys` lacks `key` or there
/// are no candidates.
pub fn balanced_candidate<'a>(
    key: &str,
    keys: impl IntoIterator<Item = &'a str>,
    candidates: &[&'a str],
) -> Option<&'a str> {
    let mut keys = keys.into_iter().collect::<Vec<_>>();
    keys.sort_unstable();
    let share = keys.len().div_ceil(candidates.len().max(1));
    let mut n_assigned = BTreeMap::new();
    for it in keys {
        let ranked = ranked(it, candidates.iter().copied());
        let below_share =
            ranked.into_iter().find(|it| n_assigned.get(it).is_none_or(|n| *n < share))?;
        if it == key {
            return Some(below_share);
        }
        *n_assigned.entry(below_share).or_insert(0) += 1;
    }
    None
}

fn weight(key: &str, candidate: &str) -> u64 {
    xxh3::xxh3_64_with_seed(candidate.as_bytes(), xxh3::xxh3_64(key.as_bytes()))
}
