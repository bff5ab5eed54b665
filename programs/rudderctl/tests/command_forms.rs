//! The command line of `rudderctl` is stable: its help, the arguments that it accepts and rejects, the requests of each
//! command, its output for each response, and its exit codes.

#[path = "../../../testing/support/commands.rs"]
mod commands;
#[path = "../../../testing/support/forms.rs"]
mod forms;

use serde_json::{Value, json};
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};

const PROGRAM: &str = env!("CARGO_BIN_EXE_rudderctl");

const COMMANDS: [&str; 16] = [
    "found", "core", "replace", "spec", "put", "patch", "items", "change", "evacuate", "restore",
    "members", "holders", "workers", "runners", "events", "trace",
];

fn check(name: &str, seen: &str) {
    forms::check(env!("CARGO_MANIFEST_DIR"), name, seen);
}

/// Returns the output of `rudderctl` and its exit code.
fn output_of(arguments: &[&str]) -> String {
    commands::output(PROGRAM, arguments, &[])
}

/// A controller that sends prepared responses, one for each call, and records the calls.
struct Controller {
    address: SocketAddr,
    calls: Arc<Mutex<Vec<String>>>,
}

fn read_call(stream: &TcpStream) -> String {
    let mut reader = BufReader::new(stream);
    let (mut head, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).expect("a line");
        if line.trim().is_empty() {
            break;
        }
        if let Some(text) = line.strip_prefix("content-length: ") {
            length = text.trim().parse().expect("a length");
        }
        // The length of a body with a generated id differs from run to run.
        if !line.starts_with("content-length: ") {
            let _ = writeln!(head, "  {}", line.trim());
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("a body");
    format!("{head}  {}", String::from_utf8_lossy(&body))
}

impl Controller {
    /// Starts a controller that responds with these statuses and bodies. Its thread is detached and ends after the last
    /// one.
    fn answering(answers: &[(&str, String)]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let calls = Arc::new(Mutex::new(Vec::new()));
        let (recorded, answers) = (calls.clone(), answers.iter().map(owned).collect::<Vec<_>>());
        std::thread::spawn(move || {
            for (status, body) in answers {
                let (mut stream, _) = listener.accept().expect("a call");
                let call = read_call(&stream).replace(&address.to_string(), "CONTROLLER");
                recorded.lock().expect("the calls").push(call);
                let length = body.len();
                let head = format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n");
                let _ = stream.write_all(format!("{head}{body}").as_bytes());
            }
        });
        Self { address, calls }
    }

    /// Returns the requests and the output of a command, with generated ids replaced by MADE-UP.
    fn output_of(&self, arguments: &[&str]) -> String {
        let address = self.address.to_string();
        let text = output_of(&[&["--at", address.as_str()], arguments].concat());
        let calls = self.calls.lock().expect("the calls").join("\n");
        let text = format!("{text}asked:\n{calls}\n").replace(&address, "CONTROLLER");
        without_generated_ids(&text)
    }
}

fn owned((status, body): &(&str, String)) -> (String, String) {
    ((*status).to_owned(), body.clone())
}

fn without_generated_ids(text: &str) -> String {
    let mut parts = text.split("\"rudderctl-");
    let first = parts.next().unwrap_or_default().to_owned();
    let is_digit = |letter: char| letter.is_ascii_hexdigit();
    parts.fold(first, |shown, part| {
        format!(
            "{shown}\"rudderctl-MADE-UP{}",
            part.trim_start_matches(is_digit)
        )
    })
}

/// A file of this test process, which is removed when the value is dropped.
struct TemporaryFile(PathBuf);

impl TemporaryFile {
    fn new(name: &str, text: &str) -> Self {
        let file_name = format!("rudderctl-forms-{name}-{}.json", std::process::id());
        let path = std::env::temp_dir().join(file_name);
        std::fs::write(&path, text).expect("a file");
        Self(path)
    }

    fn name(&self) -> &str {
        self.0.to_str().expect("a path")
    }
}

impl Drop for TemporaryFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[test]
fn help_and_version_match_the_fixture() {
    let mut text = output_of(&["--help"]) + &output_of(&["-h"]) + &output_of(&["--version"]);
    for command in COMMANDS {
        text += &output_of(&[command, "--help"]);
    }
    check("help.txt", &text);
}

#[test]
fn argument_errors_match_the_fixture() {
    let nowhere = ["--at", "127.0.0.1:9"];
    let command_lines = [
        &[][..],
        &["nothing"],
        &["--colour", "red", "spec"],
        &["--at"],
        &["--at", "somewhere", "spec"],
        &["--at", "127.0.0.1:1,somewhere", "members"],
        &["--at", "nowhere", "trace"],
        &["--output", "xml", "members"],
        &["members", "--output", "xml"],
        &["members", "--output"],
        &["members", "more"],
    ];
    let mut text = commands::outputs(PROGRAM, &command_lines, &[]);
    for command in COMMANDS {
        text += &output_of(&[&nowhere[..], &[command, "--colour"]].concat());
    }
    for arguments in [
        &["replace"][..],
        &["replace", "5f"],
        &["replace", "5f", "77", "88"],
        &["put"],
        &["put", "/no/such/file"],
        &["put", "/no/such/file", "--base", "new"],
        &["patch", "/no/such/file", "--number", "-1"],
        &["items", "/no/such/file", "--base-number"],
        &["change"],
        &["evacuate"],
        &["restore"],
        &["events", "--from", "late"],
        &["trace", "newest"],
        &["trace", "--patience", "long"],
    ] {
        text += &output_of(&[&nowhere[..], arguments].concat());
    }
    let cut = TemporaryFile::new("cut", "{");
    text += &output_of(&[&nowhere[..], &["put", cut.name()]].concat()).replace(cut.name(), "FILE");
    check("wrong_arguments.txt", &text);
}

/// Guards against ignoring an unknown part of a file, which its operator would not notice.
#[test]
fn an_items_file_with_an_unknown_part_is_rejected() {
    for text in [r#"{"put": {}, "remve": {"routes": ["r"]}}"#, r#"["put"]"#] {
        let file = TemporaryFile::new("unknown-part", text);
        let output = output_of(&["--at", "127.0.0.1:9", "items", file.name(), "--base", "3"]);
        let is_refused =
            output.contains("is not a known key") || output.contains("is not an object");
        assert!(is_refused, "{output}");
    }
}

/// Guards against sending only the last value of a duplicate name in a file.
#[test]
fn a_file_with_a_duplicate_name_is_rejected() {
    let text = r#"{"put": {"routes": {}, "routes": {"r": {}}}}"#;
    let file = TemporaryFile::new("name-twice", text);
    for command in ["put", "patch", "items"] {
        let output = output_of(&["--at", "127.0.0.1:9", command, file.name(), "--base", "3"]);
        assert!(output.contains("\"routes\" stands twice"), "{output}");
    }
}

#[test]
fn output_for_unreachable_controllers_matches_the_fixture() {
    let mut text = String::new();
    let file = TemporaryFile::new("unreached", "{}");
    for arguments in [
        &["spec"][..],
        &["core"],
        &["members", "--output", "table"],
        &["change", "c"],
        &["replace", "5f", "77"],
        &["evacuate", "north"],
        &["events"],
        &["trace"],
        &["put", file.name(), "--base", "3", "--change-id", "c"],
    ] {
        text += &output_of(&[&["--at", "127.0.0.1:9,127.0.0.1:9"][..], arguments].concat());
    }
    check("unreached.txt", &text.replace(file.name(), "FILE"));
}

fn ok(body: &Value) -> Vec<(&'static str, String)> {
    vec![("200 OK", body.to_string())]
}

/// A command's arguments, and the responses of a controller.
type CommandRun<'a> = (Vec<&'a str>, Vec<(&'a str, String)>);

/// Returns the response to an accepted change.
fn accepted() -> Value {
    json!({"state": "accepted", "serial": 4, "change_id": "c"})
}

/// Returns the response to a read of the spec.
fn current_spec() -> Value {
    json!({"serial": 17})
}

/// Returns the responses to a change that first reads the newest version.
fn read_then_accepted() -> Vec<(&'static str, String)> {
    [ok(&current_spec()), ok(&accepted())].concat()
}

fn quorum_and_spec_reads() -> Vec<CommandRun<'static>> {
    vec![
        (vec!["core"], ok(&json!({}))),
        (
            vec!["replace", "5f", "77"],
            vec![("202 X", json!({"state": "replacing"}).to_string())],
        ),
        (vec!["spec"], ok(&current_spec())),
    ]
}

/// Returns changes of the spec from files with the given names.
fn spec_changes<'a>(spec: &'a str, patch: &'a str, items: &'a str) -> Vec<CommandRun<'a>> {
    vec![
        (vec!["put", spec], read_then_accepted()),
        (vec!["put", spec, "--wait"], read_then_accepted()),
        (
            vec!["put", spec, "--base", "3", "--change-id", "c"],
            ok(&accepted()),
        ),
        (vec!["put", spec, "-b", "3", "-w"], ok(&accepted())),
        (
            vec!["put", spec, "--number", "9", "--base-number", "8"],
            ok(&accepted()),
        ),
        (vec!["put", spec, "--number", "9"], ok(&accepted())),
        (
            vec![
                "put",
                spec,
                "--number",
                "9",
                "--base-number",
                "8",
                "--base",
                "3",
            ],
            ok(&accepted()),
        ),
        (
            vec!["patch", patch, "--change-id", "c"],
            read_then_accepted(),
        ),
        (
            vec!["patch", patch, "--base", "3", "--change-id", "c", "--wait"],
            ok(&accepted()),
        ),
        (
            vec!["items", items, "--change-id", "c"],
            read_then_accepted(),
        ),
        (
            vec!["items", items, "--number", "9", "--base-number", "8"],
            ok(&accepted()),
        ),
    ]
}

