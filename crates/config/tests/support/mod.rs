//! Several keepers in one process: a table, a network, and beats between all of them.
#![allow(dead_code)]

use std::sync::{Arc, LazyLock, Mutex};
use std::time::Duration;

use almondpass_config::{document, keeper};
use almondpass_ports::{clock, keys};
use almondpass_schema::{blob, ids, model, time as wall};
use almondpass_standin::{fault, net, table};
use serde::Serialize;
use tokio::time::{self, Instant};
use tokio_util::sync::CancellationToken;

pub(crate) type Keeper = keeper::ConfigKeeper<table::TableFake, net::FakeLink>;

/// Interval of polls and beats.
pub(crate) const SECOND: Duration = Duration::from_secs(1);

static LABORATORIES: LazyLock<model::ConfigDocument> = LazyLock::new(|| {
    let text = include_str!("../../../../examples/laboratories.config.yaml");
    document::check("laboratories", text).unwrap_or_else(|faults| panic!("{faults}"))
});

/// Keepers that run and beat until the group is dropped.
pub(crate) struct KeeperGroup {
    pub(crate) table: table::TableFake,
    pub(crate) net: net::FakeNet,
    pub(crate) keepers: Vec<Keeper>,
    /// Faults between each keeper and the table.
    pub(crate) paths: Vec<fault::FaultPlan>,
    stop: CancellationToken,
}

impl KeeperGroup {
    pub(crate) fn new(n_keepers: usize) -> KeeperGroup {
        let group = KeeperGroup {
            table: table::TableFake::new(),
            net: net::FakeNet::new(),
            keepers: Vec::new(),
            paths: Vec::new(),
            stop: CancellationToken::new(),
        };
        (0..n_keepers).fold(group, |mut group, _| {
            group.start_keeper();
            group
        })
    }

    /// Boots one more keeper.
    pub(crate) fn start_keeper(&mut self) -> Keeper {
        let index = self.keepers.len();
        let path = fault::FaultPlan::new();
        let table = self.table.with_path_faults(path.clone());
        let timing = keeper::KeeperTiming { poll: SECOND, deadline: SECOND };
        let keeper = Keeper::new(table, self.net.link(&address(index)), wall_clock(), timing);
        self.net.register(&address(index), keeper.clone());
        let (running, stop) = (keeper.clone(), self.stop.clone());
        tokio::spawn(async move { running.run(stop).await });
        self.keepers.push(keeper.clone());
        self.paths.push(path);
        keeper
    }

    /// Lets every keeper tell every other its number once, as beats do each second.
    pub(crate) fn beat(&self) {
        for (from, sender) in self.keepers.iter().enumerate() {
            for (to, receiver) in self.keepers.iter().enumerate() {
                if from != to {
                    receiver.heard(sender.active().version, &address(from));
                }
            }
        }
    }

    /// Passes time, with beats, until all keepers have `version`; the time it took.
    pub(crate) async fn settle(&self, version: ids::ConfigVersion, limit: Duration) -> Duration {
        let started = Instant::now();
        let mut next_beat = started + SECOND;
        while self.keepers.iter().any(|it| it.active().version < version) {
            let elapsed = started.elapsed();
            assert!(
                elapsed < limit,
                "version {version} is not in force everywhere after {elapsed:?}"
            );
            time::sleep(Duration::from_millis(10)).await;
            if next_beat <= Instant::now() {
                next_beat += SECOND;
                self.beat();
            }
        }
        started.elapsed()
    }
}

impl Drop for KeeperGroup {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Peer address of the keeper at `index`.
pub(crate) fn address(index: usize) -> ids::PeerAddress {
    format!("keeper-{index}")
}

pub(crate) fn wall_clock() -> clock::WallClock {
    clock::WallClock::starting_at(wall::WallTime(Duration::from_secs(1_800_000_000)))
}

/// The Laboratories' example.
pub(crate) fn laboratories() -> model::ConfigDocument {
    LABORATORIES.clone()
}

/// A draft on top of `base`.
pub(crate) fn draft(
    base: ids::ConfigVersion,
    document: &model::ConfigDocument,
) -> model::ConfigProposal {
    model::ConfigProposal {
        base,
        proposal: None,
        operator: "asha".to_owned(),
        note: format!("after version {base}"),
        document: document.clone(),
    }
}

/// A draft that changes one limit of the first account, so that each version has its own mark.
pub(crate) fn marked(base: ids::ConfigVersion, mark: u32) -> model::ConfigProposal {
    let mut document = laboratories();
    document.accounts[0].limits.queued_jobs = mark;
    draft(base, &document)
}

/// Every number that `keeper` publishes, in order.
pub(crate) fn record_versions(keeper: &Keeper) -> Arc<Mutex<Vec<ids::ConfigVersion>>> {
    let versions = Arc::new(Mutex::new(Vec::new()));
    let (mut receiver, seen) = (keeper.subscribe(), Arc::clone(&versions));
    tokio::spawn(async move {
        while receiver.changed().await.is_ok() {
            let version = receiver.borrow_and_update().version;
            seen.lock().unwrap().push(version);
        }
    });
    versions
}

/// Writes rows past the keeper, as another release would.
pub(crate) async fn write_rows(
    table: &table::TableFake,
    version: ids::ConfigVersion,
    row: &impl Serialize,
) {
    use almondpass_ports::table::TableService;

    let value = |bytes: Vec<u8>| Some(blob::Blob::from(bytes));
    let head = rmp_encode(&model::ConfigHead { version });
    let writes = vec![
        model::TableWrite { key: keys::config_head(), value: value(head) },
        model::TableWrite { key: keys::config_version(version), value: value(rmp_encode(row)) },
    ];
    let transaction = model::TableTransaction { conditions: Vec::new(), writes };
    table.transact(transaction).await.unwrap();
}

fn rmp_encode(row: &impl Serialize) -> Vec<u8> {
    almondpass_peer::codec::encode(row).unwrap().to_vec()
}
