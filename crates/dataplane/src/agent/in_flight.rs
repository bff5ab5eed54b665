//! The requests in flight through a daemon.

use common::identity::Ticket;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

/// Counts a daemon's in-flight requests, and issues their tickets.
pub(super) struct InFlightRequests {
    count: Arc<AtomicUsize>,
    next_ticket: AtomicU64,
}

impl InFlightRequests {
    /// Creates a counter of zero requests.
    pub(crate) fn new() -> Self {
        Self {
            count: Arc::new(AtomicUsize::new(0)),
            next_ticket: AtomicU64::new(1),
        }
    }

    /// Returns a ticket that is unique in this process.
    pub(crate) fn next_ticket(&self) -> Ticket {
        Ticket(self.next_ticket.fetch_add(1, Ordering::Relaxed))
    }

    /// Counts a request as in flight until the guard is dropped.
    pub(crate) fn track(&self) -> InFlightGuard {
        self.count.fetch_add(1, Ordering::AcqRel);
        InFlightGuard(self.count.clone())
    }

    /// Returns the number of requests in flight.
    pub(crate) fn count(&self) -> usize {
        self.count.load(Ordering::Acquire)
    }
}

/// Counts one request as in flight until it is dropped.
pub struct InFlightGuard(Arc<AtomicUsize>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
