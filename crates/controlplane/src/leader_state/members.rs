use super::events::{ClaimsQuorumFields, MemberConnectedFields, MemberFields};
use super::{LeaderOutput, LeaderState, QuorumProof, StreamId, TraceStep};
use common::clock::MonotonicTime;
use common::events;
use common::frames::{
    Flag, Host, KnownMember, LeaderToDaemon, LengthPrefixed, MemberIncarnation, SocketAddress,
};
use common::identity::{FunctionKey, MemberName, Version};
use common::ring::candidate_hosts;
use common::rules::Rule;
use std::collections::{BTreeMap, BTreeSet};

/// A daemon that its watchers miss counts as silent when its stream has brought nothing for so long.
const SUSPECTED_AFTER: std::time::Duration = std::time::Duration::from_millis(700);
/// Daemons that are gone are looked for so often.
const MEMBER_EXPIRY_INTERVAL: std::time::Duration = std::time::Duration::from_millis(50);
const HOST_LIST_PUSH_INTERVAL: std::time::Duration = std::time::Duration::from_millis(100);
/// From one asking for the lists to the next, while something may run that is not known.
const LIST_REQUEST_INTERVAL: std::time::Duration = std::time::Duration::from_millis(150);

pub(super) struct MemberRecord {
    pub host: Host,
    pub ingress: SocketAddress,
    pub stream: Option<StreamId>,
    pub is_self_eligible: bool,
    pub lease_expires_at: MonotonicTime,
    pub lease_expiry_bound: MonotonicTime,
    pub installed: Version,
    pub pushed: Version,
    pub claimed: bool,
    pub last_heard_at: MonotonicTime,
    pub swept: bool,
    pub joined_at: MonotonicTime,
    pub started_at: MonotonicTime,
    pub had_lease: bool,
    pub last_frame_at: MonotonicTime,
    pub pushed_hosts_number: u64,
    pub has_departed: bool,
}

/// What a daemon says of its present life.
pub(super) struct IncarnationHistory {
    pub started_at: MonotonicTime,
    pub had_lease: bool,
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
    pub(super) fn handle_hello(
        &mut self,
        now: MonotonicTime,
        stream: StreamId,
        host: Host,
        ingress: SocketAddress,
        version: Version,
        history: IncarnationHistory,
    ) {
        let known_member = KnownMember {
            member: host.member.clone(),
            incarnation: host.incarnation,
            address: host.address,
        };
        self.schedule_sweep();
        self.end_earlier_incarnations(now, &known_member);
        let is_restarted = self
            .last_known
            .iter()
            .any(|known| known.is_other_incarnation_of(&known_member));
        if is_restarted && !self.members.contains_key(&known_member) {
            self.member_restarted_at = now;
        }
        let earlier_stream = self
            .members
            .get(&known_member)
            .and_then(|record| record.stream);
        if let Some(earlier_stream) = earlier_stream {
            self.streams.remove(&earlier_stream);
        }
        self.streams.insert(stream, known_member.clone());
        self.current_incarnations
            .insert(host.member.clone(), known_member.clone());
        let is_self_eligible = host.eligible.0;
        let eligible = Flag(is_self_eligible && !self.is_evacuated(&host.zone));
        let record = self.members.entry(known_member).or_insert(MemberRecord {
            host: host.clone(),
            ingress,
            stream: None,
            is_self_eligible,
            lease_expires_at: MonotonicTime::ZERO,
            lease_expiry_bound: MonotonicTime::ZERO,
            installed: version,
            pushed: version,
            claimed: false,
            last_heard_at: now,
            swept: false,
            joined_at: now,
            started_at: history.started_at,
            had_lease: history.had_lease,
            last_frame_at: now,
            pushed_hosts_number: 0,
            has_departed: false,
        });
        self.known_members_changed = true;
        self.membership_changed = true;
        record.stream = Some(stream);
        record.is_self_eligible = is_self_eligible;
        record.host = Host {
            eligible,
            ..host.clone()
        };
        record.ingress = ingress;
        record.installed = version;
        record.pushed = version;
        record.last_heard_at = now;
        record.pushed_hosts_number = 0;
        record.has_departed = false;
        record.last_frame_at = now;
        self.reported_suspects
            .retain(|instance| instance.member != host.member);
        self.hosts_changed = true;
        self.send_frame(stream, LeaderToDaemon::Welcome { term: self.term });
        self.push_newest(stream);
        let fields = MemberConnectedFields {
            member: &host.member,
            incarnation: host.incarnation.0,
            zone: &host.zone,
        };
        self.record_event(events::MEMBER_CONNECTED, fields);
    }

