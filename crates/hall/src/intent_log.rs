//! The durable intent log of a hall: numbered batches of entries in the table and, while the table
//! is down, in the object store. Both stores number their batches independently; together the two
//! sequences are the log.

use std::time::Duration;

use almondpass_peer::error as peer_error;
use almondpass_ports::{keys, objects::ObjectStore, table::TableService};
use almondpass_schema::{ids, model};

use crate::backend;
use crate::codec;
use crate::deadline;
use crate::error;
use crate::tenure;

/// Write position in one of the two stores.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogCursor {
    /// First batch number that is not known to be taken.
    pub next: u64,
    /// A batch that may have been written under the number `next`. It is written again, unchanged,
    /// before any other batch: a write whose answer was lost may take effect at any later time, and
    /// would then take the number of a different batch.
    pub unconfirmed: Option<model::IntentBatch>,
}

/// Write positions of a hall's log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogCursors {
    /// Position in the table, where expired batches are deleted.
    pub table: LogCursor,
    /// Position in the object store, where batches are never deleted.
    pub objects: LogCursor,
}

/// Result of an append to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The entries are durable in the table.
    InTable,
    /// The entries are durable in the object store.
    InObjects,
    /// Neither store confirmed the entries; either store may hold them.
    NotDurable,
    /// A newer tenure sealed the log: writes of this tenure are ignored from here on.
    Fenced,
}

/// A batch as read from a store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredBatch {
    /// Number of the batch; each store numbers its batches independently.
    pub number: u64,
    /// Content, with the epoch of the tenure that wrote it.
    pub batch: model::IntentBatch,
}

/// Access to the log of one hall under one tenure.
pub struct IntentLog<B: backend::HallBackend> {
    /// Table and object store.
    pub ports: backend::HallPorts<B>,
    /// Hall that owns the log; part of the keys of its batches.
    pub hall: ids::HallName,
    /// Tenure under which batches are written.
    pub tenure: tenure::TenureWatch,
    /// Time limit of each call to a store.
    pub deadline: Duration,
}

enum BatchWriteOutcome {
    Written,
    Unconfirmed,
    NoEffect,
    Fenced,
}

impl<B: backend::HallBackend> IntentLog<B> {
    /// Writes entries to the table or, if the table does not confirm them, to the object store.
    pub async fn append(
        &self,
        cursors: &mut LogCursors,
        entries: Vec<model::IntentEntry>,
    ) -> AppendOutcome {
        let batch = model::IntentBatch { epoch: self.tenure.epoch(), entries, sealed: false };
        if !self.tenure.in_outage() {
            match self.append_table(&mut cursors.table, &batch).await {
                BatchWriteOutcome::Written => return AppendOutcome::InTable,
                BatchWriteOutcome::Fenced => return AppendOutcome::Fenced,
                BatchWriteOutcome::Unconfirmed | BatchWriteOutcome::NoEffect => {}
            }
        }
        match self.append_objects(&mut cursors.objects, &batch).await {
            BatchWriteOutcome::Written => AppendOutcome::InObjects,
            BatchWriteOutcome::Fenced => AppendOutcome::Fenced,
            BatchWriteOutcome::Unconfirmed | BatchWriteOutcome::NoEffect => {
                AppendOutcome::NotDurable
            }
        }
    }

    async fn append_table(
        &self,
        cursor: &mut LogCursor,
        batch: &model::IntentBatch,
    ) -> BatchWriteOutcome {
        if let Some(unconfirmed) = cursor.unconfirmed.clone() {
            match self.put_table(cursor.next, &unconfirmed).await {
                BatchWriteOutcome::Written => cursor.advance(),
                BatchWriteOutcome::NoEffect => return BatchWriteOutcome::Unconfirmed,
                other => return other,
            }
        }
        let written = self.put_table(cursor.next, batch).await;
        cursor.record_write(&written, batch);
        written
    }

    async fn append_objects(
        &self,
        cursor: &mut LogCursor,
        batch: &model::IntentBatch,
    ) -> BatchWriteOutcome {
        if let Some(unconfirmed) = cursor.unconfirmed.clone() {
            match self.put_object(cursor.next, &unconfirmed).await {
                BatchWriteOutcome::Written => cursor.advance(),
                BatchWriteOutcome::NoEffect => return BatchWriteOutcome::Unconfirmed,
                other => return other,
            }
        }
        let written = self.put_object(cursor.next, batch).await;
        cursor.record_write(&written, batch);
        written
    }

    /// Writes a batch to the table, conditional on this tenure and on the number being free.
    async fn put_table(&self, number: u64, batch: &model::IntentBatch) -> BatchWriteOutcome {
        let key = keys::intent_batch(&self.hall, number);
        let absent = model::TableCondition { key: key.clone(), version: 0 };
        let write = model::TableWrite { key: key.clone(), value: Some(codec::encode(batch)) };
        let transaction = model::TableTransaction {
            conditions: vec![self.tenure.condition(), absent],
            writes: vec![write],
        };
        match self.transact(transaction).await {
            Ok(model::TableOutcome::Committed { .. }) => BatchWriteOutcome::Written,
            Ok(model::TableOutcome::Conflict { rows }) => {
                let found = rows.iter().find(|it| it.key == key);
                match found.and_then(|it| it.value.as_ref()) {
                    Some(value) => self.compare_existing(value, batch),
                    None => BatchWriteOutcome::Fenced,
                }
            }
            Err(fault) => failed_write(&fault),
        }
    }

