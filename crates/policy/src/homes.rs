//! Home halls and home blocks of guaranteed shapes, for a whole configuration.
//!
//! A pure function of the document: every instance, and the rule check of a draft, finds the same.

use std::cmp::Reverse;

use almondpass_schema::{ids, model};

use crate::hall_policy;
use crate::topology::HallTopology;

/// A guaranteed shape at home.
#[derive(Clone, Debug, PartialEq)]
pub struct Home {
    /// Whose it is.
    pub account: ids::AccountId,
    /// Its name.
    pub guarantee: ids::GuaranteeName,
    /// Where it is at home.
    pub hall: ids::HallName,
    /// Accelerators.
    pub accelerators: u32,
    /// How close they lie.
    pub adjacency: model::Adjacency,
    /// Its block in an empty hall, by index in the order of the hall.
    pub block: Vec<u32>,
}

/// Gives every guaranteed shape a home hall and a block there, disjoint from all others.
///
/// # Errors
/// Names the account, the guarantee and the hall of the first shape that has no place.
pub fn assign(config: &model::ConfigDocument) -> Result<Vec<Home>, hall_policy::PolicyFault> {
    let mut halls: Vec<HallPlan> =
        config.halls.iter().map(|it| HallPlan::new(it, &config.worker_kinds)).collect();
    let mut wanted: Vec<WantedShape<'_>> = config
        .accounts
        .iter()
        .flat_map(|account| account.guarantees.iter().map(|shape| WantedShape { account, shape }))
        .collect();
    // Those tied to a hall first: the others can go round them. Large and strict before small.
    wanted.sort_by_key(|it| {
        (it.shape.hall.is_none(), !strict(it.shape.adjacency), Reverse(it.shape.accelerators))
    });
    wanted.iter().map(|it| it.assign(&mut halls)).collect()
}

/// Whether a shape has to be one run.
fn strict(adjacency: model::Adjacency) -> bool {
    adjacency != model::Adjacency::Any
}

struct WantedShape<'a> {
    account: &'a model::ClientAccount,
    shape: &'a model::GuaranteedShape,
}

impl WantedShape<'_> {
    fn assign(&self, halls: &mut [HallPlan]) -> Result<Home, hall_policy::PolicyFault> {
        let shape = self.shape;
        let mut order: Vec<usize> = (0..halls.len())
            .filter(|it| shape.hall.as_ref().is_none_or(|name| *name == halls[*it].name))
            .collect();
        // The hall with the most left, so that guarantees spread over failure domains.
        order.sort_by_key(|it| (Reverse(halls[*it].left()), *it));
        for it in &order {
            let plan = &mut halls[*it];
            if let Some(block) = plan.take_block(shape) {
                return Ok(Home {
                    account: self.account.id.clone(),
                    guarantee: shape.name.clone(),
                    hall: plan.name.clone(),
                    accelerators: shape.accelerators,
                    adjacency: shape.adjacency,
                    block,
                });
            }
        }
        Err(self.unfit(halls, &order))
    }

    fn unfit(&self, halls: &[HallPlan], order: &[usize]) -> hall_policy::PolicyFault {
        let shape = self.shape;
        let first = order.first().map(|it| &halls[*it]);
        let hall = shape.hall.clone().or(first.map(|it| it.name.clone())).unwrap_or_default();
        let detail = match first {
            None => "no such hall".to_owned(),
            Some(_) if shape.accelerators == 0 => "a shape of 0 accelerators".to_owned(),
            Some(plan) => format!(
                "{} accelerators left beside the other guarantees, the longest run ({}) being {} of \
                 {} wanted",
                plan.left(),
                shape.adjacency,
                plan.longest(shape.adjacency),
                shape.accelerators
            ),
        };
        hall_policy::PolicyFault::GuaranteeUnfit {
            account: self.account.id.clone(),
            guarantee: shape.name.clone(),
            hall,
            detail,
        }
    }
}

/// A hall while homes are given out.
struct HallPlan {
    name: ids::HallName,
    topology: HallTopology,
    taken: Vec<bool>,
}

impl HallPlan {
    fn new(layout: &model::HallLayout, kinds: &[model::WorkerKind]) -> HallPlan {
        let topology = HallTopology::new(layout, kinds);
        let taken = vec![false; topology.worker_of.len()];
        HallPlan { name: layout.name.clone(), topology, taken }
    }

    fn left(&self) -> usize {
        self.taken.iter().filter(|it| !**it).count()
    }

    fn longest(&self, adjacency: model::Adjacency) -> u32 {
        let runs =
            crate::placement::free_runs(&self.topology, adjacency, |it| !self.taken[it as usize]);
        runs.into_iter().map(|it| it.len()).max().unwrap_or(0)
    }

    fn take_block(&mut self, shape: &model::GuaranteedShape) -> Option<Vec<u32>> {
        let free = |it: u32| !self.taken[it as usize];
        let blocks =
            crate::blocks::choices(&self.topology, shape.accelerators, shape.adjacency, free);
        let block = blocks.into_iter().min_by_key(|it| (it.slack, it.accelerators[0]))?;
        for it in &block.accelerators {
            self.taken[*it as usize] = true;
        }
        Some(block.accelerators)
    }
}
