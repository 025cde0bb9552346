//! Measures one hall's scheduler against the in-memory platform, on the paused clock:
//! `cargo run --release -p almondpass-hall --example measure_hall [RACKS...]`.
//!
//! Every call to table and workers takes 1 ms (half a millisecond each way). Times of the hall are
//! those of the paused clock and leave computation out; processor time is that of the whole
//! process, fakes included.

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
    let named = std::env::args().skip(1).filter_map(|it| it.parse().ok()).collect::<Vec<_>>();
    let usual = vec![6, 20, 50, 162];
    for n_racks in if named.is_empty() { usual } else { named } {
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
    let holder = start(&site, "a");
    support::wait_until("the first holds", async || holder.holds()).await;
    let other = start(&site, "b");
    let idle = load(&site, Duration::from_secs(60)).await;

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
    let busy = load(&site, Duration::from_secs(60)).await;

    let exchange = exchange_bytes(&site).await;
    let look = look_bytes(&site).await;
    let grants = grants(&site, &holder).await;

    let leaving = Instant::now();
    site.change_members(|it| it.instances.get_mut("a").expect("a member").leaving = true);
    let service = holder.service.clone();
    tokio::spawn(async move { service.shutdown().await });
    while !other.holds() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let hand_over = leaving.elapsed();

    let third = start(&site, "c");
    support::advance(Duration::from_secs(5)).await;
    other.crash(&site);
    while third.service.held_halls().is_empty() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let taken = Instant::now();
    while !third.holds() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let takeover = taken.elapsed();
    let n_tasks = n_jobs * TASKS_PER_JOB;
    println!("{n_workers:7} {n_tasks:6} {takeover:9.0?} {hand_over:10.0?}  idle: {idle}");
    println!("{:36} busy: {busy}", "");
    println!("{:36} {exchange}; {grants}; {look}", "");
}

fn start(site: &TestSite, id: &str) -> TestInstance {
    let instance = site.start(id);
    let round_trip = Condition::Slow(Duration::from_millis(1));
    instance.table_faults.set(round_trip);
    instance.worker_faults.set(round_trip);
    instance.object_faults.set(round_trip);
    instance
}

/// Calls and processor time over a while.
async fn load(site: &TestSite, span: Duration) -> String {
    let before = Counts::of(site);
    support::advance(span).await;
    let after = Counts::of(site);
    let rate = |before: u64, after: u64| (after - before) as f64 / span.as_secs_f64();
    format!(
        "{:7.1} {:8.1} {:10.1} {:4.1}ms",
        rate(before.reads, after.reads),
        rate(before.writes, after.writes),
        rate(before.renewals, after.renewals),
        rate(before.cpu_nanos, after.cpu_nanos) / 1e6,
    )
}

/// Bytes of one exchange with a worker, as encoded between processes.
async fn exchange_bytes(site: &TestSite) -> String {
    let (address, worker) = &site.fleet.workers()[0];
    let names = worker.peek().into_iter().map(|it| it.lease).collect::<Vec<_>>();
    let n_leases = names.len();
    let renew = model::LeaseRenew { leases: names, term: time::TimeSpan::from_secs(30) };
    let listing = site.fleet.renew(address, renew.clone()).await.expect("a worker that answers");
    let encode = |bytes: Result<Vec<u8>, _>| bytes.expect("a message that encodes").len();
    let asked = encode(rmp_serde::to_vec_named(&renew));
    let told = encode(rmp_serde::to_vec_named(&listing));
    format!("a renewal of {n_leases} leases: {asked} B asked, {told} B told")
}

/// Bytes of a look at who schedules a hall, as encoded between processes.
async fn look_bytes(site: &TestSite) -> String {
    let keys = vec![keys::scheduler(support::HALL), keys::tenure(support::HALL)];
    let get = model::TableGet { keys };
    let rows = site.table.get(get.clone()).await.expect("a table that answers");
    let encode = |bytes: Result<Vec<u8>, _>| bytes.expect("a message that encodes").len();
    let asked = encode(rmp_serde::to_vec_named(&get));
    let told = encode(rmp_serde::to_vec_named(&rows));
    format!("a look at a hall: {asked} B asked, {told} B told")
}

/// Processor time of a grant with its return, where an idle serving lease is at hand.
async fn grants(site: &TestSite, instance: &TestInstance) -> String {
    let before = cpu_nanos();
    for _ in 0..N_GRANTS {
        let grant =
            instance.expect_grant(support::request(site, support::REPEATABLE_REQUEST)).await;
        instance.return_grant(&grant, model::RequestOutcome::Done).await;
    }
    let each = (cpu_nanos() - before) / N_GRANTS / 1000;
    format!("a grant and its return: {each} us of processor time")
}

struct Counts {
    reads: u64,
    writes: u64,
    renewals: u64,
    cpu_nanos: u64,
}

impl Counts {
    fn of(site: &TestSite) -> Counts {
        let table = site.table.faults();
        let workers = site.fleet.workers();
        let renewals = workers.iter().map(|(_, it)| it.faults().calls(model::LeaseRenew::PATH));
        Counts {
            reads: table.calls(model::TableGet::PATH) + table.calls(model::TableScan::PATH),
            writes: table.calls(model::TableTransaction::PATH),
            renewals: renewals.sum(),
            cpu_nanos: cpu_nanos(),
        }
    }
}

/// Processor time of this process; its first field is nanoseconds on a processor.
fn cpu_nanos() -> u64 {
    let stat = std::fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    stat.split_whitespace().next().and_then(|it| it.parse().ok()).unwrap_or_default()
}

const N_GRANTS: u64 = 5_000;
const TASKS_PER_WORKER: u32 = 15;
const TASKS_PER_JOB: u32 = 8;
