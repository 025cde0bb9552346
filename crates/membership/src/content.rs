//! What the rest of an instance puts into its beats and takes out of others'.

use almondpass_schema::{ids, model};

/// Content of beats that membership itself does not know.
pub trait BeatContent: Clone + Send + Sync + 'static {
    /// Number of the configuration in force here.
    fn config_version(&self) -> ids::ConfigVersion;

    /// Halls that this instance schedules.
    fn halls(&self) -> Vec<model::HallBeat>;

    /// A beat of another instance arrived; must not block.
    fn on_beat(&self, beat: &model::PeerBeat);
}
