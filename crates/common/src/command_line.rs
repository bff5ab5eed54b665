//! What all programs share: command-line flags, errors and exit codes, logging, the runtime, and signals.

use crate::events;
use crate::hangups;
use crate::invariants;
use crate::log_event;
use gumdrop::{Options, ParsingStyle};
use std::fmt;
use std::process::ExitCode;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// An example command line, shown in the help.
#[derive(Clone, Copy, Debug)]
pub struct Example {
    /// The command whose help shows it; `None` for the help of the program itself.
    pub command: Option<&'static str>,
    /// The command line.
    pub line: &'static str,
}

/// A program's name and version, and the examples in its help.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    name: &'static str,
    version: &'static str,
    examples: &'static [Example],
}

impl Program {
    /// Creates a program whose help has no examples.
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

    /// Parses the process's arguments. Prints the help or the version and exits with code 0 if one is
    /// requested; prints an error and exits with code 2 if the arguments are invalid.
    pub fn parse_flags<T: Options>(self, requests_version: impl FnOnce(&T) -> bool) -> T {
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

    /// Returns the exit code for the program's result. An error is printed, and `error_code` returns its exit code.
    pub fn finish<E: fmt::Display>(
        self,
        result: Result<(), E>,
        error_code: impl FnOnce(&E) -> u8,
    ) -> ExitCode {
        match result {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                let exit_code = error_code(&error);
                self.fail(error, exit_code)
            }
        }
    }

    /// Prints the error that ends the program, and returns `exit_code`.
    pub fn fail(self, error: impl fmt::Display, exit_code: u8) -> ExitCode {
        eprintln!("{}: {error}", self.name);
        ExitCode::from(exit_code)
    }
}

/// Returns a receiver that becomes true when the process receives SIGTERM or SIGINT.
///
/// The task that waits for the signals is detached and ends with the first of them. Fails if the runtime cannot
/// register a handler.
pub fn stop_signal() -> std::io::Result<watch::Receiver<bool>> {
    let (stop_sender, stop) = watch::channel(false);
    let mut sigterm = signal(SignalKind::terminate())?;
    tokio::spawn(async move {
        tokio::select! {
            _ = sigterm.recv() => {}
            _ = tokio::signal::ctrl_c() => {}
        }
        log_event!(Info, events::STOPPING);
        stop_sender.send_replace(true);
    });
    Ok(stop)
}

/// Returns a receiver of the number of SIGHUPs, which announce changed settings and never end the process.
///
/// If a SIGHUP arrived while the process was starting (see [`hangups`]), the receiver is already marked as changed,
/// because the settings may have been read before the signal. The counting task is detached and runs as long as the
/// runtime. Fails if the runtime cannot register a handler.
pub fn reload_signal() -> std::io::Result<watch::Receiver<u64>> {
    let (reload_sender, reload) = watch::channel(0);
    let mut sighup = signal(SignalKind::hangup())?;
    if hangups::any_received() {
        reload_sender.send_modify(|count| *count += 1);
    }
    tokio::spawn(async move {
        while sighup.recv().await.is_some() {
            reload_sender.send_modify(|count| *count += 1);
        }
    });
    Ok(reload)
}

/// Reads the settings again on each reload signal, and applies them. Settings that cannot be read are logged and
/// skipped.
///
/// Ends only when the sender of the signal is dropped, which lives as long as the runtime.
pub async fn apply_on_reload<T, E: fmt::Display>(
    mut reload: watch::Receiver<u64>,
    read: impl Fn() -> Result<T, E>,
    apply: impl AsyncFn(T),
) {
    while reload.changed().await.is_ok() {
        match read() {
            Ok(settings) => apply(settings).await,
            Err(error) => log_event!(Warn, events::SETTINGS_UNREADABLE, "{error}"),
        }
    }
}

/// Runs a program's service until it has stopped after a stop signal, and logs its start and its end.
///
/// Meanwhile `reload` applies changed settings (see [`apply_on_reload`]); its task is detached and is cancelled with
/// the runtime. Fails if the handler of the stop signals cannot be registered.
pub async fn run_service<F: Future<Output = ()>>(
    start_message: impl fmt::Display,
    reload: impl Future<Output = ()> + Send + 'static,
    service: impl FnOnce(watch::Receiver<bool>) -> F,
) -> std::io::Result<()> {
    log_event!(Info, events::STARTED, "{start_message}");
    let stop = stop_signal()?;
    tokio::spawn(reload);
    service(stop).await;
    log_event!(Info, events::STOPPED);
    Ok(())
}

/// Creates a runtime with this number of worker threads. With zero, tokio chooses the number by the machine's cores;
/// with one, everything runs on the calling thread.
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

/// Initializes logging at the level in `RUST_LOG`, or at `info`. From then on, a violated invariant is counted and does
/// not end the process.
pub fn init_logging() {
    invariants::count_only();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
}
