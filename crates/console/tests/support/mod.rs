//! A console over a table in memory and halls that are drawn from a script.
#![allow(dead_code)]

use std::sync::Arc;
use std::time::Duration;

use almondpass_config::{document, keeper};
use almondpass_console::{console, histogram};
use almondpass_membership::snapshot;
use almondpass_peer::{call, codec, error, link};
use almondpass_ports::clock;
use almondpass_schema::{ids, model, time as wall};
use almondpass_standin::{net, table};
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

pub(crate) type Keeper = keeper::ConfigKeeper<table::TableFake, net::FakeLink>;
pub(crate) type Console = console::OperatorConsole<table::TableFake, net::FakeLink, ScriptedHalls>;

/// A hall of the two-year size.
pub(crate) const LARGE_HALL: &str = "bharuch";

pub(crate) const OPERATOR: &str = "asha";
pub(crate) const PASSWORD: &str = "a long random password";

/// One site whose instances share a table.
pub(crate) struct ConsoleSite {
    pub(crate) table: table::TableFake,
    pub(crate) halls: ScriptedHalls,
    net: net::FakeNet,
    clock: clock::WallClock,
    stop: CancellationToken,
}

impl ConsoleSite {
    pub(crate) fn new() -> ConsoleSite {
        let now = wall::WallTime(Duration::from_secs(1_800_000_000));
        ConsoleSite {
            table: table::TableFake::new(),
            halls: ScriptedHalls::default(),
            net: net::FakeNet::new(),
            clock: clock::WallClock::starting_at(now),
            stop: CancellationToken::new(),
        }
    }

    /// A site with the Laboratories' example as version 1, and one instance.
    pub(crate) async fn started() -> (ConsoleSite, Instance) {
        let site = ConsoleSite::new();
        let instance = site.instance("instance-1", "cluster key");
        instance.keeper.propose(proposal(0, &laboratories())).await.unwrap();
        (site, instance)
    }

    /// One more instance, which knows of itself only.
    pub(crate) fn instance(&self, name: &str, cluster_key: &str) -> Instance {
        let timing =
            keeper::KeeperTiming { poll: Duration::from_secs(1), deadline: Duration::from_secs(1) };
        let keeper = Keeper::new(self.table.clone(), self.net.link(name), self.clock, timing);
        let (running, stop) = (keeper.clone(), self.stop.clone());
        tokio::spawn(async move { running.run(stop).await });
        let (members, receiver) = watch::channel(Arc::new(snapshot::MemberSnapshot::default()));
        let histograms = histogram::HistogramBook::new();
        let settings = console::ConsoleSettings {
            operators: vec![operator(OPERATOR, PASSWORD), operator("nino", "another password")],
            cluster_key: cluster_key.as_bytes().to_vec(),
            secure_cookies: false,
            instance: name.to_owned(),
        };
        let console = Console::new(
            settings,
            keeper.clone(),
            self.halls.clone(),
            receiver,
            histograms.clone(),
            self.clock,
        );
        Instance { console, keeper, members, histograms }
    }
}

impl Drop for ConsoleSite {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// One instance of a site.
pub(crate) struct Instance {
    pub(crate) console: Console,
    pub(crate) keeper: Keeper,
    pub(crate) members: watch::Sender<Arc<snapshot::MemberSnapshot>>,
    pub(crate) histograms: histogram::HistogramBook,
}

/// An answer with its body as text.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: header::HeaderMap,
    pub(crate) body: String,
}

impl Answer {
    pub(crate) fn header(&self, name: header::HeaderName) -> &str {
        self.headers.get(name).map_or("", |it| it.to_str().unwrap())
    }

    /// Whether an operator who looks at the page reads `text` there; `wbr` only marks where a line
    /// may be broken.
    pub(crate) fn shows(&self, text: &str) -> bool {
        self.body.replace("<wbr>", "").contains(text)
    }

    /// The cookie as a browser sends it back.
    pub(crate) fn cookie(&self) -> String {
        self.header(header::SET_COOKIE).split(';').next().unwrap_or_default().to_owned()
    }

    /// Value of the hidden input of this name.
    pub(crate) fn hidden(&self, name: &str) -> String {
        let start = format!("name=\"{name}\" value=\"");
        let (_, rest) = self
            .body
            .split_once(&start)
            .unwrap_or_else(|| panic!("expected an input {name}, found {}", self.body));
        unescape(rest.split('"').next().unwrap())
    }

    pub(crate) fn json<T: serde::de::DeserializeOwned>(&self) -> T {
        serde_json::from_str(&self.body).unwrap_or_else(|error| panic!("{error}: {}", self.body))
    }
}

/// A browser that is signed in.
pub(crate) struct Browser<'a> {
    pub(crate) console: &'a Console,
    pub(crate) cookie: String,
}

