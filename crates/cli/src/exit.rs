//! Exit statuses, so that a script can tell outcomes apart without reading text.

/// Exit status of the program.
pub type ExitStatus = u8;

/// It was done.
pub const DONE: ExitStatus = 0;
/// Something on this machine failed, such as writing the output.
pub const LOCAL: ExitStatus = 1;
/// The command line, a setting or a local file could not be used; nothing was sent.
pub const USAGE: ExitStatus = 2;
/// It was refused and did not run, or nothing was changed; `not_run` is proof.
pub const REFUSED: ExitStatus = 3;
/// It ran and failed, or was cancelled.
pub const FAILED: ExitStatus = 4;
/// Nobody can tell whether it ran; do not repeat what must run at most once.
pub const UNKNOWN: ExitStatus = 5;
/// No server could be reached; nothing was sent.
pub const UNREACHABLE: ExitStatus = 6;
