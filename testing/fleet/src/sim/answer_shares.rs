//! The share of calls that are answered once all faults have been undone.

use common::identity::IdempotencyKey;
use std::collections::BTreeMap;
use std::time::Duration;

/// The length of the spans by which calls are grouped.
const SPAN: Duration = Duration::from_millis(500);
/// The number of spans in which calls are counted. With the default settling time of 20 s, they end 3 s before the
/// run does, which is the longest time that an ordinary caller waits.
const COUNTED_SPANS: usize = 34;
/// The number of spans in a second.
const SPANS_PER_SECOND: usize = 2;
/// The number of seconds after the end of the faults from which most calls must be answered.
const SETTLED_SECOND: usize = 12;

/// The calls of one span, and how many of them were answered.
#[derive(Clone, Copy, Default)]
pub(super) struct AnswerShare {
    /// The number of calls.
    pub calls: u64,
    /// The number of calls that were answered.
    pub answers: u64,
}

impl AnswerShare {
    fn sum(shares: &[AnswerShare]) -> Self {
        Self {
            calls: shares.iter().map(|share| share.calls).sum(),
            answers: shares.iter().map(|share| share.answers).sum(),
        }
    }
}

/// The calls made after all faults were undone, grouped by half second.
#[derive(Default)]
pub(super) struct AnswerShares {
    span_of_call: BTreeMap<IdempotencyKey, usize>,
    by_span: Vec<AnswerShare>,
}

impl AnswerShares {
    /// Counts a call that was made this long after all faults were undone.
    pub(super) fn record_call(&mut self, after: Duration, idempotency_key: &IdempotencyKey) {
        let span = (after.as_millis() / SPAN.as_millis()) as usize;
        if span >= COUNTED_SPANS {
            return;
        }
        if self.by_span.len() <= span {
            self.by_span.resize(span + 1, AnswerShare::default());
        }
        self.by_span[span].calls += 1;
        self.span_of_call.insert(idempotency_key.clone(), span);
    }

    /// Counts the first answer to a call.
    pub(super) fn record_answer(&mut self, idempotency_key: &IdempotencyKey) {
        if let Some(span) = self.span_of_call.remove(idempotency_key) {
            self.by_span[span].answers += 1;
        }
    }

    /// Returns the shares by second with the number of the second, from the first in which most calls must be answered.
    pub(super) fn settled_seconds(&self) -> impl Iterator<Item = (u64, AnswerShare)> {
        self.by_span
            .chunks(SPANS_PER_SECOND)
            .enumerate()
            .skip(SETTLED_SECOND)
            .map(|(second, spans)| (second as u64, AnswerShare::sum(spans)))
    }

    /// Returns the share of answered calls among those made after [`SETTLED_SECOND`].
    pub(super) fn settled_share(&self) -> f64 {
        let settled = self
            .by_span
            .get(SETTLED_SECOND * SPANS_PER_SECOND..)
            .unwrap_or_default();
        let sum = AnswerShare::sum(settled);
        sum.answers as f64 / sum.calls.max(1) as f64
    }

    /// Returns the time after which at least half of the calls in every span were answered.
    pub(super) fn recovered_after(&self) -> Duration {
        let is_down = |share: &AnswerShare| share.answers * 2 < share.calls;
        let last_down = self.by_span.iter().rposition(is_down);
        SPAN * last_down.map_or(0, |last| last as u32 + 1)
    }
}
