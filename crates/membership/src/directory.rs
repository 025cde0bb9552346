//! Finds the scheduler of a hall and keeps asking until it answers.

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

/// First pause before the holder is looked for again; doubles up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(10);
/// Longest pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(250);

/// No call is made with less time than this: it would end without an answer, and take the place of the last
/// one, which is certain.
const LEAST_CALL: Duration = Duration::from_millis(20);
/// Redirects followed without a pause; two instances that name each other would otherwise spin.
const FREE_REDIRECTS: u32 = 3;
/// A hall's row is read at most this often; the beats usually say it before.
const ROW_INTERVAL: Duration = Duration::from_millis(250);
/// Deadline of one read of a row.
const ROW_DEADLINE: Duration = Duration::from_secs(1);
/// What stands for the peer where there is none yet.
const NO_PEER: &str = "-";

/// Sends calls to the scheduler of their hall, on this instance or another.
#[derive(Debug)]
pub struct HallDirectory<L, T, S> {
    parts: Arc<DirectoryParts<L, T, S>>,
}

/// What a directory is made of.
#[derive(Debug)]
pub struct DirectoryParts<L, T, S> {
    /// Peer address of this instance.
    pub own: ids::PeerAddress,
    /// Calls other instances.
    pub link: L,
    /// Has the rows that name the schedulers.
    pub table: T,
    /// Answers the calls of halls that this instance schedules.
    pub local: S,
    /// Filled by beats.
    pub holders: holders::HolderTable,
    /// When each hall's row was last read.
    pub read_at: Mutex<BTreeMap<ids::HallName, Instant>>,
}

impl<L, T, S> Clone for HallDirectory<L, T, S> {
    fn clone(&self) -> HallDirectory<L, T, S> {
        HallDirectory { parts: self.parts.clone() }
    }
}

impl<L, T, S> HallDirectory<L, T, S> {
    /// A directory over these parts.
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
            match self.parts.send(&address, call.clone(), search.left()).await {
                Ok(reply) => match C::redirect(&reply).map(|it| it.cloned()) {
                    None => return Ok(reply),
                    Some(holder) => {
                        answer = Ok(reply);
                        count_repeat("redirect");
                        self.parts.follow(call.hall(), &address, holder);
                    }
                },
                // Only a call that certainly had no effect is sent again: the scheduler may have
                // acted on any other, and what it then granted has to be settled by the asker.
                Err(error) if error.fault.had_no_effect() => {
                    debug!(%error, hall = call.hall(), "the holder of a hall is not reached");
                    self.parts.miss(call.hall(), &address, &error.fault);
                    answer = Err(error);
                    count_repeat("unreached");
                }
                Err(error) => return Err(error),
            }
            if !search.next().await {
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
    /// Where the hall's scheduler is: here, where beats say, or where the table's row says.
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

    fn follow(
        &self,
        hall: &ids::HallName,
        asked: &ids::PeerAddress,
        holder: Option<ids::PeerAddress>,
    ) {
        match holder {
            Some(address) if address != *asked => self.holders.apply_redirect(hall, &address),
            _ => self.holders.forget(hall, asked),
        }
    }

    /// A holder that refuses is there and may be ready soon; one without a connection is not.
    fn miss(&self, hall: &ids::HallName, asked: &ids::PeerAddress, fault: &error::CallFault) {
        if matches!(fault, error::CallFault::NotSent(_)) {
            self.holders.forget(hall, asked);
        }
    }

    async fn read_row(&self, hall: &ids::HallName) -> Option<ids::PeerAddress> {
        if !self.may_read(hall) {
            return None;
        }
        let get = model::TableGet { keys: vec![keys::scheduler(hall)] };
        let rows = time::timeout(ROW_DEADLINE, self.table.get(get)).await.ok()?.ok()?;
        let value = rows.rows.into_iter().next()?.value?;
        let row = rmp_serde::from_slice::<model::SchedulerRow>(&value).ok()?;
        self.holders.apply_row(&row);
        (!row.released).then_some(row.address)
    }

    /// Callers of a hall without a scheduler would otherwise read its row in a loop together.
    fn may_read(&self, hall: &ids::HallName) -> bool {
        let now = Instant::now();
        let mut read_at = self.read_at.lock().unwrap_or_else(PoisonError::into_inner);
        let due = read_at.get(hall).is_none_or(|it| ROW_INTERVAL <= now - *it);
        if due {
            read_at.insert(hall.clone(), now);
        }
        due
    }
}

/// How long and how often the holder is still looked for.
struct HolderSearch {
    until: Instant,
    pause: Duration,
    redirects: u32,
}

impl HolderSearch {
    fn new(deadline: Duration) -> HolderSearch {
        HolderSearch { until: Instant::now() + deadline, pause: FIRST_PAUSE, redirects: 0 }
    }

    fn left(&self) -> Duration {
        self.until.saturating_duration_since(Instant::now())
    }

    /// Goes on at once for the first few times, then after a pause; false when time is up.
    async fn next(&mut self) -> bool {
        self.redirects += 1;
        if self.redirects <= FREE_REDIRECTS {
            return self.left() > LEAST_CALL;
        }
        self.pause().await
    }

    /// Waits, with jitter so that those who wait together do not ask together.
    async fn pause(&mut self) -> bool {
        let share = rand::rng().random_range(0.5..1.0);
        let pause = self.pause.mul_f64(share);
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
        if self.left() <= pause + LEAST_CALL {
            return false;
        }
        time::sleep(pause).await;
        true
    }
}

/// A call of a hall is tried again.
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
