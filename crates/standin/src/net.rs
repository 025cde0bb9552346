//! Calls between instances within one process, with scripted delay, loss and partitions.

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

/// Dispatches calls to registered services by address; clones share it.
#[derive(Clone, Default)]
pub struct FakeNet {
    state: Arc<Mutex<NetState>>,
}

/// One address's way into a [`FakeNet`].
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
    /// Where its process runs.
    runtime: Handle,
    /// Turns true when the process dies: calls in flight then break off.
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

    /// Lets `service` answer at `address`, on the runtime that this is called from: a process that
    /// has one of its own is paused or killed with it.
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

    /// Kills the process at `address`: calls in flight break off, new connections are refused.
    pub fn crash(&self, address: &str) {
        if let Some(service) = state::lock(&self.state).services.remove(address) {
            service.died.send_replace(true);
        }
    }

    /// The way of calls from `from`.
    pub fn link(&self, from: &str) -> FakeLink {
        FakeLink { net: self.clone(), from: from.to_owned() }
    }

    /// Faults of messages that travel from `from` to `to`: requests one way, answers the other.
    /// One-way loss is [`fault::Condition::Dropping`] here.
    pub fn path_faults(&self, from: &str, to: &str) -> fault::FaultPlan {
        let key = (from.to_owned(), to.to_owned());
        state::lock(&self.state).paths.entry(key).or_default().clone()
    }

    /// Faults of all messages that the process at `address` sends or receives;
    /// [`fault::Condition::Paused`] is a paused process.
    pub fn process_faults(&self, address: &str) -> fault::FaultPlan {
        state::lock(&self.state).processes.entry(address.to_owned()).or_default().clone()
    }

    /// Loses every message between the two groups, or lets them through again.
    pub fn partition(&self, here: &[&str], there: &[&str], condition: fault::Condition) {
        for a in here {
            for b in there {
                self.path_faults(a, b).set(condition);
                self.path_faults(b, a).set(condition);
            }
        }
    }

    /// Calls that were sent so far.
    pub fn calls(&self) -> u64 {
        state::lock(&self.state).calls
    }

    /// Bytes of the messages that were sent so far, without heads.
    pub fn bytes(&self) -> u64 {
        state::lock(&self.state).bytes
    }

    fn send(&self, bytes: usize) -> Duration {
        let mut state = state::lock(&self.state);
        state.bytes += bytes as u64;
        state.latency
    }

    fn service(&self, address: &str) -> Option<RegisteredService> {
        state::lock(&self.state).services.get(address).cloned()
    }
}

impl FakeLink {
    /// Its own address.
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
        let sender = self.net.process_faults(&self.from).condition_fault().await;
        let fault = self.net.path_faults(&self.from, peer).next_fault(C::PATH).await;
        let receiver = self.net.process_faults(peer).next_fault(C::PATH).await;
        time::sleep(self.net.send(body.len())).await;
        let net = self.net.clone();
        let address = peer.clone();
        let serve = async move { net.serve(&address, C::PATH, body).await };
        let reply = match sender.or(fault).or(receiver) {
            None => serve.await?,
            Some(fault) => struck(fault, serve).await?,
        };
        let lost = self.net.path_faults(peer, &self.from).condition_fault().await;
        let late = self.net.process_faults(&self.from).condition_fault().await;
        time::sleep(self.net.send(reply.len())).await;
        match lost.or(late) {
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
    /// Lets the service at `address` answer in a task of its own, which a caller that gives up
    /// does not end.
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

async fn struck(
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
