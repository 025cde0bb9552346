//! Looks at the instances and halls while the demo runs.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use almondpass_schema::{ids, model};
use tokio::time::{self, Instant};

use crate::demo::balancer;
use crate::demo::evidence;
use crate::demo::operators;

/// Between two rounds.
const INTERVAL: Duration = Duration::from_millis(250);

/// What was seen; clones share it.
#[derive(Clone, Debug, Default)]
pub struct SiteWatcher {
    seen: Arc<Mutex<SeenSamples>>,
}

/// Samples so far.
#[derive(Clone, Debug, Default)]
pub struct SeenSamples {
    /// Configurations in force.
    pub versions: Vec<evidence::VersionSample>,
    /// Halls.
    pub fragmentation: Vec<evidence::FragmentationSample>,
}

impl SiteWatcher {
    /// Looks at every instance and every hall until it is dropped.
    pub async fn run(self, balancer: balancer::CallerBalancer, halls: Vec<ids::HallName>) {
        loop {
            for instance in balancer.instances() {
                self.look_at_instance(&instance).await;
            }
            if let Some(instance) = balancer.choose() {
                for hall in &halls {
                    self.look_at_hall(&instance, hall).await;
                }
            }
            time::sleep(INTERVAL).await;
        }
    }

    /// The samples so far.
    pub fn samples(&self) -> SeenSamples {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// An instance that does not answer is about to leave, or to be taken out of the balancer.
    async fn look_at_instance(&self, instance: &balancer::BalancedInstance) {
        let Ok(found) = operators::config(instance.operators).await else { return };
        let sample = evidence::VersionSample {
            instance: instance.id.clone(),
            version: found.version,
            at: Instant::now(),
        };
        self.seen.lock().unwrap_or_else(PoisonError::into_inner).versions.push(sample);
    }

    /// A hall whose scheduler just changes does not answer; the next round will tell.
    async fn look_at_hall(&self, instance: &balancer::BalancedInstance, hall: &ids::HallName) {
        let Ok(picture) = operators::hall(instance.operators, hall).await else { return };
        let sample = evidence::FragmentationSample {
            hall: hall.clone(),
            share: picture.fragmentation,
            used: used_share(&picture),
        };
        self.seen.lock().unwrap_or_else(PoisonError::into_inner).fragmentation.push(sample);
    }
}

fn used_share(picture: &model::HallPicture) -> f64 {
    let accelerators = picture.workers.iter().flat_map(|it| &it.accelerators);
    let total = accelerators.clone().count().max(1);
    let is_used = |it: &&model::AcceleratorView| {
        matches!(it.state, model::AcceleratorState::Job | model::AcceleratorState::Request)
    };
    accelerators.filter(is_used).count() as f64 / total as f64
}
