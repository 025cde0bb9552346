//! Guaranteed shapes of a hall and their home blocks.

use almondpass_schema::{ids, model, time};

use crate::homes;

/// A guaranteed shape at home in this hall.
#[derive(Clone, Debug)]
pub(crate) struct HomeBlock {
    pub(crate) account: u32,
    pub(crate) account_id: ids::AccountId,
    pub(crate) guarantee: ids::GuaranteeName,
    pub(crate) size: u32,
    pub(crate) adjacency: model::Adjacency,
    /// Its block in an empty hall.
    pub(crate) canonical: Vec<u32>,
    /// Its accelerators, ascending; empty while it is lost.
    pub(crate) block: Vec<u32>,
    /// Work that claims it, holding or reserving its accelerators.
    pub(crate) claims: Vec<u32>,
    /// Whether work has named it since this scheduler began.
    pub(crate) claimed_by_name: bool,
    /// When it was last moved, or sought to be, to make room for others.
    pub(crate) relocation_tried_at: Option<time::WallTime>,
    /// Whether operators were last told that it has a block.
    pub(crate) last_reported_block: Option<bool>,
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
            last_reported_block: None,
        }
    }

    /// Whether it has a block.
    pub(crate) fn has_block(&self) -> bool {
        !self.block.is_empty()
    }

    /// `account/name`, as pictures show it.
    pub(crate) fn label(&self) -> String {
        format!("{}/{}", self.account_id, self.guarantee)
    }
}
