//! CONTRIBUTING.md names only files and folders that exist.

use std::path::Path;

const PAGE: &str = include_str!("../../CONTRIBUTING.md");
const PATH_PREFIXES: [&str; 7] = [
    "src/",
    "tests/",
    "schema/",
    "samples/",
    "stand-ins/",
    "docs/",
    ".ci/",
];

#[test]
fn contributing_page_names_existing_files() {
    let quoted = PAGE.split('`').skip(1).step_by(2);
    let paths: Vec<&str> = quoted
        .filter(|path_or_code| {
            PATH_PREFIXES
                .iter()
                .any(|prefix| path_or_code.starts_with(prefix))
        })
        .collect();
    assert!(paths.len() > 20, "the page names few files: {paths:?}");
    for path in paths {
        let file = Path::new(env!("CARGO_MANIFEST_DIR")).join(path);
        assert!(file.exists(), "{path} is named but doesn't exist");
    }
}
