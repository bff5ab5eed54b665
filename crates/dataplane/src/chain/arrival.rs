//! One request at the daemon that took it: what is learned of it on its way, and what is counted and logged of its
//! end.

use crate::drivers::State;
use common::clock::Moment;
use common::events;
use common::http::Served;
use common::identity::{MemberName, TransactionId};
use common::tongue::Said;
use std::fmt;
use std::time::Duration;

/// A request that ends later than that after its deadline is counted as overdue.
const OVERDUE_AFTER: Duration = Duration::from_millis(250);

/// The outcome that is counted of a request whose caller left before it ended.
const LEFT: &str = "left";

/// One request at the daemon that took it.
pub struct Arrival<'a> {
    state: &'a State,
    /// When its head was read.
    pub began_at: Moment,
    /// Its identity, once that is read.
    pub transaction: Option<TransactionId>,
    /// Its route, once that is found.
    pub route: Option<String>,
    /// When its caller, or its route, gives it up.
    pub deadline: Option<Moment>,
    /// Who held its function, if that is known.
    pub holder: Option<MemberName>,
    is_answered: bool,
}

impl<'a> Arrival<'a> {
    /// A request whose head has just been read.
    pub fn new(state: &'a State) -> Self {
        Self {
            state,
            began_at: Moment::now(),
            transaction: None,
            route: None,
            deadline: None,
            holder: None,
            is_answered: false,
        }
    }

    /// Counts how it ended, logs it if it has no answer, and has the response made.
    pub fn answered(mut self, said: Said) -> Served {
        self.is_answered = true;
        let now = Moment::now();
        let (outcome, reason) = match &said {
            Said::Answer { .. } => ("answer", ""),
            Said::NotRun { reason, .. } => ("not_run", *reason),
            Said::Unknown { reason, .. } => ("unknown", reason.as_str()),
        };
        self.count(now, outcome, reason);
        if self.deadline.is_some_and(|deadline| now > deadline + OVERDUE_AFTER) {
            self.state.gauges.overdue.inc();
        }
        if !matches!(said, Said::Answer { .. }) {
            let detail = format_args!("{self} {outcome} {reason}");
            self.state.request_log.write(events::REQUEST_FAILED, detail);
        }
        self.state.tongues.door.say(self.transaction.as_ref(), said)
    }

    fn count(&self, now: Moment, outcome: &str, reason: &str) {
        let gauges = &self.state.gauges;
        gauges.outcomes.with_label_values(&[outcome, reason]).inc();
        let taken = now.since(self.began_at).as_secs_f64();
        gauges.request_seconds.with_label_values(&[outcome]).observe(taken);
    }
}

impl fmt::Display for Arrival<'_> {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let transaction = self.transaction.as_ref().map_or("-", |named| named.as_str());
        let route = self.route.as_deref().unwrap_or("-");
        let holder = self.holder.as_ref().map_or("-", |named| named.as_str());
        let taken_ms = Moment::now().since(self.began_at).as_millis();
        write!(out, "{transaction} route {route} holder {holder} after {taken_ms} ms")
    }
}

impl Drop for Arrival<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.count(Moment::now(), LEFT, "");
        }
    }
}
