//! Waits until a process executes the code of its program.

use std::time::{Duration, Instant};

/// How long to wait for a process to start its program. After that the caller proceeds anyway.
const START_TIMEOUT: Duration = Duration::from_secs(5);
/// The prefix of the line in `/proc/PID/status` with the hexadecimal mask of signals that have a handler.
const HANDLED_SIGNALS: &str = "SigCgt:";

/// Waits until a process executes its program's own code. Before that it is in the dynamic loader, where no handlers are
/// installed, so a signal terminates it whatever the program does. The first code of a program installs handlers: its own
/// or those of the Rust runtime.
pub(crate) fn await_program_start(process: u32) {
    let started_at = Instant::now();
    while !has_handlers(process) && started_at.elapsed() < START_TIMEOUT {
        std::thread::yield_now();
    }
}

/// Whether the process handles any signal. Also true if the process has terminated.
fn has_handlers(process: u32) -> bool {
    let Ok(status) = std::fs::read_to_string(format!("/proc/{process}/status")) else {
        return true;
    };
    let is_zombie = status.lines().any(|line| line.starts_with("State:\tZ"));
    let handled = status
        .lines()
        .find_map(|line| line.strip_prefix(HANDLED_SIGNALS));
    let handled_mask = handled.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
    is_zombie || handled_mask != Some(0)
}
