//! Earlier holders of the tenure whose orders are not yet known to have ended.
//!
//! The tenure's row names them, so that a successor can query each of them. If it named only the last one, a
//! successor would have to assume that the earlier ones go on for as long as any holder may.

use std::time::Duration;

use almondpass_schema::{ids, model};

use crate::predecessor;
use crate::state;
use crate::tenure_watch;

/// Most holders that the row names. A takeover takes a second or more, and a holder may go on for 14 s at
/// most.
const MAX_NAMED: usize = 16;

/// An earlier holder of the tenure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Predecessor {
    pub(crate) holder: ids::InstanceId,
    pub(crate) address: ids::PeerAddress,
    pub(crate) epoch: ids::Epoch,
    /// Time at which everything that the holder has ordered has ended, also on workers that do not answer.
    pub(crate) settles_at: Duration,
}

/// The earlier holders that a successor has to wait for.
#[derive(Clone, Debug, Default)]
pub(crate) struct PredecessorList {
    holders: Vec<Predecessor>,
    /// Time at which everything that holders without a known name have ordered has ended.
    unnamed_settle_at: Duration,
}

impl PredecessorList {
    /// The holders that the tenure's row names, including the one that wrote it.
    pub(crate) fn from_row<S: state::PoolAdapters>(
        state: &state::PoolState<S>,
        seen: &tenure_watch::SeenRow,
    ) -> PredecessorList {
        let mut list = PredecessorList::default();
        let Some(row) = &seen.row else { return list };
        list.holders.push(last_holder(state, seen, row));
        let reported_at = |settles_in_ms| seen.first_seen + Duration::from_millis(settles_in_ms);
        if row.names_earlier {
            list.holders.extend(row.earlier.iter().map(|it| Predecessor {
                holder: it.holder.clone(),
                address: it.address.clone(),
                epoch: it.epoch,
                settles_at: reported_at(it.settles_in_ms),
            }));
        } else {
            // The holder before the last one may have gone on without the store.
            let stopped_at = seen.epoch_since + state.settings.tenure.max_detached;
            let settles_at = predecessor::settles_after(stopped_at, &state.settings.timing);
            list.unnamed_settle_at = settles_at.max(reported_at(row.settles_in_ms));
        }
        list.settle_own_process(state);
        list
    }

    /// Adds holders without a known name, whose orders have ended at `settles_at`.
    pub(crate) fn add_unnamed(&mut self, settles_at: Duration) {
        self.unnamed_settle_at = self.unnamed_settle_at.max(settles_at);
    }

    /// Time at which everything that any of the holders has ordered has ended, also on workers that do not
    /// answer.
    pub(crate) fn settles_at(&self) -> Duration {
        let of_holders = self.holders.iter().map(|it| it.settles_at).max();
        self.unnamed_settle_at.max(of_holders.unwrap_or_default())
    }

    /// Records that everything that the holder of `epoch` has ordered has ended at `settles_at`.
    pub(crate) fn bound_settling(&mut self, epoch: ids::Epoch, settles_at: Duration) {
        for it in self.holders.iter_mut().filter(|it| it.epoch == epoch) {
            it.settles_at = it.settles_at.min(settles_at);
        }
    }

    /// Holders whose orders may not have ended at `now`, the one that ends last first.
    pub(crate) fn unsettled(&self, now: Duration) -> Vec<Predecessor> {
        let unsettled = self.holders.iter().filter(|it| now < it.settles_at);
        let mut unsettled = unsettled.cloned().collect::<Vec<_>>();
        unsettled.sort_by_key(|it| std::cmp::Reverse(it.settles_at));
        unsettled
    }

    /// Holders whose orders may not have ended, as entries of the tenure's row. Holders without a name, and
    /// those beyond the row's limit, share an entry without an address.
    pub(crate) fn row_entries(&self, now: Duration) -> Vec<model::EarlierHolder> {
        let unsettled = self.unsettled(now);
        let mut named = unsettled.iter().take(MAX_NAMED).cloned().collect::<Vec<_>>();
        let unlisted = unsettled.iter().skip(MAX_NAMED).map(|it| it.settles_at).max();
        let unnamed = self.unnamed_settle_at.max(unlisted.unwrap_or_default());
        if now < unnamed {
            named.push(Predecessor {
                holder: ids::InstanceId::default(),
                address: ids::PeerAddress::default(),
                epoch: ids::Epoch::default(),
                settles_at: unnamed,
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

    /// Bounds the holders at this instance's own address. No two processes listen at one address: earlier
    /// processes there ended before this one started, and this process knows when it last gave an order.
    fn settle_own_process<S: state::PoolAdapters>(&mut self, state: &state::PoolState<S>) {
        let settings = &state.settings;
        for it in self.holders.iter_mut().filter(|it| it.address == settings.peer_address) {
            let is_this = it.holder == settings.instance;
            let ordered_at = state.last_order_at().filter(|_| is_this);
            let stopped_at = ordered_at.unwrap_or(state.started_at);
            it.settles_at =
                it.settles_at.min(predecessor::settles_after(stopped_at, &settings.timing));
        }
    }
}

/// The holder that wrote the row.
fn last_holder<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    seen: &tenure_watch::SeenRow,
    row: &model::PoolTenure,
) -> Predecessor {
    let times = state.settings.tenure;
    let may_go_on_for = if row.released { Duration::ZERO } else { times.term + times.max_detached };
    let stopped_at = seen.first_seen + may_go_on_for;
    Predecessor {
        holder: row.holder.clone(),
        address: row.address.clone(),
        epoch: row.epoch,
        settles_at: predecessor::settles_after(stopped_at, &state.settings.timing),
    }
}
