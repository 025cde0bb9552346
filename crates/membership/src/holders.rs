//! Last known scheduler of each hall. Only a cache: the hall's row in the store is authoritative.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use almondpass_schema::{ids, model};

/// Holders (scheduling instances) of halls; updated by received beats and read by calls to halls. Clones
/// share their content.
#[derive(Clone, Debug, Default)]
pub struct HolderTable {
    holders: Arc<Mutex<BTreeMap<ids::HallName, HallHolder>>>,
}

/// The instance that schedules a hall.
#[derive(Clone, Debug, PartialEq)]
pub struct HallHolder {
    /// Peer address of the holder.
    pub address: ids::PeerAddress,
    /// Epoch of the holder's tenure; 0 if the holder is known only from a redirect.
    pub epoch: ids::Epoch,
    /// Hall status from the holder's latest beat; `None` before the first.
    pub beat: Option<model::HallBeat>,
}

impl HolderTable {
    /// Records the halls that the sender of `beat` holds and removes those it no longer holds. A hall status
    /// with an older epoch than the recorded one is ignored.
    pub fn apply_beat(&self, beat: &model::PeerBeat) {
        let mut holders = self.lock();
        holders.retain(|hall, it| {
            it.address != beat.address || beat.halls.iter().any(|held| held.hall == *hall)
        });
        for hall in &beat.halls {
            let replaces = holders.get(&hall.hall).is_none_or(|it| it.epoch <= hall.epoch);
            if replaces {
                let holder = HallHolder {
                    address: beat.address.clone(),
                    epoch: hall.epoch,
                    beat: Some(hall.clone()),
                };
                holders.insert(hall.hall.clone(), holder);
            }
        }
    }

    /// Records the holder named by a hall's row in the store, unless the row is released or its epoch is
    /// not newer than the recorded one.
    pub fn apply_row(&self, row: &model::SchedulerRow) {
        let mut holders = self.lock();
        let known = holders.get(&row.hall).filter(|it| row.epoch <= it.epoch);
        if known.is_some() || row.released {
            return;
        }
        let holder = HallHolder { address: row.address.clone(), epoch: row.epoch, beat: None };
        holders.insert(row.hall.clone(), holder);
    }

    /// Records the holder named by a redirect, with epoch 0, so that any beat or row replaces it. Keeps the
    /// entry if it already names `address`.
    pub fn apply_redirect(&self, hall: &ids::HallName, address: &ids::PeerAddress) {
        let mut holders = self.lock();
        if holders.get(hall).is_some_and(|it| it.address == *address) {
            return;
        }
        let holder = HallHolder { address: address.clone(), epoch: 0, beat: None };
        holders.insert(hall.clone(), holder);
    }

    /// Removes the holder of `hall` if it is `address`.
    pub fn forget(&self, hall: &ids::HallName, address: &ids::PeerAddress) {
        let mut holders = self.lock();
        if holders.get(hall).is_some_and(|it| it.address == *address) {
            holders.remove(hall);
        }
    }

    /// Removes all entries of an instance that is considered dead.
    pub fn remove_instance(&self, address: &ids::PeerAddress) {
        self.lock().retain(|_, it| it.address != *address);
    }

    /// Peer address of the last known holder of `hall`.
    pub fn holder(&self, hall: &ids::HallName) -> Option<ids::PeerAddress> {
        self.lock().get(hall).map(|it| it.address.clone())
    }

    /// Hall status from the latest beat of each known holder.
    pub fn summaries(&self) -> Vec<model::HallBeat> {
        self.lock().values().filter_map(|it| it.beat.clone()).collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ids::HallName, HallHolder>> {
        self.holders.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
