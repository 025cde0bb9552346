//! Takeover: rebuilds the state of a new scheduler from the job rows and the leases that workers list.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use almondpass_policy::{event, hall_policy::HallPolicy, work};
use almondpass_ports::worker::WorkerControl;
use almondpass_schema::{ids, model};
use tokio::task::JoinSet;
use tokio::time::Instant;
use uuid::Uuid;

use crate::actor::HallActor;
use crate::backend;
use crate::grant_table::AdoptedSlot;
use crate::job_table::{Gang, GangMember, GangPhase, JobEntry};
use crate::lease::{LeasePurpose, StartNumber};
use crate::lease_table::{LeaseEntry, LeaseState};
use crate::takeover::LeaseListings;
use crate::worker_node::NodeState;

/// A task whose lease a worker listed.
#[derive(Clone, Debug)]
struct ListedTask {
    worker: ids::WorkerId,
    status: model::LeaseStatus,
}

/// Tasks that workers listed, by job, start and rank.
type ListedStarts = BTreeMap<ids::JobId, BTreeMap<StartNumber, BTreeMap<u32, ListedTask>>>;

/// Adopts complete gangs, serving leases and queued jobs. All other leases on the workers are entered
/// into the lease table for release.
pub(crate) fn adopt<B: backend::HallBackend>(
    actor: &mut HallActor<B>,
    records: Vec<model::JobRecord>,
    listings: &LeaseListings,
) {
    let workers = actor.nodes.keys().cloned().collect::<Vec<_>>();
    // The policy places members only on workers that are back. Workers that did not answer may still
    // run members of a gang, so they too are reported as back here, and as lost again at the end.
    for worker in &workers {
        apply(actor, event::HallEvent::WorkerBack(worker.clone()));
    }
    let listed = listed_tasks(listings);
    for record in records {
        adopt_job(actor, record, &listed, listings);
    }
    adopt_slots(actor, listings);
    insert_stray_leases(actor, listings);
    for worker in &workers {
        let node = actor.nodes.get_mut(worker).expect("the worker was just listed");
        if listings.contains_key(worker) {
            node.state = NodeState::Live;
        } else {
            node.failed_polls = 1;
            apply(actor, event::HallEvent::WorkerLost(worker.clone()));
        }
        actor.update_draining(worker);
    }
}

/// Releases all leases that are entered for release and waits for the workers' replies, so that the
/// first placements don't collide with leases of earlier tenures.
pub(crate) async fn release_stray_leases<B: backend::HallBackend>(actor: &mut HallActor<B>) {
    let mut releases = JoinSet::new();
    for (worker, node) in &actor.nodes {
        let leases = actor.leases.names_in_state(worker, LeaseState::Releasing);
        let Some(address) = node.address().cloned().filter(|_| !leases.is_empty()) else {
            continue;
        };
        let workers = actor.ports.workers.clone();
        releases.spawn(async move {
            let release = model::LeaseRelease { leases: leases.clone() };
            let released = workers.release(&address, release);
            let released = tokio::time::timeout(RELEASE_DEADLINE, released).await;
            matches!(released, Ok(Ok(_))).then_some(leases)
        });
    }
    while let Some(released) = releases.join_next().await {
        for lease in released.ok().flatten().into_iter().flatten() {
            // These are not only stray leases: they include those of a gang that ended while no
            // scheduler ran. Its end is recorded when its last lease is removed.
            actor.on_lease_released(&lease);
        }
    }
}

fn listed_tasks(listings: &LeaseListings) -> ListedStarts {
    let mut listed = ListedStarts::new();
    for (worker, listing) in listings {
        for status in &listing.leases {
            let Some(LeasePurpose::Task { job, start, rank }) = LeasePurpose::parse(&status.lease)
            else {
                continue;
            };
            let task = ListedTask { worker: worker.clone(), status: status.clone() };
            listed.entry(job).or_default().entry(start).or_default().insert(rank, task);
        }
    }
    listed
}

fn adopt_job<B: backend::HallBackend>(
    actor: &mut HallActor<B>,
    record: model::JobRecord,
    listed: &ListedStarts,
    listings: &LeaseListings,
) {
    let job = record.job;
    let class = actor.config.class(&record.submission.class).cloned();
    let repeatable = class.as_ref().is_some_and(|it| it.repeatable);
    let members = complete_gang(&record, listed.get(&job), listings);
    let cancelled = record.cancel_requested;
    let may_have_run = record.attempt != 0;
    let entry = JobEntry {
        committed: Some(record.clone()),
        record,
        repeatable,
        waiters: Vec::new(),
        gang: None,
        n_starts: 0,
        saved_run: Duration::ZERO,
        arrived_at: Instant::now(),
    };
    let item = class.map(|it| actor.job_work_item(&entry.record, &it, Duration::ZERO));
    actor.jobs.entries.insert(job, entry);
    match (item, members) {
        (Some(item), Some((start, members))) => adopt_gang(actor, item, start, members, listings),
        (_, None) if !repeatable && may_have_run => {
            // The row says that a start may have been sent, and no worker lists how it ended.
            actor.end_job_unknown(job);
            return;
        }
        (Some(item), None) => {
            actor.set_queued(job);
            apply(actor, event::HallEvent::Arrived(item));
        }
        // The job's class was removed from the configuration: the job waits until the class is back.
        (None, _) => actor.set_queued(job),
    }
    if cancelled {
        apply(actor, event::HallEvent::Cancelled(job));
    }
    actor.advance_gang(job);
}

