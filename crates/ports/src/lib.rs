//! The platform's interfaces, one small trait each, and the clients that call them.

pub mod boot_clock;
pub mod circuit;
pub mod clock;
pub mod group;
pub mod instances;
pub mod keys;
pub mod objects;
pub mod remote;
pub mod retry;
pub mod row_feed;
pub mod settle;
pub mod store;
pub mod store_objects;
pub mod store_table;
pub mod table;
pub mod worker;
pub mod write_cap;

mod coalesce;
mod commit;
mod guard;
