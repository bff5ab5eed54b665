//! The host list that every member gets: who there is, and who is suspected to have failed.

use super::events::MemberFields;
use super::{LeaderState, StreamId};
use common::clock::MonotonicTime;
use common::events;
use common::frames::{Host, KnownMember, LeaderToDaemon, LengthPrefixed, MemberIncarnation};
use common::identity::MemberName;
use common::ring::candidate_hosts;
use std::collections::{BTreeMap, BTreeSet};

/// A daemon that its watchers miss counts as silent when its stream has brought nothing for so long.
const SUSPECTED_AFTER: std::time::Duration = std::time::Duration::from_millis(700);
const HOST_LIST_PUSH_INTERVAL: std::time::Duration = std::time::Duration::from_millis(100);

/// The host list as it was pushed, and what has to be pushed next.
#[derive(Default)]
pub(super) struct HostList {
    pub push_due: bool,
    pushed_at: MonotonicTime,
    pub pushed: PushedHosts,
    /// The members that failure detectors report; they count as suspected when their streams are silent too.
    pub reported_suspects: BTreeSet<MemberIncarnation>,
    suspected: BTreeSet<MemberIncarnation>,
}

/// The host list as it was last pushed: its number, the daemons, those that watchers miss, and those that
/// functions pass over for others on wider links.
#[derive(Default)]
pub(super) struct PushedHosts {
    number: u64,
    hosts: BTreeMap<MemberName, Host>,
    suspected: BTreeSet<MemberIncarnation>,
    passed_over: BTreeSet<MemberName>,
}

impl PushedHosts {
    fn new(
        number: u64,
        hosts: BTreeMap<MemberName, Host>,
        suspected: BTreeSet<MemberIncarnation>,
    ) -> Self {
        let suspected_names: BTreeSet<&MemberName> =
            suspected.iter().map(|instance| &instance.member).collect();
        let unsuspected_hosts = || {
            hosts
                .values()
                .filter(|host| !suspected_names.contains(&host.member))
        };
        let fitting: BTreeSet<&MemberName> = candidate_hosts(unsuspected_hosts())
            .into_iter()
            .map(|host| &host.member)
            .collect();
        let passed_over = unsuspected_hosts()
            .filter(|host| host.eligible.0 && !fitting.contains(&host.member))
            .map(|host| host.member.clone())
            .collect();
        Self {
            number,
            hosts,
            suspected,
            passed_over,
        }
    }

    /// Whether functions go to others than this daemon because its link is so much narrower.
    pub(super) fn passes_over(&self, member: &MemberName) -> bool {
        self.passed_over.contains(member)
    }
}

impl LeaderState {
    /// A watcher misses a daemon.
    pub(super) fn handle_suspicion(&mut self, stream: StreamId, instance: MemberIncarnation) {
        if self.members.streams.contains_key(&stream) && self.is_current_incarnation(&instance) {
            self.hosts.reported_suspects.insert(instance);
        }
    }

    /// A watcher hears it again, or it speaks for itself.
    pub(super) fn handle_suspicion_cleared(&mut self, instance: &MemberIncarnation) {
        self.hosts.reported_suspects.remove(instance);
    }

    fn is_current_incarnation(&self, instance: &MemberIncarnation) -> bool {
        let known_member = self.members.current.get(&instance.member);
        known_member.is_some_and(|known| known.incarnation == instance.incarnation)
    }

    /// Silent is whom its watchers miss while its stream has brought nothing either.
    fn update_suspected_members(&mut self, now: MonotonicTime) {
        let reported_suspects = std::mem::take(&mut self.hosts.reported_suspects);
        self.hosts.reported_suspects = reported_suspects
            .into_iter()
            .filter(|instance| self.is_current_incarnation(instance))
            .collect();
        let has_recent_frame = |instance: &MemberIncarnation| {
            let record = self
                .members
                .current
                .get(&instance.member)
                .and_then(|known| self.members.records.get(known));
            record.is_some_and(|record| now.since(record.last_frame_at) < SUSPECTED_AFTER)
        };
        let suspected: BTreeSet<MemberIncarnation> = self
            .hosts
            .reported_suspects
            .iter()
            .filter(|instance| !has_recent_frame(instance))
            .cloned()
            .collect();
        if suspected == self.hosts.suspected {
            return;
        }
        self.hosts.push_due = true;
        let previously_suspected = std::mem::replace(&mut self.hosts.suspected, suspected);
        for instance in self
            .hosts
            .suspected
            .difference(&previously_suspected)
            .cloned()
            .collect::<Vec<MemberIncarnation>>()
        {
            let fields = MemberFields {
                member: &instance.member,
            };
            self.record_event(events::MEMBER_SUSPECTED, fields);
        }
        for instance in previously_suspected
            .difference(&self.hosts.suspected)
            .cloned()
            .collect::<Vec<MemberIncarnation>>()
        {
            let fields = MemberFields {
                member: &instance.member,
            };
            self.record_event(events::MEMBER_RECOVERED, fields);
        }
    }

    /// A change of the host list did not fit what a daemon has.
    pub(super) fn handle_full_hosts_request(&mut self, stream: StreamId) {
        if let Some(known_member) = self.members.streams.get(&stream)
            && let Some(record) = self.members.records.get_mut(known_member)
        {
            record.pushed_hosts_number = 0;
            self.hosts.push_due = true;
        }
    }

    /// Tells every daemon who there is, changes of a tenth of a second at once: a fresh stream gets the
    /// whole list, all others what has changed since they were last told.
    pub(super) fn push_hosts(&mut self, now: MonotonicTime) {
        self.update_suspected_members(now);
        if !self.hosts.push_due || now.since(self.hosts.pushed_at) < HOST_LIST_PUSH_INTERVAL {
            return;
        }
        self.hosts.push_due = false;
        self.hosts.pushed_at = now;
        let hosts: BTreeMap<MemberName, Host> = self
            .members
            .current
            .values()
            .filter_map(|known_member| self.members.records.get(known_member))
            .map(|record| (record.host.member.clone(), record.host.clone()))
            .collect();
        let pushed = &self.hosts.pushed;
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
            !put.is_empty() || !removed.is_empty() || pushed.suspected != self.hosts.suspected;
        let number = if has_changed {
            pushed.number + 1
        } else {
            pushed.number
        };
        let suspected = LengthPrefixed(self.hosts.suspected.iter().cloned().collect());
        let change = LeaderToDaemon::HostsDelta {
            number,
            put: LengthPrefixed(put),
            removed: LengthPrefixed(removed),
            suspected: LengthPrefixed(self.hosts.suspected.iter().cloned().collect()),
        };
        let full_list = LeaderToDaemon::Hosts {
            number,
            hosts: LengthPrefixed(hosts.values().cloned().collect()),
            suspected,
        };
        let pushed_number = std::mem::replace(
            &mut self.hosts.pushed,
            PushedHosts::new(number, hosts, self.hosts.suspected.clone()),
        )
        .number;
        let open_streams: Vec<(StreamId, KnownMember)> = self
            .members
            .streams
            .iter()
            .map(|(stream, known)| (*stream, known.clone()))
            .collect();
        for (open_stream, known_member) in open_streams {
            let Some(record) = self.members.records.get_mut(&known_member) else {
                continue;
            };
            let last_pushed_number = std::mem::replace(&mut record.pushed_hosts_number, number);
            if last_pushed_number == number {
                continue;
            }
            let is_next = last_pushed_number > 0 && last_pushed_number == pushed_number;
            self.send_frame(
                open_stream,
                if is_next {
                    change.clone()
                } else {
                    full_list.clone()
                },
            );
        }
    }
}
