//! Stand-in for the platform's store: rows in tables and parts, conditional transactions, and a feed.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{self, Instant};

use crate::http;
use crate::record;

/// Rows per answer.
const MAX_ROWS: usize = 500;

/// Duration of a transaction, as `txn-ms` in the settings.
const TRANSACTION_TIME: Duration = Duration::from_millis(5);

/// Duration of a read.
const READ_TIME: Duration = Duration::from_millis(4);

/// Table, part and key.
type RowName = (String, String, String);

#[derive(Clone, Debug)]
struct StoredRow {
    version: u64,
    /// In base64; `None` if the row was removed.
    value: Option<String>,
}

/// A silence of the store: nothing is answered. What arrives is not done, except that the last transaction that
/// creates a row of the table `late_table` is done `late_by` after it was received, if its condition still holds.
#[derive(Clone, Debug)]
pub struct Silence {
    pub late_table: &'static str,
    pub late_by: Duration,
}

#[derive(Debug, Default)]
struct StoreState {
    rows: BTreeMap<RowName, StoredRow>,
    version: u64,
    silence: Option<Silence>,
    /// The transaction that is done late, and when.
    late: Option<(Instant, Value)>,
    /// Machines that are cut off from the store.
    cut_off: BTreeSet<usize>,
    /// The machine that last wrote to the table `tenure`.
    last_holder: Option<usize>,
}

/// The store; clones share the rows.
#[derive(Clone, Debug)]
pub struct Store {
    state: Arc<Mutex<StoreState>>,
    versions: watch::Sender<u64>,
    started_at: Instant,
    record: record::Record,
}

impl Store {
    pub fn new(record: record::Record) -> Store {
        Store {
            state: Arc::default(),
            versions: watch::Sender::new(0),
            started_at: Instant::now(),
            record,
        }
    }

