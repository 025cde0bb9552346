//! What instances believe of each other while things go wrong.

use std::time::Duration;

use almondpass_membership::members;
use almondpass_schema::model;
use almondpass_standin::fault;
use tokio::time::{self, Instant};

mod common;

use common::cases;

/// How far the platform's list lags in these tests.
const LAG: Duration = Duration::from_secs(30);
/// A new instance is known by then.
const KNOWN: Duration = Duration::from_secs(2);
/// A dead one is dropped by then, in a fleet of nine.
const DROPPED: Duration = Duration::from_secs(10);

cases! {
    /// Symptom: a new instance gets no work for half a minute. Sequence: it starts, the list lags.
    /// Cause: the others wait for the list.
    a_new_instance_is_known_before_the_list_shows_it => new_instance();
    /// Symptom: two instances that start together do not know each other. Sequence: both start, the
    /// list shows neither. Cause: each tells only those that the list shows.
    new_instances_know_each_other_before_the_list_shows_them => two_new_instances();
    /// Symptom: work goes to an instance that shuts down. Sequence: it begins to leave. Cause: the
    /// others learn it from the list only.
    a_leaving_instance_is_known_at_once => leaving_instance();
    /// Symptom: a dead instance stays in the view for the list's lag. Sequence: crash. Cause: the
    /// list counts for more than the silence.
    a_dead_instance_is_dropped_before_the_list_drops_it => dead_instance();
    /// Symptom: views hold the old processes, or lack the new. Sequence: nine instances replaced
    /// one by one at the same addresses. Cause: old beats passed on as rumours.
    instances_replaced_one_by_one_are_told_apart => replaced_one_by_one();
    /// Symptom: the fleet falls apart into islands. Sequence: all nine replaced at new addresses
    /// within a minute while the list lags. Cause: the list shows only processes that are gone.
    all_replaced_within_a_minute_still_know_each_other => all_replaced();
    /// Symptom: a paused instance wakes and takes everyone for dead, so it prefers itself for each
    /// hall. Sequence: pause, wake. Cause: the pause is taken for the others' silence.
    a_paused_instance_keeps_its_view_and_is_known_again => paused_instance();
    /// Symptom: views come and go while a partition lasts, or stay split after it. Sequence: two data
    /// centres lose each other for two minutes. Cause: lost ones are forgotten, or revived by the list.
    a_partition_changes_each_view_once_and_heals => partition();
    /// Symptom: an instance is dropped although it lives. Sequence: its messages to one other are
    /// lost. Cause: only what is heard directly counts.
    one_way_loss_changes_no_view => one_way_loss();
    /// Symptom: everyone is forgotten. Sequence: the list cannot be read. Cause: an empty view is
    /// taken from the failure.
    views_outlive_the_list => list_unavailable();
    /// Symptom: control traffic over its budget. Sequence: 30 instances idle. Cause: beats to
    /// everyone, or too much in each.
    beats_of_thirty_instances_stay_small => thirty_instances();
}

async fn new_instance() {
    let mut fleet = common::Fleet::settled(LAG, &["dc1"], 8).await;
    fleet.start("dc1-8", "dc1");
    fleet.agree(KNOWN).await;
}

async fn two_new_instances() {
    let mut fleet = common::Fleet::settled(LAG, &["dc1"], 7).await;
    fleet.start("dc1-7", "dc1");
    fleet.start("dc1-8", "dc1");
    fleet.agree(Duration::from_secs(4)).await;
}

async fn leaving_instance() {
    let fleet = common::Fleet::settled(LAG, &["dc1"], 9).await;
    let started = Instant::now();
    fleet.nodes["dc1-4"].member.leave().await;
    assert!(started.elapsed() <= Duration::from_secs(1));
    for node in fleet.nodes.values() {
        let snapshot = node.member.subscribe().borrow().clone();
        let leaving = snapshot.instances.values().find(|it| it.address == "dc1-4");
        assert!(leaving.is_some_and(|it| it.leaving));
    }
}

async fn dead_instance() {
    let mut fleet = common::Fleet::settled(LAG, &["dc1"], 9).await;
    fleet.crash("dc1-3");
    let took = fleet.agree(DROPPED).await;
    time::sleep(LAG * 2).await;
    fleet.agree(Duration::from_secs(1)).await;
    assert!(Duration::from_secs(1) < took, "one lost beat must not drop an instance");
}

async fn replaced_one_by_one() {
    let mut fleet = common::Fleet::settled(LAG, &["dc1"], 9).await;
    for n in 0..9 {
        let name = format!("dc1-{n}");
        fleet.nodes[&name].member.leave().await;
        fleet.crash(&name);
        fleet.start(&name, "dc1");
        fleet.agree(KNOWN).await;
        time::sleep(Duration::from_secs(3)).await;
    }
    time::sleep(DROPPED).await;
    fleet.agree(KNOWN).await;
    for node in fleet.nodes.values() {
        let snapshot = node.member.subscribe().borrow().clone();
        let leaving = snapshot.instances.values().filter(|it| it.leaving).count();
        assert_eq!((snapshot.instances.len(), leaving), (9, 0));
    }
}

async fn all_replaced() {
    let mut fleet = common::Fleet::settled(LAG, &["dc1"], 9).await;
    for n in 0..9 {
        fleet.nodes[&format!("dc1-{n}")].member.leave().await;
        fleet.crash(&format!("dc1-{n}"));
        fleet.start(&format!("dc1-new-{n}"), "dc1");
        time::sleep(Duration::from_millis(6_600)).await;
    }
    fleet.agree(DROPPED).await;
}

