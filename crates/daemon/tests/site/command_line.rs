//! The command-line tool against a real instance: both sides read the same bodies.

use std::ffi::OsString;
use std::fs;
use std::net::SocketAddr;

use almondpass_cli::exit;
use almondpass_daemon::instance;
use almondpass_schema::model;
use tempfile::TempDir;
use uuid::Uuid;

use crate::common;

/// SHA-256 of [`PASSWORD`].
const PASSWORD_SHA256: &str = "e2186dbdb1bb4193608605e84f33208765b5693b55edd4f730a719a100eeea6f";
/// Password of the operator.
const PASSWORD: &str = "change-me";

/// One instance with an operator, and files for the tool.
struct CommandBench {
    site: common::TestSite,
    addresses: instance::InstanceAddresses,
    folder: TempDir,
}

impl CommandBench {
    async fn start() -> CommandBench {
        let mut site = common::TestSite::start(0).await;
        let mut settings = site.settings();
        settings.operators = vec![model::OperatorSettings {
            name: "asha".to_owned(),
            password_sha256: PASSWORD_SHA256.to_owned(),
        }];
        let mut spec = instance::InstanceSpec::new(settings);
        spec.id = "i0".to_owned();
        let instance = instance::Instance::start(spec).await.expect("an instance");
        let addresses = instance.addresses();
        let peers = addresses.peers.to_string();
        site.platform.fakes.register_instance("i0", &peers, "vadodara");
        site.instances.insert("i0".to_owned(), instance);
        site.ready().await;
        for hall in ["vadodara", "rajkot", "bharuch"] {
            site.holder(hall).await;
        }
        let folder = tempfile::tempdir().expect("a folder");
        CommandBench { site, addresses, folder }
    }

    fn file(&self, name: &str, content: &str) -> String {
        let path = self.folder.path().join(name);
        fs::write(&path, content).expect("write a file");
        path.display().to_string()
    }

    /// Runs the tool as the large account and expects `status`; returns what it wrote.
    async fn caller(&self, arguments: &[&str], status: exit::ExitStatus) -> String {
        let options = address_options("--server", self.addresses.callers);
        self.run(arguments, options, ["--key", common::LARGE], status).await
    }

    /// Runs the tool as an operator.
    async fn operator(&self, arguments: &[&str], status: exit::ExitStatus) -> String {
        let mut options = address_options("--console", self.addresses.operators);
        options.extend(["--operator", "asha"].map(str::to_owned));
        self.run(arguments, options, ["--password", PASSWORD], status).await
    }

    async fn run(
        &self,
        arguments: &[&str],
        options: Vec<String>,
        secret: [&str; 2],
        status: exit::ExitStatus,
    ) -> String {
        let words = ["almondpass"].iter().chain(arguments).chain(&secret);
        let words = words.map(|it| (*it).to_owned()).chain(options).map(OsString::from);
        let words = words.collect::<Vec<_>>();
        let ran = tokio::task::spawn_blocking(move || {
            let (mut out, mut err) = (Vec::new(), Vec::new());
            let status = almondpass_cli::run(words, &mut out, &mut err);
            (status, out, err)
        });
        let (found, out, err) = ran.await.expect("no panic");
        let [out, err] = [out, err].map(|it| String::from_utf8(it).expect("text"));
        assert_eq!(found, status, "{arguments:?}\n{out}\n{err}");
        out
    }
}

fn address_options(name: &str, address: SocketAddr) -> Vec<String> {
    vec![name.to_owned(), address.to_string()]
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_submit_wait_and_cancel() {
    let bench = CommandBench::start().await;
    let body = bench.file("body", "a sample");
    let request = ["submit", "diagnosis", "--body", &body, "--retry-for", "20s"];
    assert_eq!(bench.caller(&request, exit::DONE).await, "a sample");
    bench.caller(&["submit", "no-such-class", "--body", &body], exit::REFUSED).await;
    let gang = ["submit", "ageing-trend", "--tasks", "4", "--accelerators", "1"];
    let short = ["--arguments", r#"{"run": "300ms"}"#, "--wait", "--pause", "50ms", "--json"];
    let done = bench.caller(&[&gang[..], &short[..]].concat(), exit::DONE).await;
    let record = serde_json::from_str::<model::JobRecord>(&done).expect("a job");
    assert_eq!(record.state, model::JobState::Done);
    let long = ["--arguments", r#"{"run": "10m"}"#, "--json"];
    let submitted = bench.caller(&[&gang[..], &long[..]].concat(), exit::DONE).await;
    let job = serde_json::from_str::<model::JobRecord>(&submitted).expect("a job").job.to_string();
    bench.caller(&["status", &job], exit::DONE).await;
    bench.caller(&["cancel", &job], exit::DONE).await;
    bench.caller(&["wait", &job, "--pause", "50ms"], exit::FAILED).await;
    let page = bench.caller(&["jobs", "--json"], exit::DONE).await;
    let page = serde_json::from_str::<model::JobPage>(&page).expect("a page");
    assert_eq!(page.jobs.len(), 2);
    let never = ["submit", "ageing-trend", "--tasks", "1000", "--accelerators", "1"];
    bench.caller(&never, exit::REFUSED).await;
    bench.caller(&["status", &Uuid::now_v7().to_string()], exit::UNKNOWN).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn operators_look_drain_and_configure() {
    let bench = CommandBench::start().await;
    for arguments in [&["halls"][..], &["halls", "rajkot"], &["workers"], &["upstreams"]] {
        let table = bench.operator(arguments, exit::DONE).await;
        assert!(1 < table.lines().count(), "{table}");
    }
    bench.operator(&["halls", "surat"], exit::REFUSED).await;
    let yaml = bench.operator(&["config", "get"], exit::DONE).await;
    assert!(yaml.starts_with("# version 1\n"), "{yaml}");
    let file = bench.file("site.yaml", &yaml.replace("queued_jobs: 200", "queued_jobs: 201"));
    bench.operator(&["config", "get", "--version", "1"], exit::DONE).await;
    let apply = ["config", "apply", &file, "--base", "1", "--note", "more"];
    bench.operator(&apply, exit::DONE).await;
    bench.operator(&apply, exit::REFUSED).await;
    let faulty = bench.file("faulty.yaml", &yaml.replace("priority: 9", "priority: 99"));
    bench
        .operator(&["config", "apply", &faulty, "--base", "2", "--note", "x"], exit::REFUSED)
        .await;
    let drained = bench.operator(&["drain", "--worker", "rajkot-r1-01"], exit::DONE).await;
    assert!(drained.contains("rajkot-r1-01"), "{drained}");
    let undrain = ["drain", "--worker", "rajkot-r1-01", "--off"];
    assert!(!bench.operator(&undrain, exit::DONE).await.contains("rajkot-r1-01"));
    let history = bench.operator(&["config", "history"], exit::DONE).await;
    assert_eq!(history.lines().count(), 5, "{history}");
    drop(bench.site);
}
