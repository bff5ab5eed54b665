//! Clients and operators that misbehave, or that lose what they are told.

use super::SoakFault;
use crate::days::Deployment;
use crate::fleet::{Fleet, FleetError};
use common::frames::SocketAddress;
use common::rng::SeededRng;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// How long one trouble of operators may take altogether.
pub(super) const OPERATOR_TIMEOUT: Duration = Duration::from_millis(2500);
/// How soon an operator that loses its answer hangs up.
const DISCONNECT_AFTER: Duration = Duration::from_millis(15);
/// How many changes come one after the other.
const CHANGES: usize = 5;
/// How many callers hang up.
const DISCONNECTS: u64 = 20;
/// How many connections bring garbage.
const GARBAGE_REQUESTS: u64 = 8;

/// What operators do in one trouble.
pub(super) async fn change_spec(fleet: &mut Fleet, fault: SoakFault) -> Result<(), FleetError> {
    for _ in 0..CHANGES {
        let (version, spec) = fleet.spec().await?;
        let change_id = fleet.change_id();
        match fault {
            SoakFault::InvalidSpecs => send_invalid(fleet, version, &spec, &change_id).await?,
            SoakFault::LoseAcknowledgements => {
                let switched = switched(spec);
                let sending = fleet.put_spec(version, &change_id, &switched, "accepted");
                // The change may be taken all the same; it is sent again as it was.
                let _ = tokio::time::timeout(DISCONNECT_AFTER, sending).await;
                fleet
                    .put_spec(version, &change_id, &switched, "accepted")
                    .await?;
            }
            _ => {
                fleet
                    .put_spec(version, &change_id, &switched(spec), "accepted")
                    .await?;
            }
        }
    }
    Ok(())
}

/// The same spec with the canary's route on its other function.
fn switched(mut spec: Value) -> Value {
    let is_a = spec["routes"]["canary"]["function"] == json!("canary-a");
    spec["routes"]["canary"]["function"] = json!(if is_a { "canary-b" } else { "canary-a" });
    spec
}

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
            &switched(spec.clone()),
            "accepted",
        )
        .await?;
    Ok(())
}

/// Callers that leave: before their request is whole, or while it runs.
pub(super) async fn disconnect_mid_request(
    fleet: &Fleet,
    deployment: Deployment,
    rng: &mut SeededRng,
) {
    let ingresses = fleet.layout.ingresses();
    let routes = deployment.caller_routes();
    for number in 0..DISCONNECTS {
        let ingress = ingresses[rng.below(ingresses.len() as u64) as usize];
        let route = &routes[rng.below(routes.len().max(1) as u64) as usize];
        let Some(path) = route["path"].as_str() else {
            continue;
        };
        // An identity that no record of callers has would look like a request that nobody sent: what is whole
        // asks for a path that leads nowhere.
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

/// Bytes that are no message, at doors and where processes listen for each other.
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
    for _ in 0..GARBAGE_REQUESTS {
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
