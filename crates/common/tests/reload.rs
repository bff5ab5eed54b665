//! Reloads of the settings while a process runs.

use common::command_line::apply_on_reload;
use googletest::prelude::*;
use std::cell::{Cell, RefCell};
use tokio::sync::watch;

/// Guards against a process that applies no more settings after a reload that could not read them.
#[gtest]
fn unreadable_settings_are_skipped_and_the_next_readable_ones_applied() -> Result<()> {
    let runtime = common::command_line::runtime(1)?;
    let (reload_sender, reload) = watch::channel(0_u64);
    let reads = Cell::new(0);
    let applied = RefCell::new(Vec::new());
    runtime.block_on(async {
        let read = || {
            reads.set(reads.get() + 1);
            if reads.get() == 1 {
                Err("not readable")
            } else {
                Ok(reads.get())
            }
        };
        let applying = apply_on_reload(reload, read, async |settings| {
            applied.borrow_mut().push(settings);
        });
        let reads = &reads;
        let reloading = async move {
            for read_count in 1..=2 {
                reload_sender.send_modify(|count| *count += 1);
                while reads.get() < read_count {
                    tokio::task::yield_now().await;
                }
            }
        };
        tokio::join!(applying, reloading);
    });
    verify_that!(reads.get(), eq(2))?;
    verify_that!(*applied.borrow(), elements_are![eq(&2)])
}

/// Guards against changed settings that are not read again: the signal arrives during start-up, before the process
/// waits for it.
#[gtest]
fn a_sighup_during_start_up_is_reported_by_the_reload_signal() -> Result<()> {
    let runtime = common::command_line::runtime(1)?;
    runtime.block_on(async {
        common::hangups::start_counting();
        // SAFETY: the signal has a handler, which runs on this thread before the call returns.
        unsafe { libc::raise(libc::SIGHUP) };
        let reload = common::command_line::reload_signal()?;
        verify_that!(reload.has_changed()?, eq(true))
    })
}
