//! `camphorturn check`: reports all findings about configuration files.

use crate::options::{
    checked_file::{check_configuration, read_file},
    exit_code::ExitCode,
    findings::{Finding, Findings},
};
use bpaf::Bpaf;
use serde::Serialize;
use std::{
    io::{self, Write},
    path::{Path, PathBuf},
};

/// Arguments of `check`.
#[derive(Clone, Debug, Bpaf)]
pub struct CheckArguments {
    /// Print one JSON object instead of text
    pub json: bool,
    /// Configurations to publish, JSON with comments
    #[bpaf(positional("FILE"), some("name at least one file"))]
    pub files: Vec<PathBuf>,
}

/// What `check --json` prints.
#[derive(Debug, Serialize)]
struct CheckReport {
    files: Vec<FileReport>,
    findings: Vec<Finding>,
}

#[derive(Debug, Serialize)]
struct FileReport {
    file: String,
    /// Whether the file can be published.
    usable: bool,
}

/// Checks all files and writes the findings about them to `out`. The exit code is `BadInput` if there are any.
///
/// # Errors
/// Only if `out` can't be written to.
pub fn run_check(arguments: &CheckArguments, out: &mut dyn Write) -> io::Result<ExitCode> {
    let report = check_files(&arguments.files);
    if arguments.json {
        serde_json::to_writer_pretty(&mut *out, &report)?;
        writeln!(out)?;
    } else {
        write_text(&report, out)?;
    }
    Ok(if report.findings.is_empty() {
        ExitCode::Success
    } else {
        ExitCode::BadInput
    })
}

fn check_files(files: &[PathBuf]) -> CheckReport {
    let mut report = CheckReport {
        files: Vec::new(),
        findings: Vec::new(),
    };
    for path in files {
        let checked = check_path(path);
        report.files.push(FileReport {
            file: path.display().to_string(),
            usable: checked.is_ok(),
        });
        if let Err(Findings(findings)) = checked {
            report.findings.extend(findings);
        }
    }
    report
}

fn check_path(path: &Path) -> Result<(), Findings> {
    let text = read_file(path)?;
    check_configuration(&path.display().to_string(), &text).map(drop)
}

fn write_text(report: &CheckReport, out: &mut dyn Write) -> io::Result<()> {
    for finding in &report.findings {
        writeln!(out, "{finding}")?;
    }
    for report in report.files.iter().filter(|report| report.usable) {
        writeln!(out, "{}: no findings", report.file)?;
    }
    match report.findings.len() {
        0 => Ok(()),
        1 => writeln!(out, "1 finding"),
        count => writeln!(out, "{count} findings"),
    }
}
