//! Selects the hall that keeps the record of an idempotency key (its home hall).

use std::time::Duration;

use almondpass_schema::{ids, model, time};

use crate::rendezvous;

/// Returns the hall whose scheduler keeps the record of `key`, by rendezvous hashing over the halls that
/// the upstream had when the key was created. The creation time is part of the key, so every instance and
/// every retry selects the same hall, whatever the local clock. If the current halls were used, a retry
/// after a configuration change could go to a hall without a record of the key, and the request would run
/// a second time. `None` if the key is not a UUIDv7 or the upstream has no hall.
pub fn home_hall<'a>(
    upstream: &'a model::UpstreamSpec,
    key: &ids::IdempotencyKey,
) -> Option<&'a str> {
    let halls = halls_at(upstream, key_time(key)?);
    rendezvous::preferred(&key.to_string(), halls.iter().map(String::as_str))
}

/// Halls from which the home hall of a key created at `made_at` is selected.
pub fn halls_at(upstream: &model::UpstreamSpec, made_at: time::WallTime) -> &[ids::HallName] {
    let replaced_later = upstream.former_halls.iter().filter(|it| made_at < it.until);
    replaced_later.min_by_key(|it| it.until).map_or(&upstream.halls, |it| &it.halls)
}

/// Creation time of a key; `None` if the key is not a UUIDv7.
pub fn key_time(key: &ids::IdempotencyKey) -> Option<time::WallTime> {
    if key.get_version_num() != UUID_V7 {
        return None;
    }
    let (seconds, nanos) = key.get_timestamp()?.to_unix();
    Some(time::WallTime(Duration::new(seconds, nanos)))
}

const UUID_V7: usize = 7;
