//! Times that bound the handling of a caller's call.

use tokio::time::Instant;

/// When a call has to be answered, and until when its caller may repeat it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallTimes {
    /// Time by which the call is answered.
    pub deadline: Instant,
    /// Time at which the caller gives up, also if it repeats the call. Not before `deadline`.
    pub caller_gives_up: Instant,
}

impl CallTimes {
    /// Times of a call whose caller gives up at the deadline.
    pub fn until(deadline: Instant) -> CallTimes {
        CallTimes { deadline, caller_gives_up: deadline }
    }
}
