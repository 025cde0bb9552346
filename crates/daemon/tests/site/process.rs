//! The program itself: signals, logs, TLS, refusals to start.

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

use almondpass_schema::model;
use almondpass_standin::upstream;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, ServerName};
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::time::{self, Instant};
use tokio_rustls::TlsConnector;

use crate::common;

/// The program with a settings file of its own; killed when dropped.
struct Program {
    child: Child,
    logs: Receiver<Value>,
    _directory: tempfile::TempDir,
}

impl Program {
    fn start(
        site: &common::TestSite,
        change: impl FnOnce(&mut model::InstanceSettings),
    ) -> Program {
        let directory = tempfile::tempdir().expect("a directory");
        let mut settings = site.settings();
        settings.log = Some("info".to_owned());
        change(&mut settings);
        let path = directory.path().join("settings.yaml");
        fs::write(&path, serde_json::to_string(&settings).expect("JSON")).expect("a file");
        let mut child = Command::new(env!("CARGO_BIN_EXE_almondpassd"))
            .args(["run", "--threads", "1", "--settings"])
            .arg(&path)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program");
        let stderr = child.stderr.take().expect("its logs");
        let (sender, logs) = channel();
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                let line = serde_json::from_str(&line)
                    .unwrap_or_else(|_| panic!("expected a JSON line, found {line:?}"));
                if sender.send(line).is_err() {
                    return;
                }
            }
        });
        Program { child, logs, _directory: directory }
    }

    /// Waits for a log line with this message.
    fn log(&self, message: &str) -> Value {
        loop {
            let line = self.logs.recv_timeout(common::LIMIT).expect("a log line in time");
            if line["message"] == message {
                return line;
            }
        }
    }

    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &pid]).status().expect("kill");
        assert!(sent.success());
    }

    /// Waits for its end, which must be a good one.
    async fn ended(mut self) {
        let status =
            common::eventually("an end", || self.child.try_wait().expect("a status")).await;
        assert!(status.success(), "expected a good end, found {status}");
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn address(line: &Value, name: &str) -> SocketAddr {
    line[name].as_str().expect("an address").parse().expect("an address")
}

fn slow_upstreams(site: &common::TestSite) {
    for upstream in site.platform.fakes.upstreams.values() {
        upstream.set_misbehaviour(Some(upstream::Misbehaviour::Slow(Duration::from_millis(500))));
    }
}

macro_rules! shutdowns {
    ($($(#[$note:meta])* $name:ident: drain $drain:literal, signals $signals:expr;)*) => {
        $($(#[$note])* #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            check_shutdown($drain, &$signals).await;
        })*
    };
}

shutdowns! {
    /// Symptom: an answer breaks off at an upgrade. Sequence: SIGTERM while a slow answer comes.
    /// Cause: the process ends with its listener.
    sigterm_finishes_what_is_in_flight: drain "300ms", signals ["TERM"];
    /// Symptom: a second SIGTERM cuts answers. Sequence: SIGTERM, and again while the first waits
    /// for the balancer. Cause: the second is taken for a kill.
    a_second_sigterm_only_leaves_out_the_wait: drain "1h", signals ["TERM", "TERM"];
}

async fn check_shutdown(drain: &str, signals: &[&str]) {
    let site = common::TestSite::start(0).await;
    let drain = drain.parse().expect("a span");
    let program = Program::start(&site, |settings| {
        let mut timing = settings.timing.take().expect("timing");
        timing.drain_wait = drain;
        settings.timing = Some(timing);
    });
    let to = address(&program.log("listening"), "callers");
    common::send_until_done(to, "diagnosis", common::SMALL, "warm").await;
    slow_upstreams(&site);
    let body = "y".repeat(40);
    let request = common::request("diagnosis", common::SMALL, &body);
    let flight = tokio::spawn(common::send(to, request));
    let executions = site.platform.fakes.executions.clone();
    common::eventually("the request at its upstream", || {
        (2 <= executions.executions().len()).then_some(())
    })
    .await;
    for signal in signals {
        program.signal(signal);
        program.log("told to end");
    }
    let answer = flight.await.expect("no panic").expect("a whole answer");
    assert_eq!((answer.status, answer.body.as_ref()), (StatusCode::OK, body.as_bytes()));
    program.log("ended");
    program.ended().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_are_served_over_tls() {
    let site = common::TestSite::start(0).await;
    let files = tempfile::tempdir().expect("a directory");
    let made = rcgen::generate_simple_self_signed(["entry".to_owned()]).expect("a pair");
    let certificate_file = files.path().join("tls.crt");
    let key_file = files.path().join("tls.key");
    fs::write(&certificate_file, made.cert.pem()).expect("a certificate");
    fs::write(&key_file, made.signing_key.serialize_pem()).expect("a key");
    let mode = std::os::unix::fs::PermissionsExt::from_mode(0o600);
    fs::set_permissions(&key_file, mode).expect("a mode");
    let program = Program::start(&site, |settings| {
        settings.tls = Some(model::TlsSettings {
            certificate_file: certificate_file.display().to_string(),
            key_file: key_file.display().to_string(),
        });
    });
    let listening = program.log("listening");
    let operators = address(&listening, "operators");
    let started = Instant::now();
    while get_over_tls(operators, "/readyz", &certificate_file).await != StatusCode::OK {
        assert!(started.elapsed() < common::LIMIT, "expected a ready instance");
        time::sleep(Duration::from_millis(20)).await;
    }
    // Callers need a key also where there is nothing to be had.
    let callers = address(&listening, "callers");
    let status = get_over_tls(callers, "/healthz", &certificate_file).await;
    assert_eq!(status, StatusCode::UNAUTHORIZED);
}

async fn get_over_tls(to: SocketAddr, path: &str, certificate: &Path) -> StatusCode {
    let mut roots = rustls::RootCertStore::empty();
    roots.add(CertificateDer::from_pem_file(certificate).expect("a certificate")).expect("a root");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = rustls::ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .expect("versions")
        .with_root_certificates(roots)
        .with_no_client_auth();
    let stream = TcpStream::connect(to).await.expect("a connection");
    let name = ServerName::try_from("entry").expect("a name");
    let stream = TlsConnector::from(Arc::new(config)).connect(name, stream).await.expect("TLS");
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.expect("HTTP");
    tokio::spawn(connection);
    let request = common::job_call(http::Method::GET, path, "", "");
    let response = sender.send_request(request).await.expect("an answer");
    let status = response.status();
    response.into_body().collect().await.expect("a whole answer");
    status
}

/// Starts the program and tells what it says when it refuses to.
fn refusal(settings: &str, mode: u32) -> String {
    let directory = tempfile::tempdir().expect("a directory");
    fs::write(directory.path().join("settings.yaml"), settings).expect("a file");
    let key = directory.path().join("cluster.key");
    fs::write(&key, "a-cluster-key-of-the-tests").expect("a key");
    let mode = std::os::unix::fs::PermissionsExt::from_mode(mode);
    fs::set_permissions(&key, mode).expect("a mode");
    let output = Command::new(env!("CARGO_BIN_EXE_almondpassd"))
        .args(["check", "--settings", "settings.yaml"])
        .current_dir(directory.path())
        .output()
        .expect("the program");
    assert!(!output.status.success());
    String::from_utf8(output.stderr).expect("text")
}

#[test]
fn refusals_name_file_path_expected_and_found() {
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/laboratories.settings.yaml");
    let example = fs::read_to_string(example).expect("the example");
    let example = example.replace("/etc/almondpass/", "");
    let open = refusal(&example, 0o644);
    assert_eq!(
        open,
        "almondpassd: key file cluster.key: expected a file closed to others, such as mode 0600, \
         found mode 0644\n"
    );
    let typed = refusal(&example.replace("beat:", "beats:").replace("drain_wait", "drain"), 0o600);
    assert_eq!(
        typed,
        "almondpassd: settings.yaml: 1 fault\n  timing.drain: expected no such member, found one\n"
    );
}
