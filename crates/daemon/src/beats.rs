//! What this instance says in its beats, and what it makes of others'.

use std::fmt;
use std::sync::{Arc, OnceLock};

use almondpass_membership::content;
use almondpass_schema::{ids, model};

use crate::wiring;

/// Fills and reads the beats of one instance; clones share it.
#[derive(Clone)]
pub struct InstanceBeats {
    keeper: wiring::Keeper,
    /// Set once: the seats need membership, which needs this.
    halls: Arc<OnceLock<wiring::Halls>>,
}

impl InstanceBeats {
    /// Beats without halls.
    pub fn new(keeper: wiring::Keeper) -> InstanceBeats {
        InstanceBeats { keeper, halls: Arc::default() }
    }

    /// Speaks of these halls from now on.
    pub fn connect(&self, halls: wiring::Halls) {
        let _ = self.halls.set(halls);
    }
}

impl fmt::Debug for InstanceBeats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("InstanceBeats").finish_non_exhaustive()
    }
}

impl content::BeatContent for InstanceBeats {
    fn config_version(&self) -> ids::ConfigVersion {
        self.keeper.active().version
    }

    fn halls(&self) -> Vec<model::HallBeat> {
        self.halls.get().map(|it| it.summaries()).unwrap_or_default()
    }

    fn on_beat(&self, beat: &model::PeerBeat) {
        self.keeper.heard(beat.config_version, &beat.address);
        if let Some(halls) = self.halls.get() {
            halls.observe_epochs(&beat.halls);
        }
    }
}
