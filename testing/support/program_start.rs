//! Whether a process has begun to run its program.

use std::time::{Duration, Instant};

/// How long a process may take until it runs its program; then a signal is sent all the same.
const START_TIMEOUT: Duration = Duration::from_secs(5);
/// The line of `/proc/PID/status` with the set of signals that have a handler, in hexadecimal.
const HANDLED_SIGNALS: &str = "SigCgt:";

/// Waits until a process runs its program's own code. Before that it is in the system's loader, where a signal without a
/// handler ends it whatever the program does. The first code of a program sets handlers: of its own, or those of
/// Rust's runtime.
pub(crate) fn await_program_start(process: u32) {
    let started_at = Instant::now();
    while !has_handlers(process) && started_at.elapsed() < START_TIMEOUT {
        std::thread::yield_now();
    }
}

/// Whether the process handles any signal; also true of a process that does not exist any more.
fn has_handlers(process: u32) -> bool {
    let Ok(status) = std::fs::read_to_string(format!("/proc/{process}/status")) else {
        return true;
    };
    let is_zombie = status.lines().any(|line| line.starts_with("State:\tZ"));
    let handled = status
        .lines()
        .find_map(|line| line.strip_prefix(HANDLED_SIGNALS));
    let handled_set = handled.and_then(|set| u64::from_str_radix(set.trim(), 16).ok());
    is_zombie || handled_set != Some(0)
}
