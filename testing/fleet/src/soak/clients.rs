//! Misbehaving callers and operators, and operators that disconnect before the response.

use super::SoakFault;
use crate::days::Deployment;
use crate::fleet::{Fleet, FleetError};
use common::frames::SocketAddress;
use common::rng::SeededRng;
use hyper::Method;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The kind of journal entry for a malformed change that was accepted.
pub(super) const UNREADABLE_CHANGE_ACCEPTED: &str = "unreadable_change_accepted";
/// The timeout for all changes of one fault.
pub(super) const OPERATOR_TIMEOUT: Duration = Duration::from_millis(2500);
/// The time after which an operator that loses the response closes its connection.
const DISCONNECT_AFTER: Duration = Duration::from_millis(15);
/// The number of changes that a fault sends, one after the other.
const CHANGES_PER_FAULT: usize = 5;
/// The number of connections that callers close early.
const DISCONNECT_COUNT: u64 = 20;
/// The number of connections that send garbage.
const GARBAGE_CONNECTION_COUNT: u64 = 8;

/// Sends changes of the spec as the given fault defines them.
pub(super) async fn change_spec(fleet: &mut Fleet, fault: SoakFault) -> Result<(), FleetError> {
    for _ in 0..CHANGES_PER_FAULT {
        let (version, spec) = fleet.spec().await?;
        let change_id = fleet.next_change_id();
        match fault {
            SoakFault::UnreadableSpecs => {
                send_unreadable(fleet, version, &spec, &change_id).await?
            }
            SoakFault::InvalidSpecs => send_invalid(fleet, version, &spec, &change_id).await?,
            SoakFault::LoseAcknowledgements => {
                let changed_spec = with_switched_canary(spec);
                let sending = fleet.put_spec(version, &change_id, &changed_spec, "accepted");
                // The change may still be accepted, so it is retried with the same id.
                let _ = tokio::time::timeout(DISCONNECT_AFTER, sending).await;
                fleet
                    .put_spec(version, &change_id, &changed_spec, "accepted")
                    .await?;
            }
            _ => {
                fleet
                    .put_spec(version, &change_id, &with_switched_canary(spec), "accepted")
                    .await?;
            }
        }
    }
    Ok(())
}

/// Returns the spec with the canary route switched to its other function.
fn with_switched_canary(mut spec: Value) -> Value {
    let is_a = spec["routes"]["canary"]["function"] == json!("canary-a");
    spec["routes"]["canary"]["function"] = json!(if is_a { "canary-b" } else { "canary-a" });
    spec
}

/// Sends an invalid change and one with a stale base version.
async fn send_invalid(
    fleet: &Fleet,
    version: u64,
    spec: &Value,
    change_id: &str,
) -> Result<(), FleetError> {
    let mut invalid_spec = spec.clone();
    invalid_spec["routes"]["canary"]["function"] = json!("nowhere");
    fleet
        .put_spec(version, change_id, &invalid_spec, "accepted")
        .await?;
    let stale_id = format!("{change_id}-stale");
    fleet
        .put_spec(
            version.saturating_sub(1),
            &stale_id,
            &with_switched_canary(spec.clone()),
            "accepted",
        )
        .await?;
    Ok(())
}

/// Sends malformed changes: with values of the wrong type, or with both a spec and a patch. Those that are accepted are
/// recorded in the journal.
async fn send_unreadable(
    fleet: &Fleet,
    version: u64,
    spec: &Value,
    change_id: &str,
) -> Result<(), FleetError> {
    let route = &spec["routes"]["canary"];
    let changes = [
        (Method::PATCH, json!({"put": "all routes", "remove": {}})),
        (
            Method::PATCH,
            json!({"put": {"routes": {"canary": route}}, "remove": 17}),
        ),
        (
            Method::PATCH,
            json!({"put": {"functions": {"canary-a": null}}}),
        ),
        (Method::PATCH, json!({"put": {"limits": ["none"]}})),
        (
            Method::PUT,
            json!({"spec": {"functions": spec["functions"], "routes": [route]}}),
        ),
        (
            Method::PUT,
            json!({"spec": spec, "patch": {"routes": {"canary": null}}}),
        ),
    ];
    for (number, (method, mut body)) in changes.into_iter().enumerate() {
        body["base_serial"] = json!(version);
        body["change_id"] = json!(format!("{change_id}-unreadable-{number}"));
        let (status, _) = fleet
            .call_operators(method, "/v1/spec", Some(&body))
            .await?;
        if status == 200 {
            fleet.record_event(UNREADABLE_CHANGE_ACCEPTED, body);
        }
    }
    Ok(())
}

/// Closes callers' connections in the middle of a request or before the response.
pub(super) async fn disconnect_mid_request(
    fleet: &Fleet,
    deployment: Deployment,
    rng: &mut SeededRng,
) {
    let ingresses = fleet.layout.ingresses();
    let routes = deployment.caller_routes();
    for number in 0..DISCONNECT_COUNT {
        let ingress = ingresses[rng.below(ingresses.len() as u64) as usize];
        let route = &routes[rng.below(routes.len().max(1) as u64) as usize];
        let Some(path) = route["path"].as_str() else {
            continue;
        };
        // The judge reports a run that no caller recorded, so complete requests use a path without a route.
        let is_complete = rng.random_bool(0.5);
        let path = if is_complete { "/left/behind" } else { path };
        let end = if is_complete { "\r\n\r\n{}" } else { "\r\n" };
        let text = format!(
            "POST {path} HTTP/1.1\r\nhost: x\r\nrudder-transaction: left-{number}\r\n\
             rudder-budget-ms: 2000\r\ncontent-length: 2{end}"
        );
        send_and_disconnect(ingress, text.as_bytes()).await;
    }
}

/// Sends random bytes to the daemons' ingresses and to the addresses that processes use among themselves.
pub(super) async fn send_garbage(fleet: &Fleet, rng: &mut SeededRng) {
    let process_addresses = fleet
        .layout
        .machines
        .values()
        .filter_map(|machine| machine.endpoints);
    let addresses: Vec<SocketAddress> = process_addresses
        .map(|(address, _)| address)
        .chain(fleet.layout.ingresses())
        .collect();
    for _ in 0..GARBAGE_CONNECTION_COUNT {
        let address = addresses[rng.below(addresses.len() as u64) as usize];
        let bytes: Vec<u8> = (0..rng.below(400)).map(|_| rng.below(256) as u8).collect();
        send_and_disconnect(address, &bytes).await;
    }
}

async fn send_and_disconnect(address: SocketAddress, bytes: &[u8]) {
    let connecting = TcpStream::connect(address.to_std());
    let connected = tokio::time::timeout(Duration::from_millis(200), connecting).await;
    if let Ok(Ok(mut stream)) = connected {
        let _ = stream.write_all(bytes).await;
    }
}
