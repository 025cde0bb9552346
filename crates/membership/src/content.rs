//! Interface for the parts of an instance that add data to its beats and read the beats of others.

use almondpass_schema::{ids, model};

/// Source of the beat fields that membership does not maintain, and receiver of other instances' beats.
pub trait BeatContent: Clone + Send + Sync + 'static {
    /// Configuration version in force on this instance.
    fn config_version(&self) -> ids::ConfigVersion;

    /// Status of each hall that this instance schedules.
    fn halls(&self) -> Vec<model::HallBeat>;

    /// Called for each beat received from another instance; must not block.
    fn on_beat(&self, beat: &model::PeerBeat);
}