impl Browser<'_> {
    pub(crate) async fn sign_in(console: &Console) -> Browser<'_> {
        Browser::sign_in_as(console, OPERATOR, PASSWORD).await
    }

    pub(crate) async fn sign_in_as<'a>(
        console: &'a Console,
        name: &str,
        password: &str,
    ) -> Browser<'a> {
        let answer =
            post(console, "/console/sign-in", "", &[("operator", name), ("password", password)])
                .await;
        assert_eq!(answer.status, StatusCode::SEE_OTHER, "{}", answer.body);
        Browser { console, cookie: answer.cookie() }
    }

    pub(crate) async fn get(&self, path: &str) -> Answer {
        get(self.console, path, &self.cookie).await
    }

    pub(crate) async fn post(&self, path: &str, fields: &[(&str, &str)]) -> Answer {
        post(self.console, path, &self.cookie, fields).await
    }

    /// Opens a draft.
    pub(crate) async fn edit(&self) -> Answer {
        self.get("/console/config/edit").await
    }

    /// Sends the draft of `page` with inputs typed over it and the button `action` pressed.
    pub(crate) async fn go_on(
        &self,
        page: &Answer,
        typed: &[(&str, &str)],
        action: &str,
    ) -> Answer {
        let names = ["csrf", "base", "nonce", "section", "draft"];
        let carried = names.map(|it| (it, page.hidden(it)));
        let mut fields =
            carried.iter().map(|(name, value)| (*name, value.as_str())).collect::<Vec<_>>();
        fields.extend(typed);
        fields.push(("action", action));
        self.post("/console/config/draft", &fields).await
    }
}

pub(crate) async fn get(console: &Console, path: &str, cookie: &str) -> Answer {
    let request = Request::get(path).header(header::COOKIE, cookie);
    send(console, request.body(Full::default()).unwrap()).await
}

pub(crate) async fn post(
    console: &Console,
    path: &str,
    cookie: &str,
    fields: &[(&str, &str)],
) -> Answer {
    let body = form_urlencoded::Serializer::new(String::new()).extend_pairs(fields).finish();
    let request = Request::post(path).header(header::COOKIE, cookie);
    send(console, request.body(Full::from(body)).unwrap()).await
}

/// Calls the operators' API with an operator's credentials.
pub(crate) async fn call_api(
    console: &Console,
    method: Method,
    path: &str,
    body: impl Into<Bytes>,
) -> Answer {
    use base64::Engine;

    let credentials = format!("{OPERATOR}:{PASSWORD}");
    let credentials = base64::engine::general_purpose::STANDARD.encode(credentials);
    let request = Request::builder().method(method).uri(path);
    let request = request.header(header::AUTHORIZATION, format!("Basic {credentials}"));
    send(console, request.body(Full::from(body.into())).unwrap()).await
}

pub(crate) async fn send(console: &Console, request: Request<Full<Bytes>>) -> Answer {
    let response = console.route(request).await.expect("a path of the console");
    let (head, body) = Response::into_parts(response);
    let body = body.collect().await.unwrap().to_bytes();
    let body = String::from_utf8(body.to_vec()).unwrap();
    Answer { status: head.status, headers: head.headers, body }
}

pub(crate) fn operator(name: &str, password: &str) -> model::OperatorSettings {
    use sha2::Digest;

    let password_sha256 = hex::encode(sha2::Sha256::digest(password));
    model::OperatorSettings { name: name.to_owned(), password_sha256 }
}

pub(crate) fn laboratories() -> model::ConfigDocument {
    let text = include_str!("../../../../examples/laboratories.config.yaml");
    document::check("laboratories", text).unwrap_or_else(|faults| panic!("{faults}"))
}

pub(crate) fn proposal(
    base: ids::ConfigVersion,
    document: &model::ConfigDocument,
) -> model::ConfigProposal {
    model::ConfigProposal {
        base,
        proposal: None,
        operator: "nino".to_owned(),
        note: String::new(),
        document: document.clone(),
    }
}

/// Halls whose pictures are made up from the configuration's Laboratories example.
#[derive(Clone, Debug, Default)]
pub(crate) struct ScriptedHalls {
    /// Halls whose schedulers do not answer.
    pub(crate) silent: Arc<std::sync::Mutex<Vec<ids::HallName>>>,
}

impl link::HallLink for ScriptedHalls {
    async fn ask<C: call::HallCall>(
        &self,
        call: C,
        deadline: Duration,
    ) -> Result<C::Reply, error::CallError> {
        let hall = call.hall().clone();
        if self.silent.lock().unwrap().contains(&hall) {
            let fault = error::CallFault::TimedOut(deadline);
            return Err(error::CallError {
                step: C::PATH,
                peer: "127.0.0.1:7000".to_owned(),
                fault,
            });
        }
        let reply = model::HallReply::Picture { picture: picture(&hall) };
        let bytes = codec::encode(&reply).expect("a picture is writable");
        Ok(codec::decode(&bytes).expect("only pictures are asked for"))
    }

    fn summaries(&self) -> Vec<model::HallBeat> {
        let beat = |hall: &str| model::HallBeat {
            hall: hall.to_owned(),
            epoch: 3,
            free_accelerators: 37,
            longest_run: 20,
            queued: 3,
            wait: wall::TimeSpan::from_millis(40),
        };
        ["vadodara", "rajkot", "bharuch"].map(beat).to_vec()
    }
}

