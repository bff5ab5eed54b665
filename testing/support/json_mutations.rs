//! Mutated copies of a JSON document: in each copy, one value has a different type, or one name occurs twice.

use serde_json::{Value, json};

/// A copy in which one value has a different type.
pub(crate) struct Mutation {
    /// The path of the value, with dots between the names; empty for the document itself.
    pub(crate) path: String,
    /// The mutated copy.
    pub(crate) document: Value,
}

/// Returns all copies in which one value, at any depth, has a different JSON type. Null is not used, since it stands for
/// a missing value.
pub(crate) fn wrong_types(document: &Value) -> Vec<Mutation> {
    let mut pointers = Vec::new();
    collect_pointers(document, String::new(), &mut pointers);
    pointers
        .iter()
        .flat_map(|pointer| wrong_types_at(document, pointer))
        .collect()
}

fn collect_pointers(value: &Value, pointer: String, pointers: &mut Vec<String>) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                collect_pointers(field, format!("{pointer}/{name}"), pointers);
            }
        }
        Value::Array(items) => {
            for (index, item) in items.iter().enumerate() {
                collect_pointers(item, format!("{pointer}/{index}"), pointers);
            }
        }
        _ => {}
    }
    pointers.push(pointer);
}

fn wrong_types_at(document: &Value, pointer: &str) -> Vec<Mutation> {
    let values = [
        json!(true),
        json!(17),
        json!("all of them"),
        json!([]),
        json!([{"name": "r"}]),
        json!({}),
        json!({"name": "r"}),
    ];
    let original = document.pointer(pointer).map(type_number);
    values
        .into_iter()
        .filter(|value| original != Some(type_number(value)))
        .map(|value| {
            let mut copy = document.clone();
            if let Some(target) = copy.pointer_mut(pointer) {
                *target = value;
            }
            Mutation {
                path: pointer.trim_start_matches('/').replace('/', "."),
                document: copy,
            }
        })
        .collect()
}

fn type_number(value: &Value) -> u8 {
    match value {
        Value::Null => 0,
        Value::Bool(_) => 1,
        Value::Number(_) => 2,
        Value::String(_) => 3,
        Value::Array(_) => 4,
        Value::Object(_) => 5,
    }
}

/// A copy in which one name occurs twice. It is kept as text, since a parsed value can't represent it.
pub(crate) struct RepeatedName {
    /// The path of the name, with dots between the names.
    pub(crate) path: String,
    /// The mutated copy.
    pub(crate) text: String,
}

/// Returns all copies in which one name of one object, at any depth, occurs twice: first with null, then with its value.
pub(crate) fn repeated_names(document: &Value) -> Vec<RepeatedName> {
    let mut pointers = Vec::new();
    collect_pointers(document, String::new(), &mut pointers);
    pointers
        .iter()
        .filter(|pointer| is_field(document, pointer))
        .map(|pointer| RepeatedName {
            path: pointer.trim_start_matches('/').replace('/', "."),
            text: text_with_repeated(document, String::new(), pointer),
        })
        .collect()
}

/// Whether a pointer refers to a field of an object.
fn is_field(document: &Value, pointer: &str) -> bool {
    let parent = pointer.rsplit_once('/').map(|(parent, _)| parent);
    parent
        .and_then(|parent| document.pointer(parent))
        .is_some_and(Value::is_object)
}

/// Returns the value as text, with the field at the pointer `repeated` twice.
fn text_with_repeated(value: &Value, pointer: String, repeated: &str) -> String {
    let inner = |name: &str, inner: &Value| {
        text_with_repeated(inner, format!("{pointer}/{name}"), repeated)
    };
    match value {
        Value::Object(fields) => {
            let mut entries = Vec::new();
            for (name, field) in fields {
                if format!("{pointer}/{name}") == repeated {
                    entries.push(format!("{}:null", json!(name)));
                }
                entries.push(format!("{}:{}", json!(name), inner(name, field)));
            }
            format!("{{{}}}", entries.join(","))
        }
        Value::Array(items) => {
            let items = items.iter().enumerate();
            let texts: Vec<String> = items
                .map(|(index, item)| inner(&index.to_string(), item))
                .collect();
            format!("[{}]", texts.join(","))
        }
        other => other.to_string(),
    }
}
