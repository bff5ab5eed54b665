//! What every program does around its work: flags, the log, and the signal to stop.

use crate::events;
use crate::note;
use gumdrop::{Options, ParsingStyle};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

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

/// Becomes true when the process is told to stop, by SIGTERM or from the terminal.
pub fn told_to_stop() -> std::io::Result<watch::Receiver<bool>> {
    let (stop_sender, stop) = watch::channel(false);
    let mut terminating = signal(SignalKind::terminate())?;
    tokio::spawn(async move {
        tokio::select! {
            _ = terminating.recv() => {}
            _ = tokio::signal::ctrl_c() => {}
        }
        note!(Info, events::STOPPING);
        stop_sender.send_replace(true);
    });
    Ok(stop)
}

/// Counts how often the process was told by SIGHUP that its settings have changed; it never dies of that.
pub fn told_to_reread() -> std::io::Result<watch::Receiver<u64>> {
    let (reread_sender, reread) = watch::channel(0);
    let mut hanging_up = signal(SignalKind::hangup())?;
    tokio::spawn(async move {
        while hanging_up.recv().await.is_some() {
            reread_sender.send_modify(|count| *count += 1);
        }
    });
    Ok(reread)
}

/// Starts the log at the level that `RUST_LOG` names, or `info`.
pub fn start_log() {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
}
