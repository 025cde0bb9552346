//! A table with a few rows.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use almondpass_peer::error;
use almondpass_ports::{keys, table};
use almondpass_schema::{blob, ids, model};

#[derive(Clone, Debug, Default)]
pub(crate) struct FakeRows {
    state: Arc<Mutex<RowState>>,
}

#[derive(Debug, Default)]
struct RowState {
    rows: BTreeMap<ids::RowKey, Vec<u8>>,
    down: bool,
    n_reads: usize,
}

impl FakeRows {
    pub(crate) fn insert(&self, record: &model::JobRecord) {
        let value = rmp_serde::to_vec_named(record).expect("a record encodes");
        self.lock().rows.insert(keys::job(&record.account, &record.job), value);
    }

    pub(crate) fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    pub(crate) fn n_reads(&self) -> usize {
        self.lock().n_reads
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, RowState> {
        self.state.lock().expect("no test panics while it holds the fake")
    }

    fn read(&self) -> Result<std::sync::MutexGuard<'_, RowState>, error::CallError> {
        let mut state = self.lock();
        state.n_reads += 1;
        if !state.down {
            return Ok(state);
        }
        let fault = error::CallFault::NotSent("connection refused".to_owned());
        Err(error::CallError { step: "/v1/table/get", peer: "10.0.0.2:80".to_owned(), fault })
    }
}

fn row(key: &ids::RowKey, value: Option<&Vec<u8>>) -> model::TableRow {
    let value = value.map(|it| blob::Blob::from(it.clone()));
    model::TableRow { key: key.clone(), version: u64::from(value.is_some()), value }
}

impl table::TableService for FakeRows {
    async fn transact(
        &self,
        _transaction: model::TableTransaction,
    ) -> Result<model::TableOutcome, error::CallError> {
        panic!("an entry writes no rows")
    }

    async fn get(&self, get: model::TableGet) -> Result<model::TableRows, error::CallError> {
        let state = self.read()?;
        let rows = get.keys.iter().map(|it| row(it, state.rows.get(it))).collect();
        Ok(model::TableRows { rows, more: false })
    }

    async fn scan(&self, scan: model::TableScan) -> Result<model::TableRows, error::CallError> {
        let state = self.read()?;
        let after = scan.after.unwrap_or_default();
        let mut rows = state
            .rows
            .iter()
            .filter(|(key, _)| key.starts_with(&scan.prefix) && after < **key)
            .map(|(key, value)| row(key, Some(value)));
        let page = rows.by_ref().take(scan.limit as usize).collect();
        Ok(model::TableRows { rows: page, more: rows.next().is_some() })
    }
}
