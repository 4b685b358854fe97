//! Imports are nested: one `use` statement a crate and visibility in every file. The formatter
//! can't check that on stable Rust.

use std::{
    collections::BTreeMap,
    fs,
    path::{Path, PathBuf},
};

const ROOTS: [&str; 8] = [
    "src",
    "platform/src",
    "platform/tests",
    "soak/src",
    "soak/tests",
    "stand-ins/src",
    "tests",
    "examples",
];
/// Written by a generator.
const GENERATED: &str = "_capnp.rs";

/// Crates that more than one statement at the top level of `text` imports from, with visibility.
///
/// Statements inside of modules and functions are indented, and so don't count.
fn find_split_imports(text: &str) -> Vec<String> {
    let mut statements: BTreeMap<String, usize> = BTreeMap::new();
    for line in text.lines() {
        if let Some(import) = parse_import(line) {
            *statements.entry(import).or_default() += 1;
        }
    }
    statements
        .into_iter()
        .filter_map(|(import, count)| (count > 1).then_some(import))
        .collect()
}

fn parse_import(line: &str) -> Option<String> {
    let (visibility, path) = if let Some(path) = line.strip_prefix("use ") {
        ("", path)
    } else {
        let (visibility, path) = line.split_once(" use ")?;
        visibility
            .starts_with("pub")
            .then_some((visibility, path))?
    };
    let end = path.find(|c: char| c != '_' && !c.is_alphanumeric())?;
    Some(
        format!("{visibility} use {}", &path[..end])
            .trim_start()
            .to_owned(),
    )
}

fn list_sources(directory: &Path, files: &mut Vec<PathBuf>) {
    let Ok(entries) = fs::read_dir(directory) else {
        return;
    };
    for path in entries.flatten().map(|entry| entry.path()) {
        if path.is_dir() {
            list_sources(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}

#[test]
fn find_split_imports_bad_sample() {
    let sample = "use std::fmt;\nuse std::io;\nuse crate::a::B;\npub use crate::a::C;\n\
                  mod tests {\n    use std::fs;\n}\n";
    assert_eq!(find_split_imports(sample), ["use std"]);
    assert_eq!(
        find_split_imports("pub use a::B;\npub use a::{C};\n"),
        ["pub use a"]
    );
    assert_eq!(
        find_split_imports("use std::{fmt, io};\nuse serde::Serialize;\n"),
        [""; 0]
    );
}

#[test]
fn sources_import_once_a_crate() {
    let mut files = Vec::new();
    for root in ROOTS {
        list_sources(
            &Path::new(env!("CARGO_MANIFEST_DIR")).join(root),
            &mut files,
        );
    }
    assert!(files.len() > 10, "the sources were not found");
    let mut split = Vec::new();
    for file in files
        .iter()
        .filter(|file| !file.to_string_lossy().ends_with(GENERATED))
    {
        let text = fs::read_to_string(file).expect("a readable source");
        let found = find_split_imports(&text).into_iter();
        split.extend(found.map(|import| format!("{}: {import}", file.display())));
    }
    assert!(
        split.is_empty(),
        "more than one statement a crate:\n{}",
        split.join("\n")
    );
}
