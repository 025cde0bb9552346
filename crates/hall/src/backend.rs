//! What a hall scheduler is built upon, as one bundle of types instead of five parameters.

use std::marker::PhantomData;

use almondpass_peer::link;
use almondpass_policy::hall_policy;
use almondpass_ports::{objects, table, worker};

/// The policy and the interfaces of one deployment.
pub trait HallBackend: Send + Sync + 'static {
    /// Decides.
    type Policy: hall_policy::HallPolicy;
    /// Keeps rows.
    type Table: table::TableService;
    /// Keeps intents while the table is down.
    type Objects: objects::ObjectStore;
    /// Reaches the workers.
    type Workers: worker::WorkerControl;
    /// Reaches the other instances.
    type Link: link::PeerLink;
}

/// A bundle of the given types.
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

/// The clients themselves.
pub struct HallPorts<B: HallBackend> {
    /// Table service.
    pub table: B::Table,
    /// Object store.
    pub objects: B::Objects,
    /// Workers.
    pub workers: B::Workers,
    /// Other instances.
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
