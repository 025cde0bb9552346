//! Three times the load that an entry has places for: what still gets through, for whom, and what
//! memory it takes. The upstream takes its time, so that places and not the processor are scarce.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::large_body;
use crate::load;
use crate::parties;

/// How long the upstream takes for a request.
pub(crate) const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Requests that the entry holds at a time.
pub(crate) const PLACES: u32 = 64;
/// Connections of the large account under overload.
const CONNECTIONS: usize = 400;
/// Connections of the small account.
const SMALL_CONNECTIONS: usize = 16;
/// Share of the places that the small account asks for; a quarter is kept for it.
const SMALL_SHARE: f64 = 0.2;
const SPAN: Duration = Duration::from_secs(5);

/// Answers by what they are.
#[derive(Debug, Default)]
struct AnswerCount {
    done: AtomicU64,
    shed: AtomicU64,
}

impl AnswerCount {
    fn note(&self, status: u16) {
        let count = if status == 200 { &self.done } else { &self.shed };
        count.fetch_add(1, Ordering::Relaxed);
    }

    fn done(&self) -> f64 {
        self.done.load(Ordering::Relaxed) as f64 / SPAN.as_secs_f64()
    }

    fn done_share(&self) -> f64 {
        let (done, shed) = (self.done.load(Ordering::Relaxed), self.shed.load(Ordering::Relaxed));
        100.0 * done as f64 / (done + shed).max(1) as f64
    }
}

pub(crate) fn report(entry: &parties::Party) {
    let peak = {
        let large = AnswerCount::default();
        offer(entry, &[(parties::KEY, PLACES as usize - 16, f64::INFINITY, &large)]);
        large.done()
    };
    let ideal = f64::from(PLACES) / SERVICE_TIME.as_secs_f64();
    println!(
        "overload, {PLACES} places, {SERVICE_TIME:?} a request, at most {ideal:.0} requests/s:"
    );
    println!("  the large account alone, just what is admitted: {peak:.0} done/s");
    let (large, small) = (AnswerCount::default(), AnswerCount::default());
    let before = large_body::resident();
    offer(
        entry,
        &[
            (parties::KEY, CONNECTIONS, 3.0 * ideal, &large),
            (parties::SMALL_KEY, SMALL_CONNECTIONS, SMALL_SHARE * ideal, &small),
        ],
    );
    let grown = large_body::resident().saturating_sub(before) as f64 / (1024.0 * 1024.0);
    let (done, share) = (large.done() + small.done(), small.done_share());
    println!(
        "  3 times that offered, and a small account besides: {done:.0} done/s, of the small \
         account's requests {share:.1}% done, {grown:.1} MiB grown"
    );
}

/// Each account's connections send at its rate together, each request waiting for its answer.
fn offer(entry: &parties::Party, accounts: &[(&'static str, usize, f64, &AnswerCount)]) {
    let runtime = load::runtime();
    let end = Instant::now() + SPAN;
    let mut tasks = Vec::new();
    let counts = accounts.iter().map(|_| Arc::new(AnswerCount::default())).collect::<Vec<_>>();
    for ((key, n_connections, rate, _), count) in accounts.iter().zip(&counts) {
        let interval = Duration::from_secs_f64(*n_connections as f64 / rate);
        for number in 0..*n_connections {
            let (count, target, key) = (Arc::clone(count), entry.address, *key);
            let offset = interval.mul_f64(number as f64 / *n_connections as f64);
            tasks.push(runtime.spawn(async move {
                let mut connection = load::LoadConnection::open(target, key).await;
                let mut due = tokio::time::Instant::now() + offset;
                while Instant::now() < end {
                    tokio::time::sleep_until(due).await;
                    due += interval;
                    count.note(connection.exchange().await);
                }
            }));
        }
    }
    for it in tasks {
        runtime.block_on(it).expect("a connection's task");
    }
    for ((.., total), count) in accounts.iter().zip(&counts) {
        total.done.store(count.done.load(Ordering::Relaxed), Ordering::Relaxed);
        total.shed.store(count.shed.load(Ordering::Relaxed), Ordering::Relaxed);
    }
}
