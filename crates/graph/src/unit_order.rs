//! The order in which the waiting units of a round are tried.
//!
//! Jobs have places by class priority, prospect and age. The places of the jobs of a class that has too little
//! capacity are given out anew among these jobs, one after the other, by the use of their accounts at that
//! moment.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::time::Duration;

use almondpass_schema::ids;

use crate::fair_share;
use crate::prospect;
use crate::task_key;

/// Where a job stands among the jobs of its class and prospect, first to last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum JobStanding {
    /// Urgent work within the guarantee of its account.
    Owed,
    /// The job has waited so long that it is no longer put behind younger jobs.
    Overdue,
    /// Some tasks of the job run or are done. It is completed before other jobs begin: with tasks of more jobs side by
    /// side, each job ends later.
    Begun,
    /// The use of the account decides.
    ByUse,
}

impl JobStanding {
    /// Short name for logs.
    pub fn name(self) -> &'static str {
        match self {
            JobStanding::Owed => "owed",
            JobStanding::Overdue => "overdue",
            JobStanding::Begun => "begun",
            JobStanding::ByUse => "use",
        }
    }
}

/// A job with waiting units.
#[derive(Clone, Debug)]
pub struct WaitingJob {
    /// Id of the job.
    pub graph: ids::GraphId,
    /// Account that owns the job, if any.
    pub account: Option<ids::AccountId>,
    /// When the scheduler admitted the job.
    pub admitted_at: Duration,
    /// Standing among the jobs of its class and prospect.
    pub standing: JobStanding,
    /// Whether its tasks need accelerators.
    pub needs_accelerators: bool,
    /// The waiting units, in the order in which they are tried.
    pub units: Vec<task_key::UnitKey>,
}

impl WaitingJob {
    fn age_key(&self) -> (Duration, ids::GraphId) {
        (self.admitted_at, self.graph)
    }
}

/// Rank of the first job of an account; the lowest rank is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct JobRank {
    standing: JobStanding,
    is_above_guarantee: bool,
    level: u32,
    age_key: (Duration, ids::GraphId),
}

/// Guarantees and use of accounts by which the next job is chosen.
#[derive(Clone, Copy, Debug)]
pub struct AccountState<'a> {
    /// Use of each account.
    pub uses: &'a fair_share::AccountUses,
    /// Accelerators guaranteed to accounts.
    pub guaranteed: &'a BTreeMap<ids::AccountId, u32>,
}

impl AccountState<'_> {
    fn rank(&self, upstream: &str, job: &WaitingJob) -> JobRank {
        let is_by_use = job.standing == JobStanding::ByUse;
        let level = self.uses.level(upstream, &job.account);
        let guaranteed = job.account.as_ref().and_then(|it| self.guaranteed.get(it)).copied();
        // A guarantee is of accelerators, so work without them has no claim by it.
        let guaranteed = guaranteed.filter(|_| job.needs_accelerators).map_or(0, u64::from);
        let held = self.uses.accelerators(upstream, &job.account);
        JobRank {
            standing: job.standing,
            is_above_guarantee: is_by_use && held >= guaranteed,
            level: if is_by_use { level } else { 0 },
            age_key: job.age_key(),
        }
    }
}

/// The jobs of one class and prospect that compete for its places, by account.
#[derive(Clone, Debug, Default)]
pub struct ContestedJobs {
    upstream: ids::UpstreamName,
    /// Jobs of each account, oldest first.
    queues: Vec<VecDeque<WaitingJob>>,
    indices: BTreeMap<Option<ids::AccountId>, usize>,
    /// Rank of the first job of each account, as of the last time it was computed. Starts of the present round
    /// only raise the use of accounts, so a rank in the heap is never too high.
    ranks: BinaryHeap<Reverse<(JobRank, usize)>>,
    /// Jobs that were not chosen yet, by age.
    by_age: BTreeSet<(Duration, ids::GraphId)>,
}

impl ContestedJobs {
    /// No jobs yet; all of them need workers of `upstream`.
    pub fn new(upstream: ids::UpstreamName) -> ContestedJobs {
        ContestedJobs { upstream, ..ContestedJobs::default() }
    }

