//! The durable log of intents: numbered batches in the table and, while that is down, in the
//! object store. The two are independent sequences whose union is the log.

use std::time::Duration;

use almondpass_peer::error as peer_error;
use almondpass_ports::{keys, objects::ObjectStore, table::TableService};
use almondpass_schema::{ids, model};

use crate::backend;
use crate::codec;
use crate::deadline;
use crate::error;
use crate::tenure;

/// Where the next batch goes in one of the two stores.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogCursor {
    /// First number that is not known to be taken.
    pub next: u64,
    /// A batch that may have taken `next`. It is written again, unchanged, before any other: a
    /// write whose answer was lost may land at any later time, and would then take the number of
    /// a different batch.
    pub unsure: Option<model::IntentBatch>,
}

/// Where the log of a hall goes on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogCursors {
    /// In the table.
    pub table: LogCursor,
    /// In the object store.
    pub objects: LogCursor,
}

/// What became of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// Durable in the table.
    InTable,
    /// Durable in the object store.
    InObjects,
    /// Neither store confirmed it; either may have it.
    NotDurable,
    /// A newer tenure sealed the log: nothing of this tenure counts from here on.
    Fenced,
}

/// A batch as read from a store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredBatch {
    /// Its number in its store.
    pub number: u64,
    /// Its content.
    pub batch: model::IntentBatch,
}

/// The log of one hall under one tenure.
pub struct IntentLog<B: backend::HallBackend> {
    /// Stores.
    pub ports: backend::HallPorts<B>,
    /// The hall.
    pub hall: ids::HallName,
    /// The tenure.
    pub tenure: tenure::TenureWatch,
    /// For each call.
    pub deadline: Duration,
}

enum BatchWrite {
    Written,
    Unsure,
    NoEffect,
    Fenced,
}

impl<B: backend::HallBackend> IntentLog<B> {
    /// Makes lines durable, in the table or else in the object store.
    pub async fn append(
        &self,
        cursors: &mut LogCursors,
        entries: Vec<model::IntentEntry>,
    ) -> AppendOutcome {
        let batch = model::IntentBatch { epoch: self.tenure.epoch(), entries, sealed: false };
        if !self.tenure.in_outage() {
            match self.append_table(&mut cursors.table, &batch).await {
                BatchWrite::Written => return AppendOutcome::InTable,
                BatchWrite::Fenced => return AppendOutcome::Fenced,
                BatchWrite::Unsure | BatchWrite::NoEffect => {}
            }
        }
        match self.append_objects(&mut cursors.objects, &batch).await {
            BatchWrite::Written => AppendOutcome::InObjects,
            BatchWrite::Fenced => AppendOutcome::Fenced,
            BatchWrite::Unsure | BatchWrite::NoEffect => AppendOutcome::NotDurable,
        }
    }

    async fn append_table(&self, cursor: &mut LogCursor, batch: &model::IntentBatch) -> BatchWrite {
        if let Some(unsure) = cursor.unsure.clone() {
            match self.put_table(cursor.next, &unsure).await {
                BatchWrite::Written => cursor.advance(),
                BatchWrite::NoEffect => return BatchWrite::Unsure,
                other => return other,
            }
        }
        let written = self.put_table(cursor.next, batch).await;
        cursor.note(&written, batch);
        written
    }

    async fn append_objects(
        &self,
        cursor: &mut LogCursor,
        batch: &model::IntentBatch,
    ) -> BatchWrite {
        if let Some(unsure) = cursor.unsure.clone() {
            match self.put_object(cursor.next, &unsure).await {
                BatchWrite::Written => cursor.advance(),
                BatchWrite::NoEffect => return BatchWrite::Unsure,
                other => return other,
            }
        }
        let written = self.put_object(cursor.next, batch).await;
        cursor.note(&written, batch);
        written
    }

    /// Writes a batch unless its number is taken, and only under this tenure.
    async fn put_table(&self, number: u64, batch: &model::IntentBatch) -> BatchWrite {
        let key = keys::intent_batch(&self.hall, number);
        let absent = model::TableCondition { key: key.clone(), version: 0 };
        let write = model::TableWrite { key: key.clone(), value: Some(codec::encode(batch)) };
        let transaction = model::TableTransaction {
            conditions: vec![self.tenure.condition(), absent],
            writes: vec![write],
        };
        match self.transact(transaction).await {
            Ok(model::TableOutcome::Committed { .. }) => BatchWrite::Written,
            Ok(model::TableOutcome::Conflict { rows }) => {
                let found = rows.iter().find(|it| it.key == key);
                match found.and_then(|it| it.value.as_ref()) {
                    Some(value) => self.compare(value, batch),
                    None => BatchWrite::Fenced,
                }
            }
            Err(fault) => lost(&fault),
        }
    }

