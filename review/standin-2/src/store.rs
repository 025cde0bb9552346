//! Stand-in for the platform's store of rows, by its published protocol.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::base64;
use crate::http;

/// Most rows of an answer.
const MAX_ROWS: usize = 500;

/// How long a transaction takes, as the settings say (`txn-ms`).
const TRANSACTION_TIME: Duration = Duration::from_millis(5);

/// Tables that the system may not write to.
const PLATFORM_TABLES: [&str; 2] = ["op", "servers"];

type RowName = (String, String, String);

#[derive(Clone, Debug)]
struct Row {
    version: u64,
    /// `None` for a row that was removed.
    value: Option<String>,
}

#[derive(Debug, Default)]
struct Rows {
    rows: BTreeMap<RowName, Row>,
    version: u64,
}

/// A row that a machine has written.
#[derive(Clone, Debug)]
pub struct Written {
    pub at: Instant,
    pub node: usize,
    pub table: String,
    pub key: String,
}

/// The store; clones share the rows.
#[derive(Clone, Debug)]
pub struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    last_writer: Arc<Mutex<Option<usize>>>,
    /// Writes that were carried out, with the machine that sent them.
    writes: Arc<Mutex<Vec<Written>>>,
    /// How much longer than usual each answer takes, in milliseconds.
    slowness_ms: Arc<AtomicU64>,
    started: Instant,
}

impl Store {
    pub fn new() -> Store {
        Store {
            rows: Arc::default(),
            last_writer: Arc::default(),
            writes: Arc::default(),
            slowness_ms: Arc::default(),
            started: Instant::now(),
        }
    }

    /// Writes a row as the platform does. Returns when the store has acknowledged it.
    pub fn put(&self, table: &str, key: &str, value: &Value) -> Instant {
        let name = (table.to_owned(), String::new(), key.to_owned());
        self.write(vec![(name, Some(base64::encode(value.to_string().as_bytes())))]);
        Instant::now()
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.write(vec![((table.to_owned(), String::new(), key.to_owned()), None)]);
    }

    fn write(&self, writes: Vec<(RowName, Option<String>)>) {
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        for (name, value) in writes {
            rows.rows.insert(name, Row { version, value });
        }
        changed.notify_all();
    }

    /// The machine that last wrote under a condition, if any has.
    pub fn last_conditional_writer(&self) -> Option<usize> {
        *self.last_writer.lock().unwrap()
    }

    /// Lets each answer take so much longer from now on.
    pub fn set_slowness(&self, slowness: Duration) {
        self.slowness_ms.store(slowness.as_millis() as u64, Ordering::SeqCst);
    }

    /// The first row that a machine wrote after `since` and that matches.
    pub fn first_write(
        &self,
        since: Instant,
        matches: impl Fn(&Written) -> bool,
    ) -> Option<Written> {
        let writes = self.writes.lock().unwrap();
        writes.iter().find(|it| it.at > since && matches(it)).cloned()
    }

    /// Answers a call of machine `node`.
    pub fn handle(&self, node: usize, request: http::Request) -> http::Answer {
        let answer = self.answer_call(node, request);
        thread::sleep(Duration::from_millis(self.slowness_ms.load(Ordering::SeqCst)));
        answer
    }

    fn answer_call(&self, node: usize, request: http::Request) -> http::Answer {
        match request.path.as_str() {
            "/rows-tx" => {
                let transaction = request.json();
                let answer = self.transact(&transaction);
                let is_conditional =
                    transaction["precondition"].as_array().is_some_and(|it| !it.is_empty());
                if answer.status == 200 {
                    self.note_writes(node, &transaction);
                }
                if is_conditional && answer.status == 200 {
                    *self.last_writer.lock().unwrap() = Some(node);
                }
                answer
            }
            "/rows-get" => self.get(&request),
            "/rows-parts" => self.parts(&request),
            "/rows-feed" => self.feed(&request),
            _ => http::Answer::empty(404),
        }
    }

    fn note_writes(&self, node: usize, transaction: &Value) {
        let puts = transaction["puts"].as_array().cloned().unwrap_or_default();
        let at = Instant::now();
        let written =
            puts.iter().map(row_name).map(|(table, _, key)| Written { at, node, table, key });
        self.writes.lock().unwrap().extend(written);
    }

    fn answer(&self, mut body: Value, version: u64) -> http::Answer {
        body["row-version"] = json!(version);
        body["now-ms"] = json!(self.started.elapsed().as_millis() as u64);
        http::Answer::new(200, body)
    }

