//! Brings a new scheduler's books in line with what rows and workers say.

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

/// A lease that a worker listed.
#[derive(Clone, Debug)]
struct FoundTask {
    worker: ids::WorkerId,
    status: model::LeaseStatus,
}

/// Tasks that workers listed, by start and rank.
type FoundStarts = BTreeMap<ids::JobId, BTreeMap<StartNumber, BTreeMap<u32, FoundTask>>>;

/// Takes over complete gangs, serving leases and waiting jobs. What is left on the workers is
/// entered for release.
pub(crate) fn adopt<B: backend::HallBackend>(
    actor: &mut HallActor<B>,
    records: Vec<model::JobRecord>,
    listings: &LeaseListings,
) {
    let workers = actor.nodes.keys().cloned().collect::<Vec<_>>();
    // Workers that did not answer come back for a moment, so that the policy can place on them
    // the members that may still run there.
    for worker in &workers {
        apply(actor, event::HallEvent::WorkerBack(worker.clone()));
    }
    let found = found_tasks(listings);
    for record in records {
        adopt_job(actor, record, &found, listings);
    }
    adopt_slots(actor, listings);
    enter_strays(actor, listings);
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

/// Releases what is entered for release and waits for it, so that the first decisions do not meet
/// leases of earlier tenures.
pub(crate) async fn release_stray_leases<B: backend::HallBackend>(actor: &mut HallActor<B>) {
    let mut tasks = JoinSet::new();
    for (worker, node) in &actor.nodes {
        let leases = actor.leases.names_in_state(worker, LeaseState::Releasing);
        let Some(address) = node.address().cloned().filter(|_| !leases.is_empty()) else {
            continue;
        };
        let workers = actor.ports.workers.clone();
        tasks.spawn(async move {
            let release = model::LeaseRelease { leases: leases.clone() };
            let released = workers.release(&address, release);
            let released = tokio::time::timeout(RELEASE_DEADLINE, released).await;
            matches!(released, Ok(Ok(_))).then_some(leases)
        });
    }
    while let Some(released) = tasks.join_next().await {
        for lease in released.ok().flatten().into_iter().flatten() {
            // Not only strays: a gang that ended while nobody watched is among them, and its end
            // follows from its last lease being gone.
            actor.on_lease_released(&lease);
        }
    }
}

fn found_tasks(listings: &LeaseListings) -> FoundStarts {
    let mut found = FoundStarts::new();
    for (worker, listing) in listings {
        for status in &listing.leases {
            let Some(LeasePurpose::Task { job, start, rank }) = LeasePurpose::parse(&status.lease)
            else {
                continue;
            };
            let task = FoundTask { worker: worker.clone(), status: status.clone() };
            found.entry(job).or_default().entry(start).or_default().insert(rank, task);
        }
    }
    found
}

fn adopt_job<B: backend::HallBackend>(
    actor: &mut HallActor<B>,
    record: model::JobRecord,
    found: &FoundStarts,
    listings: &LeaseListings,
) {
    let job = record.job;
    let class = actor.config.class(&record.submission.class).cloned();
    let repeatable = class.as_ref().is_some_and(|it| it.repeatable);
    let members = complete_gang(&record, found.get(&job), listings);
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
            // The row says that a start may have been sent, and no worker can tell the end.
            actor.end_job_unknown(job);
            return;
        }
        (Some(item), None) => {
            actor.set_queued(job);
            apply(actor, event::HallEvent::Arrived(item));
        }
        // Its class is gone from the configuration: it waits until that is back.
        (None, _) => actor.set_queued(job),
    }
    if cancelled {
        apply(actor, event::HallEvent::Cancelled(job));
    }
    actor.advance_gang(job);
}

/// Members of the latest start of which every rank runs, or may run on a worker that did not
/// answer. Anything less is released whole: part of a gang must not run.
fn complete_gang(
    record: &model::JobRecord,
    found: Option<&BTreeMap<StartNumber, BTreeMap<u32, FoundTask>>>,
    listings: &LeaseListings,
) -> Option<(StartNumber, Vec<GangMember>)> {
    let placed = placed_start(record);
    let nothing = BTreeMap::new();
    let mut starts = found.unwrap_or(&nothing).keys().copied().collect::<BTreeSet<_>>();
    starts.extend(placed);
    starts.into_iter().rev().find_map(|start| {
        let tasks = found.and_then(|it| it.get(&start));
        let placement = if placed == Some(start) { &record.placement[..] } else { &[] };
        let members = (0..record.submission.tasks).map(|rank| {
            tasks.and_then(|it| it.get(&rank)).map_or_else(
                || missing_member(placement, rank, listings),
                |task| task.status.started.then(|| found_member(rank, task)),
            )
        });
        Some((start, members.collect::<Option<Vec<_>>>()?))
    })
}

/// The start that the row tells of, if all of it was running.
fn placed_start(record: &model::JobRecord) -> Option<StartNumber> {
    let running = matches!(record.state, model::JobState::Running | model::JobState::Checkpointing);
    let first = record.placement.first().filter(|_| running)?;
    match LeasePurpose::parse(&first.lease)? {
        LeasePurpose::Task { start, .. } => Some(start),
        LeasePurpose::Serve { .. } => None,
    }
}

fn found_member(rank: u32, task: &FoundTask) -> GangMember {
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

/// A member on a worker that did not answer.
fn missing_member(
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
        // Of a worker that did not answer it is only known that its lease lapses within a term.
        let left = status.map_or(term, |it| it.remaining.0);
        actor.leases.insert(LeaseEntry {
            purpose,
            worker: member.assignment.worker.clone(),
            accelerators: member.assignment.accelerators.clone(),
            demand,
            state: LeaseState::Held,
            valid_until: now + left,
            expired_by: now + term + actor.options.lease_margin(),
        });
    }
    let placement = members.iter().map(|it| it.assignment.clone()).collect();
    let wall = actor.wall_time();
    let Some(entry) = actor.jobs.entries.get_mut(&job) else { return };
    let ran = match entry.record.state {
        model::JobState::Running => wall.since(entry.record.state_since),
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
        entry.record.state_since = wall;
    }
    // The row may still tell of the time before the start.
    entry.record.attempt = entry.record.attempt.max(1);
    if entry.committed.as_ref() != Some(&entry.record) {
        actor.mark_dirty(job);
    }
    let started_at = wall - ran;
    tracing::info!(hall = actor.hall, job = %job, "adopts a gang");
    apply(actor, event::HallEvent::Adopted { item, placement, started_at });
}

/// Serving leases of earlier tenures count as busy until entries tell, or their grants ran out.
fn adopt_slots<B: backend::HallBackend>(actor: &mut HallActor<B>, listings: &LeaseListings) {
    let classes = &actor.config.document.classes;
    let requests = classes.iter().filter(|it| it.kind == model::ClassKind::Request);
    let longest = requests.map(|it| it.max_run.0).max().unwrap_or_default();
    let start_by = actor.options.timing.grant_start_by.0;
    let expires_at = Instant::now() + longest + start_by + actor.options.call_deadline();
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

fn enter_strays<B: backend::HallBackend>(actor: &mut HallActor<B>, listings: &LeaseListings) {
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

/// For confirming that leases of earlier tenures are gone.
const RELEASE_DEADLINE: Duration = Duration::from_millis(500);
