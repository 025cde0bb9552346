//! One read of the table for all halls that an instance watches.

use std::collections::BTreeMap;
use std::time::Duration;

use almondpass_ports::table::TableService;
use almondpass_schema::ids;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{self, Instant};

use crate::options;
use crate::ownership;

/// What a look at a hall found.
#[derive(Debug)]
pub struct OwnerReadResult {
    /// Who schedules the hall; `None` where the read failed.
    pub rows: Option<ownership::OwnerRows>,
    /// When the read ended.
    pub read_at: Instant,
}

/// Reads the rows of halls together for the seats of one instance. Each by itself would send as
/// many calls as there are halls, and heads and envelopes are most of such a call.
#[derive(Clone, Debug)]
pub struct OwnerReader {
    asks: mpsc::UnboundedSender<ReadRequest>,
}

/// One seat that is to look at its hall.
#[derive(Debug)]
struct ReadRequest {
    hall: ids::HallName,
    due: Instant,
    reply: oneshot::Sender<OwnerReadResult>,
}

impl OwnerReader {
    /// Starts the reader of an instance; it ends with its last handle.
    pub fn start<T: TableService>(table: T, options: &options::HallOptions) -> OwnerReader {
        let (asks, asked) = mpsc::unbounded_channel();
        let deadline = options.call_deadline();
        let window = options.tenure_term() / WINDOWS_PER_TERM;
        tokio::spawn(run(table, deadline, window, asked));
        OwnerReader { asks }
    }

    /// Looks at a hall at `due`, or a little earlier along with others. Who no longer waits is
    /// not read for.
    pub async fn read(&self, hall: &ids::HallName, due: Instant) -> OwnerReadResult {
        let (reply, answer) = oneshot::channel();
        let _ = self.asks.send(ReadRequest { hall: hall.clone(), due, reply });
        match answer.await {
            Ok(look) => look,
            Err(_) => OwnerReadResult { rows: None, read_at: Instant::now() },
        }
    }
}

async fn run<T: TableService>(
    table: T,
    deadline: Duration,
    window: Duration,
    mut asked: mpsc::UnboundedReceiver<ReadRequest>,
) {
    let mut waiting = Vec::<ReadRequest>::new();
    loop {
        while let Ok(ask) = asked.try_recv() {
            waiting.push(ask);
        }
        waiting.retain(|it| !it.reply.is_closed());
        let next = waiting.iter().map(|it| it.due).min();
        let now = Instant::now();
        if next.is_some_and(|it| it <= now) {
            let (due, later) = waiting.into_iter().partition(|it| it.due <= now + window);
            waiting = later;
            // Not awaited: a look that is due at once, after a hand-over, would wait for a read
            // that the table does not answer.
            tokio::spawn(read(table.clone(), deadline, due));
            continue;
        }
        tokio::select! {
            ask = asked.recv() => match ask {
                Some(ask) => waiting.push(ask),
                None => return,
            },
            () = time::sleep_until(next.unwrap_or(now)), if next.is_some() => {}
        }
    }
}

async fn read<T: TableService>(table: T, deadline: Duration, asks: Vec<ReadRequest>) {
    let halls = asks.iter().map(|it| it.hall.as_str()).collect::<Vec<_>>();
    let mut found = match time::timeout(deadline, ownership::read_all(&table, &halls)).await {
        Ok(Ok(found)) => found,
        Ok(Err(fault)) => {
            tracing::debug!(%fault, "cannot read who schedules the halls");
            BTreeMap::new()
        }
        Err(_) => BTreeMap::new(),
    };
    let at = Instant::now();
    for ask in asks {
        let rows = found.remove(&ask.hall);
        let _ = ask.reply.send(OwnerReadResult { rows, read_at: at });
    }
}

/// A read takes along the looks that are due within this part of a term. With less, halls of
/// different intervals cost a read each; with more, those that are looked at seldom would be read
/// with nearly every look at the others.
const WINDOWS_PER_TERM: u32 = 24;
