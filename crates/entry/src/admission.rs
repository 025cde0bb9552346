//! How many requests are held at a time, and for whom.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use almondpass_schema::ids;
use thiserror::Error;
use tokio::sync::Notify;

/// Why a request is shed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ShedCause {
    /// The instance holds as many requests as it may.
    #[error("expected room on this instance, found it full")]
    InstanceFull,
    /// The account holds as many requests as it may.
    #[error("expected the account below its limits, found it at them")]
    AccountFull,
}

/// Admits requests up to the instance's limit and each account's own.
///
/// The largest account could fill the instance alone and shut the others out of capacity they
/// were promised; one would see it as small accounts shed while the large one is served. Half of
/// the places are therefore kept for all accounts alike; the other half goes to whoever comes.
#[derive(Clone, Debug)]
pub struct AdmissionGate {
    places: usize,
    state: Arc<GateShared>,
}

#[derive(Debug, Default)]
struct GateShared {
    state: Mutex<GateState>,
    emptied: Notify,
}

#[derive(Debug, Default)]
struct GateState {
    total: usize,
    shared: usize,
    accounts: HashMap<ids::AccountId, AccountUse>,
}

#[derive(Clone, Copy, Debug, Default)]
struct AccountUse {
    reserved: usize,
    shared: usize,
}

/// One admitted request; dropping it makes room.
#[derive(Debug)]
pub struct AdmissionPermit {
    state: Arc<GateShared>,
    account: ids::AccountId,
    shared: bool,
}

impl AdmissionGate {
    /// A gate with this many places.
    pub fn new(places: u32) -> AdmissionGate {
        AdmissionGate { places: places as usize, state: Arc::default() }
    }

    /// Admits a request of `account`, one of `n_accounts`, which may have `own` at a time.
    pub fn enter(
        &self,
        account: &ids::AccountId,
        n_accounts: usize,
        own: usize,
    ) -> Result<AdmissionPermit, ShedCause> {
        let floor = self.places / (2 * n_accounts.max(1));
        let mut state = self.state.lock();
        let used = state.accounts.get(account).copied().unwrap_or_default();
        if own <= used.reserved + used.shared {
            return Err(ShedCause::AccountFull);
        }
        let shared = floor <= used.reserved;
        if shared && self.places - floor * n_accounts <= state.shared {
            return Err(ShedCause::InstanceFull);
        }
        state.total += 1;
        state.shared += usize::from(shared);
        let used = state.accounts.entry(account.clone()).or_default();
        used.shared += usize::from(shared);
        used.reserved += usize::from(!shared);
        let state = Arc::clone(&self.state);
        Ok(AdmissionPermit { state, account: account.clone(), shared })
    }

    /// Requests held now.
    pub fn in_flight(&self) -> usize {
        self.state.lock().total
    }

    /// Waits until no request is held.
    pub async fn emptied(&self) {
        loop {
            let emptied = self.state.emptied.notified();
            if self.in_flight() == 0 {
                return;
            }
            emptied.await;
        }
    }
}

impl GateShared {
    fn lock(&self) -> std::sync::MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(|it| it.into_inner())
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let mut state = self.state.lock();
        state.total -= 1;
        state.shared -= usize::from(self.shared);
        if let Some(used) = state.accounts.get_mut(&self.account) {
            used.shared -= usize::from(self.shared);
            used.reserved -= usize::from(!self.shared);
        }
        if state.total == 0 {
            self.state.emptied.notify_waiters();
        }
    }
}
