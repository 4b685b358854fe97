//! Parser of JSON with comments that keeps the position of every value and key.

use crate::options::findings::{Finding, Problem, TextPosition};
use jsonc_parser::{
    CollectOptions, ParseOptions,
    ast::{Object, Value as Node},
    common::Ranged,
    parse_to_ast,
};
use serde_json::Value;
use std::collections::BTreeMap;

/// Accepts comments and trailing commas, and no other extensions of JSON.
const PARSE_OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// A parsed JSON file with the positions of its values.
#[derive(Debug)]
pub struct JsonDocument {
    file_name: String,
    value: Value,
    /// Positions by JSON pointer: of the value, or of its key if it is a member of an object.
    positions: BTreeMap<String, TextPosition>,
    duplicates: Vec<DuplicateKey>,
}

#[derive(Debug)]
struct DuplicateKey {
    pointer: String,
    key: String,
    position: TextPosition,
}

impl JsonDocument {
    /// Parses `text`. `file_name` is used only in findings.
    ///
    /// # Errors
    /// The first syntax error; the parser does not continue after it.
    pub fn parse(file_name: &str, text: &str) -> Result<Self, Finding> {
        let syntax_finding = |position, message: String| Finding {
            file: file_name.to_owned(),
            position,
            path: "$".to_owned(),
            problem: Problem::Syntax(message),
            suggestion: "write JSON; comments and trailing commas are allowed".to_owned(),
        };
        let mut collector = PositionCollector::new(text);
        let parsed =
            parse_to_ast(text, &CollectOptions::default(), &PARSE_OPTIONS).map_err(|error| {
                let position = collector.compute_position(error.range().start);
                syntax_finding(position, error.kind().to_string())
            })?;
        let root = parsed
            .value
            .ok_or_else(|| syntax_finding(TextPosition::START, "the file is empty".to_owned()))?;
        collector.record_position("", root.start());
        collector.visit(&root, "");
        Ok(Self {
            file_name: file_name.to_owned(),
            value: root.into(),
            positions: collector.positions,
            duplicates: collector.duplicates,
        })
    }

    /// The JSON value. Where a key occurs more than once in an object, it holds the last one.
    #[must_use]
    pub fn value(&self) -> &Value {
        &self.value
    }

    /// Builds a finding at the position of `pointer`, or of the nearest enclosing value that has a position.
    #[must_use]
    pub fn finding_at(&self, pointer: &str, problem: Problem, suggestion: String) -> Finding {
        self.make_finding(self.find_position(pointer), pointer, problem, suggestion)
    }

    /// Returns a finding for every duplicate key.
    #[must_use]
    pub fn find_duplicate_keys(&self) -> Vec<Finding> {
        let finding = |duplicate: &DuplicateKey| {
            let problem = Problem::DuplicateKey(duplicate.key.clone());
            let suggestion = "keep one of them".to_owned();
            self.make_finding(duplicate.position, &duplicate.pointer, problem, suggestion)
        };
        self.duplicates.iter().map(finding).collect()
    }

    fn make_finding(
        &self,
        position: TextPosition,
        pointer: &str,
        problem: Problem,
        suggestion: String,
    ) -> Finding {
        Finding {
            file: self.file_name.clone(),
            position,
            path: format_path(pointer),
            problem,
            suggestion,
        }
    }

    fn find_position(&self, pointer: &str) -> TextPosition {
        let mut prefix = pointer;
        loop {
            if let Some(position) = self.positions.get(prefix) {
                return *position;
            }
            match prefix.rfind('/') {
                Some(end) => prefix = &prefix[..end],
                None => return TextPosition::START,
            }
        }
    }
}

/// Appends a key to a JSON pointer.
#[must_use]
pub fn join_pointer(pointer: &str, key: &str) -> String {
    let escaped = key.replace('~', "~0").replace('/', "~1");
    format!("{pointer}/{escaped}")
}

/// Formats a JSON pointer as a path: `/services/0/name` becomes `$.services[0].name`.
fn format_path(pointer: &str) -> String {
    let mut path = String::from("$");
    for part in pointer.split('/').skip(1) {
        if !part.is_empty() && part.bytes().all(|byte| byte.is_ascii_digit()) {
            path.extend(["[", part, "]"]);
        } else {
            path.push('.');
            path.push_str(&part.replace("~1", "/").replace("~0", "~"));
        }
    }
    path
}

/// Walks a syntax tree and collects the positions of values and keys, and the duplicate keys.
struct PositionCollector<'a> {
    text: &'a str,
    line_starts: Vec<usize>,
    positions: BTreeMap<String, TextPosition>,
    duplicates: Vec<DuplicateKey>,
}

impl<'a> PositionCollector<'a> {
    fn new(text: &'a str) -> Self {
        let later_lines = text.match_indices('\n').map(|(at, _)| at + 1);
        Self {
            text,
            line_starts: std::iter::once(0).chain(later_lines).collect(),
            positions: BTreeMap::new(),
            duplicates: Vec::new(),
        }
    }

    // The parser limits the nesting depth, and with it the depth of this recursion.
    fn visit(&mut self, node: &Node<'_>, pointer: &str) {
        match node {
            Node::Object(object) => self.visit_object(object, pointer),
            Node::Array(array) => {
                for (index, element) in array.elements.iter().enumerate() {
                    let pointer = format!("{pointer}/{index}");
                    self.record_position(&pointer, element.start());
                    self.visit(element, &pointer);
                }
            }
            Node::StringLit(_)
            | Node::NumberLit(_)
            | Node::BooleanLit(_)
            | Node::NullKeyword(_) => {}
        }
    }

    fn visit_object(&mut self, object: &Object<'_>, pointer: &str) {
        for property in &object.properties {
            let key = property.name.as_str();
            let pointer = join_pointer(pointer, key);
            let position = self.compute_position(property.start());
            if self.positions.insert(pointer.clone(), position).is_some() {
                self.duplicates.push(DuplicateKey {
                    pointer: pointer.clone(),
                    key: key.to_owned(),
                    position,
                });
            }
            self.visit(&property.value, &pointer);
        }
    }

    fn record_position(&mut self, pointer: &str, offset: usize) {
        let position = self.compute_position(offset);
        self.positions.insert(pointer.to_owned(), position);
    }

    fn compute_position(&self, offset: usize) -> TextPosition {
        let line = self.line_starts.partition_point(|start| *start <= offset);
        let start = self.line_starts[line - 1];
        let column = self.text[start..offset].chars().count() + 1;
        TextPosition { line, column }
    }
}
