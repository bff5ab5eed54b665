//! The retry budget of a holder: limits retries to a share of the first attempts, so that retries cannot amplify an
//! overload.

use super::Tuning;
use common::clock::MonotonicTime;
use std::collections::VecDeque;
use std::time::Duration;

/// The sliding window in which attempts are counted.
const WINDOW: Duration = Duration::from_secs(10);
/// The time that one bucket covers, in milliseconds. The window moves in steps of this.
const BUCKET_MS: u64 = 100;

/// The attempts that were counted in one part of the window.
struct Bucket {
    /// The bucket's time since the start of the clock, in units of [`BUCKET_MS`].
    index: u64,
    first_attempts: u64,
    retries: u64,
}

/// Counts first attempts and retries in a sliding window of ten seconds.
pub(super) struct RetryBudget {
    started_at: MonotonicTime,
    /// The number of retries allowed per hundred first attempts.
    percent: u64,
    /// The number of retries allowed in addition to that share.
    allowance: u64,
    /// Whether the allowance also applies during the first window.
    allowance_immediate: bool,
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// Creates a budget with no attempts counted.
    pub(super) fn new(now: MonotonicTime, tuning: &Tuning) -> Self {
        Self {
            started_at: now,
            percent: tuning.retry_percent,
            allowance: tuning.retry_allowance,
            allowance_immediate: tuning.retry_allowance_immediate,
            buckets: VecDeque::new(),
        }
    }

    /// Returns the current bucket, and removes buckets older than the window.
    fn bucket(&mut self, now: MonotonicTime) -> &mut Bucket {
        let index = now.millis() / BUCKET_MS;
        let oldest_index = index.saturating_sub(WINDOW.as_millis() as u64 / BUCKET_MS);
        while self
            .buckets
            .front()
            .is_some_and(|bucket| bucket.index < oldest_index)
        {
            self.buckets.pop_front();
        }
        if self
            .buckets
            .back()
            .is_none_or(|bucket| bucket.index < index)
        {
            self.buckets.push_back(Bucket {
                index,
                first_attempts: 0,
                retries: 0,
            });
        }
        let newest_index = self.buckets.len() - 1;
        &mut self.buckets[newest_index]
    }

    /// Counts a request as a first attempt, unless its caller marked it as a retry.
    pub(super) fn record_attempt(&mut self, now: MonotonicTime, is_retry: bool) {
        if !is_retry {
            self.bucket(now).first_attempts += 1;
        }
    }

    /// Whether one more retry is within the budget. The number of first attempts is capped at twice that of the last
    /// half window, so that a past peak does not allow retries now.
    pub(super) fn has_retry_budget(&mut self, now: MonotonicTime) -> bool {
        let index = self.bucket(now).index;
        let half_window_index = index.saturating_sub(WINDOW.as_millis() as u64 / BUCKET_MS / 2);
        let oldest_index = index.saturating_sub(WINDOW.as_millis() as u64 / BUCKET_MS);
        let window_buckets = self
            .buckets
            .iter()
            .filter(|bucket| bucket.index > oldest_index);
        let window_first_attempts: u64 = window_buckets.map(|bucket| bucket.first_attempts).sum();
        let recent_buckets = self
            .buckets
            .iter()
            .filter(|bucket| bucket.index >= half_window_index);
        let recent_first_attempts: u64 = recent_buckets.map(|bucket| bucket.first_attempts).sum();
        let retries: u64 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let is_window_full = now.since(self.started_at) >= WINDOW;
        let allowance = if is_window_full || self.allowance_immediate {
            self.allowance
        } else {
            0
        };
        retries
            < window_first_attempts.min(recent_first_attempts * 2) * self.percent / 100 + allowance
    }

    /// Counts a retry.
    pub(super) fn spend(&mut self, now: MonotonicTime) {
        self.bucket(now).retries += 1;
    }
}
