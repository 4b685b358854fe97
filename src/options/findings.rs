//! Findings about a checked file, with their positions.

use serde::Serialize;
use std::fmt;
use thiserror::Error;

/// A position in a text file. Lines and columns start at 1; columns count characters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct TextPosition {
    /// Line number.
    pub line: usize,
    /// Character number within the line.
    pub column: usize,
}

impl TextPosition {
    /// Position of the first character of a file.
    pub const START: Self = Self { line: 1, column: 1 };
}

/// What is wrong with a file or a value.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize)]
#[serde(tag = "kind", content = "detail", rename_all = "snake_case")]
pub enum Problem {
    /// The file can't be read, for example because it does not exist.
    #[error("can't be read: {0}")]
    Unreadable(String),
    /// The text is not valid JSON with comments.
    #[error("syntax: {0}")]
    Syntax(String),
    /// The schema has no such key.
    #[error("unknown key `{0}`")]
    UnknownKey(String),
    /// The key occurs more than once in the same object.
    #[error("duplicate key `{0}`")]
    DuplicateKey(String),
    /// A required key is missing.
    #[error("key `{0}` is missing")]
    MissingKey(String),
    /// The value has another type than the schema demands.
    #[error("wrong type: {0}")]
    WrongType(String),
    /// The type is right, but the schema does not allow the value.
    #[error("not allowed: {0}")]
    OutOfRange(String),
    /// The value contradicts another one.
    #[error("conflict: {0}")]
    Conflict(String),
}

/// One fault in a file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Name of the file as it was given.
    pub file: String,
    /// Where the fault is in the file.
    #[serde(rename = "place")]
    pub position: TextPosition,
    /// Path of the value in the JSON document, such as `$.services[0].name`.
    pub path: String,
    /// What is wrong with the value.
    pub problem: Problem,
    /// How to fix it.
    pub suggestion: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let TextPosition { line, column } = self.position;
        write!(f, "{}:{line}:{column}: {}: ", self.file, self.path)?;
        write!(f, "{}; {}", self.problem, self.suggestion)
    }
}

/// Findings about one or more files.
#[derive(Clone, Debug, Default, PartialEq, Eq, Error, Serialize)]
#[serde(transparent)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Returns `value` if there are no findings.
    ///
    /// # Errors
    /// The findings, sorted by position, if there are any.
    pub fn into_result<T>(mut self, value: T) -> Result<T, Self> {
        if self.0.is_empty() {
            return Ok(value);
        }
        self.0.sort_by_key(|finding| finding.position);
        Err(self)
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}