fn change_and_zone_commands() -> Vec<CommandRun<'static>> {
    vec![
        (vec!["change", "release-42"], ok(&accepted())),
        (vec!["evacuate", "north"], ok(&accepted())),
        (
            vec!["evacuate", "north", "--change-id", "c", "--wait", "--force"],
            ok(&accepted()),
        ),
        (vec!["evacuate", "north", "-w", "-f"], ok(&accepted())),
        (
            vec!["restore", "north", "--change-id", "c"],
            ok(&accepted()),
        ),
    ]
}

fn lists_and_streams() -> Vec<CommandRun<'static>> {
    vec![
        (vec!["members"], ok(&json!({"members": []}))),
        (vec!["holders"], ok(&json!({"holders": []}))),
        (vec!["workers"], ok(&json!({"workers": []}))),
        (vec!["runners"], ok(&json!({"runners": []}))),
        (
            vec!["events"],
            vec![("200 OK", "{\"number\":7}\n{\"number\":8}\n".to_owned())],
        ),
        (
            vec!["events", "--from", "120"],
            vec![("503 X", String::new())],
        ),
        (
            vec!["trace", "17", "--output", "json"],
            ok(&json!({"serial": 17, "traces": []})),
        ),
        (
            vec!["trace", "--json"],
            ok(&json!({"serial": 17, "traces": []})),
        ),
    ]
}

