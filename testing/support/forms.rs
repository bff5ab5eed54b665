//! Compares text with a committed fixture. The fixtures are in `tests/forms` of each crate; they cover formats that users
//! and other processes depend on.

#[path = "fixtures.rs"]
pub(crate) mod fixtures;

/// The maximum number of differing lines in a failure message.
const MAX_REPORTED_LINES: usize = 20;

/// Panics with the differing lines unless the text equals its fixture byte for byte. While fixtures are being rewritten,
/// writes the fixture and panics.
#[track_caller]
pub(crate) fn check(crate_folder: &str, name: &str, actual: &str) {
    let fixture = fixtures::path(crate_folder, name);
    if fixtures::are_rewritten() {
        std::fs::create_dir_all(fixture.parent().expect("a parent folder"))
            .expect("a fixture folder");
        std::fs::write(&fixture, actual).expect("a fixture");
        panic!("{}", fixtures::rewritten_message(&fixture));
    }
    let expected = std::fs::read_to_string(&fixture)
        .unwrap_or_else(|error| panic!("{}: {error}", fixture.display()));
    if expected != actual {
        panic!(
            "{name} differs\n{}",
            differences(&expected, actual).join("\n")
        );
    }
}

/// Describes the first differing lines, or states that only line endings differ.
fn differences(expected: &str, actual: &str) -> Vec<String> {
    let expected_lines: Vec<&str> = expected.lines().collect();
    let actual_lines: Vec<&str> = actual.lines().collect();
    let line =
        |lines: &[&str], index: usize| lines.get(index).copied().unwrap_or("(no line)").to_owned();
    let reported: Vec<String> = (0..expected_lines.len().max(actual_lines.len()))
        .filter(|index| expected_lines.get(*index) != actual_lines.get(*index))
        .take(MAX_REPORTED_LINES)
        .map(|index| {
            let (expected_line, actual_line) =
                (line(&expected_lines, index), line(&actual_lines, index));
            format!(
                "line {}\n  expected: {expected_line}\n  actual: {actual_line}",
                index + 1
            )
        })
        .collect();
    if reported.is_empty() {
        vec!["only the line endings differ".to_owned()]
    } else {
        reported
    }
}
