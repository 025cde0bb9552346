//! How the scheduler of a hall is found while halls move and answers are lost.

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

/// An instance that answers hall queries as told.
#[derive(Clone)]
struct SeatFake {
    name: String,
    behaviour: Arc<Mutex<SeatBehaviour>>,
    calls: Arc<AtomicU32>,
}

#[derive(Clone)]
enum SeatBehaviour {
    Holds,
    Redirects(Option<String>),
    Starting,
    LosesAnswer,
}

impl link::PeerService for SeatFake {
    async fn serve(&self, path: &str, body: Bytes) -> Option<link::ServedReply> {
        assert_eq!(path, model::HallQuery::PATH);
        self.calls.fetch_add(1, Ordering::Relaxed);
        let behaviour = self.behaviour.lock().unwrap().clone();
        dispatch::try_answer(&body, async |query: model::HallQuery| match behaviour {
            SeatBehaviour::Holds => Ok(picture(&query.hall, &self.name)),
            SeatBehaviour::Redirects(holder) => Ok(model::HallReply::NotHolder { holder }),
            SeatBehaviour::Starting => Err(error::ServeFault::Unavailable("starting".to_owned())),
            SeatBehaviour::LosesAnswer => Err(error::ServeFault::Silent),
        })
        .await
    }
}

/// Holds the hall itself where told.
#[derive(Clone, Default)]
struct LocalFake {
    holds: Arc<AtomicBool>,
}

impl local::LocalHalls for LocalFake {
    fn holds(&self, _hall: &ids::HallName) -> bool {
        self.holds.load(Ordering::Relaxed)
    }

    async fn answer<C: call::HallCall>(&self, call: C) -> Result<C::Reply, error::CallError> {
        let reply = codec::encode(&picture(call.hall(), "own")).expect("a picture");
        Ok(codec::decode(&reply).expect("a picture"))
    }
}

struct Site {
    net: net::FakeNet,
    table: table::TableFake,
    holders: holders::HolderTable,
    local: LocalFake,
    directory: directory::HallDirectory<net::FakeLink, table::TableFake, LocalFake>,
}

impl Site {
    fn new() -> Site {
        let net = net::FakeNet::new();
        let table = table::TableFake::default();
        let holders = holders::HolderTable::default();
        let local = LocalFake::default();
        let directory = directory::HallDirectory::new(directory::DirectoryParts {
            own: "own".to_owned(),
            link: net.link("own"),
            table: table.clone(),
            local: local.clone(),
            holders: holders.clone(),
            read_at: Mutex::default(),
        });
        Site { net, table, holders, local, directory }
    }

    fn seat(&self, name: &str, behaviour: SeatBehaviour) -> SeatFake {
        let seat = SeatFake {
            name: name.to_owned(),
            behaviour: Arc::new(Mutex::new(behaviour)),
            calls: Arc::default(),
        };
        self.net.register(name, seat.clone());
        seat
    }

