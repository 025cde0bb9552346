//! Reasons for which the scheduler stops a run.

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// Its job has failed or was cancelled.
    EndedJob,
    /// Another run of the task has ended successfully.
    OtherRunDone,
    /// Urgent work needs its resources.
    ClearedForUrgent,
    /// It is to start again on another worker.
    Moved,
    /// Its worker leaves before it would end.
    LeavingWorker,
    /// It makes no progress.
    Stalled,
    /// Its gang lacks a member.
    BrokenGang,
    /// It is unknown whether its start took effect.
    UnclearStart,
}

impl StopReason {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            StopReason::EndedJob => "ended job",
            StopReason::OtherRunDone => "other run done",
            StopReason::ClearedForUrgent => "cleared for urgent work",
            StopReason::Moved => "moved",
            StopReason::LeavingWorker => "leaving worker",
            StopReason::Stalled => "stalled",
            StopReason::BrokenGang => "broken gang",
            StopReason::UnclearStart => "unclear start",
        }
    }
}