fn foundings() -> Vec<CommandRun<'static>> {
    vec![
        (
            vec!["found"],
            vec![
                (
                    "409 X",
                    json!({"error": "not every seed has been heard with an empty disk"})
                        .to_string(),
                ),
                ("202 X", json!({"state": "founding"}).to_string()),
                ("503 X", json!({"error": "no_leader"}).to_string()),
                ("200 OK", current_spec().to_string()),
            ],
        ),
        (
            vec!["found"],
            vec![(
                "409 X",
                json!({"error": "the core is founded already"}).to_string(),
            )],
        ),
    ]
}

#[test]
fn requests_of_every_command_match_the_fixture() {
    let spec = TemporaryFile::new("spec", r#"{"functions": {}, "routes": {}}"#);
    let patch = TemporaryFile::new("patch", r#"{"functions": {"f": null}}"#);
    let items = TemporaryFile::new(
        "items",
        r#"{"put": {"routes": {}}, "remove": {"functions": ["f"]}}"#,
    );
    let (spec, patch, items) = (spec.name(), patch.name(), items.name());
    let runs = [
        quorum_and_spec_reads(),
        spec_changes(spec, patch, items),
        change_and_zone_commands(),
        lists_and_streams(),
        foundings(),
    ];
    let mut text = String::new();
    for (arguments, answers) in runs.concat() {
        text += &Controller::answering(&answers).output_of(&arguments);
    }
    for (path, shown) in [
        (spec, "SPEC-FILE"),
        (patch, "PATCH-FILE"),
        (items, "ITEMS-FILE"),
    ] {
        text = text.replace(path, shown);
    }
    check("asked.txt", &text);
}

#[test]
fn output_and_exit_code_of_every_status_match_the_fixture() {
    let mut text = String::new();
    for status in [
        "200 OK", "202 X", "307 X", "400 X", "404 X", "409 X", "422 X", "500 X", "503 X",
    ] {
        let body = json!({"error": "because", "state": "not_accepted"}).to_string();
        for arguments in [
            &["spec"][..],
            &["members", "--output", "table"],
            &["restore", "n"],
        ] {
            text += &Controller::answering(&[(status, body.clone())]).output_of(arguments);
        }
    }
    let no_json = Controller::answering(&[("200 OK", "no JSON".to_owned())]);
    text += &no_json.output_of(&["spec"]);
    check("statuses.txt", &text);
}

fn lists() -> Vec<(&'static str, Value)> {
    let member = json!({
        "member": "daemon-1", "incarnation": 7, "locality": "north", "place": "10.0.0.1:7100",
        "door": "10.0.0.1:8080", "connected": true, "eligible": true, "granted": false,
        "grant_left_ms": 0, "installed": 17, "claimed": true,
    });
    let runner = json!({
        "runner": "r-7-1", "function": "pay@2", "worker": "w-1", "memory_mb": 256, "ready": true,
        "draining": false, "left": false, "life": null,
    });
    let worker = json!({
        "worker": "w-1", "locality": "north", "memory_mb": 4096, "reserved_mb": 0, "draining": true,
    });
    let holder = json!({
        "function": "pay@2", "member": "daemon-1", "grant": 21474836481_u64, "fencing": false,
        "handing_over": true, "runners": ["r-7-1", "r-7-2"],
    });
    let other = json!({
        "surveyor": "77b0e41d", "place": "10.0.0.2:7100", "operators": "10.0.0.2:7111",
        "accepted": "3/17", "voter": true, "silent_ms": 40,
    });
    let core = json!({
        "surveyor": "5f3a91c2", "term": 3, "leads": true, "ready": true, "open": false,
        "leader": "10.0.0.1:7111", "accepted": null, "committed": "3/17", "others": [other],
    });
    vec![
        ("members", json!({"members": [member, {}], "open": true})),
        ("holders", json!({"holders": [holder]})),
        ("workers", json!({"workers": [worker]})),
        ("runners", json!({"runners": [runner]})),
        ("core", core),
    ]
}

#[test]
fn lists_are_printed_as_tables_and_as_json() {
    let mut text = String::new();
    for (command, answer) in lists() {
        let (before, after) = (
            ["--output", "table", command],
            [command, "--output", "table"],
        );
        for arguments in [
            &[command][..],
            &before,
            &after,
            &[command, "--output", "json"],
        ] {
            text += &Controller::answering(&ok(&answer)).output_of(arguments);
        }
    }
    check("lists.txt", &text);
}

#[test]
fn traces_are_printed_as_tables_and_as_json() {
    let members = json!({
        "daemon-1": {"pushed_ms": 1.25, "acknowledged_ms": 2.5},
        "daemon-2": {"pushed_ms": null, "acknowledged_ms": null, "lagging": "no stream"},
    });
    let trace = |in_force_ms: Value| {
        json!({"serial": 17, "surveyor": "5f", "traces": [{
            "term": 3, "leads_now": true, "from": "accepted here", "committed_ms": 3.25,
            "in_force_ms": in_force_ms, "age_ms": 1000.5, "members": members,
        }]})
    };
    let mut text = String::new();
    for answer in [trace(json!(4.75)), trace(Value::Null)] {
        for arguments in [
            &["trace", "17"][..],
            &["trace", "--output", "json"],
            &["--output", "json", "trace"],
        ] {
            text += &Controller::answering(&ok(&answer)).output_of(arguments);
        }
    }
    let unknown = || vec![("404 X", json!({"serial": null, "traces": []}).to_string())];
    text += &Controller::answering(&unknown()).output_of(&["trace"]);
    text += &Controller::answering(&unknown()).output_of(&["trace", "99"]);
    let one = Controller::answering(&ok(&trace(json!(4.75))));
    let addresses = format!("{},127.0.0.1:9", one.address);
    let with_an_unreachable_one =
        output_of(&["--at", &addresses, "trace"]).replace(&addresses, "CONTROLLERS");
    check("traces.txt", &(text + &with_an_unreachable_one));
}
