//! Smoke test of a fleet of real processes: bootstrap, changes of the spec, calls, malformed input, and lost lease
//! holders and leaders.

#[path = "support/programs.rs"]
mod programs;

use common::frames::SocketAddress;
use common::http::call_json;
use common::readers::SettingsSource;
use fleet::days::Deployment;
use fleet::fleet::{Fleet, FleetError, Layout, Sizes};
use fleet::judge::{Evidence, judge};
use hyper::Method;
use loadgen::{Plan, run_plan};
use programs::programs;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::io::AsyncWriteExt;

/// Sends bursts of one call for each route until all calls of a burst are answered.
async fn call_until_answered(fleet: &Fleet, seed: u64, ingress: Option<SocketAddress>) -> Value {
    let mut total = json!({});
    for round in 0..200 {
        let records = fleet.folder().join(format!("callers-{seed}-{round}.jsonl"));
        let ingresses: Vec<String> = match ingress {
            Some(ingress) => vec![ingress.to_string()],
            None => fleet
                .layout
                .ingresses()
                .iter()
                .map(ToString::to_string)
                .collect(),
        };
        let plan = json!({
            "seed": seed * 1000 + round, "lasts_ms": 0, "rate": 0.0, "doors": ingresses,
            "routes": Deployment::Small.caller_routes(),
            "bursts": [{"at_ms": 0, "lasts_ms": 100, "count": 14, "route_count": 14}],
            "records": records.display().to_string(),
        });
        let plan = Plan::read(&SettingsSource::from_value("plan", plan)).expect("a plan");
        let summary = run_plan(plan).await.expect("calls").to_value();
        total = summary.clone();
        if summary["answer"] == json!(14) {
            return summary;
        }
    }
    panic!("never answered in full: {total}");
}

async fn exercise_fleet(fleet: &mut Fleet) -> Result<(), FleetError> {
    fleet.bootstrap().await?;
    let spec = Deployment::Small.spec("canary-a");
    let (status, _) = fleet.put_spec(1, "first", &spec, "in_force").await?;
    assert_eq!(status, 200);
    fleet.await_ready(3).await?;
    call_until_answered(fleet, 1, None).await;

    put_refused_and_repeated_specs(fleet, &spec).await?;
    verify_trace(fleet);
    send_bad_calls(fleet).await;
    send_garbage(fleet).await;

    serve_without_killed_holder(fleet).await?;
    serve_without_killed_leader(fleet, &spec).await?;
    serve_without_isolated_holder(fleet).await?;

    let stopped = fleet.running("daemon").remove(0);
    fleet.stop(&stopped, Duration::from_secs(30)).await;
    Ok(())
}

/// Sends a change with a stale base version, an invalid one, and one that was accepted before.
async fn put_refused_and_repeated_specs(fleet: &Fleet, spec: &Value) -> Result<(), FleetError> {
    let (status, stale) = fleet.put_spec(1, "stale", spec, "accepted").await?;
    assert_eq!((status, &stale["serial"]), (409, &json!(2)));
    let mut bad_spec = spec.clone();
    bad_spec["routes"]["canary"]["function"] = json!("nowhere");
    let (status, invalid) = fleet.put_spec(2, "bad", &bad_spec, "accepted").await?;
    assert_eq!(
        (status, &invalid["faults"][0]["path"]),
        (422, &json!("routes.canary.function"))
    );
    let (status, again) = fleet.put_spec(1, "first", spec, "accepted").await?;
    assert_eq!((status, &again["serial"]), (200, &json!(2)));
    let (_, change_status) = fleet
        .call_operators(Method::GET, "/v1/changes/stale", None)
        .await?;
    assert_eq!(change_status["state"], json!("not_accepted"));
    Ok(())
}

/// Returns the ingress of a running daemon other than this one.
fn other_ingress(fleet: &Fleet, daemon: &str) -> Option<SocketAddress> {
    let other = fleet
        .running("daemon")
        .into_iter()
        .find(|name| *name != daemon);
    other.and_then(|name| fleet.ingress_of(&name))
}

async fn serve_without_killed_holder(fleet: &mut Fleet) -> Result<(), FleetError> {
    let holder = fleet.busiest_holder().await.expect("a holder");
    fleet.kill(&holder).await;
    call_until_answered(fleet, 2, other_ingress(fleet, &holder)).await;
    fleet.launch(&holder).await?;
    fleet.await_ready(3).await
}

async fn serve_without_killed_leader(fleet: &mut Fleet, spec: &Value) -> Result<(), FleetError> {
    let leader = fleet.leader().await.expect("a leader");
    fleet.kill(&leader).await;
    fleet.await_leader().await?;
    call_until_answered(fleet, 3, None).await;
    let (version, stored_spec) = fleet.spec().await?;
    assert_eq!((version, &stored_spec), (2, spec));
    Ok(())
}

async fn serve_without_isolated_holder(fleet: &mut Fleet) -> Result<(), FleetError> {
    let holder = fleet.busiest_holder().await.expect("a holder");
    let holder_ip = fleet.ip_of(&holder).expect("an address");
    fleet.network_proxy.partition(
        &[holder_ip],
        &fleet.other_ips(std::slice::from_ref(&holder)),
    );
    call_until_answered(fleet, 4, other_ingress(fleet, &holder)).await;
    fleet.network_proxy.clear_faults();
    fleet.await_ready(3).await
}

