//! Assigns a home hall and a home block to every guaranteed shape of a configuration.
//!
//! The assignment depends only on the configuration document, so all instances and the validation of
//! a draft get the same result.

use std::cmp::Reverse;

use almondpass_schema::{ids, model};

use crate::hall_policy;
use crate::topology::HallTopology;

/// A guaranteed shape and the place assigned to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Home {
    /// Account that the shape is guaranteed to.
    pub account: ids::AccountId,
    /// Name of the guarantee within the account.
    pub guarantee: ids::GuaranteeName,
    /// Hall that contains the block.
    pub hall: ids::HallName,
    /// Number of accelerators.
    pub accelerators: u32,
    /// How close together the accelerators have to be.
    pub adjacency: model::Adjacency,
    /// Accelerators of the block in an empty hall, as ascending indexes in the order of the hall.
    pub block: Vec<u32>,
}

/// Assigns to every guaranteed shape a hall and a block of accelerators that overlaps no other block.
///
/// # Errors
/// `GuaranteeUnfit` with the account, guarantee and hall of the first shape that does not fit.
pub fn assign(config: &model::ConfigDocument) -> Result<Vec<Home>, hall_policy::PolicyFault> {
    let mut halls: Vec<HallPlan> =
        config.halls.iter().map(|it| HallPlan::new(it, &config.worker_kinds)).collect();
    let mut shapes: Vec<WantedShape<'_>> = config
        .accounts
        .iter()
        .flat_map(|account| account.guarantees.iter().map(|shape| WantedShape { account, shape }))
        .collect();
    // Shapes tied to a hall come first, since the others can use another hall. Then contiguous shapes
    // come before scattered ones, and large shapes before small ones.
    shapes.sort_by_key(|it| {
        (
            it.shape.hall.is_none(),
            !is_contiguous(it.shape.adjacency),
            Reverse(it.shape.accelerators),
        )
    });
    shapes.iter().map(|it| it.assign(&mut halls)).collect()
}

fn is_contiguous(adjacency: model::Adjacency) -> bool {
    adjacency != model::Adjacency::Any
}

/// A guaranteed shape that needs a home, with its account.
struct WantedShape<'a> {
    account: &'a model::ClientAccount,
    shape: &'a model::GuaranteedShape,
}

impl WantedShape<'_> {
    fn assign(&self, halls: &mut [HallPlan]) -> Result<Home, hall_policy::PolicyFault> {
        let shape = self.shape;
        let mut candidate_halls: Vec<usize> = (0..halls.len())
            .filter(|it| shape.hall.as_ref().is_none_or(|name| *name == halls[*it].name))
            .collect();
        // Tries the hall with the most unassigned accelerators first, so that guarantees are spread over
        // failure domains.
        candidate_halls.sort_by_key(|it| (Reverse(halls[*it].n_unassigned()), *it));
        for hall in &candidate_halls {
            let plan = &mut halls[*hall];
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
        Err(self.unfit_fault(halls, &candidate_halls))
    }

    fn unfit_fault(
        &self,
        halls: &[HallPlan],
        candidate_halls: &[usize],
    ) -> hall_policy::PolicyFault {
        let shape = self.shape;
        let first = candidate_halls.first().map(|it| &halls[*it]);
        let hall = shape.hall.clone().or(first.map(|it| it.name.clone())).unwrap_or_default();
        let detail = match first {
            None => "no such hall".to_owned(),
            Some(_) if shape.accelerators == 0 => "a shape of 0 accelerators".to_owned(),
            Some(plan) => format!(
                "{} accelerators left beside the other guarantees, the longest run ({}) being {} of \
                 {} wanted",
                plan.n_unassigned(),
                shape.adjacency,
                plan.longest_free_run(shape.adjacency),
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

/// A hall and its accelerators that are already assigned to blocks.
struct HallPlan {
    name: ids::HallName,
    topology: HallTopology,
    assigned: Vec<bool>,
}

impl HallPlan {
    fn new(layout: &model::HallLayout, kinds: &[model::WorkerKind]) -> HallPlan {
        let topology = HallTopology::new(layout, kinds);
        let assigned = vec![false; topology.worker_of.len()];
        HallPlan { name: layout.name.clone(), topology, assigned }
    }

    fn n_unassigned(&self) -> usize {
        self.assigned.iter().filter(|it| !**it).count()
    }

    fn longest_free_run(&self, adjacency: model::Adjacency) -> u32 {
        let runs = crate::placement::free_runs(&self.topology, adjacency, |it| {
            !self.assigned[it as usize]
        });
        runs.into_iter().map(|it| it.len()).max().unwrap_or(0)
    }

    /// Marks the tightest free block for the shape as assigned; `None` if there is no free block.
    fn take_block(&mut self, shape: &model::GuaranteedShape) -> Option<Vec<u32>> {
        let is_free = |it: u32| !self.assigned[it as usize];
        let blocks =
            crate::blocks::choices(&self.topology, shape.accelerators, shape.adjacency, is_free);
        let block = blocks.into_iter().min_by_key(|it| (it.slack, it.accelerators[0]))?;
        for it in &block.accelerators {
            self.assigned[*it as usize] = true;
        }
        Some(block.accelerators)
    }
}
