//! Fair order of waiting jobs: how much of the pool each account uses, and which class has too little capacity.
//!
//! While units of a class find no capacity, its jobs are ordered by the use of their accounts. In order of age
//! alone, the account that submits most gets most, and the jobs of all others wait behind its backlog.

use std::collections::BTreeMap;
use std::time::Duration;

use almondpass_schema::ids;

use crate::core;
use crate::job;
use crate::pool_usage;
use crate::prospect;
use crate::resources;
use crate::task_key;
use crate::unit_order;

/// Time constant of the decay of recent use. Tasks run for seconds, so that within this time most of the
/// capacity of a pool is given out anew.
const DECAY_TIME: Duration = Duration::from_secs(8);

/// Weight of what an account holds now against what it used recently. With equal weights, an account that
/// returns after it was idle would get the whole pool until the recent use of the others has decayed.
const PRESENT_WEIGHT: f64 = 0.75;

/// Uses that differ by less than the equal share of one account divided by this are equal. Without a
/// tolerance, each start would reverse the order of two accounts.
const LEVELS_PER_EQUAL_SHARE: f64 = 4.0;

/// An account without tasks is forgotten once its recent use is below this share of the pool.
const FORGOTTEN_BELOW: f64 = 0.001;

/// A class has too little capacity until no unit of it was left without a place for this long. While anything
/// waits, rounds come at least twice as often.
const SHORTAGE_MEMORY: Duration = Duration::from_secs(1);

/// A job that has waited for this many times its slack is no longer put behind younger jobs; it can still be of
/// use then.
const OVERDUE_AFTER: u32 = prospect::EXPIRED_AFTER;

/// Shortest time between two log lines about the fair order.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Resources that an account holds, and its recent use.
#[derive(Clone, Copy, Debug, Default)]
struct AccountUse {
    /// Thousandths of a core, megabytes and accelerators of its tasks.
    held: [u64; 3],
    /// Dominant share of the pool in the last seconds, with exponential decay.
    recent: f64,
}

/// Resources of an upstream's workers, and the use of the accounts that have work for them.
#[derive(Clone, Debug, Default)]
struct UpstreamUse {
    offered: [u64; 3],
    accounts: BTreeMap<Option<ids::AccountId>, AccountUse>,
}

impl UpstreamUse {
    /// Largest of the account's shares of the three resources.
    fn dominant_share(&self, account: &AccountUse) -> f64 {
        let shares = account.held.iter().zip(self.offered);
        // A resource that no worker offers has no share.
        let shares = shares.filter(|(_, offered)| *offered > 0);
        shares.map(|(held, offered)| *held as f64 / offered as f64).fold(0.0, f64::max)
    }
}

/// Use of each upstream by each account.
#[derive(Clone, Debug, Default)]
pub struct AccountUses {
    upstreams: BTreeMap<ids::UpstreamName, UpstreamUse>,
    observed_at: Option<Duration>,
}

impl AccountUses {
    /// Begins a new observation of what is offered and held. Recent use is kept.
    pub fn clear(&mut self) {
        for upstream in self.upstreams.values_mut() {
            upstream.offered = [0; 3];
            upstream.accounts.values_mut().for_each(|it| it.held = [0; 3]);
        }
    }

    /// Adds a worker's capacity.
    pub fn offer(&mut self, upstream: &ids::UpstreamName, capacity: resources::Resources) {
        let offered = &mut entry_of(&mut self.upstreams, upstream).offered;
        add(offered, capacity, 1);
    }

    /// Adds `n` tasks that an account holds. Starts of the present round are added at once.
    pub fn hold(
        &mut self,
        upstream: &ids::UpstreamName,
        account: &Option<ids::AccountId>,
        per_task: resources::Resources,
        n: u32,
    ) {
        let accounts = &mut entry_of(&mut self.upstreams, upstream).accounts;
        add(&mut entry_of(accounts, account).held, per_task, n);
    }

