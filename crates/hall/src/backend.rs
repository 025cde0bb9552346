//! The policy and the client types that a hall scheduler uses, bundled into one type parameter.

use std::marker::PhantomData;

use almondpass_peer::link;
use almondpass_policy::hall_policy;
use almondpass_ports::{objects, table, worker};

/// The policy and the client types of one deployment. Tests put fakes in their place.
pub trait HallBackend: Send + Sync + 'static {
    /// Decides which work starts and stops, and on which workers.
    type Policy: hall_policy::HallPolicy;
    /// Stores job rows, intents and the row of the tenure.
    type Table: table::TableService;
    /// Stores intents while the table service is unavailable.
    type Objects: objects::ObjectStore;
    /// Calls the workers: leases, task starts and releases.
    type Workers: worker::WorkerControl;
    /// Calls the other instances.
    type Link: link::PeerLink;
}

/// A [`HallBackend`] made of the given policy, table, object store, workers and link. Never constructed.
pub struct BackendOf<P, T, O, W, L>(PhantomData<TypeBundle<P, T, O, W, L>>);

type TypeBundle<P, T, O, W, L> = fn() -> (P, T, O, W, L);

impl<P, T, O, W, L> HallBackend for BackendOf<P, T, O, W, L>
where
    P: hall_policy::HallPolicy,
    T: table::TableService,
    O: objects::ObjectStore,
    W: worker::WorkerControl,
    L: link::PeerLink,
{
    type Policy = P;
    type Table = T;
    type Objects = O;
    type Workers = W;
    type Link = L;
}

/// The clients of one instance; each of its hall schedulers has a clone.
pub struct HallPorts<B: HallBackend> {
    /// Client of the table service.
    pub table: B::Table,
    /// Client of the object store.
    pub objects: B::Objects,
    /// Client of the workers.
    pub workers: B::Workers,
    /// Client of the other instances.
    pub link: B::Link,
}

impl<B: HallBackend> Clone for HallPorts<B> {
    fn clone(&self) -> HallPorts<B> {
        HallPorts {
            table: self.table.clone(),
            objects: self.objects.clone(),
            workers: self.workers.clone(),
            link: self.link.clone(),
        }
    }
}
