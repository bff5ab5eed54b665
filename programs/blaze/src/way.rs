use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;
use waymark::frames::Place;
use waymark::http::call_json;

/// Why no way can be shown.
#[derive(Debug)]
pub enum WayFault {
    /// No surveyor answered.
    Unreachable,
    /// No surveyor knows the serial.
    Unknown(u64),
}

impl WayFault {
    /// What the process exits with.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Unknown(_) => 3,
            Self::Unreachable => 4,
        }
    }
}

impl fmt::Display for WayFault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable => write!(out, "no surveyor reached"),
            Self::Unknown(0) => write!(out, "no surveyor has led a version yet"),
            Self::Unknown(serial) => write!(out, "no surveyor knows serial {serial}"),
        }
    }
}

impl std::error::Error for WayFault {}

/// One version's way, a part for each term in which it was led.
pub struct Way {
    serial: u64,
    parts: BTreeMap<u64, Value>,
    silent: Vec<Place>,
}

impl Way {
    /// Asks every surveyor, and joins what each saw while it led.
    pub async fn read(places: &[Place], asked_serial: u64) -> Result<Self, WayFault> {
        let mut answers = Vec::new();
        let mut silent = Vec::new();
        for place in places {
            let path = format!("/v1/traces/{asked_serial}");
            let patience = Duration::from_secs(2);
            match call_json(*place, Method::GET, &path, None, patience).await {
                Ok(called) if called.status == StatusCode::OK => answers.push(called.json()),
                Ok(_) => {}
                Err(_) => silent.push(*place),
            }
        }
        if silent.len() == places.len() {
            return Err(WayFault::Unreachable);
        }
        let newest = answers.iter().filter_map(|answer| answer["serial"].as_u64()).max();
        let serial = newest.ok_or(WayFault::Unknown(asked_serial))?;
        let mut parts = BTreeMap::new();
        for answer in answers.iter().filter(|answer| answer["serial"].as_u64() == Some(serial)) {
            for trace in answer["traces"].as_array().into_iter().flatten() {
                let mut part = trace.clone();
                part["surveyor"] = answer["surveyor"].clone();
                parts.insert(part["term"].as_u64().unwrap_or(0), part);
            }
        }
        Ok(Self { serial, parts, silent })
    }

    /// The serial traced.
    pub fn serial(&self) -> u64 {
        self.serial
    }

    /// Whether some leader saw it in force everywhere.
    pub fn is_in_force(&self) -> bool {
        self.parts.values().any(|part| part["in_force_ms"].is_number())
    }

    /// The way as JSON.
    pub fn to_value(&self) -> Value {
        let silent: Vec<String> = self.silent.iter().map(Place::to_string).collect();
        let parts: Vec<&Value> = self.parts.values().collect();
        json!({"serial": self.serial, "in_force": self.is_in_force(), "parts": parts, "silent": silent})
    }
}

fn millis(value: &Value) -> String {
    value.as_f64().map_or_else(|| "-".to_owned(), |millis| format!("{millis:.1} ms"))
}

impl fmt::Display for Way {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let force = if self.is_in_force() { "in force" } else { "not in force" };
        writeln!(out, "serial {}: {force}", self.serial)?;
        for (term, part) in &self.parts {
            writeln!(
                out,
                "term {term}, surveyor {}, {}: committed {}, in force {}",
                part["surveyor"].as_str().unwrap_or("?"),
                part["from"].as_str().unwrap_or("?"),
                millis(&part["committed_ms"]),
                millis(&part["in_force_ms"]),
            )?;
            writeln!(out, "  {:<24} {:>12} {:>14}  lagging", "daemon", "pushed", "acknowledged")?;
            for (member, row) in part["members"].as_object().into_iter().flatten() {
                writeln!(
                    out,
                    "  {member:<24} {:>12} {:>14}  {}",
                    millis(&row["pushed_ms"]),
                    millis(&row["acknowledged_ms"]),
                    row["lagging"].as_str().unwrap_or("")
                )?;
            }
        }
        for place in &self.silent {
            writeln!(out, "surveyor at {place} did not answer; what it alone saw is missing")?;
        }
        Ok(())
    }
}