    /// Ends an observation: updates the recent use, and forgets idle accounts and upstreams.
    pub fn finish(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.observed_at.replace(now).unwrap_or(now));
        let weight = 1.0 - (-elapsed.div_duration_f64(DECAY_TIME)).exp();
        for upstream in self.upstreams.values_mut() {
            let mut accounts = std::mem::take(&mut upstream.accounts);
            accounts.retain(|_, it| {
                it.recent += weight * (upstream.dominant_share(it) - it.recent);
                it.held != [0; 3] || it.recent >= FORGOTTEN_BELOW
            });
            upstream.accounts = accounts;
        }
        self.upstreams.retain(|_, it| it.offered != [0; 3] || !it.accounts.is_empty());
    }

    /// Use of an account as a share of the upstream: the weighted mean of its present and its recent dominant
    /// share.
    pub fn share(&self, upstream: &str, account: &Option<ids::AccountId>) -> f64 {
        let Some(upstream) = self.upstreams.get(upstream) else { return 0.0 };
        let Some(account) = upstream.accounts.get(account) else { return 0.0 };
        let present = upstream.dominant_share(account);
        PRESENT_WEIGHT * present + (1.0 - PRESENT_WEIGHT) * account.recent
    }

    /// Use of an account in steps within which uses are equal.
    pub fn level(&self, upstream: &str, account: &Option<ids::AccountId>) -> u32 {
        let n_accounts = self.upstreams.get(upstream).map_or(1, |it| it.accounts.len().max(1));
        (self.share(upstream, account) * n_accounts as f64 * LEVELS_PER_EQUAL_SHARE) as u32
    }

    /// Accelerators that an account holds.
    pub fn accelerators(&self, upstream: &str, account: &Option<ids::AccountId>) -> u64 {
        let upstream = self.upstreams.get(upstream);
        upstream.and_then(|it| it.accounts.get(account)).map_or(0, |it| it.held[2])
    }

    /// Number of accounts that are remembered, over all upstreams.
    pub fn n_accounts(&self) -> usize {
        self.upstreams.values().map(|it| it.accounts.len()).sum()
    }
}

/// Counts of the fair order since they were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FairCounts {
    /// Units that started ahead of older jobs of accounts with more use.
    pub n_preferred: u64,
    /// Units that started ahead of older jobs, because they were within a guarantee.
    pub n_owed: u64,
    /// Units that started ahead of older jobs, because their own jobs had begun.
    pub n_begun: u64,
    /// Units that started ahead of older jobs, because their own jobs had used up their slack.
    pub n_overdue: u64,
    /// Classes that have too little capacity now.
    pub n_short_classes: usize,
}

/// State of the fair order.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairShare {
    pub(crate) uses: AccountUses,
    /// Last time at which a unit of a class was left without a place.
    unplaced_at: BTreeMap<ids::ClassName, Duration>,
    counts: FairCounts,
    logged_at: Option<Duration>,
}

impl FairShare {
    /// Whether units of the class were left without a place in the last rounds.
    fn is_short(&self, class: &str) -> bool {
        self.unplaced_at.contains_key(class)
    }

    fn note_unplaced(&mut self, class: &ids::ClassName, now: Duration) {
        *entry_of(&mut self.unplaced_at, class) = now;
    }

    fn is_log_due(&mut self, now: Duration) -> bool {
        let is_due = self.logged_at.is_none_or(|it| now >= it + LOG_INTERVAL);
        if is_due {
            self.logged_at = Some(now);
        }
        is_due
    }
}

impl core::PoolCore {
    /// Returns the counts of the fair order since the last call; `None` while it is off.
    pub fn take_fair_counts(&mut self) -> Option<FairCounts> {
        let n_short_classes = self.fair_share.unplaced_at.len();
        let counts = FairCounts { n_short_classes, ..std::mem::take(&mut self.fair_share.counts) };
        self.scheduling.fair_share.then_some(counts)
    }

    /// Derives the use of all accounts from the runs. Nothing is carried over from an earlier scheduler.
    pub(crate) fn observe_uses(&mut self, now: Duration) {
        if !self.scheduling.fair_share {
            return;
        }
        self.fair_share.unplaced_at.retain(|_, it| now <= *it + SHORTAGE_MEMORY);
        let mut uses = std::mem::take(&mut self.fair_share.uses);
        uses.clear();
        for worker in self.workers.values().filter(|it| it.listed) {
            uses.offer(&worker.entry.upstream, worker.entry.capacity);
        }
        for (_, job) in self.active_jobs() {
            for step in &job.steps {
                let n_runs = step.tasks.iter().filter(|it| it.run.is_some()).count() as u32;
                if n_runs > 0 {
                    uses.hold(&job.upstream, &job.account, step.task_resources(), n_runs);
                }
            }
        }
        uses.finish(now);
        self.fair_share.uses = uses;
    }

