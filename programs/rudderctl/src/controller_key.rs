//! The key of a controller's identity in responses.

use serde_json::Value;

/// The key of a controller's identity.
pub(crate) const CONTROLLER: &str = "controller";
/// The key that earlier controllers use; newer ones send both, for older clients.
pub(crate) const EARLIER_CONTROLLER: &str = "surveyor";

/// Returns the identity of the controller in an object of a response; null if the object has none.
pub(crate) fn controller_of(object: &Value) -> &Value {
    match &object[CONTROLLER] {
        Value::Null => &object[EARLIER_CONTROLLER],
        identity => identity,
    }
}
