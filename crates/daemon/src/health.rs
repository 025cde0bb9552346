//! Whether the balancer should send callers here.

use tokio::sync::watch;

/// Stages of an instance's life; each is reached once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HealthStage {
    /// Not ready: no configuration yet.
    Starting,
    /// Takes callers.
    Ready,
    /// Shuts down: serves whoever still comes.
    Draining,
}

/// Tells the stage; clones share it.
#[derive(Clone, Debug)]
pub struct HealthState {
    stage: watch::Sender<HealthStage>,
}

impl HealthState {
    /// Starts as not ready.
    pub fn new() -> HealthState {
        HealthState { stage: watch::Sender::new(HealthStage::Starting) }
    }

    /// Goes on to a later stage; never back.
    pub fn reach(&self, stage: HealthStage) {
        self.stage.send_if_modified(|current| {
            let later = *current < stage;
            if later {
                *current = stage;
            }
            later
        });
    }

    /// The stage.
    pub fn stage(&self) -> HealthStage {
        *self.stage.borrow()
    }

    /// Waits until a stage is reached.
    pub async fn reached(&self, stage: HealthStage) {
        let mut stages = self.stage.subscribe();
        let _ = stages.wait_for(|it| stage <= *it).await;
    }
}

impl Default for HealthState {
    fn default() -> HealthState {
        HealthState::new()
    }
}
