//! Counts SIGHUPs that arrive before a program is ready to reload its settings.
//!
//! A supervisor may send SIGHUP for changed settings as soon as the process exists, and without a handler the signal
//! ends the process. So a deployed program counts SIGHUPs from before `main`, and [`reload_signal`] reports that some
//! arrived.
//!
//! [`reload_signal`]: crate::command_line::reload_signal

use std::sync::atomic::{AtomicU64, Ordering};

static HANGUP_COUNT: AtomicU64 = AtomicU64::new(0);

extern "C" fn count_hangup(_signal: libc::c_int) {
    HANGUP_COUNT.fetch_add(1, Ordering::Relaxed);
}

/// Installs a handler that counts SIGHUPs, which then no longer end the process. Needs nothing of Rust's runtime, so
/// that a program can call it before `main`.
pub fn start_counting() {
    let handler = count_hangup as extern "C" fn(libc::c_int);
    // SAFETY: the handler only adds to an atomic, which is async-signal-safe.
    unsafe {
        libc::signal(libc::SIGHUP, handler as libc::sighandler_t);
    }
}

/// Returns whether a SIGHUP has arrived since [`start_counting`].
pub(crate) fn any_received() -> bool {
    HANGUP_COUNT.load(Ordering::Relaxed) > 0
}
