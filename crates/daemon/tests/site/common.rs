//! A whole site over real sockets: the stand-in platform, and instances that come and go.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::time::Duration;

use almondpass_config::{document, keeper};
use almondpass_daemon::instance;
use almondpass_ports::clock;
use almondpass_schema::{model, time as span};
use almondpass_standin::{net, plan, site};
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tempfile::TempDir;
use tokio::net::TcpStream;
use tokio::time::{self, Instant};

/// Key of the large account of the Laboratories.
pub(crate) const LARGE: &str = "gujarat-grid-example-key";
/// Key of a small one.
pub(crate) const SMALL: &str = "kutch-substations-example-key";
/// For anything that is awaited; only a fault takes this long.
pub(crate) const LIMIT: Duration = Duration::from_secs(40);
/// Term of hall schedulers in these tests.
pub(crate) const TERM: Duration = Duration::from_secs(2);

/// The platform and the instances on it.
pub(crate) struct TestSite {
    pub(crate) platform: site::SiteServer,
    pub(crate) instances: BTreeMap<String, instance::Instance>,
    keys: TempDir,
}

/// An answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) request: Option<String>,
    pub(crate) body: Bytes,
}

impl TestSite {
    /// A site of the Laboratories with accepted configuration 1, and `n_instances`, all ready.
    pub(crate) async fn start(n_instances: usize) -> TestSite {
        let document = laboratories();
        let workers = plan::configured_workers(&document);
        let lag = Duration::from_millis(500);
        let platform = site::SiteServer::start(&workers, lag).await.expect("a platform");
        let keys = tempfile::tempdir().expect("a directory");
        let mut site = TestSite { platform, instances: BTreeMap::new(), keys };
        site.accept(0, document).await;
        for n in 0..n_instances {
            site.add(&format!("i{n}")).await;
        }
        site.ready().await;
        site
    }

    /// Accepts a configuration as the version after `base`.
    pub(crate) async fn accept(&self, base: u64, document: model::ConfigDocument) {
        let timing = keeper::KeeperTiming { poll: LIMIT, deadline: LIMIT };
        let link = net::FakeNet::new().link("operator");
        let table = self.platform.fakes.table().clone();
        let clock = clock::WallClock::from_system();
        let keeper = keeper::ConfigKeeper::new(table, link, clock, timing);
        let proposal = model::ConfigProposal {
            base,
            operator: "operator".to_owned(),
            note: "test".to_owned(),
            proposal: None,
            document,
        };
        keeper.propose(proposal).await.expect("an accepted configuration");
    }

    /// Starts an instance.
    pub(crate) async fn add(&mut self, name: &str) {
        let mut spec = instance::InstanceSpec::new(self.settings());
        spec.id = name.to_owned();
        let instance = instance::Instance::start(spec).await.expect("an instance");
        let peers = instance.addresses().peers.to_string();
        self.platform.fakes.register_instance(name, &peers, "vadodara");
        self.instances.insert(name.to_owned(), instance);
    }

    /// Takes an instance out, to end or kill it.
    pub(crate) fn take(&mut self, name: &str) -> instance::Instance {
        self.platform.fakes.instances().remove(name);
        self.instances.remove(name).expect("an instance of this name")
    }

    /// Waits until every instance has a configuration.
    pub(crate) async fn ready(&self) {
        for instance in self.instances.values() {
            let stage = almondpass_daemon::health::HealthStage::Ready;
            time::timeout(LIMIT, instance.health().reached(stage)).await.expect("a ready instance");
        }
    }

    /// Where an instance takes callers.
    pub(crate) fn callers(&self, name: &str) -> SocketAddr {
        self.instances[name].addresses().callers
    }

    /// Which instance schedules the hall, once one does.
    pub(crate) async fn holder(&self, hall: &str) -> String {
        let prefix = almondpass_ports::keys::scheduler(hall);
        eventually("a hall with a scheduler", || {
            let rows = self.platform.fakes.table().peek(&prefix);
            let rows = rows.iter().filter(|it| it.key == prefix);
            let row = rows.filter_map(|it| it.value.as_deref()).next()?;
            let row = almondpass_peer::codec::decode::<model::SchedulerRow>(row).ok()?;
            let live = !row.released && self.instances.contains_key(&row.holder);
            live.then_some(row.holder)
        })
        .await
    }

