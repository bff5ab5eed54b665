//! Compares a form that users see, as text, with a committed fixture. Included by the tests that hold such forms;
//! the fixtures are in `tests/forms` of their crate.

#[path = "fixtures.rs"]
pub(crate) mod fixtures;

/// The most lines that are named when a form differs from its fixture.
const MAX_NAMED_LINES: usize = 20;

/// Succeeds only if a form is equal to its fixture, byte for byte; panics with the lines that differ otherwise.
#[track_caller]
pub(crate) fn check(crate_folder: &str, name: &str, seen: &str) {
    let fixture = fixtures::path(crate_folder, name);
    if fixtures::are_rewritten() {
        std::fs::create_dir_all(fixture.parent().expect("a folder")).expect("a folder");
        std::fs::write(&fixture, seen).expect("a fixture");
        panic!("{}", fixtures::rewritten_message(&fixture));
    }
    let held = std::fs::read_to_string(&fixture)
        .unwrap_or_else(|error| panic!("{}: {error}", fixture.display()));
    if held != seen {
        panic!("{name} differs\n{}", differences(&held, seen).join("\n"));
    }
}

/// The first lines that differ; or that only the line ends do.
fn differences(held: &str, seen: &str) -> Vec<String> {
    let held_lines: Vec<&str> = held.lines().collect();
    let seen_lines: Vec<&str> = seen.lines().collect();
    let line =
        |lines: &[&str], index: usize| lines.get(index).copied().unwrap_or("(no line)").to_owned();
    let named: Vec<String> = (0..held_lines.len().max(seen_lines.len()))
        .filter(|index| held_lines.get(*index) != seen_lines.get(*index))
        .take(MAX_NAMED_LINES)
        .map(|index| {
            let (held_line, seen_line) = (line(&held_lines, index), line(&seen_lines, index));
            format!(
                "line {}\n  held: {held_line}\n  seen: {seen_line}",
                index + 1
            )
        })
        .collect();
    if named.is_empty() {
        vec!["in its line ends".to_owned()]
    } else {
        named
    }
}
