//! Rendezvous hashing: each key has the candidates in an order of its own, and the loss of one
//! candidate moves only what it was first for.

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

fn weight(key: &str, candidate: &str) -> u64 {
    xxh3::xxh3_64_with_seed(candidate.as_bytes(), xxh3::xxh3_64(key.as_bytes()))
}
