//! Takeover of a hall by a new holder: reads jobs from the table, intents from the stores and leases from the
//! workers, and starts the scheduler. The leases on the workers are the ground truth of what runs.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use almondpass_config::active;
use almondpass_membership::snapshot;
use almondpass_policy::hall_policy::HallPolicy;
use almondpass_ports::{keys, table::TableService, worker::WorkerControl};
use almondpass_schema::{ids, model};
use tokio::sync::{Notify, Semaphore, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::actor::{self, HallActor};
use crate::adoption;
use crate::backend;
use crate::codec;
use crate::deadline;
use crate::error;
use crate::grant_table;
use crate::intent_log;
use crate::intent_task;
use crate::intents;
use crate::job_table;
use crate::lease_table;
use crate::options;
use crate::tenure;
use crate::worker_updates;

/// Dependencies of a takeover.
pub(crate) struct TakeoverParts<B: backend::HallBackend> {
    /// Clients of the table, the object store, the workers and the other instances.
    pub(crate) ports: backend::HallPorts<B>,
    /// Identity and timing of this instance.
    pub(crate) options: options::HallOptions,
    /// Hall that is taken over.
    pub(crate) hall: ids::HallName,
    /// Active configuration; changes are forwarded to the scheduler.
    pub(crate) config: watch::Receiver<Arc<active::ActiveConfig>>,
    /// Known instances and workers; changes are forwarded to the scheduler.
    pub(crate) members: watch::Receiver<Arc<snapshot::MemberSnapshot>>,
    /// Tenure under which this instance takes the hall over.
    pub(crate) tenure: tenure::TenureWatch,
}

/// Leases of the workers that answered.
pub(crate) type LeaseListings = BTreeMap<ids::WorkerId, model::LeaseListing>;

/// A running scheduler of a hall.
pub(crate) struct StartedScheduler<B: backend::HallBackend> {
    /// Address of the scheduler's actor.
    pub(crate) address: xtra::Address<HallActor<B>>,
    /// Last summary of the hall that the scheduler published.
    pub(crate) summary: watch::Receiver<Option<model::HallBeat>>,
    /// Turns true once the scheduler has found evidence of a newer tenure.
    pub(crate) fenced: watch::Receiver<bool>,
}

/// Takes the hall over and starts its scheduler; `None` if the policy rejects the configuration or the
/// tenure ends before the jobs could be read.
pub(crate) async fn run<B: backend::HallBackend>(
    mut parts: TakeoverParts<B>,
) -> Option<StartedScheduler<B>> {
    let config = Arc::clone(&parts.config.borrow_and_update());
    let members = Arc::clone(&parts.members.borrow_and_update());
    let now = parts.options.clock.now();
    let policy = match B::Policy::new(&parts.hall, Arc::clone(&config.document), now) {
        Ok(policy) => policy,
        Err(fault) => {
            tracing::error!(hall = parts.hall, %fault, "cannot create the scheduling policy of the hall");
            return None;
        }
    };
    let nodes = worker_updates::initial_nodes(&config, &members, &parts.hall);
    let log = intent_log::IntentLog {
        ports: parts.ports.clone(),
        hall: parts.hall.clone(),
        tenure: parts.tenure.clone(),
        deadline: parts.options.call_deadline(),
    };
    let (records, listings, sealed) =
        tokio::join!(read_jobs(&parts), list_workers(&parts, &nodes), intent_task::seal(log),);
    let records = records?;
    let mut actor = HallActor {
        ports: parts.ports,
        options: parts.options,
        hall: parts.hall.clone(),
        tenure: parts.tenure,
        config,
        members,
        policy,
        nodes,
        leases: lease_table::LeaseTable::default(),
        grants: grant_table::GrantTable::default(),
        jobs: job_table::JobTable::default(),
        intents: intent_task::IntentState::default(),
        deferred_events: VecDeque::new(),
        fenced: sealed.fenced,
        fence_signal: watch::channel(sealed.fenced).0,
        freeze_reply: None,
        frozen: false,
        summary: watch::channel(None).0,
        next_summary: Instant::now(),
        next_lapse_check: Instant::now(),
        wake: Arc::new(Notify::new()),
        address: None,
    };
    let summary = actor.summary.subscribe();
    let fenced = actor.fence_signal.subscribe();
    let log_sealed = sealed.sealed.is_some();
    if let Some(sealed) = sealed.sealed {
        actor.load_intent_log(sealed);
    }
    adoption::adopt(&mut actor, records, &listings);
    adoption::release_stray_leases(&mut actor).await;
    let (address, mailbox) = xtra::Mailbox::bounded(MAILBOX_CAPACITY);
    actor.address = Some(mailbox.address());
    if !log_sealed && !actor.fenced {
        actor.seal_intents(intents::SEAL_RETRY);
    }
    forward_changes(&address, parts.config, parts.members);
    tokio::spawn(xtra::run(mailbox, actor));
    Some(StartedScheduler { address, summary, fenced })
}

/// Forwards changes of the configuration and of the members to the scheduler until it stops.
fn forward_changes<B: backend::HallBackend>(
    address: &xtra::Address<HallActor<B>>,
    mut config: watch::Receiver<Arc<active::ActiveConfig>>,
    mut members: watch::Receiver<Arc<snapshot::MemberSnapshot>>,
) {
    let address = address.downgrade();
    tokio::spawn(async move {
        loop {
            let sent = tokio::select! {
                Ok(()) = config.changed() => {
                    let config = Arc::clone(&config.borrow_and_update());
                    address.send(actor::ConfigChanged(config)).await
                }
                Ok(()) = members.changed() => {
                    let members = Arc::clone(&members.borrow_and_update());
                    address.send(actor::MembersChanged(members)).await
                }
                else => return,
            };
            if sent.is_err() {
                return;
            }
        }
    });
}

/// Reads the rows of the hall's jobs, with retries until the tenure ends.
async fn read_jobs<B: backend::HallBackend>(
    parts: &TakeoverParts<B>,
) -> Option<Vec<model::JobRecord>> {
    loop {
        match read_jobs_once(parts).await {
            Ok(records) => return Some(records),
            Err(fault) => {
                tracing::warn!(hall = parts.hall, %fault, "cannot read the jobs of the hall");
            }
        }
        if parts.tenure.status() == tenure::TenureStatus::Ended {
            return None;
        }
        tokio::time::sleep(READ_RETRY_DELAY).await;
    }
}

async fn read_jobs_once<B: backend::HallBackend>(
    parts: &TakeoverParts<B>,
) -> Result<Vec<model::JobRecord>, error::HallError> {
    let mut records = Vec::new();
    let mut after = None;
    loop {
        let (table, deadline) = (&parts.ports.table, parts.options.call_deadline());
        let prefix = keys::hall_jobs(&parts.hall);
        let scan = model::TableScan { prefix, after: after.take(), limit: READ_PAGE_ROWS };
        let page =
            deadline::within(deadline, READ_JOBS_STEP, deadline::TABLE_SERVICE, table.scan(scan))
                .await?;
        let rows = page.rows.iter().filter_map(job_row_key).collect::<Vec<_>>();
        if !rows.is_empty() {
            let rows = table.get(model::TableGet { keys: rows });
            let rows =
                deadline::within(deadline, READ_JOBS_STEP, deadline::TABLE_SERVICE, rows).await?;
            for row in rows.rows {
                records.extend(codec::decode_row::<model::JobRecord>("read a job", &row)?);
            }
        }
        after = page.rows.last().map(|it| it.key.clone());
        if !page.more || after.is_none() {
            return Ok(records);
        }
    }
}

fn job_row_key(index: &model::TableRow) -> Option<ids::RowKey> {
    let job = index.key.rsplit('/').next()?.parse().ok()?;
    let account = std::str::from_utf8(index.value.as_ref()?).ok()?;
    Some(keys::job(account, &job))
}

/// Lists the leases of all workers concurrently. Workers that do not answer in time are left out.
async fn list_workers<B: backend::HallBackend>(
    parts: &TakeoverParts<B>,
    nodes: &BTreeMap<ids::WorkerId, crate::worker_node::WorkerNode>,
) -> LeaseListings {
    let semaphore = Arc::new(Semaphore::new(LIST_CONCURRENCY));
    let mut tasks = JoinSet::new();
    for (worker, node) in nodes {
        let Some(address) = node.address().cloned() else { continue };
        let (workers, semaphore) = (parts.ports.workers.clone(), Arc::clone(&semaphore));
        let worker = worker.clone();
        tasks.spawn(async move {
            let _permit = semaphore.acquire().await;
            (worker, list_worker(&workers, &address).await)
        });
    }
    let mut listings = LeaseListings::new();
    while let Some(listed) = tasks.join_next().await {
        if let Ok((worker, Some(listing))) = listed {
            listings.insert(worker, listing);
        }
    }
    listings
}

async fn list_worker<W: WorkerControl>(
    workers: &W,
    address: &ids::PeerAddress,
) -> Option<model::LeaseListing> {
    for _ in 0..MAX_LIST_CALLS {
        let listing = tokio::time::timeout(LIST_DEADLINE, workers.leases(address)).await;
        if let Ok(Ok(listing)) = listing {
            return Some(listing);
        }
    }
    None
}

const MAILBOX_CAPACITY: usize = 8192;
const READ_JOBS_STEP: &str = "read the jobs of the hall";
const READ_PAGE_ROWS: u32 = 256;
const READ_RETRY_DELAY: Duration = Duration::from_millis(300);
const LIST_CONCURRENCY: usize = 64;
const MAX_LIST_CALLS: usize = 2;
/// A worker that answers later counts as lost until the next call to it.
const LIST_DEADLINE: Duration = Duration::from_millis(500);
