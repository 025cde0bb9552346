//! How an instance is told to end.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time;

/// What was asked of an instance; each is reached once, never back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownStage {
    /// Nothing.
    Running,
    /// To leave: serve on until the balancer has moved on, then end without cutting anything.
    Leaving,
    /// The same without waiting for the balancer.
    Hurrying,
}

/// Asks an instance to end; clones share it.
#[derive(Clone, Debug)]
pub struct ShutdownSwitch {
    stage: watch::Sender<ShutdownStage>,
}

impl ShutdownSwitch {
    /// A switch that asks nothing yet.
    pub fn new() -> ShutdownSwitch {
        ShutdownSwitch { stage: watch::Sender::new(ShutdownStage::Running) }
    }

    /// Asks for the next stage: to leave, and then to hurry.
    pub fn press(&self) {
        self.stage.send_modify(|stage| {
            *stage = match stage {
                ShutdownStage::Running => ShutdownStage::Leaving,
                ShutdownStage::Leaving | ShutdownStage::Hurrying => ShutdownStage::Hurrying,
            }
        });
    }

    /// Waits until a stage was asked for.
    pub async fn asked(&self, stage: ShutdownStage) {
        let mut stages = self.stage.subscribe();
        let _ = stages.wait_for(|it| stage <= *it).await;
    }

    /// Waits for the balancer to move on, or for the call to hurry.
    pub async fn wait_for_balancer(&self, wait: Duration) {
        let _ = time::timeout(wait, self.asked(ShutdownStage::Hurrying)).await;
    }
}

impl Default for ShutdownSwitch {
    fn default() -> ShutdownSwitch {
        ShutdownSwitch::new()
    }
}
