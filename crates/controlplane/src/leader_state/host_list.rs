//! The host list that is pushed to every member: the known hosts, and the members suspected to have failed.

use super::{EventDetail, LeaderState, StreamId};
use common::clock::MonotonicTime;
use common::events;
use common::frames::{Host, LeaderToDaemon, LengthPrefixed, MemberIncarnation};
use common::identity::MemberName;
use common::ring::candidate_hosts;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A member reported by failure detectors counts as suspected when no frame has arrived on its stream for this long.
const SUSPECTED_AFTER: Duration = Duration::from_millis(700);
/// Minimum interval between pushes of the host list; changes in between are pushed together.
const HOST_LIST_PUSH_INTERVAL: Duration = Duration::from_millis(100);

/// The host list as last pushed, and the changes to push next.
#[derive(Default)]
pub(super) struct HostList {
    pub push_due: bool,
    pushed_at: MonotonicTime,
    pushed: PushedHosts,
    /// Members reported by failure detectors. They count as suspected once their streams are silent too.
    reported_suspects: BTreeSet<MemberIncarnation>,
    suspected: BTreeSet<MemberIncarnation>,
}

impl HostList {
    /// Whether a member is not a candidate for functions because its link is much narrower than those of others.
    pub(super) fn is_on_narrow_link(&self, member: &MemberName) -> bool {
        self.pushed.narrow_link_members.contains(member)
    }

    /// Discards earlier reports on a member that has opened a stream, and schedules a push of the list.
    pub(super) fn handle_member_connected(&mut self, member: &MemberName) {
        self.reported_suspects
            .retain(|suspect| suspect.member != *member);
        self.push_due = true;
    }

    /// Builds the delta for members that have the last pushed list, and the complete list for all others.
    fn frames(&self, hosts: &BTreeMap<MemberName, Host>) -> HostFrames {
        let pushed = &self.pushed;
        let put: Vec<Host> = hosts
            .values()
            .filter(|host| pushed.hosts.get(&host.member) != Some(host))
            .cloned()
            .collect();
        let removed: Vec<MemberName> = pushed
            .hosts
            .keys()
            .filter(|member| !hosts.contains_key(*member))
            .cloned()
            .collect();
        let has_changed =
            !put.is_empty() || !removed.is_empty() || pushed.suspected != self.suspected;
        let number = pushed.number + u64::from(has_changed);
        HostFrames {
            number,
            delta: LeaderToDaemon::HostsDelta {
                number,
                put: LengthPrefixed(put),
                removed: LengthPrefixed(removed),
                suspected: LengthPrefixed(self.suspected.iter().cloned().collect()),
            },
            full_list: LeaderToDaemon::Hosts {
                number,
                hosts: LengthPrefixed(hosts.values().cloned().collect()),
                suspected: LengthPrefixed(self.suspected.iter().cloned().collect()),
            },
        }
    }
}

/// One push of the host list.
struct HostFrames {
    number: u64,
    delta: LeaderToDaemon,
    full_list: LeaderToDaemon,
}

/// The host list as last pushed: its number, the hosts, the suspected members, and the members that get no functions
/// while others are on wider links.
#[derive(Default)]
struct PushedHosts {
    number: u64,
    hosts: BTreeMap<MemberName, Host>,
    suspected: BTreeSet<MemberIncarnation>,
    narrow_link_members: BTreeSet<MemberName>,
}

impl PushedHosts {
    fn new(
        number: u64,
        hosts: BTreeMap<MemberName, Host>,
        suspected: BTreeSet<MemberIncarnation>,
    ) -> Self {
        let suspected_names: BTreeSet<&MemberName> =
            suspected.iter().map(|suspect| &suspect.member).collect();
        let unsuspected_hosts = || {
            hosts
                .values()
                .filter(|host| !suspected_names.contains(&host.member))
        };
        let candidates: BTreeSet<&MemberName> = candidate_hosts(unsuspected_hosts())
            .into_iter()
            .map(|host| &host.member)
            .collect();
        let narrow_link_members = unsuspected_hosts()
            .filter(|host| host.eligible.0 && !candidates.contains(&host.member))
            .map(|host| host.member.clone())
            .collect();
        Self {
            number,
            hosts,
            suspected,
            narrow_link_members,
        }
    }
}

