//! The claims quorum: before a new leader issues leases, a majority of the members that may hold leases of an
//! earlier leader has claimed what it holds, and the others have claimed as well or their leases have run out.

use super::events::{ClaimsQuorumFields, MemberFields};
use super::{LeaderOutput, LeaderState, QuorumProof};
use common::clock::MonotonicTime;
use common::events;
use common::frames::KnownMember;
use common::identity::{FunctionKey, MemberName, Version};
use common::rules::Rule;
use common::spec::ListedMember;
use std::collections::BTreeSet;

/// From one asking for the lists to the next, while something may run that is not known.
const LIST_REQUEST_INTERVAL: std::time::Duration = std::time::Duration::from_millis(150);

/// Who has to claim, and whether the quorum stands.
pub(super) struct ClaimsQuorum {
    /// The members that may hold leases of an earlier leader, as the control quorum's heartbeats name them.
    pub last_known: BTreeSet<KnownMember>,
    /// Whether there are surely no others.
    pub last_known_complete: bool,
    /// The committed membership at the election, without the members dropped since.
    pub awaited_members: BTreeSet<ListedMember>,
    /// When a member last came back as another incarnation.
    pub member_restarted_at: MonotonicTime,
    /// Whether the quorum was reached with a claim from everybody.
    pub all_claimed: bool,
    pub is_open: bool,
    /// When the quorum was reached; the election before that.
    pub opened_at: MonotonicTime,
    /// The version that was committed at the election.
    pub inherited_version: Version,
    /// Whether no function existed in that version.
    pub inherits_no_functions: bool,
}

impl ClaimsQuorum {
    pub fn new(
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
            is_open: false,
            opened_at: elected_at,
            inherited_version: Version(0),
            inherits_no_functions: false,
        }
    }
}

impl LeaderState {
    pub(super) fn open_if_due(&mut self, now: MonotonicTime, proof: &QuorumProof<'_>) {
        if self.claims.is_open || !proof.ready || self.configuration.document.is_none() {
            return;
        }
        if now.since(self.elected_at) > self.timing.drop_absent_after {
            let current_incarnations = &self.members.current;
            let (remaining, dropped): (BTreeSet<KnownMember>, BTreeSet<KnownMember>) =
                std::mem::take(&mut self.claims.last_known)
                    .into_iter()
                    .partition(|known_member| {
                        current_incarnations.contains_key(&known_member.member)
                    });
            self.members.changed |= !dropped.is_empty();
            self.claims.last_known = remaining;
            let dropped_listed = self.drop_missing_awaited();
            let dropped_names: BTreeSet<MemberName> = dropped
                .into_iter()
                .map(|known| known.member)
                .chain(dropped_listed.into_iter().map(|listed| listed.member))
                .collect();
            for dropped_name in dropped_names {
                let fields = MemberFields {
                    member: &dropped_name,
                };
                self.record_event(events::ABSENT_MEMBER_DROPPED, fields);
            }
        }
        if !self.claims.awaited_members.is_empty() {
            self.open_by_membership(now);
            return;
        }
        let has_claimed = |known_member: &KnownMember| {
            self.members
                .records
                .get(known_member)
                .is_some_and(|record| record.claimed)
        };
        let has_successor_claimed = |known_member: &KnownMember| {
            self.members
                .current
                .get(&known_member.member)
                .is_some_and(&has_claimed)
        };
        let claimed_count = self
            .claims
            .last_known
            .iter()
            .filter(|known| has_successor_claimed(known))
            .count();
        let has_majority =
            self.claims.last_known.is_empty() || claimed_count * 2 > self.claims.last_known.len();
        let is_restarted = |known: &KnownMember| {
            let current_incarnation = self.members.current.get(&known.member);
            current_incarnation.is_some_and(|restarted_member| {
                known.is_other_incarnation_of(restarted_member) && has_claimed(restarted_member)
            })
        };
        let has_restarted = self.claims.last_known.iter().any(&is_restarted);
        let restart_settled_at = self.claims.member_restarted_at + self.timing.start_settle;
        let list_complete_from = if has_restarted {
            restart_settled_at.max(self.elected_at)
        } else {
            self.elected_at
        };
        let is_list_new = self.runner_lists.listed_at >= list_complete_from;
        let all_claimed = self.claims.last_known_complete
            && !self.claims.last_known.is_empty()
            && is_list_new
            && self
                .claims
                .last_known
                .iter()
                .all(|known| has_claimed(known) || is_restarted(known));
        let full_wait_end = self.elected_at + self.timing.claims_wait;
        let has_waited = now >= full_wait_end
            && self.runner_lists.listed_at >= full_wait_end + self.timing.start_settle;
        let is_due = has_majority && (all_claimed || has_waited);
        if self.claims.inherits_no_functions
            || is_due
            || !self.rules.enforces(Rule::ClaimsQuorumAwaited)
        {
            self.open(
                now,
                self.claims.last_known.len(),
                claimed_count,
                all_claimed,
            );
        }
    }

