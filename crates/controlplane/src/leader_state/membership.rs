//! The membership list in the committed document: the members that may hold session leases. The next leader waits
//! for the claims of exactly these members.

use super::members::MemberRecord;
use super::{LeaderState, QuorumConfirmation};
use common::clock::MonotonicTime;
use common::frames::{KnownMember, SocketAddress};
use common::identity::FunctionKey;
use common::spec::ListedMember;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Changes to the list are batched for this long before they are committed together.
const MEMBERSHIP_BATCH_WINDOW: Duration = Duration::from_millis(30);
/// Maximum interval between checks of the membership.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Speed of the slowest clock relative to any other, in tenths.
const SLOWEST_CLOCK_TENTHS: u32 = 9;

/// A listed member that has no record at this leader.
pub(super) struct AbsentMember {
    since: MonotonicTime,
    /// Whether it announced its departure.
    left_gracefully: bool,
}

/// Whether an incarnation proves that no other process is left at a listed address, because it has bound that
/// address itself.
fn supersedes(known: &KnownMember, listed: &ListedMember) -> bool {
    known.address == listed.address
        && (known.member == listed.member || known.address != SocketAddress::UNSPECIFIED)
}

fn listed_member(known: &KnownMember) -> ListedMember {
    ListedMember {
        member: known.member.clone(),
        address: known.address,
    }
}

/// Returns the latest instant, by the local clock, at which an incarnation that reports this age may have started.
pub(super) fn started_at(now: MonotonicTime, age_ms: u32) -> MonotonicTime {
    now - Duration::from_millis(u64::from(age_ms)) * SLOWEST_CLOCK_TENTHS / 10
}

/// Tracks the changes to the membership list that have to be committed.
pub(super) struct MembershipList {
    /// Listed members without a record at this leader.
    absent: BTreeMap<ListedMember, AbsentMember>,
    pub check_due: bool,
    next_check_at: MonotonicTime,
    /// Since when the committed list has differed from the target.
    change_since: Option<MonotonicTime>,
}

impl MembershipList {
    /// Creates the tracker. All listed members count as present until the first check.
    pub(super) fn new(elected_at: MonotonicTime) -> Self {
        Self {
            absent: BTreeMap::new(),
            check_due: true,
            next_check_at: elected_at,
            change_since: None,
        }
    }
}

impl LeaderState {
    fn membership(&self) -> Option<&BTreeSet<ListedMember>> {
        self.configuration
            .document
            .as_ref()
            .map(|document| &document.membership)
    }

    /// Whether a member may get a session lease: the committed membership and any proposed one list it, and a
    /// majority has answered a heartbeat round sent after it joined. Otherwise the next leader might not know that
    /// it has to wait for this lease. If no membership is committed yet, a heartbeat round must have named the
    /// member.
    pub(super) fn may_hold_lease(
        &self,
        known: &KnownMember,
        confirmation: &QuorumConfirmation<'_>,
    ) -> bool {
        let joined_at = self.members.get(known).map(|record| record.joined_at);
        if joined_at.is_none_or(|joined_at| confirmation.quorum_confirmed_at < joined_at) {
            return false;
        }
        let listed = listed_member(known);
        match self.membership() {
            Some(membership) if !membership.is_empty() => {
                membership.contains(&listed)
                    && confirmation
                        .proposed_membership
                        .is_none_or(|proposed| proposed.contains(&listed))
            }
            _ => {
                confirmation
                    .proposed_membership
                    .is_none_or(BTreeSet::is_empty)
                    && (confirmation.is_member_confirmed)(known)
            }
        }
    }

    /// Whether an incarnation at the address of each awaited member has claimed.
    pub(super) fn have_all_awaited_claimed(&self) -> bool {
        self.claims
            .awaited_members
            .iter()
            .all(|listed| self.claimant_at(listed).is_some())
    }

    /// Counts the awaited members whose current incarnation, found by name, has claimed.
    pub(super) fn count_claimed_names(&self) -> usize {
        let has_claimed = |listed: &&ListedMember| {
            self.members
                .current_record(&listed.member)
                .is_some_and(|record| record.claimed)
        };
        self.claims
            .awaited_members
            .iter()
            .filter(has_claimed)
            .count()
    }

    fn claimant_at(&self, listed: &ListedMember) -> Option<&MemberRecord> {
        self.members
            .iter()
            .find(|(known, record)| record.claimed && supersedes(known, listed))
            .map(|(_, record)| record)
    }

    /// Returns the instant from which the platform's list shows all runners that earlier incarnations, or current
    /// ones under earlier leaders, have left.
    pub(super) fn compute_list_complete_from(&self) -> MonotonicTime {
        let claimants = self
            .claims
            .awaited_members
            .iter()
            .filter_map(|listed| self.claimant_at(listed));
        claimants
            .map(|record| {
                let starts_arrived_by = record.started_at + self.timing.start_request_lag;
                if record.had_lease {
                    starts_arrived_by.max(self.elected_at)
                } else {
                    starts_arrived_by
                }
            })
            .max()
            .unwrap_or(self.elected_at)
    }

