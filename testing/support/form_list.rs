//! Compares a list of named serialized forms with a committed fixture.
//!
//! A fixture has one form per line: its name, a space, and the form as text. The names belong to the fixture, so that
//! they don't change when types are renamed.

#[path = "forms.rs"]
mod text_forms;

use googletest::prelude::*;
use std::collections::BTreeSet;
use text_forms::fixtures;

const CRATE_FOLDER: &str = env!("CARGO_MANIFEST_DIR");

/// A serialized form with its name.
pub(crate) struct Form {
    /// The name, which is unique and has no whitespace.
    pub(crate) name: String,
    /// The form as one line of text, in hexadecimal for bytes.
    pub(crate) text: String,
}

/// Returns the forms in a fixture. Fails while fixtures are being rewritten.
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

/// Succeeds only if the forms equal those of the fixture in name, text and order.
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
