//! Which hall keeps the record of an idempotency key.

use std::time::Duration;

use almondpass_schema::{ids, model, time};

use crate::rendezvous;

/// Hall whose scheduler keeps the record of `key`, by rendezvous over the halls that the upstream
/// had when the key was made. The key carries that time itself, so every instance and every
/// retry finds the same hall whatever its own clock says; the halls of today would otherwise send
/// a retry across a change of configuration to a hall that never heard of the key, where it would
/// run a second time. `None` where the key is no UUIDv7 or the upstream has no hall.
pub fn home_hall<'a>(
    upstream: &'a model::UpstreamSpec,
    key: &ids::IdempotencyKey,
) -> Option<&'a str> {
    let halls = halls_at(upstream, key_time(key)?);
    rendezvous::preferred(&key.to_string(), halls.iter().map(String::as_str))
}

/// Halls among which keys made at `made_at` have their home.
pub fn halls_at(upstream: &model::UpstreamSpec, made_at: time::WallTime) -> &[ids::HallName] {
    let former = upstream.former_halls.iter().filter(|it| made_at < it.until);
    former.min_by_key(|it| it.until).map_or(&upstream.halls, |it| &it.halls)
}

/// When a key was made; `None` where it is no UUIDv7.
pub fn key_time(key: &ids::IdempotencyKey) -> Option<time::WallTime> {
    if key.get_version_num() != UUID_V7 {
        return None;
    }
    let (seconds, nanos) = key.get_timestamp()?.to_unix();
    Some(time::WallTime(Duration::new(seconds, nanos)))
}

const UUID_V7: usize = 7;
