//! SIGHUPs that come before a program can reload its settings.
//!
//! A supervisor may tell a process that its settings have changed as soon as the process exists, and without a handler
//! the signal ends it. So a deployed program counts SIGHUPs from before `main`, and [`reload_signal`] reports the ones
//! that came since then.
//!
//! [`reload_signal`]: crate::command_line::reload_signal

use std::sync::atomic::{AtomicU64, Ordering};

static HANGUP_COUNT: AtomicU64 = AtomicU64::new(0);

extern "C" fn count_hangup(_signal: libc::c_int) {
    HANGUP_COUNT.fetch_add(1, Ordering::Relaxed);
}

/// From now on SIGHUPs are counted and do not end the process. It needs nothing of Rust's runtime, so that a program
/// may call it before `main`.
pub fn start_counting() {
    let handler = count_hangup as extern "C" fn(libc::c_int);
    // SAFETY: the handler does nothing but add to an atomic, which is allowed in a handler of signals.
    unsafe {
        libc::signal(libc::SIGHUP, handler as libc::sighandler_t);
    }
}

/// Whether a SIGHUP has come since they are counted.
pub(crate) fn any_received() -> bool {
    HANGUP_COUNT.load(Ordering::Relaxed) > 0
}