    /// A new life at the same place holds that place's port: the earlier one is gone, and its grant with
    /// it.
    fn end_earlier_incarnations(&mut self, now: MonotonicTime, restarted_member: &KnownMember) {
        let earlier_incarnations: Vec<KnownMember> = self
            .members
            .keys()
            .filter(|known| known.is_other_incarnation_of(restarted_member))
            .cloned()
            .collect();
        for earlier_incarnation in earlier_incarnations {
            self.member_restarted_at = now;
            let Some(record) = self.members.get_mut(&earlier_incarnation) else {
                continue;
            };
            record.lease_expires_at = record.lease_expires_at.min(now);
            record.lease_expiry_bound = record.lease_expiry_bound.min(now);
            record.is_self_eligible = false;
            record.host.eligible = Flag(false);
            if let Some(earlier_stream) = record.stream.take() {
                self.streams.remove(&earlier_stream);
                self.pending_acquisitions
                    .retain(|acquisition| acquisition.stream != earlier_stream);
                self.renewals.forget(earlier_stream);
            }
            self.fence_all_held_by(now, &earlier_incarnation);
        }
    }

    pub(super) fn handle_installed(&mut self, stream: StreamId, version: Version) {
        if let Some(known_member) = self.streams.get(&stream)
            && let Some(record) = self.members.get_mut(known_member)
        {
            let is_newer = record.installed < version;
            record.installed = record.installed.max(version);
            if is_newer {
                self.renewals.schedule_check();
                let member = known_member.member.clone();
                self.outputs.push(LeaderOutput::VersionProgress {
                    version,
                    member,
                    step: TraceStep::Installed,
                });
            }
        }
    }

    pub(super) fn handle_leaving(&mut self, now: MonotonicTime, stream: StreamId) {
        let Some(known_member) = self.streams.get(&stream).cloned() else {
            return;
        };
        if let Some(record) = self.members.get_mut(&known_member) {
            record.is_self_eligible = false;
            record.host.eligible = Flag(false);
            record.lease_expires_at = now;
            record.lease_expiry_bound = now;
            record.swept = false;
            record.has_departed = true;
            self.hosts_changed = true;
        }
        self.schedule_sweep();
        self.renewals.forget(stream);
    }

    pub(super) fn expire_members(&mut self, now: MonotonicTime) {
        if now < self.next_member_expiry_at {
            return;
        }
        self.next_member_expiry_at = now + MEMBER_EXPIRY_INTERVAL;
        let forget_after = self.timing.forget_after;
        let gone_members: Vec<KnownMember> = self
            .members
            .iter()
            .filter(|(_, record)| {
                record.stream.is_none()
                    && now >= record.lease_expiry_bound
                    && (record.has_departed || now.since(record.last_heard_at) > forget_after)
            })
            .map(|(known_member, _)| known_member.clone())
            .filter(|known_member| !self.lease_records.holds_any(known_member))
            .collect();
        for gone_member in gone_members {
            self.forget_member(now, &gone_member);
            if self.current_incarnations.get(&gone_member.member) == Some(&gone_member) {
                self.current_incarnations.remove(&gone_member.member);
            }
            self.hosts_changed = true;
            self.known_members_changed = true;
            self.membership_changed = true;
        }
    }

    fn forget_member(&mut self, now: MonotonicTime, gone_member: &KnownMember) {
        let Some(record) = self.members.remove(gone_member) else {
            return;
        };
        self.idle_since.remove(gone_member);
        if record.has_departed {
            self.note_departed(now, gone_member);
        }
    }

