//! Work that could never run is refused on arrival, with the reason.

use almondpass_schema::model;

use crate::catalog::ClassRule;
use crate::core::HallCore;
use crate::ledger::Usage;
use crate::placement::{self, EmptyHallRule, PlacementRequest, PlacementRule};
use crate::placement_rules::EmptyBlockRule;
use crate::reasons;
use crate::topology::NONE;
use crate::work;

/// An empty hall without the home blocks of others, for work that may not run in these.
struct OutsideRule<'a> {
    core: &'a HallCore,
    homes: Vec<bool>,
    n_homes: Vec<u32>,
    usage: Usage,
}

impl PlacementRule for OutsideRule<'_> {
    fn allows_accelerator(&self, accelerator: u32) -> bool {
        !self.homes[accelerator as usize] && self.core.topology.host(accelerator).rack != NONE
    }

    fn task_capacity(&self, worker: u32) -> u32 {
        let spec = &self.core.topology.workers[worker as usize];
        if spec.rack == NONE {
            return 0;
        }
        let kept = Usage::share(spec, self.n_homes[worker as usize]);
        Usage::capacity(spec).minus(kept).max_tasks(self.usage)
    }

    fn penalty(&self, _accelerator: u32) -> u32 {
        0
    }

    fn cpu_only_rank(&self, _worker: u32) -> i64 {
        0
    }
}

impl HallCore {
    /// Whether the hall could ever run the work.
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
            return Err(never("expected a gang of at least 1 task, found 0"));
        }
        self.check_limit(item, account)?;
        if item.guarantee.is_some() {
            return self.check_claim(item, account);
        }
        let request = PlacementRequest::of(item);
        let empty = EmptyHallRule { topology: &self.topology, usage: request.usage };
        if placement::best(&self.topology, &request, &empty).is_none() {
            return Err(self.never_fits(item));
        }
        self.check_outside(item, rule, account, &request)
    }

    fn check_limit(&self, item: &work::WorkItem, account: u32) -> Result<(), model::WaitReason> {
        let width = u64::from(item.tasks) * u64::from(item.demand.accelerators);
        match self.catalog.accounts[account as usize].max_accelerators {
            Some(limit) if u64::from(limit) < width => Err(never(format!(
                "needs {width} accelerators, and the limit of {} is {limit}",
                item.account
            ))),
            _ if u64::from(self.topology.n_accelerators()) < width => Err(self.never_fits(item)),
            _ => Ok(()),
        }
    }

    fn never_fits(&self, item: &work::WorkItem) -> model::WaitReason {
        let demand = &item.demand;
        let tasks = reasons::count(item.tasks as usize, "task");
        never(format!(
            "{tasks} of {} with adjacency {} can't be placed in {}, even when it is empty",
            reasons::demand(demand),
            item.adjacency,
            self.hall
        ))
    }

    /// A named guarantee has to be at home here and large enough.
    fn check_claim(&self, item: &work::WorkItem, account: u32) -> Result<(), model::WaitReason> {
        let name = item.guarantee.as_deref().unwrap_or_default();
        let mut mine = self.all_homes.iter().filter(|it| it.account == item.account);
        let Some(home) = mine.find(|it| it.guarantee == name) else {
            let text = format!("{} has no guarantee {name}", item.account);
            return Err(reasons::plain(model::WaitCode::NotPermitted, text));
        };
        if home.hall != self.hall {
            let text =
                format!("guarantee {name} is at home in {}, not in {}", home.hall, self.hall);
            return Err(never(text));
        }
        if self.fits_some_home(item, account) {
            return Ok(());
        }
        Err(never(format!(
            "{} of {} don't fit guarantee {name} of {} ({})",
            reasons::count(item.tasks as usize, "task"),
            reasons::count(item.demand.accelerators as usize, "accelerator"),
            reasons::count(home.accelerators as usize, "accelerator"),
            home.adjacency
        )))
    }

    /// Whether the work fits a guarantee of its account as it is in an empty hall.
    fn fits_some_home(&self, item: &work::WorkItem, account: u32) -> bool {
        let request = PlacementRequest::of(item);
        self.homes.iter().any(|it| {
            let named = item.guarantee.as_ref().is_none_or(|name| *name == it.guarantee);
            let block = &it.canonical;
            let rule =
                EmptyBlockRule { topology: &self.topology, block, request: &request, exclude: &[] };
            it.account == account
                && named
                && 0 < request.total_accelerators()
                && request.total_accelerators() <= it.size
                && placement::best(&self.topology, &request, &rule).is_some()
        })
    }

    /// Work that can't be reclaimed needs a place beside all home blocks, or a guarantee.
    fn check_outside(
        &self,
        item: &work::WorkItem,
        rule: &ClassRule,
        account: u32,
        request: &PlacementRequest,
    ) -> Result<(), model::WaitReason> {
        if !self.is_non_reclaimable(rule) || self.fits_some_home(item, account) {
            return Ok(());
        }
        let mut homes = vec![false; self.topology.n_accelerators() as usize];
        let mut n_homes = vec![0; self.topology.workers.len()];
        for it in self.homes.iter().flat_map(|it| &it.canonical) {
            homes[*it as usize] = true;
            n_homes[self.topology.worker_of[*it as usize] as usize] += 1;
        }
        let rule = OutsideRule { core: self, homes, n_homes, usage: request.usage };
        if placement::best(&self.topology, request, &rule).is_some() {
            return Ok(());
        }
        Err(never(format!(
            "class {} can't be reclaimed in time, and beside the guarantees at home in {} there is \
             no block for it",
            item.class, self.hall
        )))
    }
}

fn never(text: impl Into<String>) -> model::WaitReason {
    reasons::plain(model::WaitCode::NeverFits, text)
}
