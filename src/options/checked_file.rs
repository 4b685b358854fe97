//! Checks a file against its JSON schema and its cross-value rules, reporting everything at once.

use crate::{
    options::{
        configuration_rules::check_configuration_rules,
        findings::{Findings, Problem},
        json_document::JsonDocument,
        node_rules::check_node_rules,
        node_settings::NodeSettings,
        schema_check::find_schema_errors,
    },
    state::configuration::Configuration,
};
use serde::{Serialize, de::DeserializeOwned};
use std::fmt;

/// Schema of the node settings.
pub const NODE_SETTINGS_SCHEMA: &str = include_str!("../../schema/node-settings.json");
/// Schema of the published configuration.
pub const CONFIGURATION_SCHEMA: &str = include_str!("../../schema/configuration.json");

/// Key at the top of a published configuration that no settings file has.
const CONFIGURATION_KEY: &str = "services";

/// Which document a file holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DocumentKind {
    /// Settings of one node.
    NodeSettings,
    /// A published configuration.
    Configuration,
}

impl fmt::Display for DocumentKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NodeSettings => "node settings",
            Self::Configuration => "configuration",
        })
    }
}

/// A rule between values that the schema can't state was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrokenRule {
    /// JSON pointer to the value to change.
    pub pointer: String,
    /// What is wrong.
    pub problem: Problem,
    /// What to do about it.
    pub suggestion: String,
}

impl BrokenRule {
    /// Two values that don't agree.
    #[must_use]
    pub fn conflict(pointer: impl Into<String>, message: String, suggestion: &str) -> Self {
        Self {
            pointer: pointer.into(),
            problem: Problem::Conflict(message),
            suggestion: suggestion.to_owned(),
        }
    }
}

/// Checks the text of a node's settings file. `file_name` only labels findings.
///
/// # Errors
/// Every finding, with its place.
pub fn check_node_settings(file_name: &str, text: &str) -> Result<NodeSettings, Findings> {
    check_file(file_name, text, NODE_SETTINGS_SCHEMA, check_node_rules)
}

/// Checks the text of a published configuration. `file_name` only labels findings.
///
/// # Errors
/// Every finding, with its place.
pub fn check_configuration(file_name: &str, text: &str) -> Result<Configuration, Findings> {
    check_file(
        file_name,
        text,
        CONFIGURATION_SCHEMA,
        check_configuration_rules,
    )
}

/// Checks a configuration that comes from elsewhere than a file, such as a record of the log.
///
/// Places are those in its indented JSON form. `source` only labels findings.
///
/// # Errors
/// Every finding.
pub fn validate_configuration(source: &str, configuration: &Configuration) -> Result<(), Findings> {
    let text = serde_json::to_string_pretty(configuration).unwrap_or_default();
    check_configuration(source, &text).map(|_| ())
}

/// Checks a file of either kind and tells which it is.
///
/// # Errors
/// Every finding, with its place.
pub fn check_document(file_name: &str, text: &str) -> Result<DocumentKind, Findings> {
    let document = JsonDocument::parse(file_name, text).map_err(|one| Findings(vec![one]))?;
    if document.value().get(CONFIGURATION_KEY).is_some() {
        check_configuration(file_name, text)?;
        return Ok(DocumentKind::Configuration);
    }
    check_node_settings(file_name, text)?;
    Ok(DocumentKind::NodeSettings)
}

/// Checks a text against a schema, then against rules between values.
///
/// The rules run only on what fits the schema: their findings would else repeat the schema's.
fn check_file<T: DeserializeOwned>(
    file_name: &str,
    text: &str,
    schema: &str,
    check_rules: fn(&T) -> Vec<BrokenRule>,
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
