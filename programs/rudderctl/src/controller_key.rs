//! The key under which controllers state their identity.

use serde_json::Value;

/// The key of a controller's identity.
pub(crate) const CONTROLLER: &str = "controller";
/// The key by which earlier controllers state it; newer ones send both, for older clients.
pub(crate) const EARLIER_CONTROLLER: &str = "surveyor";

/// The identity of the controller that an object of a response states; null if it states none.
pub(crate) fn controller_of(object: &Value) -> &Value {
    match &object[CONTROLLER] {
        Value::Null => &object[EARLIER_CONTROLLER],
        identity => identity,
    }
}
