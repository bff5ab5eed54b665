//! A JSON parser that rejects duplicate names in an object instead of ignoring all but the last.

use serde::de::{Deserialize, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::map::Entry;
use serde_json::{Map, Value};
use std::fmt;

/// Parses a JSON document. By default `serde_json` would keep only the last value of a duplicate name.
///
/// # Errors
/// The text is not JSON, or an object has a duplicate name.
pub fn parse_json(text: &[u8]) -> Result<Value, serde_json::Error> {
    let UniqueNames(value) = serde_json::from_slice(text)?;
    Ok(value)
}

/// A value in which no object has a duplicate name.
struct UniqueNames(Value);

impl<'de> Deserialize<'de> for UniqueNames {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ValueVisitor).map(Self)
    }
}

struct ValueVisitor;

impl<'de> Visitor<'de> for ValueVisitor {
    type Value = Value;

    fn expecting(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("any JSON")
    }

    fn visit_unit<E: Error>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E: Error>(self, flag: bool) -> Result<Value, E> {
        Ok(Value::from(flag))
    }

    fn visit_i64<E: Error>(self, number: i64) -> Result<Value, E> {
        Ok(Value::from(number))
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<Value, E> {
        Ok(Value::from(number))
    }

    fn visit_f64<E: Error>(self, number: f64) -> Result<Value, E> {
        Ok(Value::from(number))
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Value, E> {
        Ok(Value::from(text))
    }

    fn visit_string<E: Error>(self, text: String) -> Result<Value, E> {
        Ok(Value::from(text))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Value, A::Error> {
        let mut items = Vec::new();
        while let Some(UniqueNames(item)) = sequence.next_element()? {
            items.push(item);
        }
        Ok(Value::Array(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<Value, A::Error> {
        let mut fields = Map::new();
        while let Some(name) = entries.next_key::<String>()? {
            let UniqueNames(value) = entries.next_value()?;
            match fields.entry(name) {
                Entry::Vacant(vacant) => {
                    vacant.insert(value);
                }
                Entry::Occupied(occupied) => {
                    let repeated = occupied.key();
                    return Err(A::Error::custom(format!("{repeated:?} stands twice")));
                }
            }
        }
        Ok(Value::Object(fields))
    }
}
