//! A fleet of memberships in one process, on the paused clock.

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

/// Timing of the fleets.
pub(crate) const TIMING: service::MemberTiming =
    service::MemberTiming { beat: Duration::from_secs(1), poll: Duration::from_secs(2) };

/// Names each case and runs it on the paused clock.
macro_rules! cases {
    ($($(#[$note:meta])* $name:ident => $case:expr;)*) => {
        $($(#[$note])* #[tokio::test(start_paused = true)]
        async fn $name() {
            $case.await;
        })*
    };
}
pub(crate) use cases;

/// Beats without a configuration or halls.
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

/// Membership of one instance of the fleet.
pub(crate) type TestMember = service::MemberService<net::FakeLink, PlainContent>;

/// Answers beats.
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

/// Instances that beat to each other, and the list that lags.
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
    running: JoinHandle<()>,
    /// How often each other instance came into its view or went out of it.
    changes: JoinHandle<()>,
    pub(crate) counts: watch::Receiver<BTreeMap<ids::PeerAddress, u32>>,
}

impl Fleet {
    /// An empty fleet whose list lags by `lag`.
    pub(crate) fn new(lag: Duration) -> Fleet {
        let list = instance::InstanceFake::new(lag);
        Fleet { net: net::FakeNet::new(), list, nodes: BTreeMap::new(), starts: 0 }
    }

    /// A fleet of settled instances `dc1-0`, `dc1-1` and so on, in each of the data centres.
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

    /// Starts an instance at the address of its name.
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

    /// Kills an instance; the list shows it after its lag.
    pub(crate) fn crash(&mut self, name: &str) {
        let Some(node) = self.nodes.remove(name) else { return };
        self.net.crash(name);
        node.running.abort();
        node.changes.abort();
        let id = self.id_of(name, &node);
        self.list.remove(&id);
    }

    /// Stops an instance for a while: nothing of it runs and nothing reaches it.
    pub(crate) async fn pause(&self, name: &str, span: Duration) {
        self.nodes[name].paused.send_replace(true);
        self.net.process_faults(name).set(fault::Condition::Paused);
        time::sleep(span).await;
        self.net.process_faults(name).set(fault::Condition::Up);
        self.nodes[name].paused.send_replace(false);
    }

    /// Names of the instances that run.
    pub(crate) fn live(&self) -> BTreeSet<String> {
        self.nodes.keys().cloned().collect()
    }

    /// What an instance believes to be live.
    pub(crate) fn view(&self, name: &str) -> BTreeSet<String> {
        self.nodes[name].view()
    }

    /// Waits until every instance believes what is so, and tells how long that took.
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
        let running = tokio::spawn(run_unless_paused(member.clone(), list, pauses));
        let (counting, counts) = watch::channel(BTreeMap::new());
        let changes = tokio::spawn(count_changes(member.subscribe(), counting));
        FleetNode { member, paused, running, changes, counts }
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
    counting: watch::Sender<BTreeMap<ids::PeerAddress, u32>>,
) {
    let mut last = addresses(&views.borrow_and_update());
    while views.changed().await.is_ok() {
        let view = addresses(&views.borrow_and_update());
        counting.send_modify(|counts| {
            for address in last.symmetric_difference(&view) {
                *counts.entry(address.clone()).or_default() += 1;
            }
        });
        last = view;
    }
}
