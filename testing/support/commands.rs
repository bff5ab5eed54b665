//! What programs print, and their exit codes. Included by the tests that hold them.

use std::process::Command;

/// What a program prints when it is run with arguments, and its exit code; its version is shown as VERSION.
pub(crate) fn output(program: &str, arguments: &[&str], variables: &[(&str, &str)]) -> String {
    let output = Command::new(program)
        .args(arguments)
        .envs(variables.iter().copied())
        .output()
        .expect("it runs");
    let printed = String::from_utf8_lossy(&output.stdout).into_owned();
    let printed_errors = String::from_utf8_lossy(&output.stderr).into_owned();
    let version = env!("CARGO_PKG_VERSION");
    let exit_code = output.status.code();
    let exit_code = exit_code.map_or_else(|| "none".to_owned(), |code| code.to_string());
    let shown = arguments.join(" ");
    let text = format!("## {shown}\nexit code {exit_code}\n{printed}");
    let text = if printed_errors.is_empty() {
        text
    } else {
        format!("{text}on stderr:\n{printed_errors}")
    };
    text.replace(version, "VERSION") + "\n"
}

/// What a program prints for each of several command lines, one after another, with the same variables.
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
