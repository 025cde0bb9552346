//! The platform's interfaces: one small trait each, and the clients that speak to them.

pub mod clock;
pub mod instances;
pub mod keys;
pub mod objects;
pub mod remote;
pub mod table;
pub mod worker;