async fn paused_instance() {
    let fleet = common::Fleet::settled(LAG, &["dc1"], 9).await;
    fleet.pause("dc1-2", Duration::from_secs(60)).await;
    assert!(!fleet.view("dc1-5").contains("dc1-2"), "the others drop it meanwhile");
    fleet.agree(Duration::from_secs(4)).await;
    let changes = fleet.nodes["dc1-2"].counts.borrow().clone();
    assert!(changes.is_empty(), "its own view stays as it was, found {changes:?}");
}

async fn partition() {
    let fleet = common::Fleet::settled(LAG, &["dc1", "dc2"], 4).await;
    let here = ["dc1-0", "dc1-1", "dc1-2", "dc1-3"];
    let there = ["dc2-0", "dc2-1", "dc2-2", "dc2-3"];
    fleet.net.partition(&here, &there, fault::Condition::Dropping);
    time::sleep(Duration::from_secs(120)).await;
    assert_eq!(fleet.view("dc1-0"), here.iter().map(|it| (*it).to_owned()).collect());
    fleet.net.partition(&here, &there, fault::Condition::Up);
    fleet.agree(DROPPED).await;
    time::sleep(Duration::from_secs(30)).await;
    for (name, node) in &fleet.nodes {
        let changes = node.counts.borrow().clone();
        let flapping = changes.iter().filter(|(_, it)| 2 < **it).collect::<Vec<_>>();
        assert!(
            flapping.is_empty(),
            "{name}: expected one loss and one return, found {flapping:?}"
        );
    }
}

async fn one_way_loss() {
    let fleet = common::Fleet::settled(LAG, &["dc1"], 9).await;
    fleet.net.path_faults("dc1-1", "dc1-6").set(fault::Condition::Dropping);
    time::sleep(Duration::from_secs(120)).await;
    for (name, node) in &fleet.nodes {
        let changes = node.counts.borrow().clone();
        assert!(changes.is_empty(), "{name}: expected no change, found {changes:?}");
    }
}

async fn list_unavailable() {
    let fleet = common::Fleet::settled(LAG, &["dc1"], 9).await;
    fleet.list.faults().set(fault::Condition::Dropping);
    time::sleep(Duration::from_secs(120)).await;
    fleet.agree(Duration::from_millis(1)).await;
}

async fn thirty_instances() {
    let fleet = common::Fleet::settled(LAG, &["dc1", "dc2", "dc3"], 10).await;
    let before = fleet.net.bytes();
    let span = Duration::from_secs(300);
    time::sleep(span).await;
    let rate = (fleet.net.bytes() - before) as f64 / span.as_secs_f64() / 30.0;
    println!("bytes of beats sent by each of 30 instances a second, without heads: {rate:.0}");
    assert!(rate < 900.0, "expected under 900 bytes a second, found {rate:.0}");
    for (name, node) in &fleet.nodes {
        let changes = node.counts.borrow().clone();
        assert!(changes.is_empty(), "{name}: expected no change, found {changes:?}");
    }
}

/// Symptom: a process that is gone comes back into the view. Sequence: it is replaced at its address,
/// the new one is quiet for a moment, a third still passes the old one's last beat on. Cause: the old
/// id is not remembered, so its word counts as that of a yet newer process.
#[tokio::test(start_paused = true)]
async fn a_replaced_process_does_not_come_back() {
    let mut table = table();
    table.apply_beat(&beat("b", 10), Instant::now());
    table.apply_beat(&model::PeerBeat { from: "b#2".to_owned(), ..beat("b", 1) }, Instant::now());
    time::advance(Duration::from_secs(3)).await;
    let word = model::PeerRumour {
        from: "b#1".to_owned(),
        address: "b".to_owned(),
        data_center: "dc1".to_owned(),
        leaving: false,
        number: 12,
    };
    table.apply_beat(&model::PeerBeat { rumours: vec![word], ..beat("c", 5) }, Instant::now());
    let ids = table.snapshot(1).instances.into_keys().collect::<Vec<_>>();
    assert_eq!(ids, ["a#1", "b#2", "c#1"]);
}

/// Symptom: a wrong view right after a long pause of the process. Sequence: the table is not
/// ticked for a minute, then once. Cause: see `members::MemberTable::tick`.
#[tokio::test(start_paused = true)]
async fn a_late_tick_loses_nobody() {
    let mut table = table();
    table.apply_beat(&beat("b", 1), Instant::now());
    table.tick(Instant::now());
    time::advance(Duration::from_secs(60)).await;
    assert_eq!(table.tick(Instant::now()), Vec::<String>::new());
    assert_eq!(table.snapshot(1).instances.len(), 2);
}

fn beat(name: &str, number: u64) -> model::PeerBeat {
    model::PeerBeat {
        from: format!("{name}#1"),
        address: name.to_owned(),
        data_center: "dc1".to_owned(),
        leaving: false,
        config_version: 1,
        halls: Vec::new(),
        number,
        rumours: Vec::new(),
        signs: Vec::new(),
    }
}

fn table() -> members::MemberTable {
    let own = members::MemberIdentity {
        id: "a#1".to_owned(),
        address: "a".to_owned(),
        data_center: "dc1".to_owned(),
    };
    members::MemberTable::new(own, Duration::from_secs(1), Instant::now())
}
