//! Finds the scheduler of a hall and repeats a call until the scheduler answers or the deadline passes.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use almondpass_peer::{call, error, link};
use almondpass_ports::{keys, table};
use almondpass_schema::{ids, model};
use rand::RngExt;
use tokio::time::{self, Instant};
use tracing::debug;

use crate::holders;
use crate::local;

/// First pause before the next search for the holder; doubles up to `MAX_PAUSE`.
const FIRST_PAUSE: Duration = Duration::from_millis(10);
/// Upper bound of the pause between two searches for the holder.
const MAX_PAUSE: Duration = Duration::from_millis(250);

/// No call is made with less time left than this: it would probably time out, and its uncertain outcome would
/// replace that of the previous call, which is known to have had no effect.
const MIN_CALL_TIME: Duration = Duration::from_millis(20);
/// Number of retries without a pause. Without this bound, two instances that redirect to each other would
/// cause a busy loop.
const IMMEDIATE_RETRIES: u32 = 3;
/// Minimum interval between two reads of a hall's row; beats usually report the holder earlier.
const ROW_INTERVAL: Duration = Duration::from_millis(250);
/// Deadline of one read of a row.
const ROW_DEADLINE: Duration = Duration::from_secs(1);
/// Peer name in errors when no holder is known.
const NO_PEER: &str = "-";

/// Sends each call to the scheduler of its hall, on this instance or another. Clones share their state.
#[derive(Debug)]
pub struct HallDirectory<L, T, S> {
    parts: Arc<DirectoryParts<L, T, S>>,
}

/// Dependencies and shared state of a `HallDirectory`.
#[derive(Debug)]
pub struct DirectoryParts<L, T, S> {
    /// Peer address of this instance.
    pub own: ids::PeerAddress,
    /// Sends calls to other instances.
    pub link: L,
    /// Store that contains the scheduler row of each hall.
    pub table: T,
    /// Answers calls to halls that this instance schedules.
    pub local: S,
    /// Last known holders: from beats, and from the redirects and rows that the directory reads.
    pub holders: holders::HolderTable,
    /// Time of the latest read of each hall's row, or of the attempt.
    pub read_at: Mutex<BTreeMap<ids::HallName, Instant>>,
}

impl<L, T, S> Clone for HallDirectory<L, T, S> {
    fn clone(&self) -> HallDirectory<L, T, S> {
        HallDirectory { parts: self.parts.clone() }
    }
}

impl<L, T, S> HallDirectory<L, T, S> {
    /// Creates a directory that owns `parts`.
    pub fn new(parts: DirectoryParts<L, T, S>) -> HallDirectory<L, T, S> {
        HallDirectory { parts: Arc::new(parts) }
    }
}

impl<L, T, S> link::HallLink for HallDirectory<L, T, S>
where
    L: link::PeerLink,
    T: table::TableService,
    S: local::LocalHalls,
{
    async fn ask<C: call::HallCall>(
        &self,
        call: C,
        deadline: Duration,
    ) -> Result<C::Reply, error::CallError> {
        let mut search = HolderSearch::new(deadline);
        let mut answer = Err(no_holder::<C>());
        loop {
            let Some(address) = self.parts.find(call.hall()).await else {
                count_repeat("no_holder");
                if !search.pause().await {
                    return answer;
                }
                continue;
            };
            match self.parts.send(&address, call.clone(), search.time_left()).await {
                Ok(reply) => match C::redirect(&reply).map(|it| it.cloned()) {
                    None => return Ok(reply),
                    Some(holder) => {
                        answer = Ok(reply);
                        count_repeat("redirect");
                        self.parts.apply_redirect(call.hall(), &address, holder);
                    }
                },
                // Only a call that certainly had no effect is sent again. The scheduler may have acted on any
                // other call, and the caller has to settle what it granted.
                Err(error) if error.fault.had_no_effect() => {
                    debug!(%error, hall = call.hall(), "a call to a hall holder had no effect");
                    self.parts.handle_failure(call.hall(), &address, &error.fault);
                    answer = Err(error);
                    count_repeat("unreached");
                }
                Err(error) => return Err(error),
            }
            if !search.wait_for_retry().await {
                return answer;
            }
        }
    }

    fn summaries(&self) -> Vec<model::HallBeat> {
        self.parts.holders.summaries()
    }
}

