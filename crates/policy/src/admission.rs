//! Admission: work that the hall could never run is rejected on arrival, with the reason.

use almondpass_schema::model;

use crate::catalog::ClassRule;
use crate::core::HallCore;
use crate::ledger::Usage;
use crate::placement::{self, EmptyHallRule, PlacementRequest, PlacementRule};
use crate::placement_rules::EmptyBlockRule;
use crate::reasons;
use crate::topology::NONE;
use crate::work;

/// Placement rule for non-reclaimable work in an empty hall: such work may not run in home blocks.
struct OutsideHomesRule<'a> {
    core: &'a HallCore,
    /// For each accelerator, whether it lies in a home block.
    in_home: Vec<bool>,
    /// For each worker, the number of its accelerators that lie in home blocks.
    n_in_homes: Vec<u32>,
    usage: Usage,
}

impl PlacementRule for OutsideHomesRule<'_> {
    fn allows_accelerator(&self, accelerator: u32) -> bool {
        !self.in_home[accelerator as usize] && self.core.topology.host(accelerator).rack != NONE
    }

    fn task_capacity(&self, worker: u32) -> u32 {
        let spec = &self.core.topology.workers[worker as usize];
        if spec.rack == NONE {
            return 0;
        }
        let kept_for_homes = Usage::share(spec, self.n_in_homes[worker as usize]);
        Usage::capacity(spec).minus(kept_for_homes).max_tasks(self.usage)
    }

    fn penalty(&self, _accelerator: u32) -> u32 {
        0
    }

    fn cpu_only_rank(&self, _worker: u32) -> i64 {
        0
    }
}

impl HallCore {
    /// Checks whether the hall could ever run the work; the error is the reason why it could not.
    pub(crate) fn check_admission(&self, item: &work::WorkItem) -> Result<(), model::WaitReason> {
        let Some(rule) = self.catalog.known_class(&item.class) else {
            let text = format!("expected a configured job class, found {}", item.class);
            return Err(reasons::plain(model::WaitCode::UnknownClass, text));
        };
        let Some(account) = self.catalog.known_account(&item.account) else {
            let text = format!("expected a configured client account, found {}", item.account);
            return Err(reasons::plain(model::WaitCode::UnknownAccount, text));
        };
        if !rule.upstream_in_hall {
            let text =
                format!("upstream {} of {} is not in {}", rule.upstream, rule.name, self.hall);
            return Err(reasons::plain(model::WaitCode::UpstreamUnavailable, text));
        }
        if item.tasks == 0 {
            return Err(never_fits("expected a gang of at least 1 task, found 0"));
        }
        self.check_gang_size(item, account)?;
        if item.guarantee.is_some() {
            return self.check_claim(item, account);
        }
        let request = PlacementRequest::of(item);
        let empty = EmptyHallRule { topology: &self.topology, usage: request.usage };
        if placement::best(&self.topology, &request, &empty).is_none() {
            return Err(self.unplaceable(item));
        }
        self.check_outside_homes(item, rule, account, &request)
    }

    /// Checks the accelerators of the whole gang against the account's limit and the hall's size.
    fn check_gang_size(
        &self,
        item: &work::WorkItem,
        account: u32,
    ) -> Result<(), model::WaitReason> {
        let n_accelerators = u64::from(item.tasks) * u64::from(item.demand.accelerators);
        match self.catalog.accounts[account as usize].max_accelerators {
            Some(limit) if u64::from(limit) < n_accelerators => Err(never_fits(format!(
                "needs {n_accelerators} accelerators, and the limit of {} is {limit}",
                item.account
            ))),
            _ if u64::from(self.topology.n_accelerators()) < n_accelerators => {
                Err(self.unplaceable(item))
            }
            _ => Ok(()),
        }
    }

    /// The reason why work does not fit into the empty hall.
    fn unplaceable(&self, item: &work::WorkItem) -> model::WaitReason {
        let demand = &item.demand;
        let tasks = reasons::count(item.tasks as usize, "task");
        never_fits(format!(
            "{tasks} of {} with adjacency {} can't be placed in {}, even when it is empty",
            reasons::demand(demand),
            item.adjacency,
            self.hall
        ))
    }

    /// Checks that the guarantee named by the work is at home in this hall and large enough.
    fn check_claim(&self, item: &work::WorkItem, account: u32) -> Result<(), model::WaitReason> {
        let name = item.guarantee.as_deref().unwrap_or_default();
        let mut homes_of_account = self.all_homes.iter().filter(|it| it.account == item.account);
        let Some(home) = homes_of_account.find(|it| it.guarantee == name) else {
            let text = format!("{} has no guarantee {name}", item.account);
            return Err(reasons::plain(model::WaitCode::NotPermitted, text));
        };
        if home.hall != self.hall {
            let text =
                format!("guarantee {name} is at home in {}, not in {}", home.hall, self.hall);
            return Err(never_fits(text));
        }
        if self.fits_some_home(item, account) {
            return Ok(());
        }
        Err(never_fits(format!(
            "{} of {} don't fit guarantee {name} of {} ({})",
            reasons::count(item.tasks as usize, "task"),
            reasons::count(item.demand.accelerators as usize, "accelerator"),
            reasons::count(home.accelerators as usize, "accelerator"),
            home.adjacency
        )))
    }

    /// Whether the work fits the canonical block of a guarantee of its account; if the work names a
    /// guarantee, only that one counts.
    fn fits_some_home(&self, item: &work::WorkItem, account: u32) -> bool {
        let request = PlacementRequest::of(item);
        self.homes.iter().any(|it| {
            let name_matches = item.guarantee.as_ref().is_none_or(|name| *name == it.guarantee);
            let block = &it.canonical;
            let rule =
                EmptyBlockRule { topology: &self.topology, block, request: &request, exclude: &[] };
            it.account == account
                && name_matches
                && 0 < request.total_accelerators()
                && request.total_accelerators() <= it.size
                && placement::best(&self.topology, &request, &rule).is_some()
        })
    }

    /// Checks that non-reclaimable work fits outside all home blocks, or else into a guarantee of its
    /// account.
    fn check_outside_homes(
        &self,
        item: &work::WorkItem,
        rule: &ClassRule,
        account: u32,
        request: &PlacementRequest,
    ) -> Result<(), model::WaitReason> {
        if !self.is_non_reclaimable(rule) || self.fits_some_home(item, account) {
            return Ok(());
        }
        let mut in_home = vec![false; self.topology.n_accelerators() as usize];
        let mut n_in_homes = vec![0; self.topology.workers.len()];
        for it in self.homes.iter().flat_map(|it| &it.canonical) {
            in_home[*it as usize] = true;
            n_in_homes[self.topology.worker_of[*it as usize] as usize] += 1;
        }
        let rule = OutsideHomesRule { core: self, in_home, n_in_homes, usage: request.usage };
        if placement::best(&self.topology, request, &rule).is_some() {
            return Ok(());
        }
        Err(never_fits(format!(
            "class {} can't be reclaimed in time, and beside the guarantees at home in {} there is \
             no block for it",
            item.class, self.hall
        )))
    }
}

fn never_fits(text: impl Into<String>) -> model::WaitReason {
    reasons::plain(model::WaitCode::NeverFits, text)
}
