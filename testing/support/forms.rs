//! Forms that users see, each held by a committed fixture and compared as a whole. Included by the tests that hold
//! them: the fixtures lie in `tests/forms` of their crate.

use std::path::Path;

/// The variable by which a fixture is written anew. The test fails all the same, so that it never passes silently.
const WRITE_FORMS: &str = "RUDDERSTREAM_WRITE_FORMS";

/// Compares a form with its fixture, and names the first line that differs.
#[track_caller]
pub fn check(crate_folder: &str, name: &str, seen: &str) {
    let fixture = Path::new(crate_folder).join("tests/forms").join(name);
    if std::env::var_os(WRITE_FORMS).is_some_and(|value| value == "1") {
        std::fs::create_dir_all(fixture.parent().expect("a folder")).expect("a folder");
        std::fs::write(&fixture, seen).expect("a fixture");
        panic!("{name} was written anew; look at its difference and run without {WRITE_FORMS}");
    }
    let held = std::fs::read_to_string(&fixture)
        .unwrap_or_else(|cause| panic!("{}: {cause}", fixture.display()));
    if held == seen {
        return;
    }
    let (mut held_lines, mut seen_lines) = (held.lines(), seen.lines());
    for number in 1.. {
        let (held_line, seen_line) = (held_lines.next(), seen_lines.next());
        if held_line != seen_line || held_line.is_none() {
            let held_line = held_line.unwrap_or("(no line)");
            let seen_line = seen_line.unwrap_or("(no line)");
            panic!("{name}, line {number}\n  held: {held_line}\n  seen: {seen_line}");
        }
    }
}
