//! Probes a settings reader with malformed values for every key.

use serde_json::{Value, json};
use std::fmt::Write;

/// Returns the values with which each value of a full file is replaced.
fn probe_values() -> Vec<Value> {
    vec![
        json!(null),
        json!(true),
        json!(7),
        json!(-1),
        json!(1.5),
        json!(u64::MAX),
        json!(""),
        json!("text"),
        json!("localhost:7"),
        json!("10.0.0.9:70000"),
        json!([]),
        json!([7]),
        json!({}),
        json!({"colour": 7}),
    ]
}

/// Collects the JSON pointer (RFC 6901) of every value in a document, except that of the document itself.
fn collect_pointers(value: &Value, pointer: &str, collected: &mut Vec<String>) {
    let inner: Vec<(String, &Value)> = match value {
        Value::Object(fields) => fields
            .iter()
            .map(|(key, inner)| (key.clone(), inner))
            .collect(),
        Value::Array(items) => items
            .iter()
            .enumerate()
            .map(|(index, inner)| (index.to_string(), inner))
            .collect(),
        _ => Vec::new(),
    };
    for (key, inner_value) in inner {
        let inner_pointer = format!("{pointer}/{key}");
        collected.push(inner_pointer.clone());
        collect_pointers(inner_value, &inner_pointer, collected);
    }
}

fn without(full: &Value, pointer: &str) -> Value {
    let mut document = full.clone();
    let (outer, key) = pointer.rsplit_once('/').expect("a pointer");
    match document.pointer_mut(outer) {
        Some(Value::Object(fields)) => drop(fields.remove(key)),
        Some(Value::Array(items)) => drop(items.remove(key.parse().expect("an index"))),
        _ => panic!("{pointer} points to nothing"),
    }
    document
}

fn with(full: &Value, pointer: &str, value: Value) -> Value {
    let mut document = full.clone();
    *document.pointer_mut(pointer).expect("a value") = value;
    document
}

/// Parses the bounds in an error message.
fn bounds(message: &str) -> Option<(u64, u64)> {
    let (min, max) = message
        .split_once(" is not within ")?
        .1
        .split_once(" to ")?;
    Some((min.parse().ok()?, max.parse().ok()?))
}

/// Returns the result of reading each malformed value, one per line: the key, the value, and the complete error message,
/// or that the value was accepted. If an error message names the bounds of a number, the bounds and the values just
/// outside them are tried too.
pub(crate) fn probe_results(full: &Value, read: impl Fn(&Value) -> Result<(), String>) -> String {
    let result = |document: &Value| read(document).err().unwrap_or_else(|| "taken".to_owned());
    let mut text = String::new();
    let _ = writeln!(text, "the full file: {}", result(full));
    for document in [json!({}), json!([]), json!(null), json!("text")] {
        let _ = writeln!(text, "the whole file = {document}: {}", result(&document));
    }
    let mut pointers = Vec::new();
    collect_pointers(full, "", &mut pointers);
    for pointer in pointers {
        let key = pointer.trim_start_matches('/').replace('/', ".");
        let _ = writeln!(text, "{key} missing: {}", result(&without(full, &pointer)));
        let mut values = probe_values();
        let result_for_max = result(&with(full, &pointer, json!(u64::MAX)));
        if let Some((min, max)) = bounds(&result_for_max) {
            values.extend(min.checked_sub(1).map(Value::from));
            values.extend([json!(min), json!(max), json!(max + 1)]);
        }
        for value in values {
            let line = format!("{key} = {value}");
            let _ = writeln!(text, "{line}: {}", result(&with(full, &pointer, value)));
        }
        if full.pointer(&pointer).is_some_and(Value::is_object) {
            let mut document = full.clone();
            document.pointer_mut(&pointer).expect("an object")["colour"] = json!(7);
            let _ = writeln!(text, "{key}.colour = 7: {}", result(&document));
        }
    }
    let mut document = full.clone();
    document["colour"] = json!(7);
    let _ = writeln!(text, "colour = 7: {}", result(&document));
    text
}
