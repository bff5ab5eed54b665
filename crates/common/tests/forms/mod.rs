//! Compares forms that the sources write with those of a committed fixture file.
//!
//! A fixture file has one form per line: its name, a space, and the form as text. The names are independent of the
//! sources' names, so that they stay when types are renamed. With `RUDDERSTREAM_WRITE_FORMS` set the file is written
//! again, and the test fails all the same, so that it can never pass by what it has just written.

use common::frames::SocketAddress;
use googletest::prelude::*;
use std::collections::BTreeSet;
use std::path::PathBuf;

/// With this variable set, fixtures are written again and every test that holds one fails.
const WRITE: &str = "RUDDERSTREAM_WRITE_FORMS";

/// One form by its name.
pub struct Form {
    /// The form's name; no two are the same, and it has no space.
    pub name: String,
    /// The form as one line of text: hexadecimal for bytes.
    pub text: String,
}

/// A sample address with the number in every part of it.
pub fn address(number: u8) -> SocketAddress {
    SocketAddress(
        format!("10.{number}.0.{}:{}", number + 1, 4000 + u16::from(number))
            .parse()
            .expect("an address"),
    )
}

/// Decodes hexadecimal text.
pub fn bytes_of_hex(text: &str) -> Vec<u8> {
    let pairs = text
        .as_bytes()
        .chunks(2)
        .map(|pair| std::str::from_utf8(pair).expect("text"));
    pairs
        .map(|pair| u8::from_str_radix(pair, 16).expect("hexadecimal"))
        .collect()
}

fn path_of(fixture: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/forms")
        .join(fixture)
}

/// Reads the forms of a fixture file; an error while fixtures are being written.
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

/// Succeeds only if the forms are those of the fixture file: the same names and texts in the same order.
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
    for position in 0..held.len().max(forms.len()) {
        let as_line = |form: Option<&Form>| {
            form.map_or("nothing".to_owned(), |form| {
                format!("{} {}", form.name, form.text)
            })
        };
        let (held_line, made_line) = (as_line(held.get(position)), as_line(forms.get(position)));
        if held_line != made_line {
            differences.push(format!(
                "line {}:\n  held {held_line}\n  made {made_line}",
                position + 1
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
