//! A fake network for calls between instances in one process, with delay, loss and partitions.

use std::collections::BTreeMap;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use almondpass_peer::call::PeerCall;
use almondpass_peer::{codec, error, link};
use almondpass_schema::ids;
use bytes::Bytes;
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::time;

use crate::fault;
use crate::state;

/// Dispatches calls to registered services by address. Clones share the network.
#[derive(Clone, Default)]
pub struct FakeNet {
    state: Arc<Mutex<NetState>>,
}

/// Sends the calls of one address through a [`FakeNet`].
#[derive(Clone)]
pub struct FakeLink {
    net: FakeNet,
    from: ids::PeerAddress,
}

#[derive(Default)]
struct NetState {
    services: BTreeMap<ids::PeerAddress, RegisteredService>,
    paths: BTreeMap<PathKey, fault::FaultPlan>,
    processes: BTreeMap<ids::PeerAddress, fault::FaultPlan>,
    latency: Duration,
    calls: u64,
    bytes: u64,
}

/// Sender and receiver of messages that travel one way.
type PathKey = (ids::PeerAddress, ids::PeerAddress);

type ServeFuture = Pin<Box<dyn Future<Output = Option<link::ServedReply>> + Send>>;

#[derive(Clone)]
struct RegisteredService {
    serve: Arc<dyn Fn(&'static str, Bytes) -> ServeFuture + Send + Sync>,
    /// Runtime of the process that the service belongs to.
    runtime: Handle,
    /// Becomes true when the process dies, which breaks calls in flight.
    died: Arc<watch::Sender<bool>>,
}

impl FakeNet {
    /// A network without services, faults or delay.
    pub fn new() -> FakeNet {
        FakeNet::default()
    }

    /// Sets the one-way delay of every message.
    pub fn set_latency(&self, latency: Duration) {
        state::lock(&self.state).latency = latency;
    }

    /// Lets `service` answer at `address`, on the runtime that calls this function. If each process has a
    /// runtime of its own, a service is paused or killed together with its process.
    pub fn register<S: link::PeerService>(&self, address: &str, service: S) {
        let serve = move |path: &'static str, body: Bytes| -> ServeFuture {
            let service = service.clone();
            Box::pin(async move { service.serve(path, body).await })
        };
        let died = Arc::new(watch::Sender::new(false));
        let runtime = Handle::current();
        let service = RegisteredService { serve: Arc::new(serve), runtime, died };
        state::lock(&self.state).services.insert(address.to_owned(), service);
    }

    /// Kills the process at `address`: calls in flight break, and new connections are refused.
    pub fn crash(&self, address: &str) {
        if let Some(service) = state::lock(&self.state).services.remove(address) {
            service.died.send_replace(true);
        }
    }

    /// A link for the calls that `from` makes.
    pub fn link(&self, from: &str) -> FakeLink {
        FakeLink { net: self.clone(), from: from.to_owned() }
    }

    /// Faults of the messages from `from` to `to`: requests of calls that `from` makes, and answers to calls
    /// that `to` makes. [`fault::Condition::Dropping`] loses messages in this direction only.
    pub fn path_faults(&self, from: &str, to: &str) -> fault::FaultPlan {
        let key = (from.to_owned(), to.to_owned());
        state::lock(&self.state).paths.entry(key).or_default().clone()
    }

    /// Faults of all messages that the process at `address` sends or receives.
    /// [`fault::Condition::Paused`] pauses the process.
    pub fn process_faults(&self, address: &str) -> fault::FaultPlan {
        state::lock(&self.state).processes.entry(address.to_owned()).or_default().clone()
    }

    /// Sets the condition of all paths between the two groups, in both directions: `Dropping` partitions the
    /// groups, `Up` heals the partition.
    pub fn partition(&self, here: &[&str], there: &[&str], condition: fault::Condition) {
        for a in here {
            for b in there {
                self.path_faults(a, b).set(condition);
                self.path_faults(b, a).set(condition);
            }
        }
    }

    /// Number of calls made so far, calls with faults included.
    pub fn calls(&self) -> u64 {
        state::lock(&self.state).calls
    }

    /// Bytes of all message bodies sent so far; headers are not counted.
    pub fn bytes(&self) -> u64 {
        state::lock(&self.state).bytes
    }

    /// Counts the bytes of a message and returns the delay of the message.
    fn record_message(&self, bytes: usize) -> Duration {
        let mut state = state::lock(&self.state);
        state.bytes += bytes as u64;
        state.latency
    }

    fn service(&self, address: &str) -> Option<RegisteredService> {
        state::lock(&self.state).services.get(address).cloned()
    }
}

impl FakeLink {
    /// Address whose calls this link sends.
    pub fn from(&self) -> &ids::PeerAddress {
        &self.from
    }