/// Checks that `rudderctl trace` shows a change's acknowledgements, and fails for an unknown version.
fn verify_trace(fleet: &Fleet) {
    let operators: Vec<String> = fleet
        .layout
        .operators()
        .iter()
        .map(ToString::to_string)
        .collect();
    let run = |arguments: &[&str]| {
        std::process::Command::new(programs().join("rudderctl"))
            .args(["--at", &operators.join(","), "trace"])
            .args(arguments)
            .output()
            .expect("it runs")
    };
    let traced = run(&["--json", "2"]);
    assert_eq!(traced.status.code(), Some(0));
    let change_trace: Value = serde_json::from_slice(&traced.stdout).expect("JSON");
    assert_eq!(change_trace["in_force"], json!(true), "{change_trace}");
    let members = change_trace["parts"][0]["members"]
        .as_object()
        .expect("members");
    assert_eq!(members.len(), 3);
    assert!(
        members
            .values()
            .all(|row| row["acknowledged_ms"].is_number()),
        "{change_trace}"
    );
    assert_eq!(run(&["77"]).status.code(), Some(3));
}

async fn send_bad_calls(fleet: &Fleet) {
    let ingress = fleet.layout.ingresses()[0];
    let timeout = Duration::from_secs(5);
    let no_header = call_json(ingress, Method::POST, "/segment-check", None, timeout).await;
    let no_header = no_header.expect("an answer");
    assert_eq!(
        (no_header.status.as_u16(), &no_header.json()["outcome"]),
        (400, &json!("not_run"))
    );
    assert_eq!(no_header.headers["rudder-outcome"], "not_run");
    let common_headers = "rudder-transaction: odd-1\r\nrudder-budget-ms: 1000\r\nhost: here\r\n\
                    connection: close\r\n";
    let half_sent =
        format!("POST /segment-check HTTP/1.1\r\n{common_headers}content-length: 10\r\n\r\nabc");
    let too_large =
        format!("POST /segment-check HTTP/1.1\r\n{common_headers}content-length: 99999999\r\n\r\n");
    let no_route = format!("POST /nowhere HTTP/1.1\r\n{common_headers}content-length: 0\r\n\r\n");
    let no_budget = "POST /segment-check HTTP/1.1\r\nhost: here\r\nconnection: close\r\nrudder-transaction: odd-2\r\nrudder-budget-ms: soon\r\ncontent-length: 0\r\n\r\n";
    send_half_closed(ingress, &half_sent).await;
    for (sent, status, reason) in [
        (too_large.as_str(), "413", "body_too_large"),
        (&no_route, "404", "no_route"),
        (no_budget, "400", "bad_header"),
    ] {
        let answer = raw_call(ingress, sent, false).await;
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status}")),
            "{answer}"
        );
        assert!(answer.contains("\"outcome\":\"not_run\""), "{answer}");
        assert!(answer.contains(reason), "{answer}");
    }
}

/// Checks that a caller that closes its sending side within the body gets an error or no response; both are correct.
async fn send_half_closed(ingress: SocketAddress, half_sent: &str) {
    let answer = raw_call(ingress, half_sent, true).await;
    assert!(answer.is_empty() || answer.contains("bad_body"), "{answer}");
}

async fn raw_call(ingress: SocketAddress, sent: &str, half_closes: bool) -> String {
    let mut stream = tokio::net::TcpStream::connect(ingress.to_std())
        .await
        .expect("a connection");
    stream.write_all(sent.as_bytes()).await.expect("sent");
    if half_closes {
        stream.shutdown().await.expect("half closed");
    }
    let mut answer = String::new();
    let reading = tokio::io::AsyncReadExt::read_to_string(&mut stream, &mut answer);
    let _ = tokio::time::timeout(Duration::from_secs(30), reading).await;
    answer
}

async fn send_garbage(fleet: &Fleet) {
    for (name, machine) in &fleet.layout.machines {
        let Some(settings_file) = machine.arguments.get(1).filter(|_| name != "platform-stub")
        else {
            continue;
        };
        let text = std::fs::read_to_string(settings_file).expect("settings");
        let settings: Value = serde_json::from_str(&text).expect("JSON");
        let address: std::net::SocketAddr = settings["place"]
            .as_str()
            .and_then(|text| text.parse().ok())
            .expect("an address");
        for sent_bytes in [
            &b"GET / HTTP/1.1\r\n\r\n"[..],
            b"RU\x01\x02\xff\xff\xff\xff",
            b"RU\x09\x01",
            b"RU\x01\x01\x00\x00\x00\x02zz",
        ] {
            if let Ok(mut stream) = tokio::net::TcpStream::connect(address).await {
                let _ = stream.write_all(sent_bytes).await;
                let mut rest = Vec::new();
                let reading = tokio::io::AsyncReadExt::read_to_end(&mut stream, &mut rest);
                let _ = tokio::time::timeout(Duration::from_secs(30), reading).await;
                assert!(rest.is_empty());
            }
        }
        let socket = tokio::net::UdpSocket::bind("127.0.0.1:0")
            .await
            .expect("a socket");
        let _ = socket.send_to(b"RU\x01nonsense", address).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_small_fleet_survives_a_killed_holder_a_killed_leader_and_an_isolated_holder() {
    let folder = std::env::temp_dir().join(format!("rudder-smoke-{}", std::process::id()));
    let sizes = Sizes {
        daemons: 3,
        zones: 3,
        workers: 4,
        worker_mb: 6000,
        has_faulty_disks: false,
        disabled_rule: None,
    };
    let layout = Layout::new(&folder, &programs(), &sizes, 1, true).expect("a layout");
    let mut fleet = Fleet::start(layout).await.expect("a fleet");
    let ended = exercise_fleet(&mut fleet).await;
    fleet.shut_down().await;
    let verdict = judge(&Evidence::read(&folder).expect("records"));
    if let Err(error) = ended {
        panic!("{error}; logs are in {}", folder.display());
    }
    assert_eq!(verdict.violation_count(), 0, "{verdict}");
    let _ = std::fs::remove_dir_all(&folder);
}