    pub(super) fn open_if_due(&mut self, now: MonotonicTime, proof: &QuorumProof<'_>) {
        if self.opened || !proof.ready || self.document.is_none() {
            return;
        }
        if now.since(self.elected_at) > self.timing.drop_absent_after {
            let current_incarnations = &self.current_incarnations;
            let (remaining, dropped): (BTreeSet<KnownMember>, BTreeSet<KnownMember>) =
                std::mem::take(&mut self.last_known)
                    .into_iter()
                    .partition(|known_member| {
                        current_incarnations.contains_key(&known_member.member)
                    });
            self.known_members_changed |= !dropped.is_empty();
            self.last_known = remaining;
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
        if !self.awaited_members.is_empty() {
            self.open_by_membership(now);
            return;
        }
        let has_claimed = |known_member: &KnownMember| {
            self.members
                .get(known_member)
                .is_some_and(|record| record.claimed)
        };
        let has_successor_claimed = |known_member: &KnownMember| {
            self.current_incarnations
                .get(&known_member.member)
                .is_some_and(&has_claimed)
        };
        let claimed_count = self
            .last_known
            .iter()
            .filter(|known| has_successor_claimed(known))
            .count();
        let has_majority = self.last_known.is_empty() || claimed_count * 2 > self.last_known.len();
        let is_restarted = |known: &KnownMember| {
            let current_incarnation = self.current_incarnations.get(&known.member);
            current_incarnation.is_some_and(|restarted_member| {
                known.is_other_incarnation_of(restarted_member) && has_claimed(restarted_member)
            })
        };
        let has_restarted = self.last_known.iter().any(&is_restarted);
        let restart_settled_at = self.member_restarted_at + self.timing.start_settle;
        let list_complete_from = if has_restarted {
            restart_settled_at.max(self.elected_at)
        } else {
            self.elected_at
        };
        let is_list_new = self.runners_listed_at >= list_complete_from;
        let all_claimed = self.last_known_complete
            && !self.last_known.is_empty()
            && is_list_new
            && self
                .last_known
                .iter()
                .all(|known| has_claimed(known) || is_restarted(known));
        let full_wait_end = self.elected_at + self.timing.claims_wait;
        let has_waited = now >= full_wait_end
            && self.runners_listed_at >= full_wait_end + self.timing.start_settle;
        let is_due = has_majority && (all_claimed || has_waited);
        if self.inherits_no_functions || is_due || !self.rules.enforces(Rule::ClaimsQuorumAwaited) {
            self.open(now, self.last_known.len(), claimed_count, all_claimed);
        }
    }

    /// The committed roster names whoever may hold a grant: when each of them has claimed, or its place
    /// has, nothing else holds anything. Those that do not come are waited for until their grants have
    /// ended, and the platform's list shows what they left.
    fn open_by_membership(&mut self, now: MonotonicTime) {
        let claimed_count = self.count_claimed_names();
        let has_majority = claimed_count * 2 > self.awaited_members.len();
        let all_claimed = self.have_all_awaited_claimed();
        let full_wait_end = self.elected_at + self.timing.claims_wait;
        let has_waited = now >= full_wait_end
            && self.runners_listed_at >= full_wait_end + self.timing.start_settle;
        let skips_wait = has_majority && !self.rules.enforces(Rule::ListedMembersAwaited);
        let is_due = all_claimed || (has_majority && has_waited);
        if is_due || skips_wait || !self.rules.enforces(Rule::ClaimsQuorumAwaited) {
            if all_claimed {
                self.list_complete_from = self.compute_list_complete_from();
            }
            self.open(now, self.awaited_members.len(), claimed_count, all_claimed);
        }
    }

    fn open(&mut self, now: MonotonicTime, last_known: usize, claimed: usize, all_claimed: bool) {
        self.opened = true;
        self.lists_requested_at = MonotonicTime::ZERO;
        self.known_members_changed = true;
        self.membership_changed = true;
        self.acquisitions_changed = true;
        self.opened_at = now;
        self.all_claimed = all_claimed;
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
        let is_wanted = self.lists_requested_at == MonotonicTime::ZERO
            || (self.opened && !self.is_runner_list_complete());
        if is_wanted && now.since(self.lists_requested_at) >= LIST_REQUEST_INTERVAL {
            self.lists_requested_at = now;
            self.outputs.push(LeaderOutput::RequestLists);
        }
    }

    /// From when on transactions that may run only once are safe with a function never granted by
    /// this leader: whoever held it had stopped when the claims quorum stood, or when every grant of
    /// an earlier leader had ended. A function that is
    /// younger than this reign was held by nobody.
    pub(super) fn once_safe_from(&self, function: &FunctionKey) -> MonotonicTime {
        if function.generation > self.inherited_version {
            return MonotonicTime::ZERO;
        }
        let stopped_at = self
            .opened_at
            .min(self.elected_at + self.timing.full_lease_wait());
        stopped_at + self.longest_delay()
    }

    /// How long a transaction may be under way: its budget, and a member grant for which a daemon
    /// on its way may have been frozen without losing the right to pass it on.
    pub(super) fn longest_delay(&self) -> std::time::Duration {
        self.longest_timeout + self.timing.lease_length
    }

    /// Something came in on a daemon's stream: it is alive.
    pub(super) fn note_frame_received(&mut self, now: MonotonicTime, stream: StreamId) {
        if let Some(known_member) = self.streams.get(&stream)
            && let Some(record) = self.members.get_mut(known_member)
        {
            record.last_frame_at = now;
        }
    }

    /// A watcher misses a daemon.
    pub(super) fn handle_suspicion(&mut self, stream: StreamId, instance: MemberIncarnation) {
        if self.streams.contains_key(&stream) && self.is_current_incarnation(&instance) {
            self.reported_suspects.insert(instance);
        }
    }

    /// A watcher hears it again, or it speaks for itself.
    pub(super) fn handle_suspicion_cleared(&mut self, instance: &MemberIncarnation) {
        self.reported_suspects.remove(instance);
    }

    fn is_current_incarnation(&self, instance: &MemberIncarnation) -> bool {
        let known_member = self.current_incarnations.get(&instance.member);
        known_member.is_some_and(|known| known.incarnation == instance.incarnation)
    }

    /// Silent is whom its watchers miss while its stream has brought nothing either.
    fn update_suspected_members(&mut self, now: MonotonicTime) {
        let reported_suspects = std::mem::take(&mut self.reported_suspects);
        self.reported_suspects = reported_suspects
            .into_iter()
            .filter(|instance| self.is_current_incarnation(instance))
            .collect();
        let has_recent_frame = |instance: &MemberIncarnation| {
            let record = self
                .current_incarnations
                .get(&instance.member)
                .and_then(|known| self.members.get(known));
            record.is_some_and(|record| now.since(record.last_frame_at) < SUSPECTED_AFTER)
        };
        let suspected: BTreeSet<MemberIncarnation> = self
            .reported_suspects
            .iter()
            .filter(|instance| !has_recent_frame(instance))
            .cloned()
            .collect();
        if suspected == self.suspected {
            return;
        }
        self.hosts_changed = true;
        let previously_suspected = std::mem::replace(&mut self.suspected, suspected);
        for instance in self
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
            .difference(&self.suspected)
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
        if let Some(known_member) = self.streams.get(&stream)
            && let Some(record) = self.members.get_mut(known_member)
        {
            record.pushed_hosts_number = 0;
            self.hosts_changed = true;
        }
    }

    /// Tells every daemon who there is, changes of a tenth of a second at once: a fresh stream gets the
    /// whole list, all others what has changed since they were last told.
    pub(super) fn push_hosts(&mut self, now: MonotonicTime) {
        self.update_suspected_members(now);
        if !self.hosts_changed || now.since(self.hosts_pushed_at) < HOST_LIST_PUSH_INTERVAL {
            return;
        }
        self.hosts_changed = false;
        self.hosts_pushed_at = now;
        let hosts: BTreeMap<MemberName, Host> = self
            .current_incarnations
            .values()
            .filter_map(|known_member| self.members.get(known_member))
            .map(|record| (record.host.member.clone(), record.host.clone()))
            .collect();
        let pushed = &self.pushed_hosts;
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
        let number = if has_changed {
            pushed.number + 1
        } else {
            pushed.number
        };
        let suspected = LengthPrefixed(self.suspected.iter().cloned().collect());
        let change = LeaderToDaemon::HostsDelta {
            number,
            put: LengthPrefixed(put),
            removed: LengthPrefixed(removed),
            suspected: LengthPrefixed(self.suspected.iter().cloned().collect()),
        };
        let full_list = LeaderToDaemon::Hosts {
            number,
            hosts: LengthPrefixed(hosts.values().cloned().collect()),
            suspected,
        };
        let pushed_number = std::mem::replace(
            &mut self.pushed_hosts,
            PushedHosts::new(number, hosts, self.suspected.clone()),
        )
        .number;
        let open_streams: Vec<(StreamId, KnownMember)> = self
            .streams
            .iter()
            .map(|(stream, known)| (*stream, known.clone()))
            .collect();
        for (open_stream, known_member) in open_streams {
            let Some(record) = self.members.get_mut(&known_member) else {
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