impl LeaderState {
    /// Handles a failure detector's report that it no longer reaches a member.
    pub(super) fn handle_suspicion(&mut self, stream: StreamId, suspect: MemberIncarnation) {
        if self.members.on_stream(stream).is_some() && self.is_current_incarnation(&suspect) {
            self.hosts.reported_suspects.insert(suspect);
        }
    }

    /// Handles a failure detector's report that it reaches a member again.
    pub(super) fn handle_suspicion_cleared(&mut self, suspect: &MemberIncarnation) {
        self.hosts.reported_suspects.remove(suspect);
    }

    fn is_current_incarnation(&self, suspect: &MemberIncarnation) -> bool {
        let known_member = self.members.current_incarnation(&suspect.member);
        known_member.is_some_and(|known| known.incarnation == suspect.incarnation)
    }

    /// Returns the reported members whose streams are silent too. Neither sign alone indicates a failure: the
    /// detector's own link may be cut, and a stream may be idle.
    fn silent_suspects(&self, now: MonotonicTime) -> BTreeSet<MemberIncarnation> {
        let has_recent_frame = |suspect: &MemberIncarnation| {
            let record = self.members.current_record(&suspect.member);
            record.is_some_and(|record| now.since(record.last_frame_at) < SUSPECTED_AFTER)
        };
        self.hosts
            .reported_suspects
            .iter()
            .filter(|suspect| !has_recent_frame(suspect))
            .cloned()
            .collect()
    }

    fn update_suspected_members(&mut self, now: MonotonicTime) {
        let reported_suspects = std::mem::take(&mut self.hosts.reported_suspects);
        self.hosts.reported_suspects = reported_suspects
            .into_iter()
            .filter(|suspect| self.is_current_incarnation(suspect))
            .collect();
        let suspected = self.silent_suspects(now);
        if suspected == self.hosts.suspected {
            return;
        }
        self.hosts.push_due = true;
        let previously_suspected = std::mem::replace(&mut self.hosts.suspected, suspected.clone());
        for suspect in suspected.difference(&previously_suspected) {
            let member = suspect.member.clone();
            self.record_event(events::MEMBER_SUSPECTED, EventDetail::Member { member });
        }
        for suspect in previously_suspected.difference(&suspected) {
            let member = suspect.member.clone();
            self.record_event(events::MEMBER_RECOVERED, EventDetail::Member { member });
        }
    }

    /// Schedules a push of the complete list to a member that could not apply a delta.
    pub(super) fn handle_full_hosts_request(&mut self, stream: StreamId) {
        if let Some((_, record)) = self.members.on_stream_mut(stream) {
            record.pushed_hosts_number = 0;
            self.hosts.push_due = true;
        }
    }

    /// Pushes the host list to every member that lacks the newest one. Members that have the previous list get the
    /// delta, all others get the complete list.
    pub(super) fn push_hosts(&mut self, now: MonotonicTime) {
        self.update_suspected_members(now);
        let is_too_early = now.since(self.hosts.pushed_at) < HOST_LIST_PUSH_INTERVAL;
        if !self.hosts.push_due || is_too_early {
            return;
        }
        self.hosts.push_due = false;
        self.hosts.pushed_at = now;
        let hosts: BTreeMap<MemberName, Host> = self
            .members
            .current_records()
            .map(|record| (record.host.member.clone(), record.host.clone()))
            .collect();
        let frames = self.hosts.frames(&hosts);
        let suspected = self.hosts.suspected.clone();
        let newly_pushed = PushedHosts::new(frames.number, hosts, suspected);
        let earlier_number = std::mem::replace(&mut self.hosts.pushed, newly_pushed).number;
        self.send_host_frames(&frames, earlier_number);
    }

    fn send_host_frames(&mut self, frames: &HostFrames, earlier_number: u64) {
        for open_stream in self.members.open_streams() {
            let Some((_, record)) = self.members.on_stream_mut(open_stream) else {
                continue;
            };
            let member_number = std::mem::replace(&mut record.pushed_hosts_number, frames.number);
            if member_number == frames.number {
                continue;
            }
            let has_earlier_list = member_number > 0 && member_number == earlier_number;
            let frame = if has_earlier_list {
                &frames.delta
            } else {
                &frames.full_list
            };
            self.send_frame(open_stream, frame.clone());
        }
    }
}
