//! Reads responses leniently, because controllers of other versions may omit keys and add others.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer};
use serde_json::Value;

/// Reads an object. Returns the type's default if the value is not an object or cannot be read. (A derived
/// `Deserialize` would also accept an array.)
pub(crate) fn read_object<T: Default + DeserializeOwned>(value: &Value) -> T {
    if !value.is_object() {
        return T::default();
    }
    T::deserialize(value).unwrap_or_default()
}

/// Reads a field, for `deserialize_with`. Returns the type's default if the value is of another type.
pub(crate) fn or_default<'de, T, D>(deserializer: D) -> Result<T, D::Error>
where
    T: Default + DeserializeOwned,
    D: Deserializer<'de>,
{
    let value = Value::deserialize(deserializer)?;
    Ok(T::deserialize(value).unwrap_or_default())
}
