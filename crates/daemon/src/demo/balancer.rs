//! The platform's balancer as the demo plays it: sends callers to instances that say they are ready.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use almondpass_schema::ids;
use bytes::Bytes;
use http_body_util::Full;
use tokio::time;

use crate::demo::http_client;

/// Between two looks at the readiness of an instance.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// For an answer about readiness.
const PROBE_LIMIT: Duration = Duration::from_millis(500);

/// An instance that callers can be sent to.
#[derive(Clone, Debug)]
pub struct BalancedInstance {
    /// Its id.
    pub id: ids::InstanceId,
    /// Where callers speak to it.
    pub callers: SocketAddr,
    /// Where operators speak to it.
    pub operators: SocketAddr,
}

/// Chooses instances in turn; clones share it.
#[derive(Clone, Debug, Default)]
pub struct CallerBalancer {
    state: Arc<Mutex<BalancerState>>,
}

#[derive(Debug, Default)]
struct BalancerState {
    instances: Vec<(BalancedInstance, bool)>,
    turn: usize,
}

impl CallerBalancer {
    /// Adds an instance, not ready until it says so.
    pub fn add(&self, instance: BalancedInstance) {
        self.lock().instances.push((instance, false));
    }

    /// Forgets an instance.
    pub fn remove(&self, id: &str) {
        self.lock().instances.retain(|(it, _)| it.id != id);
    }

    /// The next ready instance.
    pub fn choose(&self) -> Option<BalancedInstance> {
        let mut state = self.lock();
        state.turn = state.turn.wrapping_add(1);
        let ready = state.instances.iter().filter(|(_, ready)| *ready).collect::<Vec<_>>();
        let chosen = ready.get(state.turn.checked_rem(ready.len())?)?;
        Some(chosen.0.clone())
    }

    /// All instances that were not removed.
    pub fn instances(&self) -> Vec<BalancedInstance> {
        self.lock().instances.iter().map(|(it, _)| it.clone()).collect()
    }

    /// Whether all instances are ready.
    pub fn all_ready(&self) -> bool {
        self.lock().instances.iter().all(|(_, ready)| *ready)
    }

    /// Looks at the readiness of every instance until it is dropped.
    pub async fn probe(self) {
        loop {
            for instance in self.instances() {
                let ready = is_ready(instance.operators).await;
                let mut state = self.lock();
                let entry = state.instances.iter_mut().find(|(it, _)| it.id == instance.id);
                if let Some(entry) = entry {
                    entry.1 = ready;
                }
            }
            time::sleep(PROBE_INTERVAL).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, BalancerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn is_ready(operators: SocketAddr) -> bool {
    let mut request = http::Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = http::Uri::from_static("/readyz");
    let answer = http_client::exchange(operators, request, PROBE_LIMIT).await;
    answer.is_ok_and(|it| it.status().is_success())
}
