//! Measures the scheduler of one hall against the in-memory platform, on a paused clock:
//! `cargo run --release -p almondpass-hall --example measure_hall [RACKS...]`.
//!
//! Every call to the table, the object store and the workers takes 1 ms (half a millisecond each way).
//! Takeover and hand-over times are those of the paused clock and exclude computation. Processor time is
//! that of the whole process, including the in-memory platform.

#[path = "../tests/hall/support.rs"]
#[allow(dead_code, reason = "shared with the tests")]
mod support;

use std::time::Duration;

use almondpass_peer::call::PeerCall;
use almondpass_ports::keys;
use almondpass_ports::table::TableService;
use almondpass_ports::worker::WorkerControl;
use almondpass_schema::{model, time};
use almondpass_standin::fault::Condition;
use tokio::time::Instant;

use support::{TestInstance, TestSite};

fn main() {
    println!("workers  tasks  takeover  hand-over  idle: reads/s writes/s renewals/s cpu/s");
    println!("                                     busy: reads/s writes/s renewals/s cpu/s");
    let given_sizes = std::env::args().skip(1).filter_map(|it| it.parse().ok()).collect::<Vec<_>>();
    let default_sizes = vec![6, 20, 50, 162];
    for n_racks in if given_sizes.is_empty() { default_sizes } else { given_sizes } {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .expect("a runtime");
        runtime.block_on(measure(n_racks));
    }
}

async fn measure(n_racks: u32) {
    let site = TestSite::with_racks(n_racks);
    site.fleet.scripts().set_default(support::task_script(Duration::from_secs(7_000)));
    let holder = start_with_latency(&site, "a");
    support::wait_until("the first holds", async || holder.holds()).await;
    let other = start_with_latency(&site, "b");
    let idle_load = measure_load(&site, Duration::from_secs(60)).await;

    let n_workers = n_racks * support::N_WORKERS;
    let n_jobs = n_workers * TASKS_PER_WORKER / TASKS_PER_JOB;
    let mut jobs = Vec::new();
    for _ in 0..n_jobs {
        let job = site.key();
        let submission = model::JobSubmission {
            accelerators: 0,
            adjacency: model::Adjacency::Any,
            ..support::gang_submission(support::REPEATABLE_JOB, TASKS_PER_JOB)
        };
        support::expect_record(holder.submit(job, submission).await);
        jobs.push(job);
    }
    for job in &jobs {
        site.wait_for_job_state(*job, model::JobState::Running).await;
    }
    support::advance(Duration::from_secs(300)).await;
    let busy_load = measure_load(&site, Duration::from_secs(60)).await;

    let renewal_bytes = measure_renewal_bytes(&site).await;
    let owner_read_bytes = measure_owner_read_bytes(&site).await;
    let grant_cost = measure_grant_cost(&site, &holder).await;

    let leave_started = Instant::now();
    site.change_members(|it| it.instances.get_mut("a").expect("a member").leaving = true);
    let service = holder.service.clone();
    tokio::spawn(async move { service.shutdown().await });
    while !other.holds() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let hand_over = leave_started.elapsed();

    let third_instance = start_with_latency(&site, "c");
    support::advance(Duration::from_secs(5)).await;
    other.crash(&site);
    while third_instance.service.held_halls().is_empty() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let acquired_at = Instant::now();
    while !third_instance.holds() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let takeover = acquired_at.elapsed();
    let n_tasks = n_jobs * TASKS_PER_JOB;
    println!("{n_workers:7} {n_tasks:6} {takeover:9.0?} {hand_over:10.0?}  idle: {idle_load}");
    println!("{:36} busy: {busy_load}", "");
    println!("{:36} {renewal_bytes}; {grant_cost}; {owner_read_bytes}", "");
}

fn start_with_latency(site: &TestSite, id: &str) -> TestInstance {
    let instance = site.start(id);
    let round_trip = Condition::Slow(Duration::from_millis(1));
    instance.table_faults.set(round_trip);
    instance.worker_faults.set(round_trip);
    instance.object_faults.set(round_trip);
    instance
}

