//! Peer services that dispatch calls to the fakes, served over [`crate::net::FakeNet`] or sockets.

use almondpass_peer::call::PeerCall;
use almondpass_peer::{dispatch, error, link};
use almondpass_ports::instances::InstanceList;
use almondpass_ports::objects::ObjectStore;
use almondpass_ports::table::TableService;
use almondpass_ports::worker::WorkerControl;
use almondpass_schema::{ids, model};
use bytes::Bytes;

use crate::fleet;
use crate::instance;
use crate::object;
use crate::table;

/// Serves the table, the object store and the instance list at one address.
#[derive(Clone, Debug, Default)]
pub struct PlatformService {
    /// Answers transactions, reads and scans of rows.
    pub table: table::TableFake,
    /// Answers puts, gets and lists of objects.
    pub objects: object::ObjectFake,
    /// Answers queries for instances.
    pub instances: instance::InstanceFake,
}

/// Serves the control interface of one worker.
#[derive(Clone, Debug)]
pub struct WorkerService {
    /// Fleet that the worker belongs to.
    pub fleet: fleet::WorkerFleet,
    /// Address of the worker within the fleet.
    pub address: ids::PeerAddress,
}

impl link::PeerService for PlatformService {
    async fn serve(&self, path: &str, body: Bytes) -> Option<link::ServedReply> {
        match path {
            model::TableTransaction::PATH => {
                answer_call(&body, async |call| self.table.transact(call).await).await
            }
            model::TableGet::PATH => {
                answer_call(&body, async |call| self.table.get(call).await).await
            }
            model::TableScan::PATH => {
                answer_call(&body, async |call| self.table.scan(call).await).await
            }
            model::ObjectPut::PATH => {
                answer_call(&body, async |call| self.objects.put(call).await).await
            }
            model::ObjectGet::PATH => {
                answer_call(&body, async |call| self.objects.get(call).await).await
            }
            model::ObjectList::PATH => {
                answer_call(&body, async |call| self.objects.list(call).await).await
            }
            model::InstanceQuery::PATH => {
                answer_call(&body, async |query| self.instances.list(query).await).await
            }
            _ => None,
        }
    }
}

impl link::PeerService for WorkerService {
    async fn serve(&self, path: &str, body: Bytes) -> Option<link::ServedReply> {
        let fleet = &self.fleet;
        let address = &self.address;
        match path {
            model::LeaseReserve::PATH => {
                answer_call(&body, async |call| fleet.reserve(address, call).await).await
            }
            model::TaskStart::PATH => {
                answer_call(&body, async |call| fleet.start(address, call).await).await
            }
            model::LeaseRenew::PATH => {
                answer_call(&body, async |call| fleet.renew(address, call).await).await
            }
            model::TaskSignal::PATH => {
                answer_call(&body, async |call| fleet.signal(address, call).await).await
            }
            model::LeaseRelease::PATH => {
                answer_call(&body, async |call| fleet.release(address, call).await).await
            }
            model::LeaseList::PATH => {
                answer_call(&body, async |_: model::LeaseList| fleet.leases(address).await).await
            }
            _ => None,
        }
    }
}

/// Answers a call with `handler`, which calls a fake; a fault of the fake is passed on to the caller.
async fn answer_call<C, H>(body: &[u8], handler: H) -> Option<link::ServedReply>
where
    C: PeerCall,
    H: AsyncFnOnce(C) -> Result<C::Reply, error::CallError>,
{
    dispatch::try_answer(body, async |call| handler(call).await.map_err(to_serve_fault)).await
}

fn to_serve_fault(error: error::CallError) -> error::ServeFault {
    if error.fault.had_no_effect() {
        return error::ServeFault::Unavailable(error.fault.to_string());
    }
    error::ServeFault::Silent
}
