//! Compares a list of named forms with a committed fixture. Included by the tests that hold such lists.
//!
//! A fixture has one form a line: its name, a space, and the form as text. The names are words of the wire, so
//! that they stay when types are renamed.

#[path = "forms.rs"]
mod text_forms;

use googletest::prelude::*;
use std::collections::BTreeSet;
use text_forms::fixtures;

const CRATE_FOLDER: &str = env!("CARGO_MANIFEST_DIR");

/// One form by its name.
pub(crate) struct Form {
    /// The form's name; it is unique and has no white space.
    pub(crate) name: String,
    /// The form as one line of text: hexadecimal for bytes.
    pub(crate) text: String,
}

/// The forms in a fixture; an error while fixtures are being rewritten.
pub(crate) fn expected_forms(fixture: &str) -> Result<Vec<Form>> {
    if fixtures::are_rewritten() {
        fail!(
            "fixtures are being rewritten; run without {}",
            fixtures::REWRITE_VARIABLE
        )?;
    }
    let fixture_text = std::fs::read_to_string(fixtures::path(CRATE_FOLDER, fixture))?;
    let split_lines = fixture_text
        .lines()
        .map(|line| line.split_once(' ').unwrap_or((line, "")));
    Ok(split_lines
        .map(|(name, text)| Form {
            name: name.to_owned(),
            text: text.to_owned(),
        })
        .collect())
}

/// Succeeds only if the forms are those of the fixture: name by name, text by text, in the fixture's order.
pub(crate) fn check(fixture: &str, forms: &[Form]) -> Result<()> {
    let names: BTreeSet<&str> = forms.iter().map(|form| form.name.as_str()).collect();
    verify_that!(names.len(), eq(forms.len()))?;
    verify_that!(
        names.iter().any(|name| name.contains(char::is_whitespace)),
        eq(false)
    )?;
    verify_that!(forms.iter().any(|form| form.text.contains('\n')), eq(false))?;
    let lines = forms
        .iter()
        .map(|form| format!("{} {}\n", form.name, form.text));
    text_forms::check(CRATE_FOLDER, fixture, &lines.collect::<String>());
    Ok(())
}
