//! Which instance schedules which hall, as far as heard; the table's row decides.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use almondpass_schema::{ids, model};

/// Holders of halls; shared between the beats that fill it and the calls that use it.
#[derive(Clone, Debug, Default)]
pub struct HolderTable {
    holders: Arc<Mutex<BTreeMap<ids::HallName, HallHolder>>>,
}

/// Who holds a hall.
#[derive(Clone, Debug, PartialEq)]
pub struct HallHolder {
    /// Its peer address.
    pub address: ids::PeerAddress,
    /// Its tenure; 0 where only a redirect told of it.
    pub epoch: ids::Epoch,
    /// What it last said of the hall.
    pub beat: Option<model::HallBeat>,
}

impl HolderTable {
    /// Takes what an instance says of the halls it holds, and drops those it holds no more. A beat
    /// that was overtaken by a newer tenure changes nothing.
    pub fn apply_beat(&self, beat: &model::PeerBeat) {
        let mut holders = self.lock();
        holders.retain(|hall, it| {
            it.address != beat.address || beat.halls.iter().any(|held| held.hall == *hall)
        });
        for hall in &beat.halls {
            let older = holders.get(&hall.hall).is_none_or(|it| it.epoch <= hall.epoch);
            if older {
                let holder = HallHolder {
                    address: beat.address.clone(),
                    epoch: hall.epoch,
                    beat: Some(hall.clone()),
                };
                holders.insert(hall.hall.clone(), holder);
            }
        }
    }

    /// Takes the table's row.
    pub fn apply_row(&self, row: &model::SchedulerRow) {
        let mut holders = self.lock();
        let known = holders.get(&row.hall).filter(|it| row.epoch <= it.epoch);
        if known.is_some() || row.released {
            return;
        }
        let holder = HallHolder { address: row.address.clone(), epoch: row.epoch, beat: None };
        holders.insert(row.hall.clone(), holder);
    }

    /// Takes a redirect.
    pub fn apply_redirect(&self, hall: &ids::HallName, address: &ids::PeerAddress) {
        let mut holders = self.lock();
        if holders.get(hall).is_some_and(|it| it.address == *address) {
            return;
        }
        let holder = HallHolder { address: address.clone(), epoch: 0, beat: None };
        holders.insert(hall.clone(), holder);
    }

    /// Forgets that `address` holds `hall`.
    pub fn forget(&self, hall: &ids::HallName, address: &ids::PeerAddress) {
        let mut holders = self.lock();
        if holders.get(hall).is_some_and(|it| it.address == *address) {
            holders.remove(hall);
        }
    }

    /// Forgets everything about an instance that is taken for dead.
    pub fn remove_instance(&self, address: &ids::PeerAddress) {
        self.lock().retain(|_, it| it.address != *address);
    }

    /// Who holds the hall, as far as known.
    pub fn holder(&self, hall: &ids::HallName) -> Option<ids::PeerAddress> {
        self.lock().get(hall).map(|it| it.address.clone())
    }

    /// What the holders last said.
    pub fn summaries(&self) -> Vec<model::HallBeat> {
        self.lock().values().filter_map(|it| it.beat.clone()).collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ids::HallName, HallHolder>> {
        self.holders.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
