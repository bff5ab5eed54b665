use super::members::MemberRecord;
use super::{LeaderState, QuorumProof};
use common::clock::MonotonicTime;
use common::frames::{KnownMember, SocketAddress};
use common::identity::FunctionKey;
use common::spec::ListedMember;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Names are gathered so long before they are committed together.
const MEMBERSHIP_BATCH_WINDOW: Duration = Duration::from_millis(30);
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// A clock may run so many tenths slower than another.
const SLOWEST_CLOCK_TENTHS: u32 = 9;

/// A daemon that the roster names and that has no record here.
pub(super) struct DepartedMember {
    since: MonotonicTime,
    /// Whether it said that it was leaving.
    was_orderly: bool,
}

/// Whether a life proves that whatever else stood at a listed place is gone: it holds the port.
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

/// The moment from which a life has run, by this clock, at the latest.
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
    pub fn new(elected_at: MonotonicTime) -> Self {
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

    /// Whether a daemon may get its member grant: the committed roster names it, and so does the one in
    /// flight; and a majority followed this leader after it joined. Where no roster is committed yet, a
    /// round must have named it.
    pub(super) fn may_hold_lease(&self, known: &KnownMember, proof: &QuorumProof<'_>) -> bool {
        let joined_at = self
            .members
            .records
            .get(known)
            .map(|record| record.joined_at);
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

    /// Whether every place of the awaited roster has been claimed from by the life that stands there.
    pub(super) fn have_all_awaited_claimed(&self) -> bool {
        self.claims
            .awaited_members
            .iter()
            .all(|listed| self.claimant_at(listed).is_some())
    }

    /// How many of the awaited roster have claimed, by name.
    pub(super) fn count_claimed_names(&self) -> usize {
        let has_claimed = |listed: &&ListedMember| {
            let known = self.members.current.get(&listed.member);
            known.is_some_and(|known| {
                self.members
                    .records
                    .get(known)
                    .is_some_and(|record| record.claimed)
            })
        };
        self.claims
            .awaited_members
            .iter()
            .filter(has_claimed)
            .count()
    }

    fn claimant_at(&self, listed: &ListedMember) -> Option<&MemberRecord> {
        self.members
            .records
            .iter()
            .find(|(known, record)| record.claimed && supersedes(known, listed))
            .map(|(_, record)| record)
    }

    /// From when on a list of the platform shows whatever the lives before the present ones, and what
    /// they gave up under earlier leaders, have left.
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

    /// Whether everything that runs and that nobody claimed is known.
    pub(super) fn is_runner_list_complete(&self) -> bool {
        self.runner_lists.listed_at >= self.runner_lists.complete_from
    }

    /// From when on a list's unclaimed lives are nobody's: the election, or earlier if every earlier life
    /// was gone earlier.
    pub(super) fn unclaimed_from(&self) -> MonotonicTime {
        if self.runner_lists.complete_from == MonotonicTime::ZERO {
            self.elected_at
        } else {
            self.runner_lists.complete_from.min(self.elected_at)
        }
    }

    /// Whether runners of a function may be there that are not known yet.
    pub(super) fn may_have_unlisted(&self, function: &FunctionKey) -> bool {
        !self.is_runner_list_complete() && function.generation <= self.claims.inherited_version
    }

    /// Forgets for the quorum whom nobody heard of for long.
    pub(super) fn drop_missing_awaited(&mut self) -> Vec<ListedMember> {
        let current_incarnations = &self.members.current;
        let is_back = |listed: &ListedMember| current_incarnations.contains_key(&listed.member);
        let (remaining, dropped): (BTreeSet<ListedMember>, BTreeSet<ListedMember>) =
            std::mem::take(&mut self.claims.awaited_members)
                .into_iter()
                .partition(is_back);
        self.claims.awaited_members = remaining;
        dropped.into_iter().collect()
    }

    /// Notes who of the roster has no record here any more, and since when.
    fn update_departed_members(&mut self, now: MonotonicTime) {
        let present: BTreeSet<ListedMember> =
            self.members.records.keys().map(listed_member).collect();
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

    /// A daemon that said it was leaving is gone: it holds nothing any more.
    pub(super) fn note_departed(&mut self, now: MonotonicTime, departed: &KnownMember) {
        self.membership_list.departed.insert(
            listed_member(departed),
            DepartedMember {
                since: now,
                was_orderly: true,
            },
        );
    }

    /// The roster as it should be: with whoever joined, without those that have been gone long and
    /// whose grants have surely ended, whatever they said as they left. None while it is not known who may hold grants.
    pub fn target_membership(&self, now: MonotonicTime) -> Option<BTreeSet<ListedMember>> {
        let membership = self.membership()?;
        let are_old_leases_over =
            self.claims.all_claimed || now >= self.elected_at + self.timing.full_lease_wait();
        if membership.is_empty() && !(self.claims.is_open && are_old_leases_over) {
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
                .chain(self.members.records.keys().map(listed_member))
                .collect(),
        )
    }

    /// The roster to be committed, when it has been wanted for a moment.
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

    /// Whether a daemon waits for a newer proof of the majority.
    pub fn needs_heartbeat_round(&self) -> bool {
        self.renewals.needs_proof()
    }

    /// Whether something here is waited for that comes about within milliseconds.
    pub fn is_time_critical(&self) -> bool {
        self.membership_list.change_since.is_some() || !self.renewals.is_empty()
    }
}
