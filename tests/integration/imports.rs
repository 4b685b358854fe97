//! Every file has at most one `use` statement for each crate and visibility, with nested imports. The formatter can
//! check this only on nightly Rust.

use std::{
    collections::BTreeMap,
    fs,
    path::{Path, PathBuf},
};

const SOURCE_FOLDERS: [&str; 8] = [
    "src",
    "platform/src",
    "platform/tests",
    "soak/src",
    "soak/tests",
    "stand-ins/src",
    "tests",
    "examples",
];
/// End of the names of generated files, which are not checked.
const GENERATED_SUFFIX: &str = "_capnp.rs";

/// Returns the imports that occur in more than one statement at the top level of `text`, as `use CRATE` with the
/// visibility in front.
///
/// Statements within modules and functions are indented, and are not counted.
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

fn collect_source_files(directory: &Path, files: &mut Vec<PathBuf>) {
    let Ok(entries) = fs::read_dir(directory) else {
        return;
    };
    for path in entries.flatten().map(|entry| entry.path()) {
        if path.is_dir() {
            collect_source_files(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}

#[test]
fn find_split_imports_samples() {
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
fn sources_have_one_import_per_crate() {
    let mut files = Vec::new();
    for folder in SOURCE_FOLDERS {
        collect_source_files(
            &Path::new(env!("CARGO_MANIFEST_DIR")).join(folder),
            &mut files,
        );
    }
    assert!(files.len() > 10, "the sources were not found");
    let mut split_imports = Vec::new();
    for file in files
        .iter()
        .filter(|file| !file.to_string_lossy().ends_with(GENERATED_SUFFIX))
    {
        let text = fs::read_to_string(file).expect("a readable source");
        let found = find_split_imports(&text).into_iter();
        split_imports.extend(found.map(|import| format!("{}: {import}", file.display())));
    }
    assert!(
        split_imports.is_empty(),
        "more than one `use` statement for a crate:\n{}",
        split_imports.join("\n")
    );
}