/// A hall with some of everything.
pub(crate) fn picture(hall: &str) -> model::HallPicture {
    let workers = if hall == LARGE_HALL { large_hall() } else { small_hall(hall) };
    let waiting =
        |account: &str, class: &str, code: model::WaitCode, text: &str| model::QueueView {
            job: Uuid::from_u128(0x0192_f000_0000_7000_8000_0000_0000_0000 + text.len() as u128),
            account: account.to_owned(),
            class: class.to_owned(),
            since: wall::WallTime(Duration::from_secs(1_799_999_000)),
            reason: model::WaitReason {
                code,
                text: text.to_owned(),
                until: Some(wall::WallTime(Duration::from_secs(1_800_000_600))),
            },
        };
    let guarantee = |account: &str, name: &str, state| model::GuaranteeView {
        account: account.to_owned(),
        guarantee: name.to_owned(),
        state,
        claimed: if state == model::GuaranteeState::Claimed { 16 } else { 0 },
    };
    model::HallPicture {
        hall: hall.to_owned(),
        epoch: 3,
        holder: "instance-2".to_owned(),
        workers,
        queue: vec![
            waiting(
                "gujarat-grid",
                "ageing-trend",
                model::WaitCode::ClearingBlock,
                "Waiting for 3 more adjacent workers in rack r2, cleared by 14:10.",
            ),
            waiting(
                "girnar-discom",
                "ageing-trend",
                model::WaitCode::BehindPriority,
                "Behind 2 jobs of higher priority.",
            ),
            waiting(
                "kutch-substations",
                "diagnosis-run",
                model::WaitCode::AccountLimit,
                "The account uses 64 of its 64 accelerators.",
            ),
        ],
        guarantees: vec![
            guarantee("gujarat-grid", "ageing", model::GuaranteeState::Reclaimable),
            guarantee("girnar-discom", "ageing", model::GuaranteeState::Claimed),
            guarantee("kutch-substations", "diagnosis", model::GuaranteeState::Free),
            guarantee("narmada-works", "diagnosis", model::GuaranteeState::Lost),
        ],
        fragmentation: 0.31,
    }
}

fn small_hall(hall: &str) -> Vec<model::WorkerView> {
    (0..16).map(|it| worker(hall, it)).collect()
}

/// 163 workers with an accelerator each, in racks of 8.
fn large_hall() -> Vec<model::WorkerView> {
    let workers = (0..163).map(|index| {
        let mut view = worker(LARGE_HALL, index * 7 % 16);
        view.rack = format!("r{:02}", index / 8 + 1);
        view.worker = format!("{LARGE_HALL}-{}-{:02}", view.rack, index % 8 + 1);
        view.accelerators.truncate(1);
        view
    });
    workers.collect()
}

fn worker(hall: &str, index: usize) -> model::WorkerView {
    let rack = if index < 8 { "r1" } else { "r2" };
    let state = match index {
        5 => model::WorkerState::Draining,
        11 => model::WorkerState::Quarantined,
        12 => model::WorkerState::Probing,
        14 => model::WorkerState::Lost,
        _ => model::WorkerState::Live,
    };
    model::WorkerView {
        worker: format!("{hall}-{rack}-{:02}", index % 8 + 1),
        rack: rack.to_owned(),
        state,
        accelerators: (0..8).map(|it| accelerator(index, it, state)).collect(),
        slots_used: u32::try_from(index % 5).unwrap(),
        cores_free: 20,
        memory_free_mb: 32_768,
    }
}

fn accelerator(
    worker: usize,
    index: usize,
    worker_state: model::WorkerState,
) -> model::AcceleratorView {
    let job = |account: &str| (model::AcceleratorState::Job, Some(account.to_owned()));
    let (state, account) = match worker {
        _ if worker_state == model::WorkerState::Lost => (model::AcceleratorState::Lost, None),
        0..=3 => job("gujarat-grid"),
        4 if index < 3 => (model::AcceleratorState::Request, Some("kutch-substations".to_owned())),
        6 => job("girnar-discom"),
        7 if index.is_multiple_of(3) => {
            (model::AcceleratorState::Request, Some("narmada-works".to_owned()))
        }
        8 => (model::AcceleratorState::Reserved, Some("gujarat-grid".to_owned())),
        13 if index < 5 => job("girnar-discom"),
        _ => (model::AcceleratorState::Free, None),
    };
    let home_of = match worker {
        0..=1 => Some("gujarat-grid/ageing".to_owned()),
        6..=7 => Some("girnar-discom/ageing".to_owned()),
        9 => Some("kutch-substations/diagnosis".to_owned()),
        _ => None,
    };
    let job = (state == model::AcceleratorState::Job)
        .then(|| Uuid::from_u128(0x0192_f000_0000_7000_8000_0000_0000_0001));
    model::AcceleratorView { state, account, job, home_of }
}

fn unescape(text: &str) -> String {
    text.replace("&quot;", "\"").replace("&lt;", "<").replace("&gt;", ">").replace("&amp;", "&")
}
