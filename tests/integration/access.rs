//! How arguments and a settings file are put together.

use bpaf::Parser;
use camphorturn::options::{
    access::{AccessArguments, AccessError, LogArguments, access_arguments, log_arguments},
    node_arguments::node_arguments,
    node_settings::LogLevel,
};

const SAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/samples/node-settings.jsonc");

const LOUD: &[&str] = &["--settings", SAMPLE, "--log-level", "loud"];

fn parse_access(arguments: &[&str]) -> AccessArguments {
    let parser = access_arguments().to_options();
    parser.run_inner(arguments).expect("right arguments")
}

fn parse_log(arguments: &[&str]) -> LogArguments {
    let parser = log_arguments().to_options();
    parser.run_inner(arguments).expect("right arguments")
}

#[test]
fn resolve_access_from_settings_file() {
    let access = parse_access(&["--settings", SAMPLE])
        .resolve()
        .expect("complete");
    assert_eq!(
        access.nodes,
        ["10.20.1.11:8082".parse().expect("an address")]
    );
    assert_eq!(access.token.expose(), "replace-this-by-another-random-text");
}

#[test]
fn resolve_access_arguments_go_before_the_file() {
    let arguments = [
        "--settings",
        SAMPLE,
        "--node",
        "127.0.0.1:1",
        "--node",
        "127.0.0.1:2",
    ];
    let access = parse_access(&arguments).resolve().expect("complete");
    assert_eq!(access.nodes.len(), 2);
}

#[test]
fn resolve_access_token_argument_goes_first() {
    let arguments = [
        "--settings",
        SAMPLE,
        "--token",
        "given",
        "--token-file",
        "no-such-file",
    ];
    let access = parse_access(&arguments).resolve().expect("complete");
    assert_eq!(access.token.expose(), "given");
}

#[test]
fn resolve_access_incomplete() {
    assert!(matches!(
        parse_access(&[]).resolve(),
        Err(AccessError::NoNode)
    ));
    let node = parse_access(&["--node", "127.0.0.1:1"]);
    assert!(matches!(node.resolve(), Err(AccessError::NoToken)));
    let no_file = parse_access(&["--node", "127.0.0.1:1", "--token-file", "no-such-file"]);
    assert!(matches!(
        no_file.resolve(),
        Err(AccessError::TokenFile { .. })
    ));
    assert!(matches!(
        parse_log(&[]).resolve(None),
        Err(AccessError::NoLog)
    ));
}

#[test]
fn resolve_log_over_settings() {
    let settings = parse_access(&["--settings", SAMPLE])
        .load_settings()
        .expect("no findings");
    let from_file = parse_log(&[]).resolve(settings.as_ref()).expect("complete");
    assert_eq!(from_file.address.port(), 7000);
    let arguments = parse_log(&["--log", "127.0.0.1:9", "--stream", "trial"]);
    let given = arguments.resolve(settings.as_ref()).expect("complete");
    assert_eq!((given.address.port(), given.stream.as_str()), (9, "trial"));
}

#[test]
fn load_settings_arguments_go_before_the_file() {
    let arguments: &[&str] = &["--settings", SAMPLE, "--log-level", "debug"];
    let arguments = node_arguments()
        .run_inner(arguments)
        .expect("right arguments");
    let settings = arguments.load_settings().expect("no findings");
    assert_eq!(settings.logging.level, LogLevel::Debug);
    assert!(node_arguments().run_inner(LOUD).is_err());
}