    fn beat(&self, from: &str, epoch: ids::Epoch) {
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

    async fn ask(&self) -> Result<String, String> {
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
    let site = Site::new();
    site.local.holds.store(true, Ordering::Relaxed);
    assert_eq!(site.ask().await, Ok("own".to_owned()));
    assert_eq!(site.net.calls(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_beat_or_a_redirect_names_the_holder() {
    let site = Site::new();
    site.seat("a", SeatBehaviour::Redirects(Some("b".to_owned())));
    site.seat("b", SeatBehaviour::Holds);
    site.beat("a", 3);
    assert_eq!(site.ask().await, Ok("b".to_owned()));
    assert_eq!(site.ask().await, Ok("b".to_owned()));
    assert_eq!(site.net.calls(), 3);
}

/// Symptom: callers of a hall fail for as long as its dead holder is believed in. Sequence: the
/// holder dies, another takes the hall, no beat says so yet. Cause: only beats are asked.
#[tokio::test(start_paused = true)]
async fn the_row_names_the_holder_where_the_known_one_is_gone() {
    let site = Site::new();
    site.seat("b", SeatBehaviour::Holds);
    site.beat("a", 3);
    site.write_row("b", 4).await;
    assert_eq!(site.ask().await, Ok("b".to_owned()));
}

/// Symptom: a processor busy with calls that lead nowhere. Sequence: two instances each name the
/// other as holder. Cause: redirects followed without bound or pause.
#[tokio::test(start_paused = true)]
async fn a_ring_of_redirects_ends_at_the_deadline() {
    let site = Site::new();
    site.seat("a", SeatBehaviour::Redirects(Some("b".to_owned())));
    site.seat("b", SeatBehaviour::Redirects(Some("a".to_owned())));
    site.beat("a", 3);
    let started = Instant::now();
    assert!(site.ask().await.is_err_and(|it| it.starts_with("not holder")));
    assert!(started.elapsed() <= DEADLINE);
    assert!(site.net.calls() < 60, "found {} calls", site.net.calls());
}

/// A call that is made when hardly any time is left ends without an answer, and the certain one before it
/// is lost.
#[tokio::test(start_paused = true)]
async fn no_call_is_made_that_has_no_time_for_an_answer() {
    for _ in 0..200 {
        let site = Site::new();
        site.net.set_latency(Duration::from_millis(5));
        site.seat("a", SeatBehaviour::Redirects(Some("b".to_owned())));
        site.seat("b", SeatBehaviour::Redirects(Some("a".to_owned())));
        site.beat("a", 3);
        assert!(site.ask().await.is_err_and(|it| it.starts_with("not holder")));
    }
}

/// Symptom: work granted twice. Sequence: the scheduler grants, its answer is lost, the directory
/// asks again. Cause: a call that may have had an effect is taken for one that had none.
#[tokio::test(start_paused = true)]
async fn a_call_whose_answer_is_lost_is_not_sent_again() {
    let site = Site::new();
    let seat = site.seat("a", SeatBehaviour::LosesAnswer);
    site.beat("a", 3);
    assert!(site.ask().await.is_err_and(|it| it.contains("broken connection")));
    assert_eq!(seat.calls.load(Ordering::Relaxed), 1);
}

#[tokio::test(start_paused = true)]
async fn a_holder_that_starts_is_asked_again() {
    let site = Site::new();
    let seat = site.seat("a", SeatBehaviour::Starting);
    site.beat("a", 3);
    let behaviour = seat.behaviour.clone();
    tokio::spawn(async move {
        time::sleep(Duration::from_secs(2)).await;
        *behaviour.lock().unwrap() = SeatBehaviour::Holds;
    });
    assert_eq!(site.ask().await, Ok("a".to_owned()));
}

/// Symptom: the table's read budget used up while a hall has no scheduler. Sequence: a hundred
/// callers wait for it. Cause: each reads the row in a loop.
#[tokio::test(start_paused = true)]
async fn callers_that_wait_together_read_the_row_seldom() {
    let site = Site::new();
    let asks = (0..100).map(|_| {
        let directory = site.directory.clone();
        let query = model::HallQuery { hall: HALL.to_owned() };
        tokio::spawn(async move { directory.ask(query, DEADLINE).await })
    });
    for ask in asks.collect::<Vec<_>>() {
        assert!(ask.await.expect("an answer").is_err());
    }
    let reads = site.table.faults().calls(model::TableGet::PATH);
    assert!(reads <= 20, "expected at most 4 reads a second, found {reads} in {DEADLINE:?}");
}

/// Symptom: callers sent back to a holder of the past. Sequence: a beat of the old tenure arrives
/// after one of the new. Cause: the latest arrival counts, not the newest tenure.
#[tokio::test(start_paused = true)]
async fn a_late_beat_of_an_old_tenure_changes_nothing() {
    let site = Site::new();
    site.seat("b", SeatBehaviour::Holds);
    site.net.path_faults("own", "a").set(fault::Condition::Dropping);
    site.beat("b", 4);
    site.beat("a", 3);
    assert_eq!(site.ask().await, Ok("b".to_owned()));
}
