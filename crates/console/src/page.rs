//! Markup of the pages: pure functions of what they show.

pub(crate) mod changes;
pub(crate) mod config;
pub(crate) mod conflict;
pub(crate) mod draft;
pub(crate) mod hall;
mod hall_svg;
pub(crate) mod histograms;
pub(crate) mod history;
mod input;
pub(crate) mod layout;
pub(crate) mod message;
pub(crate) mod overview;
pub(crate) mod palette;
pub(crate) mod queues;
pub(crate) mod sections;
pub(crate) mod sign_in;
