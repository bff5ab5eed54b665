//! The claims quorum: before a new leader issues leases, a majority of the members that may hold leases of an
//! earlier leader must have claimed, and each of the others must have claimed or its lease must have expired.

use super::{EventDetail, LeaderOutput, LeaderState, QuorumConfirmation};
use common::clock::MonotonicTime;
use common::events;
use common::frames::KnownMember;
use common::identity::{MemberName, Version};
use common::rules::Rule;
use common::spec::{Document, ListedMember};
use std::collections::BTreeSet;
use std::time::Duration;

/// Interval between requests for the platform's lists while unknown runners may exist.
const LIST_REQUEST_INTERVAL: Duration = Duration::from_millis(150);

/// The members that have to claim, and whether the quorum is reached.
pub(super) struct ClaimsQuorum {
    /// The members that may hold leases of an earlier leader, as named in the control quorum's heartbeats.
    pub last_known: BTreeSet<KnownMember>,
    /// Whether no other member can hold such a lease.
    pub last_known_complete: bool,
    /// The membership inherited from earlier leaders, without the members dropped since.
    pub awaited_members: BTreeSet<ListedMember>,
    /// When a member last reconnected as another incarnation.
    pub member_restarted_at: MonotonicTime,
    /// Whether the quorum was reached with claims from all members.
    pub all_claimed: bool,
    pub is_reached: bool,
    /// When the quorum was reached; until then, when the leader was elected.
    pub reached_at: MonotonicTime,
    /// The version inherited from earlier leaders: that of the first document committed in this term.
    pub inherited_version: Version,
    /// Whether that version has no functions.
    pub inherits_no_functions: bool,
}

impl ClaimsQuorum {
    /// Creates the state at an election, before the first document is committed in the term.
    pub(super) fn new(
        elected_at: MonotonicTime,
        last_known: BTreeSet<KnownMember>,
        last_known_complete: bool,
    ) -> Self {
        Self {
            last_known,
            last_known_complete,
            awaited_members: BTreeSet::new(),
            member_restarted_at: MonotonicTime::ZERO,
            all_claimed: false,
            is_reached: false,
            reached_at: elected_at,
            inherited_version: Version(0),
            inherits_no_functions: false,
        }
    }

    /// Takes the membership and functions of earlier leaders from the first document committed in this term.
    pub(super) fn inherit(&mut self, document: &Document) {
        self.inherited_version = document.document_version.version;
        self.inherits_no_functions = document.generations.is_empty();
        self.awaited_members = document.membership.clone();
    }

    /// Whether a claim is awaited from another incarnation of a member.
    pub(super) fn expects_other_incarnation_of(&self, known_member: &KnownMember) -> bool {
        self.last_known
            .iter()
            .any(|known| known.is_other_incarnation_of(known_member))
    }
}

/// How many of the members known to an earlier leader have claimed.
struct ClaimCount {
    /// Number of members that have to claim.
    expected: usize,
    /// Number of members that have claimed in any incarnation.
    claimed: usize,
    /// Whether no unclaimed lease or runner can exist.
    all_claimed: bool,
}

impl ClaimCount {
    fn has_majority(&self) -> bool {
        self.expected == 0 || self.claimed * 2 > self.expected
    }
}

impl LeaderState {
    /// Completes the claims quorum once its conditions are met. A lease issued earlier could go to a second holder
    /// while the first one is merely slow to claim it.
    pub(super) fn update_claims_quorum(
        &mut self,
        now: MonotonicTime,
        confirmation: &QuorumConfirmation<'_>,
    ) {
        if self.claims.is_reached || !confirmation.ready || self.configuration.document.is_none() {
            return;
        }
        if now.since(self.elected_at) > self.timing.drop_absent_after {
            self.drop_absent_members();
        }
        if !self.claims.awaited_members.is_empty() {
            self.update_by_membership(now);
            return;
        }
        let count = self.count_last_known();
        let is_due = count.has_majority() && (count.all_claimed || self.has_waited_for_claims(now));
        if self.claims.inherits_no_functions
            || is_due
            || !self.rules.enforces(Rule::ClaimsQuorumAwaited)
        {
            self.complete_claims_quorum(now, &count);
        }
    }

    /// Excludes members that have been absent for [`drop_absent_after`](super::LeaderTiming::drop_absent_after) from
    /// the majority. Their leases are still waited out.
    fn drop_absent_members(&mut self) {
        let members = &self.members;
        let is_back = |known: &KnownMember| members.current_incarnation(&known.member).is_some();
        let (remaining, dropped): (BTreeSet<KnownMember>, BTreeSet<KnownMember>) =
            std::mem::take(&mut self.claims.last_known)
                .into_iter()
                .partition(is_back);
        if !dropped.is_empty() {
            self.members.mark_changed();
        }
        self.claims.last_known = remaining;
        let dropped_listed = self.drop_missing_awaited();
        let dropped_names: BTreeSet<MemberName> = dropped
            .into_iter()
            .map(|known| known.member)
            .chain(dropped_listed.into_iter().map(|listed| listed.member))
            .collect();
        for member in dropped_names {
            self.record_event(
                events::ABSENT_MEMBER_DROPPED,
                EventDetail::Member { member },
            );
        }
    }

