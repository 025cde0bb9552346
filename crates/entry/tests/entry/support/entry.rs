//! One entry over the fakes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use almondpass_config::active;
use almondpass_entry::{acceptor, server, service, settings};
use almondpass_ports::clock;
use almondpass_schema::{model, time};
use sha2::Digest;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::caller;
use super::halls;
use super::rows;

/// Key of the account `rustavi`.
pub(crate) const KEY: &str = "key-of-rustavi";
/// Key of the account `gardabani`.
pub(crate) const OTHER_KEY: &str = "key-of-gardabani";

pub(crate) struct TestEntry {
    pub(crate) address: SocketAddr,
    pub(crate) halls: halls::FakeHalls,
    pub(crate) rows: rows::FakeRows,
    pub(crate) service: service::EntryService<halls::FakeHalls, rows::FakeRows>,
    pub(crate) configs: watch::Sender<Arc<active::ActiveConfig>>,
    pub(crate) phase: watch::Sender<server::ServePhase>,
    pub(crate) server: JoinHandle<()>,
}

/// What a test changes before the entry starts.
pub(crate) struct EntryBuilder {
    halls: halls::FakeHalls,
    pub(crate) settings: settings::EntrySettings,
    pub(crate) document: model::ConfigDocument,
    pub(crate) version: u64,
}

impl EntryBuilder {
    pub(crate) fn over(halls: &halls::FakeHalls) -> EntryBuilder {
        let limits = serde_json::from_str::<model::LimitSettings>("{}").expect("defaults");
        let settings =
            settings::EntrySettings::new("entry-1".to_owned(), "kartli-1".to_owned(), limits);
        EntryBuilder { halls: halls.clone(), settings, document: document(), version: 1 }
    }

    pub(crate) fn settings(
        mut self,
        change: impl FnOnce(&mut settings::EntrySettings),
    ) -> EntryBuilder {
        change(&mut self.settings);
        self
    }

    pub(crate) fn document(
        mut self,
        change: impl FnOnce(&mut model::ConfigDocument),
    ) -> EntryBuilder {
        change(&mut self.document);
        self
    }

    pub(crate) async fn start(self) -> TestEntry {
        let rows = rows::FakeRows::default();
        let config =
            active::ActiveConfig { version: self.version, document: Arc::new(self.document) };
        let (configs, config_watch) = watch::channel(Arc::new(config));
        let service = service::EntryService::new(service::EntryParts {
            settings: self.settings,
            link: self.halls.clone(),
            table: rows.clone(),
            clock: clock::WallClock::from_system(),
            configs: config_watch,
        });
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (phase, phase_watch) = watch::channel(server::ServePhase::Serving);
        let server = server::EntryServer::new(service.clone());
        let server = tokio::spawn(server.serve(listener, acceptor::PlainAcceptor, phase_watch));
        TestEntry { address, halls: self.halls, rows, service, configs, phase, server }
    }
}

impl TestEntry {
    /// Sends raw bytes on a connection of their own and reads one answer.
    pub(crate) async fn send(&self, bytes: impl AsRef<[u8]>) -> caller::RawAnswer {
        let mut caller = caller::RawCaller::connect(self.address).await;
        caller.try_write(bytes).await;
        caller.read().await.expect("an answer")
    }

    /// Posts a body to `/v1/requests` with extra header lines, each ended by `\r\n`.
    pub(crate) async fn post(&self, class: &str, headers: &str, body: &str) -> caller::RawAnswer {
        self.send(post(class, headers, body)).await
    }

    /// Nothing is held any more: no place, no grant.
    pub(crate) async fn assert_nothing_held(&self) {
        let core = self.service.core();
        core.requests.emptied().await;
        core.calls.emptied().await;
        assert_eq!(core.ledger.n_outstanding(), 0);
    }
}

pub(crate) fn post(class: &str, headers: &str, body: &str) -> String {
    let n_body = body.len();
    format!(
        "POST /v1/requests HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {KEY}\r\n\
         x-job-class: {class}\r\ncontent-length: {n_body}\r\n{headers}\r\n{body}"
    )
}

fn digest(key: &str) -> String {
    hex::encode(sha2::Sha256::digest(key))
}

fn class(name: &str, kind: model::ClassKind, repeatable: bool) -> model::JobClass {
    model::JobClass {
        accelerators: 1,
        checkpoint: false,
        cores: 1,
        deadline: time::TimeSpan::from_secs(20),
        expected_run: time::TimeSpan::from_secs(1),
        kind,
        max_body_bytes: 1 << 20,
        max_run: time::TimeSpan::from_secs(10),
        memory_mb: 256,
        name: name.to_owned(),
        priority: 5,
        repeatable,
        upstream: "weighdesk".to_owned(),
        urgent: false,
    }
}

fn account(id: &str, key: &str) -> model::ClientAccount {
    model::ClientAccount {
        guarantees: Vec::new(),
        id: id.to_owned(),
        keys: vec![digest(key)],
        limits: model::AccountLimits {
            accelerators: None,
            queued_jobs: 10,
            queued_requests: 10,
            running_requests: 10,
        },
        name: id.to_owned(),
    }
}

pub(crate) fn document() -> model::ConfigDocument {
    let span = |it: u64| time::TimeSpan(Duration::from_secs(it));
    let hall = |name: &str, data_center: &str| model::HallLayout {
        data_center: data_center.to_owned(),
        name: name.to_owned(),
        racks: vec![model::RackLayout {
            kind: "gpu".to_owned(),
            name: "r1".to_owned(),
            workers: 2,
        }],
        region: "kartli".to_owned(),
    };
    model::ConfigDocument {
        accounts: vec![account("rustavi", KEY), account("gardabani", OTHER_KEY)],
        bounds: model::PolicyBounds {
            ageing_step: span(10),
            checkpoint_grace: span(5),
            gang_wait: span(60),
            idempotency_window: span(3600),
            job_retention: span(7200),
            overrun: 2.0,
            reclaim: span(10),
            urgent_start: span(2),
        },
        classes: vec![
            class("check", model::ClassKind::Request, true),
            class("ticket", model::ClassKind::Request, false),
            class("audit", model::ClassKind::Job, true),
        ],
        drains: Vec::new(),
        halls: vec![hall("rustavi", "kartli-1"), hall("marneuli", "kartli-2")],
        objective: model::ObjectiveWeights { completion_time: 0.7, fragmentation: 0.3 },
        site: "association".to_owned(),
        upstreams: vec![model::UpstreamSpec {
            former_halls: Vec::new(),
            halls: vec!["rustavi".to_owned(), "marneuli".to_owned()],
            name: "weighdesk".to_owned(),
        }],
        worker_kinds: vec![model::WorkerKind {
            accelerators: 8,
            connections: 64,
            cores: 64,
            memory_mb: 131_072,
            name: "gpu".to_owned(),
            slots: 8,
        }],
    }
}