impl<L, T, S> DirectoryParts<L, T, S>
where
    L: link::PeerLink,
    T: table::TableService,
    S: local::LocalHalls,
{
    /// Returns the address of the hall's scheduler: this instance, else the last known holder, else the one
    /// in the hall's row.
    async fn find(&self, hall: &ids::HallName) -> Option<ids::PeerAddress> {
        if self.local.holds(hall) {
            return Some(self.own.clone());
        }
        match self.holders.holder(hall) {
            Some(address) if address != self.own => Some(address),
            _ => self.read_row(hall).await.filter(|it| *it != self.own),
        }
    }

    async fn send<C: call::HallCall>(
        &self,
        address: &ids::PeerAddress,
        call: C,
        deadline: Duration,
    ) -> Result<C::Reply, error::CallError> {
        if *address != self.own {
            return self.link.call(address, call, deadline).await;
        }
        match time::timeout(deadline, self.local.answer(call)).await {
            Ok(answer) => answer,
            Err(_) => Err(error::CallError {
                step: C::PATH,
                peer: self.own.clone(),
                fault: error::CallFault::TimedOut(deadline),
            }),
        }
    }

    fn apply_redirect(
        &self,
        hall: &ids::HallName,
        called: &ids::PeerAddress,
        holder: Option<ids::PeerAddress>,
    ) {
        match holder {
            Some(address) if address != *called => self.holders.apply_redirect(hall, &address),
            _ => self.holders.forget(hall, called),
        }
    }

    /// Removes the holder if the call was not sent. A holder that rejected the call stays recorded: it is
    /// reachable and may be ready soon.
    fn handle_failure(
        &self,
        hall: &ids::HallName,
        called: &ids::PeerAddress,
        fault: &error::CallFault,
    ) {
        if matches!(fault, error::CallFault::NotSent(_)) {
            self.holders.forget(hall, called);
        }
    }

    async fn read_row(&self, hall: &ids::HallName) -> Option<ids::PeerAddress> {
        if !self.may_read_row(hall) {
            return None;
        }
        let get = model::TableGet { keys: vec![keys::scheduler(hall)] };
        let rows = time::timeout(ROW_DEADLINE, self.table.get(get)).await.ok()?.ok()?;
        let value = rows.rows.into_iter().next()?.value?;
        let row = rmp_serde::from_slice::<model::SchedulerRow>(&value).ok()?;
        self.holders.apply_row(&row);
        (!row.released).then_some(row.address)
    }

    /// Whether the hall's row may be read now; records the time if so. Without this limit, all callers of a
    /// hall without a scheduler would read its row in a loop.
    fn may_read_row(&self, hall: &ids::HallName) -> bool {
        let now = Instant::now();
        let mut read_at = self.read_at.lock().unwrap_or_else(PoisonError::into_inner);
        let due = read_at.get(hall).is_none_or(|it| ROW_INTERVAL <= now - *it);
        if due {
            read_at.insert(hall.clone(), now);
        }
        due
    }
}

/// Time and pauses left for one call's search for the holder.
struct HolderSearch {
    expires_at: Instant,
    pause: Duration,
    attempts: u32,
}

impl HolderSearch {
    fn new(deadline: Duration) -> HolderSearch {
        HolderSearch { expires_at: Instant::now() + deadline, pause: FIRST_PAUSE, attempts: 0 }
    }

    fn time_left(&self) -> Duration {
        self.expires_at.saturating_duration_since(Instant::now())
    }

    /// Allows the first `IMMEDIATE_RETRIES` repetitions at once, later ones after a pause. Returns false if
    /// too little time is left.
    async fn wait_for_retry(&mut self) -> bool {
        self.attempts += 1;
        if self.attempts <= IMMEDIATE_RETRIES {
            return self.time_left() > MIN_CALL_TIME;
        }
        self.pause().await
    }

    /// Waits with jitter, so that callers that began to wait together don't repeat their calls together.
    /// Returns false, without waiting, if too little time would be left.
    async fn pause(&mut self) -> bool {
        let jitter = rand::rng().random_range(0.5..1.0);
        let pause = self.pause.mul_f64(jitter);
        self.pause = (self.pause * 2).min(MAX_PAUSE);
        if self.time_left() <= pause + MIN_CALL_TIME {
            return false;
        }
        time::sleep(pause).await;
        true
    }
}

/// Counts a repeated call or search, by cause.
fn count_repeat(cause: &'static str) {
    metrics::counter!("almondpass_hall_asks_repeated_total", "cause" => cause).increment(1);
}

fn no_holder<C: call::HallCall>() -> error::CallError {
    error::CallError {
        step: C::PATH,
        peer: NO_PEER.to_owned(),
        fault: error::CallFault::NotSent("no scheduler of the hall".to_owned()),
    }
}
