//! Tracks which data centres are under evacuation: no task starts there until the operator ends the
//! evacuation.
//!
//! Each evacuation has a row in the table of the operators' document, which is deleted at its end. The known
//! state is the whole set as of one version of the store. So whichever source reports it (a feed, a full read
//! or a peer), an older report never undoes a newer one. While no source can be reached, the last known set
//! stays in force.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use almondpass_ports::row_feed;
use almondpass_schema::{ids, model};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::state;

/// The evacuations in force, shared by the tasks of an instance.
#[derive(Debug)]
pub struct EvacuationSlot {
    evacuated: Mutex<EvacuationSet>,
    changes: watch::Sender<u64>,
}

/// The evacuations as of one version of the store.
#[derive(Debug, Default)]
struct EvacuationSet {
    version: Option<ids::RowVersion>,
    /// Time at which this instance learnt of each evacuation.
    since: BTreeMap<ids::DataCenter, Instant>,
}

impl Default for EvacuationSlot {
    fn default() -> EvacuationSlot {
        EvacuationSlot { evacuated: Mutex::default(), changes: watch::Sender::new(0) }
    }
}

impl EvacuationSlot {
    /// A counter that changes whenever the set of evacuations does.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// The set of evacuations, as sent to peers; `None` before the first read.
    pub fn view(&self) -> Option<model::EvacuationView> {
        let evacuated = state::lock(&self.evacuated);
        let data_centers = evacuated.since.keys().cloned().collect();
        evacuated.version.map(|version| model::EvacuationView { version, data_centers })
    }

    /// The data centres under evacuation, in the order of their names.
    pub fn data_centers(&self) -> Arc<[ids::DataCenter]> {
        state::lock(&self.evacuated).since.keys().cloned().collect()
    }

    /// Replaces the set by `view` unless that is not newer. `origin` names the source in the log.
    pub fn replace(&self, view: model::EvacuationView, origin: &str) {
        let mut evacuated = state::lock(&self.evacuated);
        if evacuated.version.is_some_and(|it| view.version <= it) {
            return;
        }
        let ended = evacuated.since.keys().filter(|it| !view.data_centers.contains(it));
        let mut has_changed = false;
        for data_center in ended.cloned().collect::<Vec<_>>() {
            has_changed |= evacuated.end_evacuation(&data_center, view.version, origin);
        }
        for data_center in view.data_centers {
            has_changed |= evacuated.begin_evacuation(data_center, view.version, origin);
        }
        evacuated.version = Some(view.version);
        self.notify(&evacuated, has_changed);
    }

    /// Applies the rows that have changed up to `version`. `name` returns the data centre if a key is that of
    /// an evacuation's row.
    pub fn apply_changes<'a>(
        &self,
        rows: impl Iterator<Item = &'a row_feed::FeedRow>,
        version: ids::RowVersion,
        name: impl Fn(&str) -> Option<&str>,
    ) {
        let mut evacuated = state::lock(&self.evacuated);
        let Some(known) = evacuated.version else { return };
        let mut has_changed = false;
        for row in rows.filter(|it| it.version > known) {
            let Some(data_center) = name(&row.key) else { continue };
            has_changed |= match row.value {
                Some(_) => evacuated.begin_evacuation(data_center.to_owned(), row.version, "store"),
                None => evacuated.end_evacuation(data_center, row.version, "store"),
            };
        }
        evacuated.version = Some(version.max(known));
        self.notify(&evacuated, has_changed);
    }

    fn notify(&self, evacuated: &EvacuationSet, has_changed: bool) {
        if has_changed {
            metrics::gauge!("almondpass_pool_evacuated_data_centers")
                .set(evacuated.since.len() as f64);
            self.changes.send_modify(|it| *it += 1);
        }
    }
}

impl EvacuationSet {
    /// Begins an evacuation. Returns whether it is new.
    fn begin_evacuation(
        &mut self,
        data_center: ids::DataCenter,
        version: ids::RowVersion,
        origin: &str,
    ) -> bool {
        if self.since.contains_key(&data_center) {
            return false;
        }
        tracing::info!(data_center, version, origin, "data centre is evacuated");
        self.since.insert(data_center, Instant::now());
        true
    }

    /// Ends an evacuation. Returns whether it was in force.
    fn end_evacuation(
        &mut self,
        data_center: &str,
        version: ids::RowVersion,
        origin: &str,
    ) -> bool {
        let Some(since) = self.since.remove(data_center) else { return false };
        let age_ms = since.elapsed().as_millis() as u64;
        tracing::info!(data_center, version, origin, age_ms, "data centre is taken back");
        true
    }
}

/// The set of evacuations from a read of the whole table.
pub(crate) fn view_from_table<'a>(
    read: &'a row_feed::FeedRows,
    name: impl Fn(&'a str) -> Option<&'a str>,
) -> model::EvacuationView {
    let present = read.rows.iter().filter(|it| it.value.is_some());
    let data_centers = present.filter_map(|it| name(&it.key)).map(str::to_owned).collect();
    model::EvacuationView { version: read.version, data_centers }
}
