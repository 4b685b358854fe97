//! How a process ended, as its parent sees it.

use std::process;

/// Exit codes of the tool. `docs/operators/exit-codes.md` lists them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitCode {
    /// Done.
    Success = 0,
    /// Tried and failed, for a reason without a code of its own.
    Failed = 1,
    /// The arguments or a file are wrong; nothing was tried.
    BadInput = 2,
    /// No node could be reached, or the store could not.
    Unreachable = 3,
    /// Another publication came first.
    Conflict = 4,
    /// Done, but not seen everywhere in the time given.
    Partial = 5,
}

impl ExitCode {
    /// All of them, in the order of their numbers.
    pub const ALL: [Self; 6] = [
        Self::Success,
        Self::Failed,
        Self::BadInput,
        Self::Unreachable,
        Self::Conflict,
        Self::Partial,
    ];
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code as u8)
    }
}
