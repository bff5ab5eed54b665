//! A rate-limited log of requests that did not end with a response. Its lines allow a request to be traced by its
//! idempotency key from the ingress daemon to the runner and back.

use common::clock::MonotonicTime;
use common::events::{self, Event};
use common::log_event;
use std::fmt;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// The window over which lines are counted for the rate limit.
const WINDOW: Duration = Duration::from_secs(1);
/// The maximum number of lines per window.
const MAX_LINES: u32 = 20;

#[derive(Default)]
struct LogWindow {
    started_at: MonotonicTime,
    logged: u32,
    suppressed: u32,
}

impl LogWindow {
    /// Returns whether one more line is within the limit, and, if this call starts a new window, how many lines were
    /// suppressed in the previous one.
    fn admit(&mut self, now: MonotonicTime) -> (bool, u32) {
        let mut suppressed = 0;
        if now.since(self.started_at) >= WINDOW {
            suppressed = self.suppressed;
            *self = Self {
                started_at: now,
                logged: 0,
                suppressed: 0,
            };
        }
        let is_admitted = self.logged < MAX_LINES;
        if is_admitted {
            self.logged += 1;
        } else {
            self.suppressed += 1;
        }
        (is_admitted, suppressed)
    }
}

/// A rate-limited log of requests without a response.
#[derive(Default)]
pub struct RequestLog {
    window: Mutex<LogWindow>,
}

impl RequestLog {
    /// Writes a line unless the limit is reached. The first call of a later window logs how many lines were suppressed.
    pub fn write(&self, event: Event, detail: impl fmt::Display) {
        let (is_admitted, suppressed) = {
            let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
            window.admit(MonotonicTime::now())
        };
        if suppressed > 0 {
            log_event!(Info, events::REQUESTS_NOT_LOGGED, "{suppressed}");
        }
        if is_admitted {
            log_event!(Info, event, "{detail}");
        }
    }
}
