//! Crowds of clients that misbehave, against the program as a real process.
//!
//! The tests check only what doesn't depend on the speed of the machine: that the process lives, that its peak
//! memory or its descriptors stay under a bound, and that one ordinary request is answered while the crowd is
//! still connected.

#[path = "../site/common.rs"]
#[allow(dead_code, reason = "the tests of sites use the rest")]
mod common;

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

use almondpass_schema::model;
use bytes::Bytes;
use http::StatusCode;
use serde_json::Value;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time;

/// Memory that a node may take for control, in bytes.
const NODE_MEMORY: u64 = 256_000_000;

/// Longest form of the console, in bytes.
const FORM_BYTES: usize = 2 << 20;

/// Connections that callers may have, by the settings of the test.
const CALLER_CONNECTIONS: u32 = 100;

/// Descriptors that a process may have open with so many connections: those, a few that are refused, and its own.
const MAX_DESCRIPTORS: usize = 300;

/// Held by the test that runs: the tests would disturb each other's figures.
static RUNNING: Mutex<()> = Mutex::const_new(());

/// Clients of the crowd, fewer than the listener has places.
const N_CLIENTS: usize = 200;

/// Time after which a client that can't send any more keeps its connection and stops trying.
const SEND_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Time that the process has to read what the kernel has received for it.
const READING_TIME: time::Duration = time::Duration::from_secs(3);

/// The program with the addresses of its listeners; killed when dropped.
struct Program {
    child: Child,
    callers: SocketAddr,
    operators: SocketAddr,
}

impl Program {
    fn start(
        site: &common::TestSite,
        directory: &tempfile::TempDir,
        limits: Option<model::LimitSettings>,
    ) -> Program {
        let mut settings = site.settings();
        settings.limits = limits;
        settings.log = Some("info".to_owned());
        let path = directory.path().join("settings.yaml");
        fs::write(&path, serde_json::to_string(&settings).expect("JSON")).expect("a file");
        let mut child = Command::new(env!("CARGO_BIN_EXE_almondpassd"))
            .args(["run", "--threads", "1", "--settings"])
            .arg(&path)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program");
        let log = BufReader::new(child.stderr.take().expect("its log"));
        let mut lines = log.lines().map_while(Result::ok);
        let listening = lines.find_map(|it| {
            let line = serde_json::from_str::<Value>(&it).ok()?;
            (line["message"] == "listening").then_some(line)
        });
        // The log is read on, so that it never blocks the program.
        std::thread::spawn(move || lines.for_each(drop));
        let listening = listening.expect("the program listens");
        let address = |name: &str| listening[name].as_str().expect("an address").to_owned();
        let [callers, operators] =
            ["callers", "operators"].map(|it| address(it).parse().expect("an address"));
        Program { child, callers, operators }
    }

    /// Number of descriptors that the process has open.
    fn n_descriptors(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }

    /// Peak of the process's resident memory so far, in bytes.
    fn peak_memory(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find_map(|it| it.strip_prefix("VmHWM:")).unwrap_or_default();
        line.trim().trim_end_matches(" kB").parse::<u64>().unwrap_or_default() * 1_024
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sends all of a form but its last byte, and keeps the connection.
async fn send_unfinished_form(to: SocketAddr, form: Bytes) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(to).await.ok()?;
    let sending = async {
        let head = format!(
            "POST /console/sign-in HTTP/1.1\r\nhost: a\r\ncontent-length: {FORM_BYTES}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(&form).await
    };
    // A client whose connection is closed, or that isn't read, has sent what it could.
    let _ = time::timeout(SEND_TIMEOUT, sending).await;
    Some(stream)
}

/// Guards against memory that fills with forms of the console that stop just short of their end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn forms_that_stop_short() {
    let _running = RUNNING.lock().await;
    let site = common::TestSite::start(0).await;
    let directory = tempfile::tempdir().expect("a directory");
    let mut program = Program::start(&site, &directory, None);
    let form = Bytes::from(vec![b'x'; FORM_BYTES - 1]);
    let mut clients = JoinSet::new();
    for _ in 0..N_CLIENTS {
        clients.spawn(send_unfinished_form(program.operators, form.clone()));
    }
    let streams = clients.join_all().await;
    time::sleep(READING_TIME).await;
    let request = common::job_call(http::Method::GET, "/healthz", "", "");
    let answer = time::timeout(common::LIMIT, common::send(program.operators, request)).await;
    let status = answer.ok().and_then(Result::ok).map(|it| it.status);
    println!("peak memory {}, ordinary request: {status:?}", program.peak_memory());
    assert!(program.child.try_wait().expect("a status").is_none(), "the process has ended");
    let peak = program.peak_memory();
    assert!(peak <= NODE_MEMORY, "memory: expected at most {NODE_MEMORY}, found {peak}");
    assert_eq!(status, Some(StatusCode::OK), "an ordinary request, while the crowd is connected");
    drop(streams);
}

/// Guards against silent connections that take all places, so that callers with requests are refused or get no
/// answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_connections_of_callers() {
    let _running = RUNNING.lock().await;
    let site = common::TestSite::start(0).await;
    let directory = tempfile::tempdir().expect("a directory");
    let limits = model::LimitSettings { connections: CALLER_CONNECTIONS, ..Default::default() };
    let mut program = Program::start(&site, &directory, Some(limits));
    common::send_until_done(program.callers, "diagnosis", common::SMALL, "first").await;
    let mut streams = Vec::new();
    for _ in 0..4 * CALLER_CONNECTIONS {
        streams.extend(TcpStream::connect(program.callers).await);
    }
    let request = common::request("diagnosis", common::SMALL, "ordinary");
    let answer = common::send(program.callers, request).await;
    let n_descriptors = program.n_descriptors();
    println!("{n_descriptors} descriptors, ordinary request: {answer:?}");
    assert!(program.child.try_wait().expect("a status").is_none(), "the process has ended");
    assert!(
        n_descriptors <= MAX_DESCRIPTORS,
        "descriptors: expected at most {MAX_DESCRIPTORS}, found {n_descriptors}"
    );
    let status = answer.map(|it| it.status);
    assert_eq!(status, Ok(StatusCode::OK), "an ordinary request, while the crowd is connected");
    drop(streams);
}
