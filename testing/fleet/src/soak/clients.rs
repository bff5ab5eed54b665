//! Clients and operators that misbehave, or that lose what they are told.

use super::Trouble;
use crate::days::Deployment;
use crate::fleet::{Fleet, FleetFault};
use common::chance::Chance;
use common::frames::Place;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// How long one trouble of operators may take altogether.
pub(super) const OPERATOR_PATIENCE: Duration = Duration::from_millis(2500);
/// How soon an operator that loses its answer hangs up.
const HUNG_UP_AFTER: Duration = Duration::from_millis(15);
/// How many changes come one after the other.
const CHANGES: usize = 5;
/// How many callers hang up.
const HANG_UPS: u64 = 20;
/// How many connections bring garbage.
const GARBAGE: u64 = 8;

/// What operators do in one trouble.
pub(super) async fn change_spec(fleet: &mut Fleet, trouble: Trouble) -> Result<(), FleetFault> {
    for _ in 0..CHANGES {
        let (serial, spec) = fleet.spec().await?;
        let change_id = fleet.change_id();
        match trouble {
            Trouble::InvalidSpecs => send_invalid(fleet, serial, &spec, &change_id).await?,
            Trouble::LoseAcknowledgements => {
                let turned = turned(spec);
                let sending = fleet.put_spec(serial, &change_id, &turned, "accepted");
                // The change may be taken all the same; it is sent again as it was.
                let _ = tokio::time::timeout(HUNG_UP_AFTER, sending).await;
                fleet.put_spec(serial, &change_id, &turned, "accepted").await?;
            }
            _ => {
                fleet.put_spec(serial, &change_id, &turned(spec), "accepted").await?;
            }
        }
    }
    Ok(())
}

/// The same spec with the canary's route on its other function.
fn turned(mut spec: Value) -> Value {
    let is_a = spec["routes"]["canary"]["function"] == json!("canary-a");
    spec["routes"]["canary"]["function"] = json!(if is_a { "canary-b" } else { "canary-a" });
    spec
}

async fn send_invalid(
    fleet: &Fleet,
    serial: u64,
    spec: &Value,
    change_id: &str,
) -> Result<(), FleetFault> {
    let mut invalid_spec = spec.clone();
    invalid_spec["routes"]["canary"]["function"] = json!("nowhere");
    fleet.put_spec(serial, change_id, &invalid_spec, "accepted").await?;
    let stale_id = format!("{change_id}-stale");
    fleet.put_spec(serial.saturating_sub(1), &stale_id, &turned(spec.clone()), "accepted").await?;
    Ok(())
}

/// Callers that leave: before their request is whole, or while it runs.
pub(super) async fn hang_up(fleet: &Fleet, deployment: Deployment, chance: &mut Chance) {
    let doors = fleet.layout.doors();
    let routes = deployment.caller_routes();
    for number in 0..HANG_UPS {
        let door = doors[chance.below(doors.len() as u64) as usize];
        let route = &routes[chance.below(routes.len().max(1) as u64) as usize];
        let Some(path) = route["path"].as_str() else { continue };
        // An identity that no record of callers has would look like a request that nobody sent: what is whole
        // asks for a path that leads nowhere.
        let is_whole = chance.happens(0.5);
        let path = if is_whole { "/left/behind" } else { path };
        let end = if is_whole { "\r\n\r\n{}" } else { "\r\n" };
        let text = format!(
            "POST {path} HTTP/1.1\r\nhost: x\r\nrudder-transaction: left-{number}\r\n\
             rudder-budget-ms: 2000\r\ncontent-length: 2{end}"
        );
        send_and_leave(door, text.as_bytes()).await;
    }
}

/// Bytes that are no message, at doors and where processes listen for each other.
pub(super) async fn send_garbage(fleet: &Fleet, chance: &mut Chance) {
    let process_places = fleet.layout.machines.values().filter_map(|machine| machine.ways);
    let places: Vec<Place> =
        process_places.map(|(place, _)| place).chain(fleet.layout.doors()).collect();
    for _ in 0..GARBAGE {
        let place = places[chance.below(places.len() as u64) as usize];
        let bytes: Vec<u8> = (0..chance.below(400)).map(|_| chance.below(256) as u8).collect();
        send_and_leave(place, &bytes).await;
    }
}

async fn send_and_leave(place: Place, bytes: &[u8]) {
    let connecting = TcpStream::connect(place.address());
    let connected = tokio::time::timeout(Duration::from_millis(200), connecting).await;
    if let Ok(Ok(mut stream)) = connected {
        let _ = stream.write_all(bytes).await;
    }
}
