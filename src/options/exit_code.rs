//! Exit codes of the operators' tool.

use std::process;

/// Exit code of the operators' tool. `docs/operators/exit-codes.md` lists the codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitCode {
    /// The command succeeded.
    Success = 0,
    /// The command failed for a reason that has no code of its own.
    Failed = 1,
    /// The arguments or an input file are wrong. Nothing was attempted.
    BadInput = 2,
    /// No node could be reached, or the store was unavailable.
    Unreachable = 3,
    /// Another publication was accepted first.
    Conflict = 4,
    /// The command succeeded in part: some nodes were not reached, or did not confirm the change in time.
    Partial = 5,
}

impl ExitCode {
    /// All exit codes in ascending order.
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