    async fn exchange<C: PeerCall>(
        &self,
        peer: &ids::PeerAddress,
        call: C,
    ) -> Result<C::Reply, error::CallFault> {
        state::lock(&self.net.state).calls += 1;
        let body = codec::encode(&call).map_err(malformed)?;
        let sender_fault = self.net.process_faults(&self.from).condition_fault().await;
        let path_fault = self.net.path_faults(&self.from, peer).next_fault(C::PATH).await;
        let receiver_fault = self.net.process_faults(peer).next_fault(C::PATH).await;
        time::sleep(self.net.record_message(body.len())).await;
        let net = self.net.clone();
        let address = peer.clone();
        let serve = async move { net.serve(&address, C::PATH, body).await };
        let reply = match sender_fault.or(path_fault).or(receiver_fault) {
            None => serve.await?,
            Some(fault) => apply_fault(fault, serve).await?,
        };
        let return_fault = self.net.path_faults(peer, &self.from).condition_fault().await;
        let caller_fault = self.net.process_faults(&self.from).condition_fault().await;
        time::sleep(self.net.record_message(reply.len())).await;
        match return_fault.or(caller_fault) {
            None => codec::decode(&reply).map_err(malformed),
            Some(fault::Fault::Slow(delay)) => {
                time::sleep(delay / 2).await;
                codec::decode(&reply).map_err(malformed)
            }
            Some(_) => {
                time::sleep(fault::LOST_CALL_TIMEOUT).await;
                Err(no_answer())
            }
        }
    }
}

impl link::PeerLink for FakeLink {
    async fn call<C: PeerCall>(
        &self,
        peer: &ids::PeerAddress,
        call: C,
        deadline: Duration,
    ) -> Result<C::Reply, error::CallError> {
        let exchange = time::timeout(deadline, self.exchange(peer, call)).await;
        let reply = exchange.unwrap_or(Err(error::CallFault::TimedOut(deadline)));
        reply.map_err(|fault| fault::call_error(peer, C::PATH, fault))
    }
}

impl FakeNet {
    /// Lets the service at `address` answer in a separate task, which continues if the caller stops waiting.
    async fn serve(
        &self,
        address: &str,
        path: &'static str,
        body: Bytes,
    ) -> Result<Bytes, error::CallFault> {
        let Some(service) = self.service(address) else {
            return Err(error::CallFault::NotSent("a refused one".to_owned()));
        };
        let mut died = service.died.subscribe();
        let serve = (service.serve)(path, body);
        let served = service.runtime.spawn(async move {
            tokio::select! {
                biased;
                _ = died.wait_for(|it| *it) => Some(Err(error::ServeFault::Silent)),
                reply = serve => reply,
            }
        });
        match served.await {
            Ok(Some(Ok(reply))) => Ok(reply),
            Ok(Some(Err(error::ServeFault::Unreadable(detail)))) => Err(refused(400, detail)),
            Ok(Some(Err(error::ServeFault::Unavailable(detail)))) => Err(refused(503, detail)),
            Ok(None) => Err(refused(404, format!("no such path: {path}"))),
            Ok(Some(Err(error::ServeFault::Silent))) | Err(_) => Err(no_answer()),
        }
    }
}

async fn apply_fault(
    fault: fault::Fault,
    serve: impl Future<Output = Result<Bytes, error::CallFault>> + Send + 'static,
) -> Result<Bytes, error::CallFault> {
    match fault {
        fault::Fault::Refused => Err(error::CallFault::NotSent("a refused one".to_owned())),
        fault::Fault::Unavailable => Err(refused(503, "the service is unavailable".to_owned())),
        fault::Fault::Rejected => Err(refused(413, "the call is too large".to_owned())),
        fault::Fault::RequestLost => {
            time::sleep(fault::LOST_CALL_TIMEOUT).await;
            Err(no_answer())
        }
        fault::Fault::CallerPanics => fault::panic_caller(),
        fault::Fault::AnswerLost => {
            let _ = serve.await;
            Err(no_answer())
        }
        fault::Fault::DelayedEffect(delay) => {
            tokio::spawn(async move {
                time::sleep(delay).await;
                serve.await
            });
            Err(no_answer())
        }
        fault::Fault::Slow(delay) => {
            let served = tokio::spawn(async move {
                time::sleep(delay / 2).await;
                serve.await
            });
            let reply = served.await.map_err(|_| no_answer())??;
            time::sleep(delay / 2).await;
            Ok(reply)
        }
    }
}

fn refused(status: u16, detail: String) -> error::CallFault {
    error::CallFault::Refused { status, detail }
}

fn malformed(error: impl std::fmt::Display) -> error::CallFault {
    error::CallFault::Malformed(error.to_string())
}

fn no_answer() -> error::CallFault {
    error::CallFault::NoAnswer("a broken connection".to_owned())
}
