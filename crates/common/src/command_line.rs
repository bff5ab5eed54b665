//! What every program needs around its work: flags, help, exit codes, the log, the runtime, and signals.

use crate::events;
use crate::invariants;
use crate::log_event;
use gumdrop::{Options, ParsingStyle};
use std::fmt;
use std::process::ExitCode;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// An example in the help.
#[derive(Clone, Copy, Debug)]
pub struct Example {
    /// The command whose help shows it; none for the program's own help.
    pub command: Option<&'static str>,
    /// The command line.
    pub line: &'static str,
}

/// A program, as it presents itself to its user.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    name: &'static str,
    version: &'static str,
    examples: &'static [Example],
}

impl Program {
    /// Creates a program of a name and a version.
    pub const fn new(name: &'static str, version: &'static str) -> Self {
        Self {
            name,
            version,
            examples: &[],
        }
    }

    /// Adds examples to the help.
    pub const fn with_examples(mut self, examples: &'static [Example]) -> Self {
        self.examples = examples;
        self
    }

    /// Reads the process's flags. Exits with 0 after printing the help or the version, and with 2 after reporting an
    /// error.
    pub fn flags<T: Options>(self, requests_version: impl FnOnce(&T) -> bool) -> T {
        let arguments: Vec<String> = std::env::args().skip(1).collect();
        match T::parse_args(&arguments, ParsingStyle::default()) {
            Ok(flags) if flags.help_requested() => {
                println!("{}", self.help(&flags));
                std::process::exit(0)
            }
            Ok(flags) if requests_version(&flags) => {
                println!("{} {}", self.name, self.version);
                std::process::exit(0)
            }
            Ok(flags) => flags,
            Err(error) => {
                eprintln!("{}: {error}; try --help", self.name);
                std::process::exit(2)
            }
        }
    }

    fn help(self, flags: &dyn Options) -> String {
        let mut innermost = flags;
        let mut line = format!("Usage: {}", self.name);
        let mut command = None;
        while let Some(subcommand) = innermost.command() {
            innermost = subcommand;
            if let Some(command_name) = subcommand.command_name() {
                command = Some(command_name);
                line.push(' ');
                line.push_str(command_name);
            }
        }
        let mut text = format!("{line} [OPTIONS]\n\n{}", innermost.self_usage());
        if let Some(commands) = innermost.self_command_list() {
            text.push_str("\n\nCommands:\n");
            text.push_str(commands);
        }
        let examples: Vec<&str> = self
            .examples
            .iter()
            .filter(|example| example.command == command)
            .map(|example| example.line)
            .collect();
        if !examples.is_empty() {
            text.push_str("\n\nExamples:\n  ");
            text.push_str(&examples.join("\n  "));
        }
        text
    }

    /// Reports an error to the standard error output and returns the exit code.
    pub fn fail(self, error: impl fmt::Display, exit_code: u8) -> ExitCode {
        eprintln!("{}: {error}", self.name);
        ExitCode::from(exit_code)
    }
}

/// Returns a channel that becomes true when the process receives SIGTERM or SIGINT.
///
/// The task that waits for the signals is detached and lives as long as the runtime.
///
/// # Errors
/// Fails if the signal handler cannot be installed.
pub fn stop_signal() -> std::io::Result<watch::Receiver<bool>> {
    let (stop_sender, stop) = watch::channel(false);
    let mut terminations = signal(SignalKind::terminate())?;
    tokio::spawn(async move {
        tokio::select! {
            _ = terminations.recv() => {}
            _ = tokio::signal::ctrl_c() => {}
        }
        log_event!(Info, events::STOPPING);
        stop_sender.send_replace(true);
    });
    Ok(stop)
}

/// Returns a channel that counts the SIGHUP signals received, each a request to read the settings again.
///
/// The task that waits for the signals is detached and lives as long as the runtime.
///
/// # Errors
/// Fails if the signal handler cannot be installed.
pub fn reload_signal() -> std::io::Result<watch::Receiver<u64>> {
    let (reload_sender, reload) = watch::channel(0);
    let mut hangups = signal(SignalKind::hangup())?;
    tokio::spawn(async move {
        while hangups.recv().await.is_some() {
            reload_sender.send_modify(|count| *count += 1);
        }
    });
    Ok(reload)
}

/// Reads and applies the settings each time that `reload` changes; settings that cannot be read (none) are skipped.
/// Returns when the channel is closed.
pub async fn apply_on_reload<T>(
    mut reload: watch::Receiver<u64>,
    read: impl Fn() -> Option<T>,
    apply: impl AsyncFn(T),
) {
    while reload.changed().await.is_ok() {
        if let Some(settings) = read() {
            apply(settings).await;
        }
    }
}

/// Creates a runtime with this many worker threads: zero chooses one per processor, and one runs everything on the
/// calling thread.
///
/// # Errors
/// Fails if the operating system refuses a thread or the event queue.
pub fn runtime(thread_count: usize) -> std::io::Result<Runtime> {
    if thread_count == 1 {
        return Builder::new_current_thread().enable_all().build();
    }
    let mut builder = Builder::new_multi_thread();
    if thread_count > 0 {
        builder.worker_threads(thread_count);
    }
    builder.enable_all().build()
}

/// Keeps a SIGHUP that arrives before [`reload_signal`] from ending the process: the settings are read after it anyway.
/// Once a handler was installed, the signal's default action does not come back.
fn ignore_early_hangups() {
    if let Ok(hangup_runtime) = runtime(1) {
        let _runtime_guard = hangup_runtime.enter();
        let _ = signal(SignalKind::hangup());
    }
}

/// Starts the log at the level that `RUST_LOG` names, by default `info`. The first call of a deployed program: from
/// then on a SIGHUP does not end it, and violated invariants are counted and do not panic.
pub fn start_log() {
    ignore_early_hangups();
    invariants::count_only();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
}
