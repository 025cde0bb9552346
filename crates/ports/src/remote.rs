//! Clients of the platform's interfaces, which make their calls over a [`link::PeerLink`].

use std::time::Duration;

use almondpass_peer::{error, link};
use almondpass_schema::{ids, model};

use crate::instances;
use crate::objects;
use crate::table;
use crate::worker;

/// A service at one address, and the deadline of each call to it.
#[derive(Clone, Debug)]
pub struct RemoteService<L> {
    link: L,
    address: ids::PeerAddress,
    deadline: Duration,
}

/// Client of the table service.
#[derive(Clone, Debug)]
pub struct RemoteTable<L>(pub RemoteService<L>);

/// Client of the object store.
#[derive(Clone, Debug)]
pub struct RemoteObjects<L>(pub RemoteService<L>);

/// Client of the instance list.
#[derive(Clone, Debug)]
pub struct RemoteInstances<L>(pub RemoteService<L>);

/// Client of the control interfaces of all workers; each call names the worker's address.
#[derive(Clone, Debug)]
pub struct RemoteWorkers<L> {
    link: L,
    deadline: Duration,
}

impl<L: link::PeerLink> RemoteService<L> {
    /// Creates a client of the service at `address`; each call fails after `deadline`.
    pub fn new(link: L, address: ids::PeerAddress, deadline: Duration) -> RemoteService<L> {
        RemoteService { link, address, deadline }
    }

    async fn call<C: almondpass_peer::call::PeerCall>(
        &self,
        call: C,
    ) -> Result<C::Reply, error::CallError> {
        self.link.call(&self.address, call, self.deadline).await
    }
}

impl<L: link::PeerLink> RemoteWorkers<L> {
    /// Creates a client that calls workers over `link`; each call fails after `deadline`.
    pub fn new(link: L, deadline: Duration) -> RemoteWorkers<L> {
        RemoteWorkers { link, deadline }
    }
}

impl<L: link::PeerLink> table::TableService for RemoteTable<L> {
    async fn transact(
        &self,
        transaction: model::TableTransaction,
    ) -> Result<model::TableOutcome, error::CallError> {
        self.0.call(transaction).await
    }

    async fn get(&self, get: model::TableGet) -> Result<model::TableRows, error::CallError> {
        self.0.call(get).await
    }

    async fn scan(&self, scan: model::TableScan) -> Result<model::TableRows, error::CallError> {
        self.0.call(scan).await
    }
}

impl<L: link::PeerLink> objects::ObjectStore for RemoteObjects<L> {
    async fn put(
        &self,
        put: model::ObjectPut,
    ) -> Result<model::ObjectPutOutcome, error::CallError> {
        self.0.call(put).await
    }

    async fn get(&self, get: model::ObjectGet) -> Result<model::ObjectFound, error::CallError> {
        self.0.call(get).await
    }

    async fn list(&self, list: model::ObjectList) -> Result<model::ObjectKeys, error::CallError> {
        self.0.call(list).await
    }
}

impl<L: link::PeerLink> instances::InstanceList for RemoteInstances<L> {
    async fn list(
        &self,
        query: model::InstanceQuery,
    ) -> Result<model::InstanceListing, error::CallError> {
        self.0.call(query).await
    }
}

impl<L: link::PeerLink> worker::WorkerControl for RemoteWorkers<L> {
    async fn reserve(
        &self,
        worker: &ids::PeerAddress,
        reserve: model::LeaseReserve,
    ) -> Result<model::LeaseReserved, error::CallError> {
        self.link.call(worker, reserve, self.deadline).await
    }

    async fn start(
        &self,
        worker: &ids::PeerAddress,
        start: model::TaskStart,
    ) -> Result<model::TaskStarted, error::CallError> {
        self.link.call(worker, start, self.deadline).await
    }

    async fn renew(
        &self,
        worker: &ids::PeerAddress,
        renew: model::LeaseRenew,
    ) -> Result<model::LeaseListing, error::CallError> {
        self.link.call(worker, renew, self.deadline).await
    }

    async fn signal(
        &self,
        worker: &ids::PeerAddress,
        signal: model::TaskSignal,
    ) -> Result<model::Ack, error::CallError> {
        self.link.call(worker, signal, self.deadline).await
    }

    async fn release(
        &self,
        worker: &ids::PeerAddress,
        release: model::LeaseRelease,
    ) -> Result<model::Ack, error::CallError> {
        self.link.call(worker, release, self.deadline).await
    }

    async fn leases(
        &self,
        worker: &ids::PeerAddress,
    ) -> Result<model::LeaseListing, error::CallError> {
        self.link.call(worker, model::LeaseList {}, self.deadline).await
    }
}