    /// Serves the store on a free port of `ip`, for one machine.
    pub async fn serve(
        &self,
        ip: &str,
        machine: usize,
    ) -> std::io::Result<(http::Server, SocketAddr)> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let address = listener.local_addr()?;
        let store = self.clone();
        let server = http::serve(listener, move |request| {
            let store = store.clone();
            async move {
                let is_reachable = || !store.state.lock().unwrap().cut_off.contains(&machine);
                if !is_reachable() {
                    return http::Reply::Silence;
                }
                store.note_holder(machine, &request);
                let reply = store.handle(request).await;
                // An answer that is on its way when the cut begins does not arrive.
                if is_reachable() { reply } else { http::Reply::Silence }
            }
        });
        Ok((server, address))
    }

    /// Cuts a machine off from the store, or ends the cut: nothing passes either way.
    pub fn set_cut_off(&self, machine: usize, is_cut_off: bool) {
        let mut state = self.state.lock().unwrap();
        if is_cut_off {
            state.cut_off.insert(machine);
        } else {
            state.cut_off.remove(&machine);
        }
    }

    /// The machine that last wrote to the table `tenure`.
    pub fn last_holder(&self) -> Option<usize> {
        self.state.lock().unwrap().last_holder
    }

    fn note_holder(&self, machine: usize, request: &http::Request) {
        if request.path != "/rows-tx" {
            return;
        }
        let is_tenure = |it: &Value| it["table"] == "tenure";
        if request.json()["puts"].as_array().is_some_and(|it| it.iter().any(is_tenure)) {
            self.state.lock().unwrap().last_holder = Some(machine);
        }
    }

    /// Writes a row of a table that the system may not write to.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        let value = Some(STANDARD.encode(value.to_string()));
        self.write(vec![((table.to_owned(), String::new(), key.to_owned()), value)]);
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.write(vec![((table.to_owned(), String::new(), key.to_owned()), None)]);
    }

    pub fn begin_silence(&self, silence: Silence) {
        self.state.lock().unwrap().silence = Some(silence);
    }

    /// Ends the silence; what is to be done late is done when its time has come.
    pub fn end_silence(&self) {
        let mut state = self.state.lock().unwrap();
        state.silence = None;
        let Some((at, transaction)) = state.late.take() else { return };
        drop(state);
        let store = self.clone();
        tokio::spawn(async move {
            time::sleep_until(at).await;
            let is_done = store.apply(&transaction).is_ok();
            let row = row_name(&transaction["puts"][0]);
            store.record.line(format!(
                "store: a call that got no answer is performed now, row {}/{}/{}: {}",
                row.0,
                row.1,
                row.2,
                if is_done { "done" } else { "its condition does not hold any more" }
            ));
        });
    }

    fn write(&self, writes: Vec<(RowName, Option<String>)>) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        for (name, value) in writes {
            state.rows.insert(name, StoredRow { version, value });
        }
        drop(state);
        self.versions.send_replace(version);
        version
    }

    async fn handle(&self, request: http::Request) -> http::Reply {
        if self.is_swallowed(&request) {
            return http::Reply::Silence;
        }
        let reply = match request.path.as_str() {
            "/rows-tx" => self.transact(&request).await,
            "/rows-get" => {
                time::sleep(READ_TIME).await;
                self.read_rows(&request)
            }
            "/rows-parts" => {
                time::sleep(READ_TIME).await;
                self.list_parts(&request)
            }
            "/rows-feed" => self.follow(&request).await,
            _ => http::Reply::empty(404),
        };
        // A call that was being answered when the silence began gets no answer either.
        if self.state.lock().unwrap().silence.is_some() { http::Reply::Silence } else { reply }
    }

    /// Whether a call is received during a silence.
    fn is_swallowed(&self, request: &http::Request) -> bool {
        let mut state = self.state.lock().unwrap();
        let Some(silence) = state.silence.clone() else { return false };
        if request.path == "/rows-tx" {
            let transaction = request.json();
            let row = row_name(&transaction["puts"][0]);
            self.record.line(format!(
                "store: silent, no answer to a write of {}/{}/{}",
                row.0, row.1, row.2
            ));
            if row.0 == silence.late_table {
                state.late = Some((Instant::now() + silence.late_by, transaction));
            }
        }
        true
    }

    async fn transact(&self, request: &http::Request) -> http::Reply {
        let transaction = request.json();
        time::sleep(TRANSACTION_TIME).await;
        let names = transaction["puts"].as_array().into_iter().flatten().map(row_name);
        if names.into_iter().any(|it| it.0 == "op" || it.0 == "servers") {
            return http::Reply::empty(403);
        }
        match self.apply(&transaction) {
            Ok(version) => self.versioned(json!({}), version),
            Err(rows) => self.versioned_with(412, json!({"rows": rows})),
        }
    }

    /// Applies a transaction, or returns the rows of its failed condition.
    fn apply(&self, transaction: &Value) -> Result<u64, Vec<Value>> {
        let entries = |name: &str| transaction[name].as_array().cloned().unwrap_or_default();
        let mut state = self.state.lock().unwrap();
        let mut is_met = true;
        let mut rows = Vec::new();
        for condition in entries("precondition") {
            let name = row_name(&condition);
            let row = state.rows.get(&name).filter(|it| it.value.is_some());
            is_met &=
                row.map_or(0, |it| it.version) == condition["row-version"].as_u64().unwrap_or(0);
            rows.extend(row.map(|it| row_json(&name, it)));
        }
        if !is_met {
            return Err(rows);
        }
        state.version += 1;
        let version = state.version;
        for put in entries("puts") {
            let value = put["value"].as_str().map(str::to_owned);
            state.rows.insert(row_name(&put), StoredRow { version, value });
        }
        for removed in entries("remove") {
            state.rows.insert(row_name(&removed), StoredRow { version, value: None });
        }
        drop(state);
        self.versions.send_replace(version);
        Ok(version)
    }

    fn read_rows(&self, request: &http::Request) -> http::Reply {
        let state = self.state.lock().unwrap();
        let limit = request.text("limit").parse().unwrap_or(MAX_ROWS).min(MAX_ROWS);
        let (table, part) = (request.text("table"), request.text("part"));
        let target = request.text("target");
        let first = (table.to_owned(), part.to_owned(), request.text("from").to_owned());
        let range = state.rows.range(first..).take_while(|((t, p, k), _)| {
            t == table && p == part && (target.is_empty() || k.as_str() < target)
        });
        let mut live = range.filter(|(_, row)| row.value.is_some());
        let page = live.by_ref().take(limit).map(|(name, row)| row_json(name, row));
        let page = page.collect::<Vec<_>>();
        let has_more = live.next().is_some();
        self.versioned(json!({"rows": page, "has-more": has_more}), state.version)
    }

    fn list_parts(&self, request: &http::Request) -> http::Reply {
        let state = self.state.lock().unwrap();
        let live = state.rows.iter().filter(|(_, row)| row.value.is_some());
        let of_table = live.filter(|((table, ..), _)| table == request.text("table"));
        let mut parts = of_table.map(|((_, part, _), _)| part.clone()).collect::<Vec<_>>();
        parts.dedup();
        self.versioned(json!({"parts": parts, "has-more": false}), state.version)
    }

    async fn follow(&self, request: &http::Request) -> http::Reply {
        let after = request.number("after");
        let wait = Duration::from_millis(request.number("wait-ms").min(30_000));
        let deadline = Instant::now() + wait;
        let mut versions = self.versions.subscribe();
        loop {
            versions.borrow_and_update();
            let (changed, version) = self.changes(request.text("table"), after);
            if !changed.is_empty() || Instant::now() >= deadline {
                return self.versioned(json!({"rows": changed}), version);
            }
            let _ = time::timeout_at(deadline, versions.changed()).await;
        }
    }

    fn changes(&self, table: &str, after: u64) -> (Vec<Value>, u64) {
        let state = self.state.lock().unwrap();
        let of_table = state.rows.iter().filter(|((it, ..), _)| it == table);
        let mut changed = of_table.filter(|(_, row)| row.version > after).collect::<Vec<_>>();
        changed.sort_by_key(|(_, row)| row.version);
        let rows = changed.into_iter().map(|(name, row)| row_json(name, row)).collect();
        (rows, state.version)
    }

    fn versioned(&self, body: Value, version: u64) -> http::Reply {
        let mut body = body;
        body["row-version"] = json!(version);
        self.versioned_with(200, body)
    }

    fn versioned_with(&self, status: u16, mut body: Value) -> http::Reply {
        body["now-ms"] = json!(self.started_at.elapsed().as_millis() as u64);
        http::Reply::json(status, &body)
    }
}

fn row_name(row: &Value) -> RowName {
    let text = |name: &str| row[name].as_str().unwrap_or_default().to_owned();
    (text("table"), text("part"), text("key"))
}

fn row_json((table, part, key): &RowName, row: &StoredRow) -> Value {
    let mut json = json!({"table": table, "part": part, "key": key, "row-version": row.version});
    match &row.value {
        Some(value) => json["value"] = json!(value),
        None => json["deleted"] = json!(true),
    }
    json
}
