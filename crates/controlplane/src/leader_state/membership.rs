//! The membership list: the members that may hold session leases, as the committed document names them. The next
//! leader waits for the claims of exactly these.

use super::members::MemberRecord;
use super::{LeaderState, QuorumProof};
use common::clock::MonotonicTime;
use common::frames::{KnownMember, SocketAddress};
use common::identity::FunctionKey;
use common::spec::ListedMember;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Changes of the list are gathered this long before they are committed together.
const MEMBERSHIP_BATCH_WINDOW: Duration = Duration::from_millis(30);
/// Without a reason to check earlier, the membership is checked this often.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The slowest clock in tenths of the speed of another.
const SLOWEST_CLOCK_TENTHS: u32 = 9;

/// A listed member that has no record here.
pub(super) struct DepartedMember {
    since: MonotonicTime,
    /// Whether it announced that it leaves.
    was_orderly: bool,
}

/// Whether an incarnation proves that whatever else stood at a listed address is gone: it holds the port.
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

/// The latest instant, by this clock, at which an incarnation may have started that reports its age.
pub(super) fn started_at(now: MonotonicTime, age_ms: u32) -> MonotonicTime {
    now - Duration::from_millis(u64::from(age_ms)) * SLOWEST_CLOCK_TENTHS / 10
}

/// The list of members that may hold session leases, as far as it has to be changed in the document.
pub(super) struct MembershipList {
    /// The listed members without a record here.
    departed: BTreeMap<ListedMember, DepartedMember>,
    pub check_due: bool,
    next_check_at: MonotonicTime,
    /// Since when the committed list differs from the one that it should be.
    change_since: Option<MonotonicTime>,
}

impl MembershipList {
    /// Everybody listed counts as present until the first check.
    pub(super) fn new(elected_at: MonotonicTime) -> Self {
        Self {
            departed: BTreeMap::new(),
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

    /// Whether a member may get a session lease: the committed membership lists it, and so does the proposed
    /// one; and a majority followed this leader after it joined. Without that the next leader might not know
    /// whose lease to wait for. Where no membership is committed yet, a heartbeat round must have named it.
    pub(super) fn may_hold_lease(&self, known: &KnownMember, proof: &QuorumProof<'_>) -> bool {
        let joined_at = self.members.get(known).map(|record| record.joined_at);
        if joined_at.is_none_or(|joined_at| proof.quorum_confirmed_at < joined_at) {
            return false;
        }
        let listed = listed_member(known);
        match self.membership() {
            Some(membership) if !membership.is_empty() => {
                membership.contains(&listed)
                    && proof
                        .proposed_membership
                        .is_none_or(|proposed| proposed.contains(&listed))
            }
            _ => {
                proof.proposed_membership.is_none_or(BTreeSet::is_empty) && (proof.confirmed)(known)
            }
        }
    }

    /// Whether the incarnation that stands at each awaited address has claimed.
    pub(super) fn have_all_awaited_claimed(&self) -> bool {
        self.claims
            .awaited_members
            .iter()
            .all(|listed| self.claimant_at(listed).is_some())
    }

    /// How many awaited members have claimed, by name.
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

    /// From which instant on a list of the platform shows everything that earlier incarnations, and the present
    /// ones under earlier leaders, have left.
    pub(super) fn compute_list_complete_from(&self) -> MonotonicTime {
        let claimants = self
            .claims
            .awaited_members
            .iter()
            .filter_map(|listed| self.claimant_at(listed));
        claimants
            .map(|record| {
                let settled_at = record.started_at + self.timing.start_settle;
                if record.had_lease {
                    settled_at.max(self.elected_at)
                } else {
                    settled_at
                }
            })
            .max()
            .unwrap_or(self.elected_at)
    }

    /// Whether everything is known that runs and that nobody claimed.
    pub(super) fn is_runner_list_complete(&self) -> bool {
        self.runner_lists.listed_at >= self.runner_lists.complete_from
    }

    /// From which instant on unclaimed instances in a list are orphans: the election, or earlier if every
    /// earlier incarnation was gone earlier.
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

    /// Stops awaiting the members that have not come back.
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

    /// Notes which listed members have no record here any more, and since when.
    fn update_departed_members(&mut self, now: MonotonicTime) {
        let present: BTreeSet<ListedMember> = self.members.known().map(listed_member).collect();
        let membership = self.membership().cloned().unwrap_or_default();
        self.membership_list.departed.retain(|absent_member, _| {
            membership.contains(absent_member) && !present.contains(absent_member)
        });
        for absent_member in membership.difference(&present) {
            let was_orderly = false;
            self.membership_list
                .departed
                .entry(absent_member.clone())
                .or_insert(DepartedMember {
                    since: now,
                    was_orderly,
                });
        }
    }

    /// A member that announced its departure is gone: it holds nothing any more.
    pub(super) fn note_departed(&mut self, now: MonotonicTime, departed: &KnownMember) {
        self.membership_list.departed.insert(
            listed_member(departed),
            DepartedMember {
                since: now,
                was_orderly: true,
            },
        );
    }

    /// The membership as it should be: with whoever joined, without those that have been gone long and whose
    /// leases have surely ended, whether they left in order or not. None while it is not known who may hold
    /// leases.
    pub fn target_membership(&self, now: MonotonicTime) -> Option<BTreeSet<ListedMember>> {
        let membership = self.membership()?;
        let are_old_leases_over =
            self.claims.all_claimed || now >= self.elected_at + self.timing.full_lease_wait();
        if membership.is_empty() && !(self.claims.is_reached && are_old_leases_over) {
            return None;
        }
        let full_lease_wait = self.timing.full_lease_wait();
        let orderly_removal_after = self.timing.restart_grace_period.max(full_lease_wait);
        let crash_removal_after = self.timing.drop_absent_after.max(full_lease_wait);
        let is_gone = |listed: &&ListedMember| {
            self.membership_list
                .departed
                .get(*listed)
                .is_some_and(|departed_member| {
                    let span = if departed_member.was_orderly {
                        orderly_removal_after
                    } else {
                        crash_removal_after
                    };
                    now.since(departed_member.since) > span
                })
        };
        let remaining = membership.iter().filter(|listed| !is_gone(listed)).cloned();
        Some(
            remaining
                .chain(self.members.known().map(listed_member))
                .collect(),
        )
    }

    /// The membership to be committed, once it has been wanted for the batch window.
    pub fn due_membership(&mut self, now: MonotonicTime) -> Option<BTreeSet<ListedMember>> {
        if !std::mem::take(&mut self.membership_list.check_due)
            && now < self.membership_list.next_check_at
            && self.membership_list.change_since.is_none()
        {
            return None;
        }
        self.membership_list.next_check_at = now + CHECK_INTERVAL;
        self.update_departed_members(now);
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

    /// Whether a member waits for a newer proof of the majority.
    pub fn needs_heartbeat_round(&self) -> bool {
        self.renewals.needs_proof()
    }

    /// Whether something is awaited here that comes about within milliseconds.
    pub fn is_time_critical(&self) -> bool {
        self.membership_list.change_since.is_some() || !self.renewals.is_empty()
    }
}
