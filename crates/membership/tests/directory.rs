//! Finding the scheduler of a hall while halls move between instances and answers are lost.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use almondpass_membership::{directory, holders, local};
use almondpass_peer::call::PeerCall;
use almondpass_peer::link::HallLink;
use almondpass_peer::{call, codec, dispatch, error, link};
use almondpass_ports::keys;
use almondpass_ports::table::TableService;
use almondpass_schema::{ids, model, time as span};
use almondpass_standin::{fault, net, table};
use bytes::Bytes;
use tokio::time::{self, Instant};

const HALL: &str = "vadodara";
const DEADLINE: Duration = Duration::from_secs(5);

/// Fake instance that answers hall queries according to `mode`.
#[derive(Clone)]
struct FakeScheduler {
    name: String,
    mode: Arc<Mutex<SchedulerMode>>,
    calls: Arc<AtomicU32>,
}

#[derive(Clone)]
enum SchedulerMode {
    Holds,
    Redirects(Option<String>),
    Starting,
    LosesAnswer,
}

impl link::PeerService for FakeScheduler {
    async fn serve(&self, path: &str, body: Bytes) -> Option<link::ServedReply> {
        assert_eq!(path, model::HallQuery::PATH);
        self.calls.fetch_add(1, Ordering::Relaxed);
        let mode = self.mode.lock().unwrap().clone();
        dispatch::try_answer(&body, async |query: model::HallQuery| match mode {
            SchedulerMode::Holds => Ok(picture(&query.hall, &self.name)),
            SchedulerMode::Redirects(holder) => Ok(model::HallReply::NotHolder { holder }),
            SchedulerMode::Starting => Err(error::ServeFault::Unavailable("starting".to_owned())),
            SchedulerMode::LosesAnswer => Err(error::ServeFault::Silent),
        })
        .await
    }
}

/// Fake of this instance's own schedulers; holds the hall while `holds` is set.
#[derive(Clone, Default)]
struct FakeLocalHalls {
    holds: Arc<AtomicBool>,
}

impl local::LocalHalls for FakeLocalHalls {
    fn holds(&self, _hall: &ids::HallName) -> bool {
        self.holds.load(Ordering::Relaxed)
    }

    async fn answer<C: call::HallCall>(&self, call: C) -> Result<C::Reply, error::CallError> {
        let reply = codec::encode(&picture(call.hall(), "own")).expect("a picture");
        Ok(codec::decode(&reply).expect("a picture"))
    }
}

struct DirectoryFixture {
    net: net::FakeNet,
    table: table::TableFake,
    holders: holders::HolderTable,
    local: FakeLocalHalls,
    directory: directory::HallDirectory<net::FakeLink, table::TableFake, FakeLocalHalls>,
}

impl DirectoryFixture {
    fn new() -> DirectoryFixture {
        let net = net::FakeNet::new();
        let table = table::TableFake::default();
        let holders = holders::HolderTable::default();
        let local = FakeLocalHalls::default();
        let directory = directory::HallDirectory::new(directory::DirectoryParts {
            own: "own".to_owned(),
            link: net.link("own"),
            table: table.clone(),
            local: local.clone(),
            holders: holders.clone(),
            read_at: Mutex::default(),
        });
        DirectoryFixture { net, table, holders, local, directory }
    }

    fn add_scheduler(&self, name: &str, mode: SchedulerMode) -> FakeScheduler {
        let scheduler = FakeScheduler {
            name: name.to_owned(),
            mode: Arc::new(Mutex::new(mode)),
            calls: Arc::default(),
        };
        self.net.register(name, scheduler.clone());
        scheduler
    }

    fn apply_beat(&self, from: &str, epoch: ids::Epoch) {
        let hall = model::HallBeat {
            hall: HALL.to_owned(),
            epoch,
            free_accelerators: 8,
            longest_run: 8,
            queued: 0,
            wait: span::TimeSpan::default(),
        };
        self.holders.apply_beat(&model::PeerBeat {
            from: from.to_owned(),
            address: from.to_owned(),
            data_center: "dc1".to_owned(),
            leaving: false,
            config_version: 1,
            halls: vec![hall],
            number: epoch,
            rumours: Vec::new(),
            signs: Vec::new(),
        });
    }

    async fn write_row(&self, holder: &str, epoch: ids::Epoch) {
        let row = model::SchedulerRow {
            hall: HALL.to_owned(),
            holder: holder.to_owned(),
            address: holder.to_owned(),
            epoch,
            term: span::TimeSpan::from_secs(6),
            renewal: 1,
            released: false,
        };
        let value = codec::encode(&row).expect("a row");
        let write =
            model::TableWrite { key: keys::scheduler(HALL), value: Some(value.to_vec().into()) };
        let transaction = model::TableTransaction { conditions: Vec::new(), writes: vec![write] };
        self.table.transact(transaction).await.expect("a row written");
    }

    async fn query_holder(&self) -> Result<String, String> {
        let query = model::HallQuery { hall: HALL.to_owned() };
        match self.directory.ask(query, DEADLINE).await {
            Ok(model::HallReply::Picture { picture }) => Ok(picture.holder),
            Ok(model::HallReply::NotHolder { holder }) => Err(format!("not holder {holder:?}")),
            Err(error) => Err(error.to_string()),
        }
    }
}

fn picture(hall: &str, holder: &str) -> model::HallReply {
    let picture = model::HallPicture {
        hall: hall.to_owned(),
        epoch: 1,
        holder: holder.to_owned(),
        workers: Vec::new(),
        queue: Vec::new(),
        guarantees: Vec::new(),
        fragmentation: 0.0,
    };
    model::HallReply::Picture { picture }
}

