//! Gives a reader of settings every wrong value of every key. Included by the tests that hold its answers.

use serde_json::{Value, json};
use std::fmt::Write;

/// The values by which every value of a full file is replaced.
fn wrong_values() -> Vec<Value> {
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

/// The JSON pointer (RFC 6901) of every value in a document, except the document's own.
fn pointers(value: &Value, pointer: &str, found: &mut Vec<String>) {
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
        found.push(inner_pointer.clone());
        pointers(inner_value, &inner_pointer, found);
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

/// The bounds that an error names.
fn bounds(answer: &str) -> Option<(u64, u64)> {
    let (least, most) = answer.split_once(" is not within ")?.1.split_once(" to ")?;
    Some((least.parse().ok()?, most.parse().ok()?))
}

/// The answers to every wrong value, a line each: the key, its value, and the complete text of the error, or that the
/// value was accepted. Numbers are tried at both ends of the bounds that the reader names, and just outside them.
pub(crate) fn probe_results(full: &Value, read: impl Fn(&Value) -> Result<(), String>) -> String {
    let answer = |document: &Value| read(document).err().unwrap_or_else(|| "taken".to_owned());
    let mut text = String::new();
    let _ = writeln!(text, "the full file: {}", answer(full));
    for document in [json!({}), json!([]), json!(null), json!("text")] {
        let _ = writeln!(text, "the whole file = {document}: {}", answer(&document));
    }
    let mut found = Vec::new();
    pointers(full, "", &mut found);
    for pointer in found {
        let key = pointer.trim_start_matches('/').replace('/', ".");
        let _ = writeln!(text, "{key} missing: {}", answer(&without(full, &pointer)));
        let mut values = wrong_values();
        let largest = answer(&with(full, &pointer, json!(u64::MAX)));
        if let Some((least, most)) = bounds(&largest) {
            values.extend(least.checked_sub(1).map(Value::from));
            values.extend([json!(least), json!(most), json!(most + 1)]);
        }
        for value in values {
            let line = format!("{key} = {value}");
            let _ = writeln!(text, "{line}: {}", answer(&with(full, &pointer, value)));
        }
        if full.pointer(&pointer).is_some_and(Value::is_object) {
            let mut document = full.clone();
            document.pointer_mut(&pointer).expect("an object")["colour"] = json!(7);
            let _ = writeln!(text, "{key}.colour = 7: {}", answer(&document));
        }
    }
    let mut document = full.clone();
    document["colour"] = json!(7);
    let _ = writeln!(text, "colour = 7: {}", answer(&document));
    text
}