    /// Writes a batch to the object store if the number is free. The object store cannot check the
    /// tenure; a stale holder is stopped by the seal that its successor wrote under the number
    /// which the stale holder would use next.
    async fn put_object(&self, number: u64, batch: &model::IntentBatch) -> BatchWriteOutcome {
        let key = keys::intent_batch(&self.hall, number);
        let put = model::ObjectPut { key: key.clone(), value: codec::encode(batch) };
        match self.put(put).await {
            Ok(model::ObjectPutOutcome::Created) => BatchWriteOutcome::Written,
            Ok(model::ObjectPutOutcome::Exists) => match self.get_object(key).await {
                Ok(model::ObjectFound { value: Some(value) }) => {
                    self.compare_existing(&value, batch)
                }
                Ok(model::ObjectFound { value: None }) => BatchWriteOutcome::Unconfirmed,
                Err(_) => BatchWriteOutcome::Unconfirmed,
            },
            Err(fault) => failed_write(&fault),
        }
    }

    /// Checks whether the batch found under a taken number is an earlier write of `batch`; if not,
    /// this tenure is fenced.
    fn compare_existing(
        &self,
        value: &almondpass_schema::blob::Blob,
        batch: &model::IntentBatch,
    ) -> BatchWriteOutcome {
        match codec::decode::<model::IntentBatch>("read an intent batch", value) {
            Ok(found) if found == *batch => BatchWriteOutcome::Written,
            _ => BatchWriteOutcome::Fenced,
        }
    }

    /// Reads the batches in the table and seals them. The condition on the tenure already fences
    /// earlier holders in the table; the seal only shows readers where a tenure began.
    pub async fn seal_table(&self) -> Result<(LogCursor, Vec<StoredBatch>), error::HallError> {
        let mut batches = self.read_table().await?;
        let next = batches.last().map_or(self.floor().await?.table, |it| it.number + 1);
        let mut cursor = LogCursor { next, unconfirmed: None };
        let seal = self.seal_batch();
        match self.append_table(&mut cursor, &seal).await {
            BatchWriteOutcome::Written => {
                let number = cursor.next - 1;
                batches.push(StoredBatch { number, batch: seal });
                Ok((cursor, batches))
            }
            BatchWriteOutcome::Fenced => Err(self.fenced("seal the intent log in the table")),
            // The seal is not needed for safety. If it had no effect, the next batch takes its
            // number; if it is unconfirmed, the next append writes it again first.
            BatchWriteOutcome::Unconfirmed | BatchWriteOutcome::NoEffect => Ok((cursor, batches)),
        }
    }

    /// Reads the batches in the object store and seals them, so that an earlier holder which still
    /// runs cannot append there any more. Batches written before the seal takes effect are read
    /// too.
    pub async fn seal_objects(&self) -> Result<(LogCursor, Vec<StoredBatch>), error::HallError> {
        let floor = self.floor().await?.objects;
        let mut batches = self.read_objects(floor).await?;
        let seal = self.seal_batch();
        loop {
            let number = batches.last().map_or(floor, |it| it.number + 1);
            let key = keys::intent_batch(&self.hall, number);
            let put = model::ObjectPut { key, value: codec::encode(&seal) };
            let put = self.put(put).await;
            if matches!(put, Ok(model::ObjectPutOutcome::Created)) {
                batches.push(StoredBatch { number, batch: seal });
                return Ok((LogCursor { next: number + 1, unconfirmed: None }, batches));
            }
            // The number is taken, or the answer was lost: the stored batch shows which.
            let Some(batch) = self.read_object(number).await? else {
                return Err(put.err().map_or_else(
                    || self.fenced("seal the intent log in the object store"),
                    error::HallError::from,
                ));
            };
            let is_own = batch == seal;
            if self.tenure.epoch() < batch.epoch {
                return Err(self.fenced("seal the intent log in the object store"));
            }
            batches.push(StoredBatch { number, batch });
            if is_own {
                return Ok((LogCursor { next: number + 1, unconfirmed: None }, batches));
            }
        }
    }

    /// Deletes the batches `numbers`, the oldest ones, from the table and moves the floor. Objects
    /// cannot be deleted; readers skip the batches below the floor.
    pub async fn trim(
        &self,
        numbers: Vec<u64>,
        floor: model::IntentFloor,
    ) -> Result<(), error::HallError> {
        let deleted = numbers.iter().map(|it| keys::intent_batch(&self.hall, *it));
        let deleted = deleted.map(|key| model::TableWrite { key, value: None });
        let floor = model::TableWrite {
            key: keys::intent_floor(&self.hall),
            value: Some(codec::encode(&floor)),
        };
        let transaction = model::TableTransaction {
            conditions: vec![self.tenure.condition()],
            writes: deleted.chain([floor]).collect(),
        };
        self.transact(transaction).await?;
        Ok(())
    }

