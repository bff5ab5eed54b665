//! Compares forms that the sources write with those of a committed fixture file.
//!
//! A fixture file has one form a line: its name, a space, and the form as text. The names are words of the wire, so
//! that they stay when types are renamed. With `RUDDERSTREAM_WRITE_FORMS` set the file is written anew, and the
//! test fails all the same, so that it can never pass by what it has just written.

use googletest::prelude::*;
use std::collections::BTreeSet;
use std::path::PathBuf;

/// With this variable set, fixtures are written anew and every test that holds one fails.
const WRITE: &str = "RUDDERSTREAM_WRITE_FORMS";

/// One form by its name.
pub struct Form {
    /// The form's name; no two are the same, and it has no space.
    pub name: String,
    /// The form as one line of text: hexadecimal for bytes.
    pub text: String,
}

fn path_of(fixture: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/forms")
        .join(fixture)
}

/// The forms in a fixture file; an error while fixtures are written anew.
pub fn held_forms(fixture: &str) -> Result<Vec<Form>> {
    if std::env::var_os(WRITE).is_some() {
        fail!("fixtures are being written anew; run without {WRITE}")?;
    }
    let fixture_text = std::fs::read_to_string(path_of(fixture))?;
    let parted = fixture_text
        .lines()
        .map(|line| line.split_once(' ').unwrap_or((line, "")));
    Ok(parted
        .map(|(name, text)| Form {
            name: name.to_owned(),
            text: text.to_owned(),
        })
        .collect())
}

fn write(fixture: &str, forms: &[Form]) -> Result<()> {
    let fixture_path = path_of(fixture);
    let lines = forms
        .iter()
        .map(|form| format!("{} {}\n", form.name, form.text));
    std::fs::write(&fixture_path, lines.collect::<String>())?;
    fail!(
        "{} is written anew; look at what changed, and run without {WRITE}",
        fixture_path.display()
    )
}

/// Succeeds only if the forms are those of the fixture file, name by name, text by text, in the file's order.
pub fn hold(fixture: &str, forms: &[Form]) -> Result<()> {
    let names: BTreeSet<&str> = forms.iter().map(|form| form.name.as_str()).collect();
    verify_that!(names.len(), eq(forms.len()))?;
    verify_that!(
        names.iter().any(|name| name.contains(char::is_whitespace)),
        eq(false)
    )?;
    verify_that!(forms.iter().any(|form| form.text.contains('\n')), eq(false))?;
    if std::env::var_os(WRITE).is_some() {
        return write(fixture, forms);
    }
    let held = held_forms(fixture)?;
    let mut differences = Vec::new();
    for address in 0..held.len().max(forms.len()) {
        let as_line = |form: Option<&Form>| {
            form.map_or("nothing".to_owned(), |form| {
                format!("{} {}", form.name, form.text)
            })
        };
        let (held_line, made_line) = (as_line(held.get(address)), as_line(forms.get(address)));
        if held_line != made_line {
            differences.push(format!(
                "line {}:\n  held {held_line}\n  made {made_line}",
                address + 1
            ));
        }
    }
    if differences.is_empty() {
        return Ok(());
    }
    fail!(
        "{fixture}: {} lines differ\n{}",
        differences.len(),
        differences.join("\n")
    )
}
