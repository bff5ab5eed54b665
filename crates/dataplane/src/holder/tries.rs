//! The retry budget of a holder.

use super::Tuning;
use common::clock::Moment;
use std::collections::VecDeque;
use std::time::Duration;

const WINDOW: Duration = Duration::from_secs(10);
const BUCKET_MS: u64 = 100;

struct Bucket {
    index: u64,
    firsts: u64,
    extras: u64,
}

/// Counts first and extra tries over the last ten seconds.
pub struct TryWindow {
    started_at: Moment,
    percent: u64,
    allowance: u64,
    allowance_at_once: bool,
    buckets: VecDeque<Bucket>,
}

impl TryWindow {
    /// Starts without credit from before.
    pub fn new(now: Moment, tuning: &Tuning) -> Self {
        Self {
            started_at: now,
            percent: tuning.tries_percent,
            allowance: tuning.tries_allowance,
            allowance_at_once: tuning.tries_allowance_at_once,
            buckets: VecDeque::new(),
        }
    }

    fn bucket(&mut self, now: Moment) -> &mut Bucket {
        let index = now.millis() / BUCKET_MS;
        let oldest_index = index.saturating_sub(WINDOW.as_millis() as u64 / BUCKET_MS);
        while self.buckets.front().is_some_and(|bucket| bucket.index < oldest_index) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|bucket| bucket.index < index) {
            self.buckets.push_back(Bucket { index, firsts: 0, extras: 0 });
        }
        let newest_place = self.buckets.len() - 1;
        &mut self.buckets[newest_place]
    }

    /// Counts a transaction that is no repeat.
    pub fn first_or_repeat(&mut self, now: Moment, repeat: bool) {
        if !repeat {
            self.bucket(now).firsts += 1;
        }
    }

    /// Whether one more extra try stays within the share of the first ones and the allowance.
    pub fn may_spend(&mut self, now: Moment) -> bool {
        let index = self.bucket(now).index;
        let half_index = index.saturating_sub(WINDOW.as_millis() as u64 / BUCKET_MS / 2);
        let oldest_index = index.saturating_sub(WINDOW.as_millis() as u64 / BUCKET_MS);
        let whole_buckets = self.buckets.iter().filter(|bucket| bucket.index > oldest_index);
        let all_firsts: u64 = whole_buckets.map(|bucket| bucket.firsts).sum();
        let late_buckets = self.buckets.iter().filter(|bucket| bucket.index >= half_index);
        let late_firsts: u64 = late_buckets.map(|bucket| bucket.firsts).sum();
        let extras: u64 = self.buckets.iter().map(|bucket| bucket.extras).sum();
        let is_settled = now.since(self.started_at) >= WINDOW;
        let allowance = if is_settled || self.allowance_at_once { self.allowance } else { 0 };
        extras < all_firsts.min(late_firsts * 2) * self.percent / 100 + allowance
    }

    /// Counts an extra try.
    pub fn spend(&mut self, now: Moment) {
        self.bucket(now).extras += 1;
    }
}