    /// The committed roster names whoever may hold a grant: when each of them has claimed, or its place
    /// has, nothing else holds anything. Those that do not come are waited for until their grants have
    /// ended, and the platform's list shows what they left.
    fn open_by_membership(&mut self, now: MonotonicTime) {
        let claimed_count = self.count_claimed_names();
        let has_majority = claimed_count * 2 > self.claims.awaited_members.len();
        let all_claimed = self.have_all_awaited_claimed();
        let full_wait_end = self.elected_at + self.timing.claims_wait;
        let has_waited = now >= full_wait_end
            && self.runner_lists.listed_at >= full_wait_end + self.timing.start_settle;
        let skips_wait = has_majority && !self.rules.enforces(Rule::ListedMembersAwaited);
        let is_due = all_claimed || (has_majority && has_waited);
        if is_due || skips_wait || !self.rules.enforces(Rule::ClaimsQuorumAwaited) {
            if all_claimed {
                self.runner_lists.complete_from = self.compute_list_complete_from();
            }
            self.open(
                now,
                self.claims.awaited_members.len(),
                claimed_count,
                all_claimed,
            );
        }
    }

    fn open(&mut self, now: MonotonicTime, last_known: usize, claimed: usize, all_claimed: bool) {
        self.claims.is_open = true;
        self.runner_lists.requested_at = MonotonicTime::ZERO;
        self.members.changed = true;
        self.membership_list.check_due = true;
        self.acquisitions.check_due = true;
        self.claims.opened_at = now;
        self.claims.all_claimed = all_claimed;
        self.register_pending_list();
        let fields = ClaimsQuorumFields {
            last_known,
            claimed,
            all_claimed,
            waited_ms: now.since(self.elected_at).as_millis() as u64,
            functions: self.lease_records.len(),
        };
        self.record_event(events::CLAIMS_QUORUM_REACHED, fields);
    }

    /// The lists are asked for at the election, and again from the opening on until everything is known
    /// that earlier lives left.
    pub(super) fn request_lists(&mut self, now: MonotonicTime) {
        let is_wanted = self.runner_lists.requested_at == MonotonicTime::ZERO
            || (self.claims.is_open && !self.is_runner_list_complete());
        if is_wanted && now.since(self.runner_lists.requested_at) >= LIST_REQUEST_INTERVAL {
            self.runner_lists.requested_at = now;
            self.outputs.push(LeaderOutput::RequestLists);
        }
    }

    /// From when on transactions that may run only once are safe with a function never granted by
    /// this leader: whoever held it had stopped when the claims quorum stood, or when every grant of
    /// an earlier leader had ended. A function that is
    /// younger than this reign was held by nobody.
    pub(super) fn once_safe_from(&self, function: &FunctionKey) -> MonotonicTime {
        if function.generation > self.claims.inherited_version {
            return MonotonicTime::ZERO;
        }
        let stopped_at = self
            .claims
            .opened_at
            .min(self.elected_at + self.timing.full_lease_wait());
        stopped_at + self.longest_delay()
    }

    /// How long a transaction may be under way: its budget, and a member grant for which a daemon
    /// on its way may have been frozen without losing the right to pass it on.
    pub(super) fn longest_delay(&self) -> std::time::Duration {
        self.configuration.longest_timeout + self.timing.lease_length
    }
}
