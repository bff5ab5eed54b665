//! The output of `rudderctl`, and its exit codes.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Output};
use std::thread::JoinHandle;

const HOLDERS: &str = r#"{"holders": [
    {"function": "check@4", "member": "daemon-1", "grant": 7, "fencing": false, "handing_over": false,
     "runners": ["r-7-1", "r-7-2"]},
    {"function": "b@1", "member": "d", "grant": 12, "fencing": true, "handing_over": false, "runners": []}
]}"#;
const QUORUM_LIST: &str = r#"{"surveyor": "5f", "term": 3, "leader": null, "others": []}"#;

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_rudderctl"))
        .args(arguments)
        .output()
        .expect("it runs")
}

/// Starts a controller that responds to one call; its thread returns the first line of the call.
fn respond_once(status: &'static str, body: &'static str) -> (SocketAddr, JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let responding = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a call");
        let mut lines = BufReader::new(stream.try_clone().expect("a stream")).lines();
        let first_line = lines.next().expect("a line").expect("text");
        for line in lines {
            if line.expect("text").is_empty() {
                break;
            }
        }
        let length = body.len();
        let head = format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n");
        write!(stream, "{head}{body}").expect("it is sent");
        first_line
    });
    (address, responding)
}

fn run_against(
    status: &'static str,
    body: &'static str,
    arguments: &[&str],
) -> (String, Option<i32>) {
    let (address, responding) = respond_once(status, body);
    let address_text = address.to_string();
    let output = run(&[&["--at", address_text.as_str()], arguments].concat());
    responding.join().expect("it answers");
    (
        String::from_utf8_lossy(&output.stdout).into_owned(),
        output.status.code(),
    )
}

#[test]
fn lists_are_printed_as_tables_on_request() {
    let table = "FUNCTION  MEMBER    GRANT  FENCING  HANDING_OVER  RUNNERS\n\
                 check@4   daemon-1  7      false    false         r-7-1,r-7-2\n\
                 b@1       d         12     true     false         -\n";
    let after = run_against("200 OK", HOLDERS, &["holders", "--output", "table"]);
    assert_eq!(after, (table.to_owned(), Some(0)));
    let before = run_against("200 OK", HOLDERS, &["--output", "table", "holders"]);
    assert_eq!(before, (table.to_owned(), Some(0)));
}

#[test]
fn the_other_keys_of_a_list_response_are_printed_before_the_list() {
    let (text, _) = run_against("200 OK", QUORUM_LIST, &["core", "--output", "table"]);
    let headings = "CONTROLLER  PLACE  OPERATORS  ACCEPTED  VOTER  SILENT_MS";
    assert_eq!(
        text,
        format!("leader: -\ncontroller: 5f\nterm: 3\n{headings}\n")
    );
}

#[test]
fn a_controller_identity_under_both_keys_is_printed_once() {
    let both = r#"{"controller": "5f", "surveyor": "5f", "others": [
        {"controller": "77", "surveyor": "77", "place": "p"}]}"#;
    let (text, _) = run_against("200 OK", both, &["core", "--output", "table"]);
    let headings = "CONTROLLER  PLACE  OPERATORS  ACCEPTED  VOTER  SILENT_MS";
    let row = "77          p      -          -         -      -";
    assert_eq!(text, format!("controller: 5f\n{headings}\n{row}\n"));
}

#[test]
fn lists_are_printed_as_json_by_default() {
    for arguments in [&["holders"][..], &["holders", "--output", "json"]] {
        let (text, exit_code) = run_against("200 OK", HOLDERS, arguments);
        let value: serde_json::Value = serde_json::from_str(&text).expect("JSON");
        assert_eq!(
            value,
            serde_json::from_str::<serde_json::Value>(HOLDERS).expect("JSON")
        );
        assert_eq!(exit_code, Some(0));
    }
}

#[test]
fn a_rejection_is_printed_as_json_in_any_format() {
    let error_body = r#"{"error":"no_leader"}"#;
    let (text, exit_code) = run_against("503 No", error_body, &["workers", "--output", "table"]);
    assert_eq!(text, "{\n  \"error\": \"no_leader\"\n}\n");
    assert_eq!(exit_code, Some(4));
}

#[test]
fn an_unknown_format_is_a_usage_error() {
    let output = run(&["members", "--output", "xml"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("json, table"));
}

#[test]
fn every_command_has_an_example() {
    let help = String::from_utf8_lossy(&run(&["--help"]).stdout).into_owned();
    assert!(
        help.contains("Examples:") && help.contains("Exit codes:"),
        "{help}"
    );
    let commands = help.split("Commands:\n").nth(1).expect("commands");
    let names = commands.lines().take_while(|line| !line.is_empty());
    for name in names.filter_map(|line| line.split_whitespace().next()) {
        let text = String::from_utf8_lossy(&run(&[name, "--help"]).stdout).into_owned();
        assert!(text.contains(&format!("\n  rudderctl {name}")), "{text}");
    }
}

#[test]
fn exit_codes_distinguish_usage_errors_from_unreachable_controllers() {
    assert_eq!(run(&["--version"]).status.code(), Some(0));
    assert_eq!(run(&[]).status.code(), Some(2));
    assert_eq!(run(&["--at", "somewhere", "spec"]).status.code(), Some(2));
    assert_eq!(
        run(&["--at", "127.0.0.1:9", "put", "/no/such/file"])
            .status
            .code(),
        Some(2)
    );
    let unreachable = run(&["--at", "127.0.0.1:9", "spec"]);
    assert_eq!(unreachable.status.code(), Some(4));
    assert!(String::from_utf8_lossy(&unreachable.stderr).contains("no controller reached"));
}

#[test]
fn trace_exit_codes_distinguish_usage_errors_from_unreachable_controllers() {
    assert_eq!(run(&["--at", "nowhere", "trace"]).status.code(), Some(2));
    assert_eq!(
        run(&["--at", "127.0.0.1:9", "trace", "3"]).status.code(),
        Some(4)
    );
}

/// A trace as a controller of another version might send it, with missing and unknown keys.
const TRACE_OF_ANOTHER_VERSION: &str = r#"{"serial": 17, "shard": 2, "traces": [{
    "term": 3, "committed_ms": 5, "quorum": ["a"], "members": {"daemon-1": {"pushed_ms": 1, "hops": 4}, "daemon-2": {}}
}]}"#;

#[test]
fn missing_keys_of_a_trace_are_printed_as_unknown() {
    let (text, exit_code) = run_against("200 OK", TRACE_OF_ANOTHER_VERSION, &["trace", "17"]);
    assert_eq!(
        text,
        "serial 17: not in force\n\
         term 3, controller ?, ?: committed 5.0 ms, in force -\n\
        \x20 daemon                         pushed   acknowledged  lagging\n\
        \x20 daemon-1                       1.0 ms              -  \n\
        \x20 daemon-2                            -              -  \n"
    );
    assert_eq!(exit_code, Some(0));
}

#[test]
fn unknown_keys_of_a_trace_are_printed_unchanged_in_json() {
    let arguments = ["trace", "17", "--output", "json"];
    let (text, exit_code) = run_against("200 OK", TRACE_OF_ANOTHER_VERSION, &arguments);
    let part = r#"{"committed_ms":5,"controller":null,"members":{"daemon-1":{"hops":4,"pushed_ms":1},"daemon-2":{}},"quorum":["a"],"surveyor":null,"term":3}"#;
    assert_eq!(
        text,
        format!("{{\"in_force\":false,\"parts\":[{part}],\"serial\":17,\"silent\":[]}}\n")
    );
    assert_eq!(exit_code, Some(0));
}