    /// Whether all unclaimed runners are known.
    pub(super) fn is_runner_list_complete(&self) -> bool {
        self.runner_lists.listed_at >= self.runner_lists.complete_from
    }

    /// Returns the instant from which unclaimed instances in a list count as orphans: the election, or earlier if
    /// every earlier incarnation had ended before it.
    pub(super) fn orphans_detected_from(&self) -> MonotonicTime {
        if self.runner_lists.complete_from == MonotonicTime::ZERO {
            self.elected_at
        } else {
            self.runner_lists.complete_from.min(self.elected_at)
        }
    }

    /// Whether a function may have runners that are not known yet.
    pub(super) fn may_have_unlisted_runners(&self, function: &FunctionKey) -> bool {
        !self.is_runner_list_complete() && function.generation <= self.claims.inherited_version
    }

    /// Stops awaiting members that have not reconnected, and returns them.
    pub(super) fn drop_missing_awaited(&mut self) -> Vec<ListedMember> {
        let members = &self.members;
        let is_back = |listed: &ListedMember| members.current_incarnation(&listed.member).is_some();
        let (remaining, dropped): (BTreeSet<ListedMember>, BTreeSet<ListedMember>) =
            std::mem::take(&mut self.claims.awaited_members)
                .into_iter()
                .partition(is_back);
        self.claims.awaited_members = remaining;
        dropped.into_iter().collect()
    }

    /// Updates which listed members have no record at this leader, and since when.
    fn update_absent_members(&mut self, now: MonotonicTime) {
        let present: BTreeSet<ListedMember> = self.members.known().map(listed_member).collect();
        let membership = self.membership().cloned().unwrap_or_default();
        self.membership_list.absent.retain(|absent_member, _| {
            membership.contains(absent_member) && !present.contains(absent_member)
        });
        for absent_member in membership.difference(&present) {
            let left_gracefully = false;
            self.membership_list
                .absent
                .entry(absent_member.clone())
                .or_insert(AbsentMember {
                    since: now,
                    left_gracefully,
                });
        }
    }

    /// Records that a member that announced its departure has left and holds nothing.
    pub(super) fn note_departed(&mut self, now: MonotonicTime, departed: &KnownMember) {
        self.membership_list.absent.insert(
            listed_member(departed),
            AbsentMember {
                since: now,
                left_gracefully: true,
            },
        );
    }

    /// Returns the target membership: the listed members and those that have joined, without members that have been
    /// absent, after a graceful departure or not, for so long that their leases have certainly ended. Returns `None`
    /// while it is not known which members may hold leases.
    pub fn target_membership(&self, now: MonotonicTime) -> Option<BTreeSet<ListedMember>> {
        let membership = self.membership()?;
        let are_old_leases_over =
            self.claims.all_claimed || now >= self.elected_at + self.timing.full_lease_wait();
        if membership.is_empty() && !(self.claims.is_reached && are_old_leases_over) {
            return None;
        }
        let full_lease_wait = self.timing.full_lease_wait();
        let graceful_removal_after = self.timing.restart_grace_period.max(full_lease_wait);
        let crash_removal_after = self.timing.drop_absent_after.max(full_lease_wait);
        let is_gone = |listed: &&ListedMember| {
            self.membership_list
                .absent
                .get(*listed)
                .is_some_and(|absent_member| {
                    let span = if absent_member.left_gracefully {
                        graceful_removal_after
                    } else {
                        crash_removal_after
                    };
                    now.since(absent_member.since) > span
                })
        };
        let remaining = membership.iter().filter(|listed| !is_gone(listed)).cloned();
        Some(
            remaining
                .chain(self.members.known().map(listed_member))
                .collect(),
        )
    }

    /// Returns the membership to commit, once it has differed from the committed one for the batch window.
    pub fn due_membership(&mut self, now: MonotonicTime) -> Option<BTreeSet<ListedMember>> {
        if !std::mem::take(&mut self.membership_list.check_due)
            && now < self.membership_list.next_check_at
            && self.membership_list.change_since.is_none()
        {
            return None;
        }
        self.membership_list.next_check_at = now + CHECK_INTERVAL;
        self.update_absent_members(now);
        let wanted = self
            .target_membership(now)
            .filter(|wanted| self.membership() != Some(wanted));
        if wanted.is_none() {
            self.membership_list.change_since = None;
            return None;
        }
        let since = *self.membership_list.change_since.get_or_insert(now);
        wanted.filter(|_| now.since(since) >= MEMBERSHIP_BATCH_WINDOW)
    }

    /// Whether a renewal waits for a newer confirmation by a majority.
    pub fn needs_heartbeat_round(&self) -> bool {
        self.renewals.needs_confirmation()
    }

    /// Whether work is pending that is due within milliseconds: a membership change or a renewal.
    pub fn is_time_critical(&self) -> bool {
        self.membership_list.change_since.is_some() || !self.renewals.is_empty()
    }
}