    /// Counts the claims of the members named in heartbeats. Used while no membership list is committed.
    fn count_last_known(&self) -> ClaimCount {
        let last_known = &self.claims.last_known;
        let has_successor_claimed = |known: &&KnownMember| {
            let current = self.members.current_incarnation(&known.member);
            current.is_some_and(|current| self.has_claimed(current))
        };
        let claims_or_restarted =
            |known: &KnownMember| self.has_claimed(known) || self.has_restarted_and_claimed(known);
        let is_list_new = self.runner_lists.listed_at >= self.last_known_listed_from();
        ClaimCount {
            expected: last_known.len(),
            claimed: last_known.iter().filter(has_successor_claimed).count(),
            all_claimed: self.claims.last_known_complete
                && !last_known.is_empty()
                && is_list_new
                && last_known.iter().all(claims_or_restarted),
        }
    }

    fn has_claimed(&self, known_member: &KnownMember) -> bool {
        let record = self.members.get(known_member);
        record.is_some_and(|record| record.claimed)
    }

    /// Whether another incarnation has replaced the member's and has claimed.
    fn has_restarted_and_claimed(&self, known: &KnownMember) -> bool {
        let current = self.members.current_incarnation(&known.member);
        current.is_some_and(|restarted_member| {
            known.is_other_incarnation_of(restarted_member) && self.has_claimed(restarted_member)
        })
    }

    /// Returns the instant from which the platform's list shows what restarted members left. Starts that an earlier
    /// incarnation requested may reach the platform shortly after its end.
    fn last_known_listed_from(&self) -> MonotonicTime {
        let has_restarted = self
            .claims
            .last_known
            .iter()
            .any(|known| self.has_restarted_and_claimed(known));
        if has_restarted {
            let starts_arrived_by = self.claims.member_restarted_at + self.timing.start_request_lag;
            starts_arrived_by.max(self.elected_at)
        } else {
            self.elected_at
        }
    }

    /// Whether all leases of earlier leaders have expired and the platform's list shows the runners they left.
    fn has_waited_for_claims(&self, now: MonotonicTime) -> bool {
        let full_wait_end = self.elected_at + self.timing.claims_wait;
        now >= full_wait_end
            && self.runner_lists.listed_at >= full_wait_end + self.timing.start_request_lag
    }

    /// Evaluates the quorum by the committed membership list, which names every member that may hold a lease. Once
    /// each of them, or another incarnation at its address, has claimed, no other lease can exist.
    fn update_by_membership(&mut self, now: MonotonicTime) {
        let count = ClaimCount {
            expected: self.claims.awaited_members.len(),
            claimed: self.count_claimed_names(),
            all_claimed: self.have_all_awaited_claimed(),
        };
        let has_majority = count.has_majority();
        let skips_wait = has_majority && !self.rules.enforces(Rule::ListedMembersAwaited);
        let is_due = count.all_claimed || (has_majority && self.has_waited_for_claims(now));
        if is_due || skips_wait || !self.rules.enforces(Rule::ClaimsQuorumAwaited) {
            if count.all_claimed {
                self.runner_lists.complete_from = self.compute_list_complete_from();
            }
            self.complete_claims_quorum(now, &count);
        }
    }

    fn complete_claims_quorum(&mut self, now: MonotonicTime, count: &ClaimCount) {
        self.claims.is_reached = true;
        self.claims.reached_at = now;
        self.claims.all_claimed = count.all_claimed;
        self.runner_lists.requested_at = MonotonicTime::ZERO;
        self.members.mark_changed();
        self.membership_list.check_due = true;
        self.acquisitions.check_due = true;
        self.register_pending_list();
        let detail = EventDetail::ClaimsQuorum {
            last_known: count.expected,
            claimed: count.claimed,
            all_claimed: count.all_claimed,
            waited_ms: now.since(self.elected_at).as_millis() as u64,
            functions: self.lease_records.len(),
        };
        self.record_event(events::CLAIMS_QUORUM_REACHED, detail);
    }

    /// Requests the platform's lists at the election, and repeatedly once the quorum is reached until they show
    /// everything that earlier incarnations left.
    pub(super) fn request_lists(&mut self, now: MonotonicTime) {
        let is_wanted = self.runner_lists.requested_at == MonotonicTime::ZERO
            || (self.claims.is_reached && !self.is_runner_list_complete());
        if is_wanted && now.since(self.runner_lists.requested_at) >= LIST_REQUEST_INTERVAL {
            self.runner_lists.requested_at = now;
            self.outputs.push(LeaderOutput::RequestLists);
        }
    }
}
