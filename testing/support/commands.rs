//! Captures the output and exit codes of programs, for comparison with fixtures.

use std::process::Command;

/// Runs a program and returns its output and exit code as text. Its version is replaced by `VERSION`.
pub(crate) fn output(program: &str, arguments: &[&str], variables: &[(&str, &str)]) -> String {
    let output = Command::new(program)
        .args(arguments)
        .envs(variables.iter().copied())
        .output()
        .expect("the program runs");
    let printed = String::from_utf8_lossy(&output.stdout).into_owned();
    let printed_errors = String::from_utf8_lossy(&output.stderr).into_owned();
    let version = env!("CARGO_PKG_VERSION");
    let exit_code = output.status.code();
    let exit_code = exit_code.map_or_else(|| "none".to_owned(), |code| code.to_string());
    let command_line = arguments.join(" ");
    let text = format!("## {command_line}\nexit code {exit_code}\n{printed}");
    let text = if printed_errors.is_empty() {
        text
    } else {
        format!("{text}on stderr:\n{printed_errors}")
    };
    text.replace(version, "VERSION") + "\n"
}

/// Runs a program once for each command line, with the same environment variables, and returns the concatenated results.
pub(crate) fn outputs(
    program: &str,
    command_lines: &[&[&str]],
    variables: &[(&str, &str)],
) -> String {
    command_lines
        .iter()
        .map(|arguments| output(program, arguments, variables))
        .collect()
}