#[tokio::test(start_paused = true)]
async fn a_hall_of_this_instance_needs_no_socket() {
    let fixture = DirectoryFixture::new();
    fixture.local.holds.store(true, Ordering::Relaxed);
    assert_eq!(fixture.query_holder().await, Ok("own".to_owned()));
    assert_eq!(fixture.net.calls(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_beat_or_a_redirect_names_the_holder() {
    let fixture = DirectoryFixture::new();
    fixture.add_scheduler("a", SchedulerMode::Redirects(Some("b".to_owned())));
    fixture.add_scheduler("b", SchedulerMode::Holds);
    fixture.apply_beat("a", 3);
    assert_eq!(fixture.query_holder().await, Ok("b".to_owned()));
    assert_eq!(fixture.query_holder().await, Ok("b".to_owned()));
    assert_eq!(fixture.net.calls(), 3);
}

/// Guards against calls to a hall failing while its dead holder is still recorded: another instance has
/// acquired the hall and no beat has reported it yet. The directory must read the row, not only beats.
#[tokio::test(start_paused = true)]
async fn the_row_names_the_holder_if_the_known_holder_is_gone() {
    let fixture = DirectoryFixture::new();
    fixture.add_scheduler("b", SchedulerMode::Holds);
    fixture.apply_beat("a", 3);
    fixture.write_row("b", 4).await;
    assert_eq!(fixture.query_holder().await, Ok("b".to_owned()));
}

/// Guards against a busy loop of calls when two instances each name the other as holder and redirects are
/// followed without bound or pause.
#[tokio::test(start_paused = true)]
async fn a_redirect_loop_ends_at_the_deadline() {
    let fixture = DirectoryFixture::new();
    fixture.add_scheduler("a", SchedulerMode::Redirects(Some("b".to_owned())));
    fixture.add_scheduler("b", SchedulerMode::Redirects(Some("a".to_owned())));
    fixture.apply_beat("a", 3);
    let started = Instant::now();
    assert!(fixture.query_holder().await.is_err_and(|it| it.starts_with("not holder")));
    assert!(started.elapsed() <= DEADLINE);
    assert!(fixture.net.calls() < 60, "found {} calls", fixture.net.calls());
}

/// Guards against a call with hardly any time left, which would time out and replace the certain answer of
/// the previous call.
#[tokio::test(start_paused = true)]
async fn no_call_is_made_without_time_for_an_answer() {
    for _ in 0..200 {
        let fixture = DirectoryFixture::new();
        fixture.net.set_latency(Duration::from_millis(5));
        fixture.add_scheduler("a", SchedulerMode::Redirects(Some("b".to_owned())));
        fixture.add_scheduler("b", SchedulerMode::Redirects(Some("a".to_owned())));
        fixture.apply_beat("a", 3);
        assert!(fixture.query_holder().await.is_err_and(|it| it.starts_with("not holder")));
    }
}

/// Guards against work granted twice: the scheduler grants it, its answer is lost, and the directory repeats
/// the call because it assumes that a call without an answer had no effect.
#[tokio::test(start_paused = true)]
async fn a_call_whose_answer_is_lost_is_not_sent_again() {
    let fixture = DirectoryFixture::new();
    let scheduler = fixture.add_scheduler("a", SchedulerMode::LosesAnswer);
    fixture.apply_beat("a", 3);
    assert!(fixture.query_holder().await.is_err_and(|it| it.contains("broken connection")));
    assert_eq!(scheduler.calls.load(Ordering::Relaxed), 1);
}

#[tokio::test(start_paused = true)]
async fn a_call_to_a_starting_holder_is_repeated() {
    let fixture = DirectoryFixture::new();
    let scheduler = fixture.add_scheduler("a", SchedulerMode::Starting);
    fixture.apply_beat("a", 3);
    let mode = scheduler.mode.clone();
    tokio::spawn(async move {
        time::sleep(Duration::from_secs(2)).await;
        *mode.lock().unwrap() = SchedulerMode::Holds;
    });
    assert_eq!(fixture.query_holder().await, Ok("a".to_owned()));
}

/// Guards against using up the store's read budget while a hall has no scheduler, when a hundred waiting
/// callers each read the row in a loop.
#[tokio::test(start_paused = true)]
async fn waiting_callers_read_the_row_at_a_limited_rate() {
    let fixture = DirectoryFixture::new();
    let calls = (0..100).map(|_| {
        let directory = fixture.directory.clone();
        let query = model::HallQuery { hall: HALL.to_owned() };
        tokio::spawn(async move { directory.ask(query, DEADLINE).await })
    });
    for call in calls.collect::<Vec<_>>() {
        assert!(call.await.expect("an answer").is_err());
    }
    let reads = fixture.table.faults().calls(model::TableGet::PATH);
    assert!(reads <= 20, "expected at most 4 reads a second, found {reads} in {DEADLINE:?}");
}

/// Guards against calls being sent to an earlier holder when a beat of the old tenure arrives after one of
/// the new tenure and the order of arrival decides instead of the epoch.
#[tokio::test(start_paused = true)]
async fn a_late_beat_of_an_old_tenure_is_ignored() {
    let fixture = DirectoryFixture::new();
    fixture.add_scheduler("b", SchedulerMode::Holds);
    fixture.net.path_faults("own", "a").set(fault::Condition::Dropping);
    fixture.apply_beat("b", 4);
    fixture.apply_beat("a", 3);
    assert_eq!(fixture.query_holder().await, Ok("b".to_owned()));
}
