//! Findings about a file: collected with their places and reported together.

use serde::Serialize;
use std::fmt;
use thiserror::Error;

/// A place in a file, counted from 1. Columns count characters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct TextPosition {
    /// Line.
    pub line: usize,
    /// Character within the line.
    pub column: usize,
}

impl TextPosition {
    /// The first character of a file.
    pub const START: Self = Self { line: 1, column: 1 };
}

/// What is wrong.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize)]
#[serde(tag = "kind", content = "detail", rename_all = "snake_case")]
pub enum Problem {
    /// The file can't be read.
    #[error("can't be read: {0}")]
    Unreadable(String),
    /// Not JSON with comments.
    #[error("syntax: {0}")]
    Syntax(String),
    /// A key that nothing reads.
    #[error("unknown key `{0}`")]
    UnknownKey(String),
    /// A key that stands twice in one object.
    #[error("key `{0}` stands twice")]
    DuplicateKey(String),
    /// A key that has no default and is not given.
    #[error("key `{0}` is missing")]
    MissingKey(String),
    /// A value of another type than the key takes.
    #[error("wrong type: {0}")]
    WrongType(String),
    /// A value outside of what the key takes.
    #[error("not allowed: {0}")]
    OutOfRange(String),
    /// A value that doesn't agree with another one.
    #[error("conflict: {0}")]
    Conflict(String),
}

/// One finding.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Name of the file as it was given.
    pub file: String,
    /// Where in the file.
    #[serde(rename = "place")]
    pub position: TextPosition,
    /// Path of the value, such as `$.callers.listen`.
    pub path: String,
    /// What is wrong.
    pub problem: Problem,
    /// What to do about it.
    pub suggestion: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let TextPosition { line, column } = self.position;
        write!(f, "{}:{line}:{column}: {}: ", self.file, self.path)?;
        write!(f, "{}; {}", self.problem, self.suggestion)
    }
}

/// All findings about one or several files, in the order of their places.
#[derive(Clone, Debug, Default, PartialEq, Eq, Error, Serialize)]
#[serde(transparent)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// `Ok(value)` if there is no finding, else all of them in the order of their places.
    ///
    /// # Errors
    /// The findings themselves, if there are any.
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