    /// Settings of an instance on free ports of loopback.
    pub(crate) fn settings(&self) -> model::InstanceSettings {
        let free = || "127.0.0.1:0".to_owned();
        let platform = self.platform.address.clone();
        model::InstanceSettings {
            data_center: "vadodara".to_owned(),
            listen: model::ListenSettings { callers: free(), operators: free(), peers: free() },
            advertise: free(),
            platform: model::PlatformSettings {
                table: platform.clone(),
                objects: platform.clone(),
                instances: platform,
            },
            cluster_key_file: write_key(self.keys.path()),
            operators: Vec::new(),
            tls: None,
            timing: Some(timing()),
            limits: None,
            log: None,
        }
    }
}

/// The example configuration of the Laboratories.
pub(crate) fn laboratories() -> model::ConfigDocument {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/laboratories.config.yaml");
    document::check(path, &fs::read_to_string(path).expect("the example")).expect("a valid example")
}

fn timing() -> model::TimingSettings {
    let millis = span::TimeSpan::from_millis;
    model::TimingSettings {
        scheduler_term: span::TimeSpan(TERM),
        lease_term: millis(10_000),
        lease_margin: millis(500),
        beat: millis(250),
        config_poll: millis(250),
        worker_poll: millis(250),
        instance_poll: millis(250),
        store_deadline: millis(1_000),
        grant_start_by: millis(2_000),
        drain_wait: millis(300),
    }
}

fn write_key(directory: &Path) -> String {
    let path = directory.join("cluster.key");
    fs::write(&path, "a-cluster-key-of-the-tests").expect("a key file");
    fs::set_permissions(&path, fs::Permissions::from_mode(0o600)).expect("a mode");
    path.display().to_string()
}

/// Asks again and again until there is an answer.
pub(crate) async fn eventually<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(started.elapsed() < LIMIT, "expected {what} within {LIMIT:?}");
        time::sleep(Duration::from_millis(20)).await;
    }
}

/// A request of a caller.
pub(crate) fn request(class: &str, key: &str, body: &str) -> Request<Full<Bytes>> {
    Request::post("/v1/requests")
        .header("authorization", format!("Bearer {key}"))
        .header("x-job-class", class)
        .header("x-deadline", "30s")
        .header("host", "entry")
        .body(Full::new(Bytes::from(body.to_owned())))
        .expect("a request")
}

/// A call of the jobs' interface.
pub(crate) fn job_call(method: Method, path: &str, key: &str, body: &str) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header("authorization", format!("Bearer {key}"))
        .header("content-type", "application/json")
        .header("host", "entry")
        .body(Full::new(Bytes::from(body.to_owned())))
        .expect("a request")
}

/// Sends a request on a connection of its own and reads the whole answer.
pub(crate) async fn send(to: SocketAddr, request: Request<Full<Bytes>>) -> Result<Answer, String> {
    let exchange = async {
        let stream = TcpStream::connect(to).await.map_err(|it| it.to_string())?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = handshake.map_err(|it| it.to_string())?;
        tokio::spawn(connection);
        let response = sender.send_request(request).await.map_err(|it| it.to_string())?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(|it| it.to_string())?.to_bytes();
        let id = head.headers.get("x-request-id").and_then(|it| it.to_str().ok());
        Ok(Answer { status: head.status, request: id.map(str::to_owned), body })
    };
    time::timeout(LIMIT, exchange).await.unwrap_or_else(|_| Err("no whole answer".to_owned()))
}

/// Sends a repeatable request until it is answered well, as its caller would when told to come
/// back.
pub(crate) async fn send_until_done(to: SocketAddr, class: &str, key: &str, body: &str) -> Answer {
    let started = Instant::now();
    loop {
        let answer = send(to, request(class, key, body)).await;
        match answer {
            Ok(answer) if answer.status == StatusCode::OK => return answer,
            other => assert!(started.elapsed() < LIMIT, "expected an answer, found {other:?}"),
        }
        time::sleep(Duration::from_millis(50)).await;
    }
}
