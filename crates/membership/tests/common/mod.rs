//! A fleet of member services in one process, on tokio's paused clock.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use almondpass_membership::{content, members, service, snapshot};
use almondpass_peer::call::PeerCall;
use almondpass_peer::{dispatch, link};
use almondpass_schema::{ids, model};
use almondpass_standin::{fault, instance, net};
use bytes::Bytes;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time;

/// Beat and poll intervals of all fleets.
pub(crate) const TIMING: service::MemberTiming =
    service::MemberTiming { beat: Duration::from_secs(1), poll: Duration::from_secs(2) };

/// Defines a test for each case, run on tokio's paused clock.
macro_rules! cases {
    ($($(#[$note:meta])* $name:ident => $case:expr;)*) => {
        $($(#[$note])* #[tokio::test(start_paused = true)]
        async fn $name() {
            $case.await;
        })*
    };
}
pub(crate) use cases;

/// Beat content with configuration version 1 and no halls.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlainContent;

impl content::BeatContent for PlainContent {
    fn config_version(&self) -> ids::ConfigVersion {
        1
    }

    fn halls(&self) -> Vec<model::HallBeat> {
        Vec::new()
    }

    fn on_beat(&self, _beat: &model::PeerBeat) {}
}

/// Member service of one instance of the fleet.
pub(crate) type TestMember = service::MemberService<net::FakeLink, PlainContent>;

/// Answers beats sent to a `TestMember`.
#[derive(Clone)]
pub(crate) struct BeatService(pub(crate) TestMember);

impl link::PeerService for BeatService {
    async fn serve(&self, path: &str, body: Bytes) -> Option<link::ServedReply> {
        match path {
            model::PeerBeat::PATH => {
                dispatch::answer(&body, async |beat: model::PeerBeat| self.0.receive_beat(&beat))
                    .await
            }
            _ => None,
        }
    }
}

/// Instances that exchange beats over a fake network, and a delayed instance list.
pub(crate) struct Fleet {
    pub(crate) net: net::FakeNet,
    pub(crate) list: instance::InstanceFake,
    pub(crate) nodes: BTreeMap<String, FleetNode>,
    starts: usize,
}

/// One instance of the fleet.
pub(crate) struct FleetNode {
    pub(crate) member: TestMember,
    paused: watch::Sender<bool>,
    run_task: JoinHandle<()>,
    /// Task that updates `counts`.
    count_task: JoinHandle<()>,
    /// How often each other instance appeared in this instance's view or disappeared from it.
    pub(crate) counts: watch::Receiver<BTreeMap<ids::PeerAddress, u32>>,
}

impl Fleet {
    /// Creates an empty fleet whose instance list is delayed by `lag`.
    pub(crate) fn new(lag: Duration) -> Fleet {
        let list = instance::InstanceFake::new(lag);
        Fleet { net: net::FakeNet::new(), list, nodes: BTreeMap::new(), starts: 0 }
    }

    /// Creates a fleet of `n_each` instances per data centre, named `dc1-0`, `dc1-1` and so on, that has run
    /// for 20 s; only then is the list delayed by `lag`.
    pub(crate) async fn settled(lag: Duration, data_centers: &[&str], n_each: usize) -> Fleet {
        let mut fleet = Fleet::new(Duration::ZERO);
        for data_center in data_centers {
            for n in 0..n_each {
                fleet.start(&format!("{data_center}-{n}"), data_center);
            }
        }
        time::sleep(Duration::from_secs(20)).await;
        fleet.list.set_lag(lag);
        fleet
    }

    /// Starts an instance whose address is its name.
    pub(crate) fn start(&mut self, name: &str, data_center: &str) {
        self.starts += 1;
        let own = members::MemberIdentity {
            id: format!("{name}#{}", self.starts),
            address: name.to_owned(),
            data_center: data_center.to_owned(),
        };
        let entry = model::InstanceEntry {
            id: own.id.clone(),
            role: model::InstanceRole::Scheduler,
            state: model::InstanceState::Live,
            data_center: own.data_center.clone(),
            address: own.address.clone(),
            upstreams: Vec::new(),
        };
        let member = TestMember::new(own, TIMING, self.net.link(name), PlainContent);
        self.net.register(name, BeatService(member.clone()));
        self.list.register(entry);
        self.nodes.insert(name.to_owned(), FleetNode::run(member, self.list.clone()));
    }

    /// Kills an instance; the list drops it after its delay.
    pub(crate) fn crash(&mut self, name: &str) {
        let Some(node) = self.nodes.remove(name) else { return };
        self.net.crash(name);
        node.run_task.abort();
        node.count_task.abort();
        let id = self.id_of(name, &node);
        self.list.remove(&id);
    }

    /// Pauses an instance for `span`: its tasks don't run and messages to it are held back.
    pub(crate) async fn pause(&self, name: &str, span: Duration) {
        self.nodes[name].paused.send_replace(true);
        self.net.process_faults(name).set(fault::Condition::Paused);
        time::sleep(span).await;
        self.net.process_faults(name).set(fault::Condition::Up);
        self.nodes[name].paused.send_replace(false);
    }

    /// Names of the running instances.
    pub(crate) fn live(&self) -> BTreeSet<String> {
        self.nodes.keys().cloned().collect()
    }

    /// Addresses that the instance `name` considers live.
    pub(crate) fn view(&self, name: &str) -> BTreeSet<String> {
        self.nodes[name].view()
    }

    /// Waits until the view of every instance equals the running instances; returns the time taken. Panics
    /// after `limit`.
    pub(crate) async fn agree(&self, limit: Duration) -> Duration {
        let started = time::Instant::now();
        let live = self.live();
        while self.nodes.values().any(|it| it.view() != live) {
            assert!(started.elapsed() < limit, "views still differ from {live:?} after {limit:?}");
            time::sleep(Duration::from_millis(100)).await;
        }
        started.elapsed()
    }

    fn id_of(&self, name: &str, node: &FleetNode) -> ids::InstanceId {
        let snapshot = node.member.subscribe().borrow().clone();
        let own = snapshot.instances.iter().find(|(_, it)| it.address == name);
        own.map(|(id, _)| id.clone()).unwrap_or_default()
    }
}

impl FleetNode {
    fn run(member: TestMember, list: instance::InstanceFake) -> FleetNode {
        let (paused, pauses) = watch::channel(false);
        let run_task = tokio::spawn(run_unless_paused(member.clone(), list, pauses));
        let (counts_sender, counts) = watch::channel(BTreeMap::new());
        let count_task = tokio::spawn(count_changes(member.subscribe(), counts_sender));
        FleetNode { member, paused, run_task, count_task, counts }
    }

    fn view(&self) -> BTreeSet<String> {
        addresses(&self.member.subscribe().borrow())
    }
}

fn addresses(snapshot: &Arc<snapshot::MemberSnapshot>) -> BTreeSet<ids::PeerAddress> {
    snapshot.instances.values().map(|it| it.address.clone()).collect()
}

async fn run_unless_paused(
    member: TestMember,
    list: instance::InstanceFake,
    mut pauses: watch::Receiver<bool>,
) {
    let mut run = std::pin::pin!(member.run(list));
    loop {
        tokio::select! {
            biased;
            _ = pauses.wait_for(|it| *it) => {}
            () = &mut run => return,
        }
        if pauses.wait_for(|it| !*it).await.is_err() {
            return;
        }
    }
}

async fn count_changes(
    mut views: watch::Receiver<Arc<snapshot::MemberSnapshot>>,
    counts_sender: watch::Sender<BTreeMap<ids::PeerAddress, u32>>,
) {
    let mut last = addresses(&views.borrow_and_update());
    while views.changed().await.is_ok() {
        let view = addresses(&views.borrow_and_update());
        counts_sender.send_modify(|counts| {
            for address in last.symmetric_difference(&view) {
                *counts.entry(address.clone()).or_default() += 1;
            }
        });
        last = view;
    }
}
