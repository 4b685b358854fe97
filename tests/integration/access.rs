//! Node addresses and the token in the arguments of operators' tools.

use bpaf::Parser;
use camphorturn::options::access::{AccessArguments, AccessError, access_arguments};
use std::{env, fs};

fn parse_access(arguments: &[&str]) -> AccessArguments {
    let parser = access_arguments().to_options();
    parser.run_inner(arguments).expect("valid arguments")
}

#[test]
fn resolve_access_several_nodes() {
    let arguments = [
        "--token",
        "t",
        "--node",
        "127.0.0.1:1",
        "--node",
        "127.0.0.1:2",
    ];
    let access = parse_access(&arguments).resolve().expect("complete");
    assert_eq!(access.nodes.len(), 2);
    assert!(!format!("{access:?}").contains("\"t\""), "{access:?}");
}

#[test]
fn resolve_access_token_argument_precedes_file() {
    let arguments = [
        "--node",
        "127.0.0.1:1",
        "--token",
        "given",
        "--token-file",
        "no-such-file",
    ];
    let access = parse_access(&arguments).resolve().expect("complete");
    assert_eq!(access.token.expose(), "given");
}

#[test]
fn resolve_access_token_file_drops_line_break() {
    let path = env::temp_dir().join(format!("camphorturn-token-{}", std::process::id()));
    fs::write(&path, "secret\n").expect("a writable folder");
    let name = path.to_str().expect("a path in UTF-8");
    let arguments = ["--node", "127.0.0.1:1", "--token-file", name];
    let access = parse_access(&arguments).resolve().expect("complete");
    assert_eq!(access.token.expose(), "secret");
    let _ = fs::remove_file(&path);
}

#[test]
fn resolve_access_reports_missing_arguments() {
    assert!(matches!(
        parse_access(&[]).resolve(),
        Err(AccessError::NoNode)
    ));
    let node = parse_access(&["--node", "127.0.0.1:1"]);
    assert!(matches!(node.resolve(), Err(AccessError::NoToken)));
    let missing_file = parse_access(&["--node", "127.0.0.1:1", "--token-file", "no-such-file"]);
    assert!(matches!(
        missing_file.resolve(),
        Err(AccessError::TokenFile { .. })
    ));
}
