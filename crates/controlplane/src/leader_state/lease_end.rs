//! The end of function leases, and how it delays requests that must not run twice.

use super::{EventDetail, LeaderState, StreamId};
use common::clock::MonotonicTime;
use common::events;
use common::frames::{ClaimedRunner, LengthPrefixed, PreviousLease};
use common::identity::{FencingToken, FunctionKey};
use common::invariants::{Invariant, require};
use std::collections::BTreeMap;
use std::time::Duration;

/// From when on each function may again accept requests that must not run twice. While requests of an earlier holder
/// may be in flight, such a request waits or is answered from the earlier holder's replica.
#[derive(Default)]
pub(super) struct OnceDelays {
    allowed_from: BTreeMap<FunctionKey, MonotonicTime>,
    previous_leases: BTreeMap<FunctionKey, PreviousLease>,
}

impl OnceDelays {
    /// Returns the previous lease of a function, if its ledger replica can answer for the former holder.
    pub(super) fn previous_lease(&self, function: &FunctionKey) -> Option<&PreviousLease> {
        self.previous_leases.get(function)
    }

    /// Records the end of a lease. `previous_lease` is set if its replica has the complete ledger.
    fn record_lease_end(
        &mut self,
        now: MonotonicTime,
        function: &FunctionKey,
        allowed_from: MonotonicTime,
        previous_lease: Option<PreviousLease>,
    ) {
        match previous_lease {
            Some(previous_lease) => self
                .previous_leases
                .insert(function.clone(), previous_lease),
            None => self.previous_leases.remove(function),
        };
        self.allowed_from.insert(function.clone(), allowed_from);
        self.allowed_from
            .retain(|_, retained_until| *retained_until > now);
        let allowed_from = &self.allowed_from;
        self.previous_leases
            .retain(|remaining, _| allowed_from.contains_key(remaining));
    }
}

impl LeaderState {
    /// Handles the release of a lease with the runners that the member leaves. A member that no longer holds the
    /// lease reports its remaining runners in the same way.
    pub(super) fn handle_release(
        &mut self,
        now: MonotonicTime,
        stream: StreamId,
        function: FunctionKey,
        fencing_token: FencingToken,
        runners: LengthPrefixed<ClaimedRunner>,
    ) {
        let Some(releaser) = self.members.on_stream(stream).cloned() else {
            return;
        };
        let is_holder = self
            .lease_records
            .get(&function)
            .is_some_and(|entry| entry.holder == releaser && entry.fencing_token == fencing_token);
        self.accept_released_runners(now, function.clone(), runners.0);
        if !is_holder {
            return;
        }
        self.begin_fencing(now, &function);
        let detail = EventDetail::Lease {
            function,
            member: releaser.member,
            fencing_token,
        };
        self.record_event(events::LEASE_RELEASED, detail);
    }

    /// Ends a lease under which nothing runs any more, so that the function can be leased again. Requests that must not
    /// run twice wait until none of the former holder's can be in flight; its replica may answer them earlier.
    /// `fencing_since` is when the holder had lost the function.
    pub(super) fn end_lease(
        &mut self,
        now: MonotonicTime,
        function: &FunctionKey,
        fencing_since: MonotonicTime,
    ) {
        self.fencing.finish(function);
        self.acquisitions.check_due = true;
        let ended_lease = self.lease_records.remove(function);
        let lease_end = ended_lease.as_ref().and_then(|entry| entry.lost_lease_end);
        let has_lease_ended = lease_end.is_none_or(|lease_end| now >= lease_end);
        require(
            self.rules,
            Invariant::GrantedAfterLease,
            has_lease_ended,
            || {
                format!(
                    "{function} can be leased again before its holder's session lease has ended"
                )
            },
        );
        let previous_lease = ended_lease
            .filter(|entry| entry.complete)
            .and_then(|entry| {
                let fencing_token = entry.fencing_token;
                entry.replica.map(|replica| PreviousLease {
                    replica,
                    fencing_token,
                })
            });
        let allowed_from = fencing_since + self.longest_delay();
        self.once_delays
            .record_lease_end(now, function, allowed_from, previous_lease);
    }

    /// Returns how long the next holder has to delay requests that must not run twice.
    pub(super) fn once_wait(&self, now: MonotonicTime, function: &FunctionKey) -> Duration {
        let allowed_from = self.once_delays.allowed_from.get(function).copied();
        let safe_from = self.once_safe_from(function);
        allowed_from.unwrap_or_default().max(safe_from).since(now)
    }

    /// Returns the instant from which requests that must not run twice are safe for a function that this leader has
    /// not leased yet. Its holder had stopped when the claims quorum was reached or when every lease of an earlier
    /// leader had ended, and requests that it accepted may be in flight for the longest delay after that. A function
    /// created in this term had no earlier holder.
    fn once_safe_from(&self, function: &FunctionKey) -> MonotonicTime {
        if function.generation > self.claims.inherited_version {
            return MonotonicTime::ZERO;
        }
        let stopped_at = self
            .claims
            .reached_at
            .min(self.elected_at + self.timing.full_lease_wait());
        stopped_at + self.longest_delay()
    }

    /// Returns how long a request may be in flight: its timeout plus one session lease, for which a member that
    /// forwards it may be suspended without losing its lease.
    fn longest_delay(&self) -> Duration {
        self.configuration.longest_timeout + self.timing.lease_length
    }
}
