//! The holders of the tenure before this one, of which it is not known yet that all they have ordered has ended.
//!
//! The tenure's row names them, so that a successor can ask each of them. With the last one alone, those before
//! it are taken to go on for as long as any holder may.

use std::time::Duration;

use almondpass_schema::{ids, model};

use crate::predecessor;
use crate::state;
use crate::tenure_watch;

/// Holders that the row names. Takeovers take a second and more each, and the longest that a holder may go on is
/// 14 s.
const MOST_NAMED: usize = 16;

/// A holder before this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Predecessor {
    pub(crate) holder: ids::InstanceId,
    pub(crate) address: ids::PeerAddress,
    pub(crate) epoch: ids::Epoch,
    /// All that it has ordered has ended by then, on workers that don't answer.
    pub(crate) settles_at: Duration,
}

/// The holders before this one.
#[derive(Clone, Debug, Default)]
pub(crate) struct PredecessorList {
    holders: Vec<Predecessor>,
    /// What others have ordered, who are not known by name, has ended by then.
    unnamed_settle_at: Duration,
}

impl PredecessorList {
    /// Those that the tenure's row tells of, the one that has written it included.
    pub(crate) fn from_row<S: state::PoolAdapters>(
        state: &state::PoolState<S>,
        seen: &tenure_watch::SeenRow,
    ) -> PredecessorList {
        let mut list = PredecessorList::default();
        let Some(row) = &seen.row else { return list };
        list.holders.push(last_holder(state, seen, row));
        let told_at = |settles_in_ms| seen.first_seen + Duration::from_millis(settles_in_ms);
        if row.names_earlier {
            list.holders.extend(row.earlier.iter().map(|it| Predecessor {
                holder: it.holder.clone(),
                address: it.address.clone(),
                epoch: it.epoch,
                settles_at: told_at(it.settles_in_ms),
            }));
        } else {
            // The holder before may have gone on without the store.
            let over_at = seen.epoch_since + state.settings.tenure.max_detached;
            let settles_at = predecessor::settles_after(over_at, &state.settings.timing);
            list.unnamed_settle_at = settles_at.max(told_at(row.settles_in_ms));
        }
        list.settle_own(state);
        list
    }

    /// Others whose names are not known may have left what ends at `settles_at`.
    pub(crate) fn add_unnamed(&mut self, settles_at: Duration) {
        self.unnamed_settle_at = self.unnamed_settle_at.max(settles_at);
    }

    /// When all that any of them has ordered has ended, on workers that don't answer.
    pub(crate) fn settles_at(&self) -> Duration {
        let of_holders = self.holders.iter().map(|it| it.settles_at).max();
        self.unnamed_settle_at.max(of_holders.unwrap_or_default())
    }

    /// All that a holder has ordered has ended at `settles_at`.
    pub(crate) fn bound_settling(&mut self, epoch: ids::Epoch, settles_at: Duration) {
        for it in self.holders.iter_mut().filter(|it| it.epoch == epoch) {
            it.settles_at = it.settles_at.min(settles_at);
        }
    }

    /// Those whose orders may not have ended, the latest first.
    pub(crate) fn unsettled(&self, now: Duration) -> Vec<Predecessor> {
        let unsettled = self.holders.iter().filter(|it| now < it.settles_at);
        let mut unsettled = unsettled.cloned().collect::<Vec<_>>();
        unsettled.sort_by_key(|it| std::cmp::Reverse(it.settles_at));
        unsettled
    }

    /// The same as the tenure's row names them. What is not named of them is told by an entry without address.
    pub(crate) fn row_entries(&self, now: Duration) -> Vec<model::EarlierHolder> {
        let unsettled = self.unsettled(now);
        let mut named = unsettled.iter().take(MOST_NAMED).cloned().collect::<Vec<_>>();
        let left_out = unsettled.iter().skip(MOST_NAMED).map(|it| it.settles_at).max();
        let others = self.unnamed_settle_at.max(left_out.unwrap_or_default());
        if now < others {
            named.push(Predecessor {
                holder: ids::InstanceId::default(),
                address: ids::PeerAddress::default(),
                epoch: ids::Epoch::default(),
                settles_at: others,
            });
        }
        let entry = |it: Predecessor| model::EarlierHolder {
            holder: it.holder,
            address: it.address,
            epoch: it.epoch,
            settles_in_ms: (it.settles_at - now).as_millis() as u64 + 1,
        };
        named.into_iter().map(entry).collect()
    }

    /// No two processes answer at one address: those at this one's have ended before this one began, and what
    /// this one has ordered it knows.
    fn settle_own<S: state::PoolAdapters>(&mut self, state: &state::PoolState<S>) {
        let settings = &state.settings;
        for it in self.holders.iter_mut().filter(|it| it.address == settings.peer_address) {
            let is_this = it.holder == settings.instance;
            let ordered_at = state.last_order_at().filter(|_| is_this);
            let over_at = ordered_at.unwrap_or(state.started_at);
            it.settles_at =
                it.settles_at.min(predecessor::settles_after(over_at, &settings.timing));
        }
    }
}

/// The holder that has written the row.
fn last_holder<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    seen: &tenure_watch::SeenRow,
    row: &model::PoolTenure,
) -> Predecessor {
    let times = state.settings.tenure;
    let goes_on = if row.released { Duration::ZERO } else { times.term + times.max_detached };
    let over_at = seen.first_seen + goes_on;
    Predecessor {
        holder: row.holder.clone(),
        address: row.address.clone(),
        epoch: row.epoch,
        settles_at: predecessor::settles_after(over_at, &state.settings.timing),
    }
}
