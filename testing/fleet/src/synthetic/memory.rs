//! An allocator that counts the allocated memory and its peak.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicBool, AtomicIsize, Ordering};

static IS_COUNTING: AtomicBool = AtomicBool::new(false);
static LIVE: AtomicIsize = AtomicIsize::new(0);
static PEAK: AtomicIsize = AtomicIsize::new(0);

/// The system's allocator with counters of allocated bytes, which have to be started. Only one thread may allocate while
/// it counts.
pub struct CountingAllocator;

fn note(change: isize) {
    if IS_COUNTING.load(Ordering::Relaxed) {
        let live = LIVE.load(Ordering::Relaxed) + change;
        LIVE.store(live, Ordering::Relaxed);
        if live > PEAK.load(Ordering::Relaxed) {
            PEAK.store(live, Ordering::Relaxed);
        }
    }
}

unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        note(layout.size() as isize);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        note(-(layout.size() as isize));
        unsafe { System.dealloc(pointer, layout) }
    }

    unsafe fn realloc(&self, pointer: *mut u8, layout: Layout, new_size: usize) -> *mut u8 {
        note(new_size as isize - layout.size() as isize);
        unsafe { System.realloc(pointer, layout, new_size) }
    }
}

/// Starts counting.
pub(super) fn start_counting() {
    IS_COUNTING.store(true, Ordering::Relaxed);
}

/// The bytes allocated since counting started and not freed.
pub(super) fn live() -> u64 {
    LIVE.load(Ordering::Relaxed).max(0) as u64
}

/// Resets the peak; returns the currently allocated bytes.
pub(super) fn reset_peak() -> u64 {
    let live_bytes = LIVE.load(Ordering::Relaxed);
    PEAK.store(live_bytes, Ordering::Relaxed);
    live_bytes.max(0) as u64
}

/// The peak above an earlier number of allocated bytes.
pub(super) fn peak_above(start_bytes: u64) -> u64 {
    (PEAK.load(Ordering::Relaxed).max(0) as u64).saturating_sub(start_bytes)
}
