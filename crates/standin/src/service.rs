//! The fakes as services that answer calls, for [`crate::net::FakeNet`] and for sockets.

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

/// The table, the object store and the instance list behind one address.
#[derive(Clone, Debug, Default)]
pub struct PlatformService {
    /// The table.
    pub table: table::TableFake,
    /// The object store.
    pub objects: object::ObjectFake,
    /// The instance list.
    pub instances: instance::InstanceFake,
}

/// The control interface of one worker.
#[derive(Clone, Debug)]
pub struct WorkerService {
    /// All workers.
    pub fleet: fleet::WorkerFleet,
    /// Address under which the fleet knows this one.
    pub address: ids::PeerAddress,
}

impl link::PeerService for PlatformService {
    async fn serve(&self, path: &str, body: Bytes) -> Option<link::ServedReply> {
        match path {
            model::TableTransaction::PATH => {
                relay(&body, async |call| self.table.transact(call).await).await
            }
            model::TableGet::PATH => relay(&body, async |call| self.table.get(call).await).await,
            model::TableScan::PATH => relay(&body, async |call| self.table.scan(call).await).await,
            model::ObjectPut::PATH => relay(&body, async |call| self.objects.put(call).await).await,
            model::ObjectGet::PATH => relay(&body, async |call| self.objects.get(call).await).await,
            model::ObjectList::PATH => {
                relay(&body, async |call| self.objects.list(call).await).await
            }
            model::InstanceQuery::PATH => {
                relay(&body, async |query| self.instances.list(query).await).await
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
                relay(&body, async |call| fleet.reserve(address, call).await).await
            }
            model::TaskStart::PATH => {
                relay(&body, async |call| fleet.start(address, call).await).await
            }
            model::LeaseRenew::PATH => {
                relay(&body, async |call| fleet.renew(address, call).await).await
            }
            model::TaskSignal::PATH => {
                relay(&body, async |call| fleet.signal(address, call).await).await
            }
            model::LeaseRelease::PATH => {
                relay(&body, async |call| fleet.release(address, call).await).await
            }
            model::LeaseList::PATH => {
                relay(&body, async |_: model::LeaseList| fleet.leases(address).await).await
            }
            _ => None,
        }
    }
}

/// Answers a call by a fake, passing its faults on to the caller.
async fn relay<C, H>(body: &[u8], handler: H) -> Option<link::ServedReply>
where
    C: PeerCall,
    H: AsyncFnOnce(C) -> Result<C::Reply, error::CallError>,
{
    dispatch::try_answer(body, async |call| handler(call).await.map_err(served_fault)).await
}

fn served_fault(error: error::CallError) -> error::ServeFault {
    if error.fault.had_no_effect() {
        return error::ServeFault::Unavailable(error.fault.to_string());
    }
    error::ServeFault::Silent
}