    /// Writes a batch unless its number is taken. The store knows no tenures: what stops a stale
    /// holder here is the seal that its successor put at the number it would take.
    async fn put_object(&self, number: u64, batch: &model::IntentBatch) -> BatchWrite {
        let key = keys::intent_batch(&self.hall, number);
        let put = model::ObjectPut { key: key.clone(), value: codec::encode(batch) };
        match self.put(put).await {
            Ok(model::ObjectPutOutcome::Created) => BatchWrite::Written,
            Ok(model::ObjectPutOutcome::Exists) => match self.get_object(key).await {
                Ok(model::ObjectFound { value: Some(value) }) => self.compare(&value, batch),
                Ok(model::ObjectFound { value: None }) => BatchWrite::Unsure,
                Err(_) => BatchWrite::Unsure,
            },
            Err(fault) => lost(&fault),
        }
    }

    /// Whether a taken number was taken by an earlier try of the same write.
    fn compare(
        &self,
        value: &almondpass_schema::blob::Blob,
        batch: &model::IntentBatch,
    ) -> BatchWrite {
        match codec::decode::<model::IntentBatch>("read an intent batch", value) {
            Ok(found) if found == *batch => BatchWrite::Written,
            _ => BatchWrite::Fenced,
        }
    }

    /// Reads the table's part and seals it. The condition on the tenure fences it already; the
    /// seal shows readers where a tenure began.
    pub async fn seal_table(&self) -> Result<(LogCursor, Vec<StoredBatch>), error::HallError> {
        let mut batches = self.read_table().await?;
        let next = batches.last().map_or(self.floor().await?.table, |it| it.number + 1);
        let mut cursor = LogCursor { next, unsure: None };
        let seal = self.seal_batch();
        match self.append_table(&mut cursor, &seal).await {
            BatchWrite::Written => {
                let number = cursor.next - 1;
                batches.push(StoredBatch { number, batch: seal });
                Ok((cursor, batches))
            }
            BatchWrite::Fenced => Err(self.fenced("seal the intents in the table")),
            // Not needed for safety; the next batch takes the place.
            BatchWrite::Unsure | BatchWrite::NoEffect => Ok((cursor, batches)),
        }
    }

    /// Reads the object store's part and seals it, so that an older holder which still runs can
    /// make nothing durable there any more. Batches that slip in before the seal are read.
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
                return Ok((LogCursor { next: number + 1, unsure: None }, batches));
            }
            // Taken, or the answer was lost: what stands there tells.
            let Some(batch) = self.read_object(number).await? else {
                return Err(put.err().map_or_else(
                    || self.fenced("seal the intents in the object store"),
                    error::HallError::from,
                ));
            };
            let ours = batch == seal;
            if self.tenure.epoch() < batch.epoch {
                return Err(self.fenced("seal the intents in the object store"));
            }
            batches.push(StoredBatch { number, batch });
            if ours {
                return Ok((LogCursor { next: number + 1, unsure: None }, batches));
            }
        }
    }

    /// Drops what no longer matters: deletes `numbers` from the table, oldest first, and moves
    /// the floor. Objects cannot be deleted; nobody reads below the floor.
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
        let floor = rows.first().map(|it| codec::decode_row("read the floor of the intents", it));
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
        self.unsure = None;
    }

    fn note(&mut self, written: &BatchWrite, batch: &model::IntentBatch) {
        match written {
            BatchWrite::Written => self.advance(),
            BatchWrite::Unsure => self.unsure = Some(batch.clone()),
            BatchWrite::NoEffect | BatchWrite::Fenced => {}
        }
    }
}

fn lost(fault: &peer_error::CallError) -> BatchWrite {
    if fault.fault.had_no_effect() { BatchWrite::NoEffect } else { BatchWrite::Unsure }
}

fn batch_number(key: &str) -> Option<u64> {
    key.rsplit('/').next()?.parse().ok()
}

const FIRST_BATCH: u64 = 1;
const READ_PAGE: u32 = 256;
const READ_STEP: &str = "read the intent log";
const WRITE_STEP: &str = "write the intent log";
