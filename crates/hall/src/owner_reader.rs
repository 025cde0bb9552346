//! Reads which instances schedule the halls, in one call to the table for all contenders of an instance.

use std::collections::BTreeMap;
use std::time::Duration;

use almondpass_ports::table::TableService;
use almondpass_schema::ids;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{self, Instant};

use crate::options;
use crate::ownership;

/// Result of reading the rows of one hall.
#[derive(Debug)]
pub struct OwnerReadResult {
    /// The rows of the hall; `None` if the read failed or a row is malformed.
    pub rows: Option<ownership::OwnerRows>,
    /// When the read ended, whether or not it failed.
    pub read_at: Instant,
}

/// Combines the reads of the contenders of one instance. If each contender read its own rows, there would
/// be a call for every hall, and most bytes of such a call are headers and envelopes.
#[derive(Clone, Debug)]
pub struct OwnerReader {
    sender: mpsc::UnboundedSender<ReadRequest>,
}

/// Request of one contender to read the rows of its hall.
#[derive(Debug)]
struct ReadRequest {
    hall: ids::HallName,
    due: Instant,
    reply: oneshot::Sender<OwnerReadResult>,
}

impl OwnerReader {
    /// Starts the reader task of an instance. The task ends when the last clone of the reader is dropped.
    pub fn start<T: TableService>(table: T, options: &options::HallOptions) -> OwnerReader {
        let (sender, request_receiver) = mpsc::unbounded_channel();
        let deadline = options.call_deadline();
        let window = options.tenure_term() / WINDOWS_PER_TERM;
        tokio::spawn(run(table, deadline, window, request_receiver));
        OwnerReader { sender }
    }

    /// Reads the rows of a hall at `due`, or a little earlier together with those of other halls. Dropping
    /// the future cancels the request.
    pub async fn read(&self, hall: &ids::HallName, due: Instant) -> OwnerReadResult {
        let (reply, reply_receiver) = oneshot::channel();
        let _ = self.sender.send(ReadRequest { hall: hall.clone(), due, reply });
        match reply_receiver.await {
            Ok(read_result) => read_result,
            Err(_) => OwnerReadResult { rows: None, read_at: Instant::now() },
        }
    }
}

async fn run<T: TableService>(
    table: T,
    deadline: Duration,
    window: Duration,
    mut request_receiver: mpsc::UnboundedReceiver<ReadRequest>,
) {
    let mut pending = Vec::<ReadRequest>::new();
    loop {
        while let Ok(request) = request_receiver.try_recv() {
            pending.push(request);
        }
        pending.retain(|it| !it.reply.is_closed());
        let next_due = pending.iter().map(|it| it.due).min();
        let now = Instant::now();
        if next_due.is_some_and(|it| it <= now) {
            let (due_requests, not_due) =
                pending.into_iter().partition(|it| it.due <= now + window);
            pending = not_due;
            // Not awaited: a request that is due at once, after a hand-over, would otherwise wait for a
            // read that the table does not answer.
            tokio::spawn(read(table.clone(), deadline, due_requests));
            continue;
        }
        tokio::select! {
            request = request_receiver.recv() => match request {
                Some(request) => pending.push(request),
                None => return,
            },
            () = time::sleep_until(next_due.unwrap_or(now)), if next_due.is_some() => {}
        }
    }
}

async fn read<T: TableService>(table: T, deadline: Duration, requests: Vec<ReadRequest>) {
    let halls = requests.iter().map(|it| it.hall.as_str()).collect::<Vec<_>>();
    let mut rows_by_hall = match time::timeout(deadline, ownership::read_all(&table, &halls)).await
    {
        Ok(Ok(rows_by_hall)) => rows_by_hall,
        Ok(Err(fault)) => {
            tracing::debug!(%fault, "cannot read the scheduler rows of the halls");
            BTreeMap::new()
        }
        Err(_) => BTreeMap::new(),
    };
    let read_at = Instant::now();
    for request in requests {
        let rows = rows_by_hall.remove(&request.hall);
        let _ = request.reply.send(OwnerReadResult { rows, read_at });
    }
}

/// A read includes the requests that are due within a term divided by this. With a shorter window, halls
/// with different read intervals would each cost a call. With a longer one, halls with a long interval
/// would be read with nearly every read of the others.
const WINDOWS_PER_TERM: u32 = 24;
