//! Command `camphorturn-soak`: injects random faults into real camphorturn processes.

use std::process::ExitCode;

fn main() -> ExitCode {
    camphorturn_soak::run_tool()
}
