//! Reading a program's flags: help on standard output, faults on standard error with exit code 2.

use gumdrop::{Options, ParsingStyle};

/// Reads the flags, or ends the process with help or a fault.
pub fn read<T: Options>(program: &str) -> T {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match T::parse_args(&arguments, ParsingStyle::default()) {
        Ok(flags) if flags.help_requested() => {
            println!("{}", help(program, &flags));
            std::process::exit(0)
        }
        Ok(flags) => flags,
        Err(fault) => {
            eprintln!("{program}: {fault}; try --help");
            std::process::exit(2)
        }
    }
}

fn help(program: &str, flags: &dyn Options) -> String {
    let mut innermost = flags;
    let mut line = format!("Usage: {program}");
    while let Some(command) = innermost.command() {
        innermost = command;
        if let Some(command_name) = command.command_name() {
            line.push(' ');
            line.push_str(command_name);
        }
    }
    let mut text = format!("{line} [OPTIONS]\n\n{}", innermost.self_usage());
    if let Some(commands) = innermost.self_command_list() {
        text.push_str("\n\nCommands:\n");
        text.push_str(commands);
    }
    text
}