/// Rates of platform calls and of processor time over the next `span` on the paused clock.
async fn measure_load(site: &TestSite, span: Duration) -> String {
    let before = LoadCounters::of(site);
    support::advance(span).await;
    let after = LoadCounters::of(site);
    let rate = |before: u64, after: u64| (after - before) as f64 / span.as_secs_f64();
    format!(
        "{:7.1} {:8.1} {:10.1} {:4.1}ms",
        rate(before.reads, after.reads),
        rate(before.writes, after.writes),
        rate(before.renewals, after.renewals),
        rate(before.process_cpu_nanos, after.process_cpu_nanos) / 1e6,
    )
}

/// Encoded size of one lease renewal and of its reply.
async fn measure_renewal_bytes(site: &TestSite) -> String {
    let (address, worker) = &site.fleet.workers()[0];
    let lease_names = worker.peek().into_iter().map(|it| it.lease).collect::<Vec<_>>();
    let n_leases = lease_names.len();
    let renew = model::LeaseRenew { leases: lease_names, term: time::TimeSpan::from_secs(30) };
    let listing = site.fleet.renew(address, renew.clone()).await.expect("a worker that answers");
    let encoded_len = |bytes: Result<Vec<u8>, _>| bytes.expect("a message that encodes").len();
    let n_request_bytes = encoded_len(rmp_serde::to_vec_named(&renew));
    let n_reply_bytes = encoded_len(rmp_serde::to_vec_named(&listing));
    format!("a renewal of {n_leases} leases: {n_request_bytes} B asked, {n_reply_bytes} B told")
}

/// Encoded size of one read of a hall's scheduler rows and of its reply.
async fn measure_owner_read_bytes(site: &TestSite) -> String {
    let keys = vec![keys::scheduler(support::HALL), keys::tenure(support::HALL)];
    let get = model::TableGet { keys };
    let rows = site.table.get(get.clone()).await.expect("a table that answers");
    let encoded_len = |bytes: Result<Vec<u8>, _>| bytes.expect("a message that encodes").len();
    let n_request_bytes = encoded_len(rmp_serde::to_vec_named(&get));
    let n_reply_bytes = encoded_len(rmp_serde::to_vec_named(&rows));
    format!("a look at a hall: {n_request_bytes} B asked, {n_reply_bytes} B told")
}

/// Processor time of a grant and its return, given that an idle serving lease exists.
async fn measure_grant_cost(site: &TestSite, instance: &TestInstance) -> String {
    let before = process_cpu_nanos();
    for _ in 0..GRANTS_MEASURED {
        let grant =
            instance.expect_grant(support::request(site, support::REPEATABLE_REQUEST)).await;
        instance.return_grant(&grant, model::RequestOutcome::Done).await;
    }
    let micros_per_grant = (process_cpu_nanos() - before) / GRANTS_MEASURED / 1000;
    format!("a grant and its return: {micros_per_grant} us of processor time")
}

/// Platform calls of the site and processor time of the process, since their start.
struct LoadCounters {
    reads: u64,
    writes: u64,
    renewals: u64,
    process_cpu_nanos: u64,
}

impl LoadCounters {
    fn of(site: &TestSite) -> LoadCounters {
        let table = site.table.faults();
        let workers = site.fleet.workers();
        let renewals = workers.iter().map(|(_, it)| it.faults().calls(model::LeaseRenew::PATH));
        LoadCounters {
            reads: table.calls(model::TableGet::PATH) + table.calls(model::TableScan::PATH),
            writes: table.calls(model::TableTransaction::PATH),
            renewals: renewals.sum(),
            process_cpu_nanos: process_cpu_nanos(),
        }
    }
}

/// Processor time of this process, the first field of `schedstat`; 0 if the file cannot be read.
fn process_cpu_nanos() -> u64 {
    let stat = std::fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    stat.split_whitespace().next().and_then(|it| it.parse().ok()).unwrap_or_default()
}

const GRANTS_MEASURED: u64 = 5_000;
const TASKS_PER_WORKER: u32 = 15;
const TASKS_PER_JOB: u32 = 8;
