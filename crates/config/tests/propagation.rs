//! A configuration accepted anywhere is in force everywhere within seconds and never goes back.

mod support;

use std::time::Duration;

use almondpass_config::keeper;
use almondpass_peer::call::PeerCall;
use almondpass_peer::error;
use almondpass_ports::table::TableService;
use almondpass_schema::model;
use almondpass_standin::{fault, table};
use serde::Serialize;
use tokio::time;

/// What the brief calls seconds.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(5);

#[tokio::test(start_paused = true)]
async fn nine_instances_have_a_version_within_seconds() {
    let group = support::KeeperGroup::new(9);
    group.net.set_latency(Duration::from_millis(1));
    for base in 0..20 {
        // Drafts come at any moment between two polls.
        time::sleep(Duration::from_millis(137 * base)).await;
        let keeper = &group.keepers[usize::try_from(base).unwrap() % 9];
        keeper.propose(support::marked(base, 10)).await.unwrap();
        let took = group.settle(base + 1, IN_FORCE_WITHIN).await;
        println!("version {} in force on 9 instances after {took:?}", base + 1);
    }
}

#[tokio::test(start_paused = true)]
async fn version_spreads_by_peers_while_the_store_is_down() {
    // Symptom: half of the instances work by an old configuration for as long as an outage lasts.
    // Sequence: a draft is accepted, the table goes down before the others polled.
    // Cause: the poll alone cannot see a version while the table is down.
    for condition in [fault::Condition::Refusing, fault::Condition::Dropping] {
        let group = support::KeeperGroup::new(9);
        group.keepers[0].propose(support::marked(0, 10)).await.unwrap();
        group.table.faults().set(condition);
        let took = group.settle(1, IN_FORCE_WITHIN).await;
        println!("{condition:?}: in force on 9 instances after {took:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn booting_instance_gets_the_newest_from_peers() {
    // Symptom: an instance replaced during an outage refuses all work, or boots into an old
    // version.
    // Sequence: version 2 is in force, the table is down, an instance boots.
    // Cause: it has no disk, and the table is the only other place that keeps the document.
    let mut group = support::KeeperGroup::new(3);
    group.keepers[0].propose(support::marked(0, 10)).await.unwrap();
    group.keepers[0].propose(support::marked(1, 20)).await.unwrap();
    group.settle(2, IN_FORCE_WITHIN).await;
    group.table.faults().set(fault::Condition::Dropping);

    let booted = group.start_keeper();
    let versions = support::record_versions(&booted);
    group.settle(2, IN_FORCE_WITHIN).await;

    assert_eq!(booted.active().document.accounts[0].limits.queued_jobs, 20);
    assert_eq!(*versions.lock().unwrap(), [2]);
}

#[tokio::test(start_paused = true)]
async fn slow_peer_does_not_hold_up_the_others() {
    // Symptom: one slow instance delays a configuration on all others.
    // Sequence: the table is down, the first peer that is asked does not answer.
    // Cause: peers asked one after another, each for a whole deadline.
    let mut group = support::KeeperGroup::new(3);
    group.keepers[0].propose(support::marked(0, 10)).await.unwrap();
    group.settle(1, IN_FORCE_WITHIN).await;
    group.table.faults().set(fault::Condition::Refusing);
    group
        .net
        .process_faults(&support::address(0))
        .set(fault::Condition::Slow(Duration::from_secs(20)));
    group.net.process_faults(&support::address(1)).set(fault::Condition::Dropping);

    group.start_keeper();
    let took = group.settle(1, IN_FORCE_WITHIN).await;
    assert!(took <= support::SECOND + Duration::from_millis(200), "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn paused_instance_never_goes_back() {
    // Symptom: an instance that was paused puts an old version in force over a newer one.
    // Sequence: it is paused while its read of version 2 is under way; meanwhile 3 is accepted and
    // a peer tells it of 3; the late answer with 2 arrives last.
    // Cause: answers are applied in the order in which they arrive.
    let group = support::KeeperGroup::new(3);
    group.keepers[0].propose(support::marked(0, 10)).await.unwrap();
    group.settle(1, IN_FORCE_WITHIN).await;
    let versions = support::record_versions(&group.keepers[2]);
    group.paths[2].inject_nth(
        model::TableGet::PATH,
        2,
        fault::Fault::Slow(Duration::from_millis(900)),
    );
    group.keepers[0].propose(support::marked(1, 20)).await.unwrap();
    time::sleep(Duration::from_millis(1200)).await;
    group.net.process_faults(&support::address(2)).set(fault::Condition::Paused);
    group.paths[2].set(fault::Condition::Paused);
    group.keepers[1].propose(support::marked(2, 30)).await.unwrap();
    time::sleep(Duration::from_secs(60)).await;
    group.net.process_faults(&support::address(2)).set(fault::Condition::Up);
    group.paths[2].set(fault::Condition::Up);

    group.settle(3, IN_FORCE_WITHIN).await;
    time::sleep(Duration::from_secs(5)).await;

    assert_eq!(group.keepers[2].active().version, 3);
    assert!(versions.lock().unwrap().is_sorted(), "{versions:?}");
}

/// A table whose reads come from a replica that stopped at some moment.
#[derive(Clone)]
struct StaleTable {
    newest: table::TableFake,
    stale: table::TableFake,
    reads_stale: std::sync::Arc<std::sync::atomic::AtomicBool>,
}

impl TableService for StaleTable {
    async fn transact(
        &self,
        transaction: model::TableTransaction,
    ) -> Result<model::TableOutcome, error::CallError> {
        self.newest.transact(transaction).await
    }

    async fn get(&self, get: model::TableGet) -> Result<model::TableRows, error::CallError> {
        let stale = self.reads_stale.load(std::sync::atomic::Ordering::Relaxed);
        let table = if stale { &self.stale } else { &self.newest };
        table.get(get).await
    }

    async fn scan(&self, scan: model::TableScan) -> Result<model::TableRows, error::CallError> {
        self.newest.scan(scan).await
    }
}

#[tokio::test(start_paused = true)]
async fn stale_read_never_reverts() {
    // Symptom: an accepted configuration is in force, then for some seconds the one before it.
    // Sequence: version 2 is in force, the next polls are answered by a lagging replica.
    // Cause: the answer of the table is taken for the newest without comparing numbers.
    let group = support::KeeperGroup::new(1);
    group.keepers[0].propose(support::marked(0, 10)).await.unwrap();
    let stale = table::TableFake::new();
    let row = group.keepers[0].version(1).await.unwrap().unwrap();
    support::write_rows(&stale, 1, &row).await;
    let reads_stale = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let table = StaleTable { newest: group.table.clone(), stale, reads_stale: reads_stale.clone() };
    let timing = keeper::KeeperTiming { poll: support::SECOND, deadline: support::SECOND };
    let link = group.net.link("stale");
    let keeper = keeper::ConfigKeeper::new(table, link, support::wall_clock(), timing);
    let running = keeper.clone();
    tokio::spawn(async move { running.run(Default::default()).await });
    group.keepers[0].propose(support::marked(1, 20)).await.unwrap();
    time::sleep(IN_FORCE_WITHIN).await;
    assert_eq!(keeper.active().version, 2);

    reads_stale.store(true, std::sync::atomic::Ordering::Relaxed);
    time::sleep(IN_FORCE_WITHIN).await;
    assert_eq!(keeper.active().version, 2);
    // A draft on top of version 2 meets the stale head and is not taken for a conflict.
    let refused = keeper.propose(support::marked(2, 30)).await;
    assert!(refused.is_err());
    reads_stale.store(false, std::sync::atomic::Ordering::Relaxed);
    assert_eq!(keeper.propose(support::marked(2, 30)).await.unwrap().version, 3);
}

/// A version as a later release writes it, with a member that this one does not know.
#[derive(Serialize)]
struct LaterRow {
    #[serde(flatten)]
    row: model::ConfigRow,
    later_member: bool,
}

#[tokio::test(start_paused = true)]
async fn unreadable_version_is_refused_and_the_old_stays() {
    // Symptom: after an upgrade of half of the instances, the others run without some guarantees.
    // Sequence: a later release accepts a document with a member that the older one ignores.
    // Cause: unknown members are dropped in silence.
    let group = support::KeeperGroup::new(1);
    let keeper = &group.keepers[0];
    keeper.propose(support::marked(0, 10)).await.unwrap();
    let mut row = keeper.version(1).await.unwrap().unwrap();
    row.version = 2;
    support::write_rows(&group.table, 2, &LaterRow { row: row.clone(), later_member: true }).await;
    time::sleep(IN_FORCE_WITHIN).await;

    assert_eq!(keeper.active().version, 1);
    let refused = keeper.refused().unwrap();
    assert_eq!(refused.version, 2);
    assert!(refused.reason.contains("later_member"), "{}", refused.reason);

    // The next version that it can read is put in force, and the refusal is over.
    row.version = 3;
    support::write_rows(&group.table, 3, &row).await;
    time::sleep(IN_FORCE_WITHIN).await;
    assert_eq!((keeper.active().version, keeper.refused()), (3, None));
}

#[tokio::test(start_paused = true)]
async fn version_that_breaks_a_rule_is_refused_and_the_old_stays() {
    let group = support::KeeperGroup::new(1);
    let keeper = &group.keepers[0];
    keeper.propose(support::marked(0, 10)).await.unwrap();
    let mut row = keeper.version(1).await.unwrap().unwrap();
    row.version = 2;
    row.document.halls.clear();
    support::write_rows(&group.table, 2, &row).await;
    time::sleep(IN_FORCE_WITHIN).await;
    assert_eq!(keeper.active().version, 1);
    assert!(keeper.refused().unwrap().reason.contains("at least one hall"));
}