    /// Adds a job that is younger than all that were added before. The first choice comes after the last job.
    pub fn push(&mut self, job: WaitingJob, state: AccountState) {
        self.by_age.insert(job.age_key());
        let n_queues = self.queues.len();
        let index = match self.indices.get(&job.account) {
            Some(index) => *index,
            None => {
                self.indices.insert(job.account.clone(), n_queues);
                self.queues.push(VecDeque::new());
                self.ranks.push(Reverse((state.rank(&self.upstream, &job), n_queues)));
                n_queues
            }
        };
        self.queues[index].push_back(job);
    }

    /// Takes the next job: of the account with the lowest use, or the oldest of accounts with equal use.
    pub fn choose(&mut self, state: AccountState) -> Option<WaitingJob> {
        while let Some(Reverse((rank, index))) = self.ranks.pop() {
            let Some(first) = self.queues[index].front() else { continue };
            let present_rank = state.rank(&self.upstream, first);
            if present_rank > rank {
                self.ranks.push(Reverse((present_rank, index)));
                continue;
            }
            let job = self.queues[index].pop_front()?;
            self.by_age.remove(&job.age_key());
            if let Some(next) = self.queues[index].front() {
                self.ranks.push(Reverse((state.rank(&self.upstream, next), index)));
            }
            return Some(job);
        }
        None
    }

    /// The oldest job that was not chosen yet, if it is older than `job`.
    fn older_than(&self, job: &WaitingJob) -> Option<ids::GraphId> {
        self.by_age.first().filter(|it| **it < job.age_key()).map(|(_, graph)| *graph)
    }
}

/// Place of one job in the order of a round.
#[derive(Clone, Debug)]
enum JobPlace {
    /// The place of this job.
    Job(Vec<task_key::UnitKey>),
    /// A place for one of the contested jobs with that index.
    Contested(usize),
}

/// An older job of the same class and prospect that a chosen job passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PassedJob {
    /// The oldest job that was passed.
    pub graph: ids::GraphId,
    /// Standing of the job that passed it.
    pub by: JobStanding,
}

/// Jobs among which places are given out together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ContestKey {
    /// Class of the jobs.
    pub class: ids::ClassName,
    /// Upstream whose workers they need.
    pub upstream: ids::UpstreamName,
    /// Their prospect.
    pub prospect: prospect::JobProspect,
}

/// The waiting units of a round. The next unit is chosen only when the one before it has been tried.
#[derive(Clone, Debug, Default)]
pub struct UnitOrder {
    places: VecDeque<JobPlace>,
    contests: Vec<ContestedJobs>,
    indices: BTreeMap<ContestKey, usize>,
    /// Units left of the present job.
    units: VecDeque<task_key::UnitKey>,
    passed: Option<PassedJob>,
}

impl UnitOrder {
    /// Whether no unit is left.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty() && self.units.is_empty()
    }

    /// Adds the units of a job after those of all jobs added before.
    pub fn push(&mut self, units: Vec<task_key::UnitKey>) {
        if !units.is_empty() {
            self.places.push_back(JobPlace::Job(units));
        }
    }

    /// Adds a place after those of all jobs added before, for which `job` competes.
    pub fn push_contested(&mut self, key: ContestKey, job: WaitingJob, state: AccountState) {
        if job.units.is_empty() {
            return;
        }
        let index = match self.indices.get(&key) {
            Some(index) => *index,
            None => {
                self.contests.push(ContestedJobs::new(key.upstream.clone()));
                self.indices.insert(key, self.contests.len() - 1);
                self.contests.len() - 1
            }
        };
        self.contests[index].push(job, state);
        self.places.push_back(JobPlace::Contested(index));
    }

    /// Takes the next unit.
    pub fn next_unit(&mut self, state: AccountState) -> Option<task_key::UnitKey> {
        while self.units.is_empty() {
            self.passed = None;
            match self.places.pop_front()? {
                JobPlace::Job(units) => self.units = units.into(),
                JobPlace::Contested(index) => self.choose(index, state),
            }
        }
        self.units.pop_front()
    }

    /// The older job that the job of the last unit passed, if any.
    pub fn passed(&self) -> Option<PassedJob> {
        self.passed
    }

    fn choose(&mut self, index: usize, state: AccountState) {
        let contest = &mut self.contests[index];
        let Some(job) = contest.choose(state) else { return };
        let older = contest.older_than(&job);
        self.passed = older.map(|graph| PassedJob { graph, by: job.standing });
        self.units = job.units.into();
    }
}