/// Members of the latest start of which every rank runs, or may run on a worker that did not answer.
/// `None` if no start is complete; the job's leases are then released, since part of a gang must not run.
fn complete_gang(
    record: &model::JobRecord,
    listed: Option<&BTreeMap<StartNumber, BTreeMap<u32, ListedTask>>>,
    listings: &LeaseListings,
) -> Option<(StartNumber, Vec<GangMember>)> {
    let placed = placed_start(record);
    let no_starts = BTreeMap::new();
    let mut starts = listed.unwrap_or(&no_starts).keys().copied().collect::<BTreeSet<_>>();
    starts.extend(placed);
    starts.into_iter().rev().find_map(|start| {
        let tasks = listed.and_then(|it| it.get(&start));
        let placement = if placed == Some(start) { &record.placement[..] } else { &[] };
        let members = (0..record.submission.tasks).map(|rank| {
            tasks.and_then(|it| it.get(&rank)).map_or_else(
                || unanswered_member(placement, rank, listings),
                |task| task.status.started.then(|| listed_member(rank, task)),
            )
        });
        Some((start, members.collect::<Option<Vec<_>>>()?))
    })
}

/// The start whose placement the row holds, if the row says that the whole gang was running.
fn placed_start(record: &model::JobRecord) -> Option<StartNumber> {
    let running = matches!(record.state, model::JobState::Running | model::JobState::Checkpointing);
    let first = record.placement.first().filter(|_| running)?;
    match LeasePurpose::parse(&first.lease)? {
        LeasePurpose::Task { start, .. } => Some(start),
        LeasePurpose::Serve { .. } => None,
    }
}

fn listed_member(rank: u32, task: &ListedTask) -> GangMember {
    GangMember {
        assignment: work::TaskAssignment {
            rank,
            worker: task.worker.clone(),
            accelerators: task.status.accelerators.clone(),
        },
        lease: task.status.lease.clone(),
        exit: task.status.exit.clone(),
        previous_checkpoint: task.status.checkpoint.clone(),
        checkpoint: task.status.checkpoint.clone(),
    }
}

/// A member on a worker that did not answer, as the row placed it. `None` if the row doesn't place the rank,
/// or if its worker answered: then the task doesn't run, since the worker didn't list its lease.
fn unanswered_member(
    placement: &[model::TaskPlacement],
    rank: u32,
    listings: &LeaseListings,
) -> Option<GangMember> {
    let placed = placement.iter().find(|it| it.rank == rank)?;
    if listings.contains_key(&placed.worker) {
        return None;
    }
    Some(GangMember {
        assignment: work::TaskAssignment {
            rank,
            worker: placed.worker.clone(),
            accelerators: placed.accelerators.clone(),
        },
        lease: placed.lease.clone(),
        exit: None,
        previous_checkpoint: None,
        checkpoint: None,
    })
}

fn adopt_gang<B: backend::HallBackend>(
    actor: &mut HallActor<B>,
    item: work::WorkItem,
    start: StartNumber,
    members: Vec<GangMember>,
    listings: &LeaseListings,
) {
    let job = item.id;
    let now = Instant::now();
    let demand = item.demand;
    for member in &members {
        let listing = listings.get(&member.assignment.worker);
        let status = listing.and_then(|it| it.leases.iter().find(|it| it.lease == member.lease));
        let purpose = LeasePurpose::Task { job, start, rank: member.assignment.rank };
        let term = actor.options.lease_term();
        // A lease on a worker that did not answer lapses at the latest after one full term.
        let remaining = status.map_or(term, |it| it.remaining.0);
        actor.leases.insert(LeaseEntry {
            purpose,
            worker: member.assignment.worker.clone(),
            accelerators: member.assignment.accelerators.clone(),
            demand,
            state: LeaseState::Held,
            valid_until: now + remaining,
            expired_by: now + term + actor.options.lease_margin(),
        });
    }
    let placement = members.iter().map(|it| it.assignment.clone()).collect();
    let wall_now = actor.wall_time();
    let Some(entry) = actor.jobs.entries.get_mut(&job) else { return };
    let ran = match entry.record.state {
        model::JobState::Running => wall_now.since(entry.record.state_since),
        _ => Duration::ZERO,
    };
    entry.gang = Some(Gang {
        start,
        members,
        phase: GangPhase::Running,
        started_at: now.checked_sub(ran).unwrap_or(now),
        checkpoint_requested: false,
        stop_requested: false,
        start_sent: true,
        start_reported: true,
    });
    entry.record.placement = crate::gangs::placements(entry.gang.as_ref());
    if entry.record.state != model::JobState::Running {
        entry.record.state = model::JobState::Running;
        entry.record.state_since = wall_now;
    }
    // The row may have been written before the start, with attempt 0.
    entry.record.attempt = entry.record.attempt.max(1);
    if entry.committed.as_ref() != Some(&entry.record) {
        actor.mark_dirty(job);
    }
    let started_at = wall_now - ran;
    tracing::info!(hall = actor.hall, job = %job, "running gang adopted");
    apply(actor, event::HallEvent::Adopted { item, placement, started_at });
}

