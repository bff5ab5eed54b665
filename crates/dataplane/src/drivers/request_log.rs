//! What a daemon writes of requests that did not end with an answer: enough to follow one by its identity from the
//! daemon that took it to the runner and back, and never more lines than a small processor can bear.

use common::clock::Moment;
use common::events::{self, Event};
use common::note;
use std::fmt;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// The span over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// The most lines in one window.
const MOST_LINES: u32 = 20;

#[derive(Default)]
struct Window {
    began_at: Moment,
    written: u32,
    left_out: u32,
}

impl Window {
    /// Whether one more line fits; and how many were left out in a window that has just ended.
    fn admit(&mut self, now: Moment) -> (bool, u32) {
        let mut left_out = 0;
        if now.since(self.began_at) >= WINDOW {
            left_out = self.left_out;
            *self = Self { began_at: now, written: 0, left_out: 0 };
        }
        let fits = self.written < MOST_LINES;
        if fits {
            self.written += 1;
        } else {
            self.left_out += 1;
        }
        (fits, left_out)
    }
}

/// The log of requests without an answer.
#[derive(Default)]
pub struct RequestLog {
    window: Mutex<Window>,
}

impl RequestLog {
    /// Writes a line, unless too many were written within a second; how many were left out is said with the next.
    pub fn write(&self, event: Event, detail: impl fmt::Display) {
        let (fits, left_out) = {
            let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
            window.admit(Moment::now())
        };
        if left_out > 0 {
            note!(Info, events::REQUESTS_NOT_LOGGED, "{left_out}");
        }
        if fits {
            note!(Info, event, "{detail}");
        }
    }
}
