//! Checks a file against its JSON schema and against rules between values, and reports all findings at once.

use crate::{
    options::{
        configuration_rules::check_configuration_rules,
        findings::{Finding, Findings, Problem, TextPosition},
        json_document::JsonDocument,
        schema_check::find_schema_errors,
    },
    state::configuration::Configuration,
};
use serde::de::DeserializeOwned;
use std::{fs, path::Path};

/// JSON schema of the published configuration.
pub const CONFIGURATION_SCHEMA: &str = include_str!("../../schema/configuration.json");

/// Reads a file that will be checked.
///
/// # Errors
/// One finding with the reason why the file can't be read.
pub fn read_file(path: &Path) -> Result<String, Findings> {
    fs::read_to_string(path).map_err(|error| {
        Findings(vec![Finding {
            file: path.display().to_string(),
            position: TextPosition::START,
            path: "$".to_owned(),
            problem: Problem::Unreadable(error.to_string()),
            suggestion: "check the file's name and access rights".to_owned(),
        }])
    })
}

/// A violation of a rule that the schema can't express, such as one between two values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RuleViolation {
    /// JSON pointer to the value to change.
    pub pointer: String,
    /// What is wrong with the value.
    pub problem: Problem,
    /// How to fix it.
    pub suggestion: String,
}

impl RuleViolation {
    /// Builds the violation for two values that contradict each other.
    #[must_use]
    pub fn conflict(pointer: impl Into<String>, message: String, suggestion: &str) -> Self {
        Self {
            pointer: pointer.into(),
            problem: Problem::Conflict(message),
            suggestion: suggestion.to_owned(),
        }
    }
}

/// Parses and checks the text of a configuration. `file_name` is used only in findings.
///
/// # Errors
/// All findings, with their positions in the text.
pub fn check_configuration(file_name: &str, text: &str) -> Result<Configuration, Findings> {
    check_file(
        file_name,
        text,
        CONFIGURATION_SCHEMA,
        check_configuration_rules,
    )
}

/// Checks a configuration that does not come from a file, such as one in a request of an operators' tool.
///
/// Positions refer to its indented JSON form. `source` is used only in findings, as the file name.
///
/// # Errors
/// All findings.
pub fn validate_configuration(source: &str, configuration: &Configuration) -> Result<(), Findings> {
    let text = serde_json::to_string_pretty(configuration).unwrap_or_default();
    check_configuration(source, &text).map(|_| ())
}

/// Checks a text against a schema, then against rules between values.
///
/// The rules are checked only if the text matches the schema; otherwise they would report the same faults again.
fn check_file<T: DeserializeOwned>(
    file_name: &str,
    text: &str,
    schema: &str,
    check_rules: fn(&T) -> Vec<RuleViolation>,
) -> Result<T, Findings> {
    let document = JsonDocument::parse(file_name, text).map_err(|one| Findings(vec![one]))?;
    let mut findings = document.find_duplicate_keys();
    findings.extend(find_schema_errors(&document, schema));
    Findings(findings).into_result(())?;
    let typed = T::deserialize(document.value()).map_err(|error| {
        let problem = Problem::WrongType(error.to_string());
        let suggestion = "compare the file with the schema".to_owned();
        Findings(vec![document.finding_at("", problem, suggestion)])
    })?;
    let findings = check_rules(&typed)
        .into_iter()
        .map(|rule| document.finding_at(&rule.pointer, rule.problem, rule.suggestion))
        .collect();
    Findings(findings).into_result(typed)
}