    async fn floor(&self) -> Result<model::IntentFloor, error::HallError> {
        let get = model::TableGet { keys: vec![keys::intent_floor(&self.hall)] };
        let rows = self.ports.table.get(get);
        let rows =
            deadline::within(self.deadline, READ_STEP, deadline::TABLE_SERVICE, rows).await?.rows;
        let floor =
            rows.first().map(|it| codec::decode_row("read the floor of the intent log", it));
        let floor = floor.transpose()?.flatten();
        Ok(floor.unwrap_or(model::IntentFloor { table: FIRST_BATCH, objects: FIRST_BATCH }))
    }

    async fn read_table(&self) -> Result<Vec<StoredBatch>, error::HallError> {
        let mut batches = Vec::new();
        let mut after = None;
        loop {
            let scan = model::TableScan {
                prefix: keys::intent_log(&self.hall),
                after: after.take(),
                limit: READ_PAGE,
            };
            let page = self.ports.table.scan(scan);
            let page =
                deadline::within(self.deadline, READ_STEP, deadline::TABLE_SERVICE, page).await?;
            for row in &page.rows {
                let Some(number) = batch_number(&row.key) else { continue };
                if let Some(batch) = codec::decode_row("read an intent batch", row)? {
                    batches.push(StoredBatch { number, batch });
                }
            }
            after = page.rows.last().map(|it| it.key.clone());
            if !page.more || after.is_none() {
                return Ok(batches);
            }
        }
    }

    async fn read_objects(&self, floor: u64) -> Result<Vec<StoredBatch>, error::HallError> {
        let mut batches = Vec::new();
        let mut after = floor.checked_sub(1).map(|it| keys::intent_batch(&self.hall, it));
        loop {
            let list = model::ObjectList {
                prefix: keys::intent_log(&self.hall),
                after: after.take(),
                limit: READ_PAGE,
            };
            let page = self.ports.objects.list(list);
            let page =
                deadline::within(self.deadline, READ_STEP, deadline::OBJECT_STORE, page).await?;
            for key in &page.keys {
                let Some(number) = batch_number(key) else { continue };
                if let Some(batch) = self.read_object(number).await? {
                    batches.push(StoredBatch { number, batch });
                }
            }
            after = page.keys.last().cloned();
            if !page.more || after.is_none() {
                return Ok(batches);
            }
        }
    }

    async fn read_object(
        &self,
        number: u64,
    ) -> Result<Option<model::IntentBatch>, error::HallError> {
        let key = keys::intent_batch(&self.hall, number);
        let found = self.get_object(key).await?;
        found.value.map(|it| codec::decode("read an intent batch", &it)).transpose()
    }

    async fn transact(
        &self,
        transaction: model::TableTransaction,
    ) -> Result<model::TableOutcome, peer_error::CallError> {
        let call = self.ports.table.transact(transaction);
        deadline::within(self.deadline, WRITE_STEP, deadline::TABLE_SERVICE, call).await
    }

    async fn put(
        &self,
        put: model::ObjectPut,
    ) -> Result<model::ObjectPutOutcome, peer_error::CallError> {
        let call = self.ports.objects.put(put);
        deadline::within(self.deadline, WRITE_STEP, deadline::OBJECT_STORE, call).await
    }

    async fn get_object(
        &self,
        key: ids::ObjectKey,
    ) -> Result<model::ObjectFound, peer_error::CallError> {
        let call = self.ports.objects.get(model::ObjectGet { key });
        deadline::within(self.deadline, READ_STEP, deadline::OBJECT_STORE, call).await
    }

    fn seal_batch(&self) -> model::IntentBatch {
        model::IntentBatch { epoch: self.tenure.epoch(), entries: Vec::new(), sealed: true }
    }

    fn fenced(&self, step: &'static str) -> error::HallError {
        error::HallError::Fenced { step, hall: self.hall.clone(), epoch: self.tenure.epoch() }
    }
}

impl LogCursor {
    fn advance(&mut self) {
        self.next += 1;
        self.unconfirmed = None;
    }

    fn record_write(&mut self, written: &BatchWriteOutcome, batch: &model::IntentBatch) {
        match written {
            BatchWriteOutcome::Written => self.advance(),
            BatchWriteOutcome::Unconfirmed => self.unconfirmed = Some(batch.clone()),
            BatchWriteOutcome::NoEffect | BatchWriteOutcome::Fenced => {}
        }
    }
}

fn failed_write(fault: &peer_error::CallError) -> BatchWriteOutcome {
    if fault.fault.had_no_effect() {
        BatchWriteOutcome::NoEffect
    } else {
        BatchWriteOutcome::Unconfirmed
    }
}

fn batch_number(key: &str) -> Option<u64> {
    key.rsplit('/').next()?.parse().ok()
}

const FIRST_BATCH: u64 = 1;
/// Batches listed in one call.
const READ_PAGE: u32 = 256;
const READ_STEP: &str = "read the intent log";
const WRITE_STEP: &str = "write the intent log";
