//! Which types an instance is made of.

use almondpass_config::keeper;
use almondpass_console::console;
use almondpass_hall::{backend, service};
use almondpass_membership::{directory, service as member};
use almondpass_peer::client;
use almondpass_policy::core;
use almondpass_ports::{remote, store_objects, store_table};

use crate::beats;
use crate::local_halls;

/// Carries calls.
pub type Link = client::PeerClient;
/// The table service, with deadlines, retries, a circuit and our cap on writes.
pub type Table = store_table::StoreTable<remote::RemoteTable<Link>>;
/// The object store, likewise.
pub type Objects = store_objects::StoreObjects<remote::RemoteObjects<Link>>;
/// The workers.
pub type Workers = remote::RemoteWorkers<Link>;
/// What hall schedulers are built upon.
pub type Backend = backend::BackendOf<core::HallCore, Table, Objects, Workers, Link>;
/// Seats for all halls.
pub type Halls = service::HallService<Backend>;
/// The configuration in force.
pub type Keeper = keeper::ConfigKeeper<Table, Link>;
/// Who is live.
pub type Members = member::MemberService<Link, beats::InstanceBeats>;
/// Finds hall schedulers.
pub type Directory = directory::HallDirectory<Link, Table, local_halls::OwnHalls>;
/// The operators' interface.
pub type Console = console::OperatorConsole<Table, Link, Directory>;
