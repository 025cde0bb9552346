//! Member tables of a fleet of instances during restarts, pauses, partitions and message loss.

use std::time::Duration;

use almondpass_membership::members;
use almondpass_schema::model;
use almondpass_standin::fault;
use tokio::time::{self, Instant};

mod common;

use common::cases;

/// Delay of the platform's instance list.
const LAG: Duration = Duration::from_secs(30);
/// Time within which all instances know a new instance.
const KNOWN_WITHIN: Duration = Duration::from_secs(2);
/// Time within which a fleet of nine drops a dead instance.
const DROPPED_WITHIN: Duration = Duration::from_secs(10);

cases! {
    /// Guards against a new instance getting no work for half a minute because the others learn of it
    /// only from the delayed list.
    a_new_instance_is_known_before_the_list_shows_it => new_instance();
    /// Guards against two instances that start together not knowing each other because the list contains
    /// neither and each announces itself only to listed instances.
    new_instances_know_each_other_before_the_list_shows_them => two_new_instances();
    /// Guards against work being sent to an instance that is shutting down because the others learn of the
    /// shutdown only from the list.
    a_leaving_instance_is_known_at_once => leaving_instance();
    /// Guards against a crashed instance staying in the view until the delayed list drops it because the
    /// list takes precedence over missing beats.
    a_dead_instance_is_dropped_before_the_list_drops_it => dead_instance();
    /// Guards against views that contain replaced processes or lack new ones when nine instances are
    /// replaced one by one at the same addresses, because old beats are still forwarded as rumours.
    instances_replaced_one_by_one_are_distinguished => replaced_one_by_one();
    /// Guards against the fleet splitting into groups that don't know each other when all nine instances
    /// are replaced at new addresses within a minute, while the list contains only stopped processes.
    all_replaced_within_a_minute_still_know_each_other => all_replaced();
    /// Guards against an instance that resumes after a pause considering all others dead, and so preferring
    /// itself for each hall, because it counts its own pause as their silence.
    a_paused_instance_keeps_its_view_and_is_known_again => paused_instance();
    /// Guards against views that change repeatedly during a partition of two data centres for two minutes,
    /// or stay split after it, because lost instances are forgotten or marked live by the list.
    a_partition_changes_each_view_once_and_heals => partition();
    /// Guards against a live instance being dropped when its messages to one other instance are lost,
    /// because only directly received beats count as signs of life.
    one_way_loss_changes_no_view => one_way_loss();
    /// Guards against all instances being removed when the list can't be read, because a failed read is
    /// treated as an empty list.
    views_stay_while_the_list_is_unavailable => list_unavailable();
    /// Guards against control traffic above its budget with 30 idle instances, because beats are sent to
    /// everyone or contain too much.
    beats_of_thirty_instances_stay_small => thirty_instances();
}

async fn new_instance() {
    let mut fleet = common::Fleet::settled(LAG, &["dc1"], 8).await;
    fleet.start("dc1-8", "dc1");
    fleet.agree(KNOWN_WITHIN).await;
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
    let took = fleet.agree(DROPPED_WITHIN).await;
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
        fleet.agree(KNOWN_WITHIN).await;
        time::sleep(Duration::from_secs(3)).await;
    }
    time::sleep(DROPPED_WITHIN).await;
    fleet.agree(KNOWN_WITHIN).await;
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
    fleet.agree(DROPPED_WITHIN).await;
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
    let dc1_names = ["dc1-0", "dc1-1", "dc1-2", "dc1-3"];
    let dc2_names = ["dc2-0", "dc2-1", "dc2-2", "dc2-3"];
    fleet.net.partition(&dc1_names, &dc2_names, fault::Condition::Dropping);
    time::sleep(Duration::from_secs(120)).await;
    assert_eq!(fleet.view("dc1-0"), dc1_names.iter().map(|it| (*it).to_owned()).collect());
    fleet.net.partition(&dc1_names, &dc2_names, fault::Condition::Up);
    fleet.agree(DROPPED_WITHIN).await;
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

/// Guards against a replaced process returning to the view: the new process at its address sends nothing for
/// a moment while a third instance still forwards the old process's last beat. If the old id is not recorded,
/// the rumour is treated as a report of an even newer process.
#[tokio::test(start_paused = true)]
async fn a_replaced_process_does_not_come_back() {
    let mut table = table();
    table.apply_beat(&beat("b", 10), Instant::now());
    table.apply_beat(&model::PeerBeat { from: "b#2".to_owned(), ..beat("b", 1) }, Instant::now());
    time::advance(Duration::from_secs(3)).await;
    let rumour = model::PeerRumour {
        from: "b#1".to_owned(),
        address: "b".to_owned(),
        data_center: "dc1".to_owned(),
        leaving: false,
        number: 12,
    };
    table.apply_beat(&model::PeerBeat { rumours: vec![rumour], ..beat("c", 5) }, Instant::now());
    let ids = table.snapshot(1).instances.into_keys().collect::<Vec<_>>();
    assert_eq!(ids, ["a#1", "b#2", "c#1"]);
}

/// Guards against a wrong view right after a long pause of the process: the table is not ticked for a minute,
/// then once. Without compensation for the pause, `members::MemberTable::tick` would mark the others as lost.
#[tokio::test(start_paused = true)]
async fn a_late_tick_marks_no_instance_lost() {
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