/// Adopts the serving leases of earlier tenures. Their slots count as busy until the entries report
/// their grants, or until the longest run that such a grant allows is over.
fn adopt_slots<B: backend::HallBackend>(actor: &mut HallActor<B>, listings: &LeaseListings) {
    let classes = &actor.config.document.classes;
    let requests = classes.iter().filter(|it| it.kind == model::ClassKind::Request);
    let longest_run = requests.map(|it| it.max_run.0).max().unwrap_or_default();
    let start_by = actor.options.timing.grant_start_by.0;
    let expires_at = Instant::now() + longest_run + start_by + actor.options.call_deadline();
    actor.grants.unreported_entries = actor.members.instances.keys().cloned().collect();
    for (worker, listing) in listings {
        for status in &listing.leases {
            let Some(purpose @ LeasePurpose::Serve { .. }) = LeasePurpose::parse(&status.lease)
            else {
                continue;
            };
            adopt_slot(actor, worker, status, purpose, expires_at);
        }
    }
}

fn adopt_slot<B: backend::HallBackend>(
    actor: &mut HallActor<B>,
    worker: &ids::WorkerId,
    status: &model::LeaseStatus,
    purpose: LeasePurpose,
    expires_at: Instant,
) {
    let class = HallActor::<B>::class_for_serving_lease(&actor.config, status.accelerators.len());
    let (Some(class), Some(account)) = (class, actor.config.document.accounts.first()) else {
        return;
    };
    let now = Instant::now();
    let demand = work::TaskDemand {
        accelerators: class.accelerators,
        cores: class.cores,
        memory_mb: class.memory_mb,
        slots: status.slots,
    };
    let item = work::WorkItem {
        id: Uuid::now_v7(),
        account: account.id.clone(),
        class: class.name.clone(),
        tasks: 1,
        demand,
        adjacency: model::Adjacency::Worker,
        guarantee: None,
        declared_run: None,
        deadline: None,
        submitted_at: actor.wall_time(),
        attempt: 0,
        saved_run: Duration::ZERO,
        exclude: Vec::new(),
        failed_on: Vec::new(),
    };
    let lease = actor.leases.insert(LeaseEntry {
        purpose,
        worker: worker.clone(),
        accelerators: status.accelerators.clone(),
        demand,
        state: LeaseState::Held,
        valid_until: now + status.remaining.0,
        expired_by: now + actor.options.lease_term() + actor.options.lease_margin(),
    });
    let slot = AdoptedSlot { work: item.id, grant: None, expires_at };
    actor.grants.adopted_slots.insert(lease, slot);
    let accelerators = status.accelerators.clone();
    let placement = vec![work::TaskAssignment { rank: 0, worker: worker.clone(), accelerators }];
    let started_at = actor.wall_time();
    apply(actor, event::HallEvent::Adopted { item, placement, started_at });
}

/// Enters for release all listed leases that belong to no adopted gang or slot.
fn insert_stray_leases<B: backend::HallBackend>(
    actor: &mut HallActor<B>,
    listings: &LeaseListings,
) {
    for (worker, listing) in listings {
        for status in &listing.leases {
            if actor.leases.get(&status.lease).is_some() {
                continue;
            }
            if let Some(purpose) = LeasePurpose::parse(&status.lease) {
                actor.insert_stray_lease(worker, purpose, status.accelerators.clone());
            }
        }
    }
}

fn apply<B: backend::HallBackend>(actor: &mut HallActor<B>, event: event::HallEvent) {
    let now = actor.wall_time();
    actor.policy.apply(event, now);
}

/// Time limit of the release of one worker's leases during a takeover.
const RELEASE_DEADLINE: Duration = Duration::from_millis(500);
