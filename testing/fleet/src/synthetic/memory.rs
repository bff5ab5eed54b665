//! A global allocator that tracks the allocated memory and its peak.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicBool, AtomicIsize, Ordering};

static IS_COUNTING: AtomicBool = AtomicBool::new(false);
static LIVE_BYTES: AtomicIsize = AtomicIsize::new(0);
static PEAK_BYTES: AtomicIsize = AtomicIsize::new(0);

/// The system allocator with counters of the allocated bytes, which are off at first. While they are on, only one thread
/// may allocate, since they are not updated atomically.
pub struct CountingAllocator;

fn track(change: isize) {
    if IS_COUNTING.load(Ordering::Relaxed) {
        let live = LIVE_BYTES.load(Ordering::Relaxed) + change;
        LIVE_BYTES.store(live, Ordering::Relaxed);
        if live > PEAK_BYTES.load(Ordering::Relaxed) {
            PEAK_BYTES.store(live, Ordering::Relaxed);
        }
    }
}

unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        track(layout.size() as isize);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        track(-(layout.size() as isize));
        unsafe { System.dealloc(pointer, layout) }
    }

    unsafe fn realloc(&self, pointer: *mut u8, layout: Layout, new_size: usize) -> *mut u8 {
        track(new_size as isize - layout.size() as isize);
        unsafe { System.realloc(pointer, layout, new_size) }
    }
}

/// Turns the counters on.
pub(super) fn start_counting() {
    IS_COUNTING.store(true, Ordering::Relaxed);
}

/// Returns the number of bytes allocated, less those freed, since counting started.
pub(super) fn live_bytes() -> u64 {
    LIVE_BYTES.load(Ordering::Relaxed).max(0) as u64
}

/// Resets the peak, and returns the number of currently allocated bytes.
pub(super) fn reset_peak() -> u64 {
    let live_bytes = LIVE_BYTES.load(Ordering::Relaxed);
    PEAK_BYTES.store(live_bytes, Ordering::Relaxed);
    live_bytes.max(0) as u64
}

/// Returns by how much the peak exceeds an earlier number of allocated bytes.
pub(super) fn peak_above(start_bytes: u64) -> u64 {
    (PEAK_BYTES.load(Ordering::Relaxed).max(0) as u64).saturating_sub(start_bytes)
}
