//! State of the guaranteed shapes that are at home in a hall.

use almondpass_schema::{ids, model, time};

use crate::homes;

/// A guaranteed shape of an account and the home block that is kept reclaimable for it.
#[derive(Clone, Debug)]
pub(crate) struct HomeBlock {
    pub(crate) account: u32,
    pub(crate) account_id: ids::AccountId,
    pub(crate) guarantee: ids::GuaranteeName,
    /// Number of accelerators guaranteed.
    pub(crate) size: u32,
    pub(crate) adjacency: model::Adjacency,
    /// The block assigned to the shape in an empty hall; see `homes::assign`.
    pub(crate) canonical: Vec<u32>,
    /// Accelerators of the home block, ascending; empty while the guarantee is lost.
    pub(crate) block: Vec<u32>,
    /// Items that claim the guarantee and hold or reserve accelerators of the block.
    pub(crate) claims: Vec<u32>,
    /// Whether an item has named this guarantee since the scheduler started.
    pub(crate) claimed_by_name: bool,
    /// When the scheduler last relocated the home, or tried to, to free accelerators for other items.
    pub(crate) relocation_tried_at: Option<time::WallTime>,
    /// Whether the last report to operators said that the guarantee has a block; `None` before the
    /// first report.
    pub(crate) last_reported_has_block: Option<bool>,
}

impl HomeBlock {
    pub(crate) fn new(home: &homes::Home, account: u32) -> HomeBlock {
        HomeBlock {
            account,
            account_id: home.account.clone(),
            guarantee: home.guarantee.clone(),
            size: home.accelerators,
            adjacency: home.adjacency,
            canonical: home.block.clone(),
            block: Vec::new(),
            claims: Vec::new(),
            claimed_by_name: false,
            relocation_tried_at: None,
            last_reported_has_block: None,
        }
    }

    /// Whether a block is assigned; without one the guarantee is lost.
    pub(crate) fn has_block(&self) -> bool {
        !self.block.is_empty()
    }

    /// `account/name`, as shown in the picture of the hall and in wait reasons.
    pub(crate) fn label(&self) -> String {
        format!("{}/{}", self.account_id, self.guarantee)
    }
}