    fn transact(&self, transaction: &Value) -> http::Answer {
        thread::sleep(TRANSACTION_TIME);
        let entries = |name: &str| transaction[name].as_array().cloned().unwrap_or_default();
        let puts = entries("puts").into_iter();
        let puts = puts.map(|it| (row_name(&it), it["value"].as_str().map(str::to_owned)));
        let removed = entries("remove").into_iter().map(|it| (row_name(&it), None));
        let writes = puts.chain(removed).collect::<Vec<_>>();
        if writes.iter().any(|((table, ..), _)| PLATFORM_TABLES.contains(&table.as_str())) {
            return http::Answer::empty(403);
        }
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        let mut is_met = true;
        let mut found = Vec::new();
        for condition in entries("precondition") {
            let name = row_name(&condition);
            let row = rows.rows.get(&name).filter(|it| it.value.is_some());
            is_met &=
                row.map_or(0, |it| it.version) == condition["row-version"].as_u64().unwrap_or(0);
            found.extend(row.map(|it| row_json(&name, it)));
        }
        if !is_met {
            let version = rows.version;
            let mut answer = self.answer(json!({ "rows": found }), version);
            answer.status = 412;
            return answer;
        }
        rows.version += 1;
        let version = rows.version;
        for (name, value) in writes {
            rows.rows.insert(name, Row { version, value });
        }
        changed.notify_all();
        self.answer(json!({}), version)
    }

    fn get(&self, request: &http::Request) -> http::Answer {
        let rows = self.rows.0.lock().unwrap();
        let limit = request.text("limit").parse().unwrap_or(MAX_ROWS).min(MAX_ROWS);
        let (table, part, end) =
            (request.text("table"), request.text("part"), request.text("target"));
        let first = (table.to_owned(), part.to_owned(), request.text("from").to_owned());
        let range = rows.rows.range(first..).take_while(|((of_table, of_part, key), _)| {
            of_table == table && of_part == part && (end.is_empty() || key.as_str() < end)
        });
        let mut live = range.filter(|(_, row)| row.value.is_some());
        let page = live.by_ref().take(limit).map(|(name, row)| row_json(name, row));
        let page = page.collect::<Vec<_>>();
        let has_more = live.next().is_some();
        self.answer(json!({ "rows": page, "has-more": has_more }), rows.version)
    }

    fn parts(&self, request: &http::Request) -> http::Answer {
        let rows = self.rows.0.lock().unwrap();
        let live = rows.rows.iter().filter(|(_, row)| row.value.is_some());
        let of_table = live.filter(|((table, ..), _)| table == request.text("table"));
        let mut parts = of_table.map(|((_, part, _), _)| part.clone()).collect::<Vec<_>>();
        parts.dedup();
        self.answer(json!({ "parts": parts, "has-more": false }), rows.version)
    }

    fn feed(&self, request: &http::Request) -> http::Answer {
        let (after, table) = (request.number("after"), request.text("table"));
        let wait = Duration::from_millis(request.number("wait-ms").min(30_000));
        let deadline = Instant::now() + wait;
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        loop {
            let first = (table.to_owned(), String::new(), String::new());
            let of_table = rows.rows.range(first..).take_while(|((it, ..), _)| it == table);
            let mut news = of_table.filter(|(_, row)| row.version > after).collect::<Vec<_>>();
            let left = deadline.saturating_duration_since(Instant::now());
            if !news.is_empty() || left.is_zero() {
                news.sort_by_key(|(_, row)| row.version);
                let mut version = rows.version;
                if news.len() > MAX_ROWS {
                    let cut = news[MAX_ROWS].1.version;
                    news.retain(|(_, row)| row.version < cut);
                    version = cut - 1;
                }
                let news = news.into_iter().map(|(name, row)| row_json(name, row));
                return self.answer(json!({ "rows": news.collect::<Vec<_>>() }), version);
            }
            rows = changed.wait_timeout(rows, left).unwrap().0;
        }
    }
}

fn row_name(row: &Value) -> RowName {
    let text = |name: &str| row[name].as_str().unwrap_or_default().to_owned();
    (text("table"), text("part"), text("key"))
}

fn row_json((table, part, key): &RowName, row: &Row) -> Value {
    let mut json = json!({ "table": table, "part": part, "key": key, "row-version": row.version });
    match &row.value {
        Some(value) => json["value"] = json!(value),
        None => json["deleted"] = json!(true),
    }
    json
}
