//! Keeping the home halls of idempotency keys across a change of an upstream's halls.

use std::collections::BTreeSet;
use std::time::Duration;

use almondpass_membership::home;
use almondpass_schema::{ids, model, time};

use crate::canonical;
use crate::fault;
use crate::path;

/// How wrong a caller's clock may be: schedulers accept keys that come from the future by this,
/// and keep records longer by as much.
const CLOCK_SLACK: Duration = Duration::from_secs(600);
/// From acceptance until a version is in force everywhere, with much to spare.
const IN_FORCE_EVERYWHERE: Duration = Duration::from_secs(60);
/// Longest that the write of a draft is tried.
const WRITE_TIME: Duration = Duration::from_secs(60);

/// Adds to `draft` the sets of halls that upstreams had in `before`, the version that it replaces,
/// and refuses it where keys that may still be offered at `now` would change their home all the
/// same. Such a key may have been sent by its old home; the new one has no record of it and would
/// send it again, and work that must run once would run twice, with nothing in the log but two
/// requests. Gives the same document for the same three arguments, by which a draft is known
/// again.
pub(crate) fn keep_homes(
    before: &model::ConfigDocument,
    mut draft: model::ConfigDocument,
    now: time::WallTime,
) -> Result<model::ConfigDocument, fault::ConfigFaults> {
    let span = KeySpan::around(before, &draft, now);
    let value = canonical::to_value(&draft);
    let mut faults = fault::FaultList::new(&value);
    for (index, upstream) in draft.upstreams.iter_mut().enumerate() {
        let Some(earlier) = before.upstreams.iter().find(|it| it.name == upstream.name) else {
            continue;
        };
        if span.first_moved(earlier, upstream).is_none() {
            continue;
        }
        let filled = span.with_former_set(earlier, upstream);
        let Some(moved) = span.first_moved(earlier, &filled) else {
            *upstream = filled;
            continue;
        };
        let list = path::FieldPath::root().member("upstreams").item(index).member("former_halls");
        let kept = span.entry_at(earlier, moved);
        let halls = home::halls_at(&filled, moved).join(", ");
        faults.push(
            &list,
            format!(
                "the entry {{halls: [{}], until: {}}} kept, since keys of that time are accepted",
                kept.halls.join(", "),
                kept.until
            ),
            format!("halls [{halls}] for keys made at {moved}"),
        );
    }
    faults.into_result("the draft")?;
    Ok(draft)
}

/// When keys were made, or will have been, that may be offered before a draft is in force on all
/// instances. Whole seconds, which survive every encoding.
struct KeySpan {
    from: time::WallTime,
    to: time::WallTime,
}

impl KeySpan {
    fn around(
        before: &model::ConfigDocument,
        draft: &model::ConfigDocument,
        now: time::WallTime,
    ) -> KeySpan {
        let now = time::WallTime(Duration::from_secs(now.0.as_secs()));
        let window = before.bounds.idempotency_window.max(draft.bounds.idempotency_window).0;
        let to = now + CLOCK_SLACK + IN_FORCE_EVERYWHERE;
        KeySpan { from: now - window - CLOCK_SLACK, to }
    }

    /// The earliest time in the span whose keys have other halls in `after` than in `before`.
    fn first_moved(
        &self,
        before: &model::UpstreamSpec,
        after: &model::UpstreamSpec,
    ) -> Option<time::WallTime> {
        // Halls change only where an entry ends.
        let ends = before.former_halls.iter().chain(&after.former_halls).map(|it| it.until);
        let inside = ends.filter(|it| self.from < *it && *it < self.to);
        let times = inside.chain([self.from]).collect::<BTreeSet<_>>();
        times.into_iter().find(|it| {
            hall_set(home::halls_at(before, *it)) != hall_set(home::halls_at(after, *it))
        })
    }

    /// `draft` with the halls of `before` as its newest former set, and without the sets that no
    /// accepted key needs.
    fn with_former_set(
        &self,
        before: &model::UpstreamSpec,
        draft: &model::UpstreamSpec,
    ) -> model::UpstreamSpec {
        let mut filled = draft.clone();
        filled.former_halls.retain(|it| self.from < it.until);
        let until = self.to + WRITE_TIME;
        filled.former_halls.push(model::FormerHalls { halls: before.halls.clone(), until });
        filled
    }

    /// The entry by which keys made at `made_at` have their home in `before`, or the one that
    /// `before` would get.
    fn entry_at(
        &self,
        before: &model::UpstreamSpec,
        made_at: time::WallTime,
    ) -> model::FormerHalls {
        let former = before.former_halls.iter().filter(|it| made_at < it.until);
        former.min_by_key(|it| it.until).cloned().unwrap_or_else(|| model::FormerHalls {
            halls: before.halls.clone(),
            until: self.to + WRITE_TIME,
        })
    }
}

fn hall_set(halls: &[ids::HallName]) -> BTreeSet<&str> {
    halls.iter().map(String::as_str).collect()
}