    /// Counts the start of a task towards the use of its account at once.
    pub(crate) fn charge_start(&mut self, key: task_key::TaskKey) {
        if !self.scheduling.fair_share {
            return;
        }
        let Some(job) = self.jobs.get(&key.graph) else { return };
        let Some(step) = job.step(key) else { return };
        self.fair_share.uses.hold(&job.upstream, &job.account, step.task_resources(), 1);
    }

    /// Records that a unit found no capacity. In a pool that is less than half in use, it waits for a place
    /// near its data or for kept capacity, and is no sign of a shortage.
    pub(crate) fn note_unplaced(&mut self, unit: task_key::UnitKey, now: Duration) {
        if !self.scheduling.fair_share {
            return;
        }
        let Some(job) = self.jobs.get(&unit.graph) else { return };
        if !self.underused.contains(&job.upstream) {
            self.fair_share.note_unplaced(&job.class, now);
        }
    }

    /// Whether the jobs of the class of `job` are ordered by the use of their accounts now.
    pub(crate) fn is_fairly_ordered(&self, job: &job::JobRecord) -> bool {
        self.scheduling.fair_share && self.fair_share.is_short(&job.class)
    }

    /// Standing of a job in the fair order of its class; `step` is the first step that waits.
    pub(crate) fn standing(
        &self,
        job: &job::JobRecord,
        step: u32,
        now: Duration,
    ) -> unit_order::JobStanding {
        if self.is_owed(job) {
            return unit_order::JobStanding::Owed;
        }
        let waited = now.saturating_sub(job.admitted_at);
        let waited = waited.min(self.wall_time.saturating_sub(job.due_at(step as usize)));
        if waited >= self.slack(job) * OVERDUE_AFTER {
            return unit_order::JobStanding::Overdue;
        }
        let has_begun = |it: &job::StepRecord| {
            it.is_done() || it.tasks.iter().any(|it| it.done || it.run.is_some())
        };
        if job.steps.iter().any(has_begun) {
            return unit_order::JobStanding::Begun;
        }
        unit_order::JobStanding::ByUse
    }

    /// Counts the start of a unit of `job` that older jobs had to let pass, and logs it at most once a second.
    pub(crate) fn note_fair_start(
        &mut self,
        unit: task_key::UnitKey,
        passed: unit_order::PassedJob,
        now: Duration,
    ) {
        let counts = &mut self.fair_share.counts;
        match passed.by {
            unit_order::JobStanding::Owed => counts.n_owed += 1,
            unit_order::JobStanding::Overdue => counts.n_overdue += 1,
            unit_order::JobStanding::Begun => counts.n_begun += 1,
            unit_order::JobStanding::ByUse => counts.n_preferred += 1,
        }
        if !self.fair_share.is_log_due(now) {
            return;
        }
        let Some(job) = self.jobs.get(&unit.graph) else { return };
        let Some(other) = self.jobs.get(&passed.graph) else { return };
        let percent = |it: &job::JobRecord| {
            let share = self.fair_share.uses.share(&it.upstream, &it.account);
            (share * 100.0).round() as u32
        };
        let unplaced_at = self.fair_share.unplaced_at.get(&job.class).copied();
        tracing::info!(
            class = job.class,
            job = format_args!("{:016x}", unit.graph),
            account = job.account,
            use_percent = percent(job),
            waited_ms = now.saturating_sub(job.admitted_at).as_millis() as u64,
            standing = passed.by.name(),
            passed_job = format_args!("{:016x}", passed.graph),
            passed_account = other.account,
            passed_use_percent = percent(other),
            passed_waited_ms = now.saturating_sub(other.admitted_at).as_millis() as u64,
            short_ms_ago = unplaced_at.map(|it| now.saturating_sub(it).as_millis() as u64),
            "job starts ahead of an older job of its class"
        );
    }
}

fn add(sums: &mut [u64; 3], resources: resources::Resources, n: u32) {
    for (sum, amount) in sums.iter_mut().zip(pool_usage::by_resource(resources)) {
        *sum += u64::from(n) * amount;
    }
}

/// The entry of `key`, created if it is missing. The key is cloned only then, as most calls find an entry.
fn entry_of<'a, K: Clone + Ord, V: Default>(map: &'a mut BTreeMap<K, V>, key: &K) -> &'a mut V {
    if !map.contains_key(key) {
        map.insert(key.clone(), V::default());
    }
    map.get_mut(key).expect("the entry was created above")
}
