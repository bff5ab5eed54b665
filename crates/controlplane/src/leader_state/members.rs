//! Members: their streams, their incarnations and what is known of each.

use super::events::MemberConnectedFields;
use super::{LeaderOutput, LeaderState, StreamId, TraceStep};
use common::clock::MonotonicTime;
use common::events;
use common::frames::{Flag, Host, KnownMember, LeaderToDaemon, SocketAddress};
use common::identity::{MemberName, Version};
use std::collections::BTreeMap;

/// Daemons that are gone are looked for so often.
const MEMBER_EXPIRY_INTERVAL: std::time::Duration = std::time::Duration::from_millis(50);
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

/// The members: their records, the stream that each has open, and which incarnation of a name is current.
pub(super) struct Members {
    pub streams: BTreeMap<StreamId, KnownMember>,
    pub records: BTreeMap<KnownMember, MemberRecord>,
    pub current: BTreeMap<MemberName, KnownMember>,
    /// Whether the set has changed since the control quorum last took it.
    pub changed: bool,
    next_expiry_at: MonotonicTime,
}

impl Members {
    pub fn new() -> Self {
        Self {
            streams: BTreeMap::new(),
            records: BTreeMap::new(),
            current: BTreeMap::new(),
            changed: true,
            next_expiry_at: MonotonicTime::ZERO,
        }
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
        self.fencing.schedule_sweep();
        self.end_earlier_incarnations(now, &known_member);
        let is_restarted = self
            .claims
            .last_known
            .iter()
            .any(|known| known.is_other_incarnation_of(&known_member));
        if is_restarted && !self.members.records.contains_key(&known_member) {
            self.claims.member_restarted_at = now;
        }
        let earlier_stream = self
            .members
            .records
            .get(&known_member)
            .and_then(|record| record.stream);
        if let Some(earlier_stream) = earlier_stream {
            self.members.streams.remove(&earlier_stream);
        }
        self.members.streams.insert(stream, known_member.clone());
        self.members
            .current
            .insert(host.member.clone(), known_member.clone());
        let is_self_eligible = host.eligible.0;
        let eligible = Flag(is_self_eligible && !self.is_evacuated(&host.zone));
        let record = self
            .members
            .records
            .entry(known_member)
            .or_insert(MemberRecord {
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
        self.members.changed = true;
        self.membership_list.check_due = true;
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
        self.hosts
            .reported_suspects
            .retain(|instance| instance.member != host.member);
        self.hosts.push_due = true;
        self.send_frame(
            stream,
            LeaderToDaemon::Welcome {
                term: self.tokens.term,
            },
        );
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
            .records
            .keys()
            .filter(|known| known.is_other_incarnation_of(restarted_member))
            .cloned()
            .collect();
        for earlier_incarnation in earlier_incarnations {
            self.claims.member_restarted_at = now;
            let Some(record) = self.members.records.get_mut(&earlier_incarnation) else {
                continue;
            };
            record.lease_expires_at = record.lease_expires_at.min(now);
            record.lease_expiry_bound = record.lease_expiry_bound.min(now);
            record.is_self_eligible = false;
            record.host.eligible = Flag(false);
            if let Some(earlier_stream) = record.stream.take() {
                self.members.streams.remove(&earlier_stream);
                self.acquisitions.forget(earlier_stream);
                self.renewals.forget(earlier_stream);
            }
            self.fence_all_held_by(now, &earlier_incarnation);
        }
    }

    pub(super) fn handle_installed(&mut self, stream: StreamId, version: Version) {
        if let Some(known_member) = self.members.streams.get(&stream)
            && let Some(record) = self.members.records.get_mut(known_member)
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
        let Some(known_member) = self.members.streams.get(&stream).cloned() else {
            return;
        };
        if let Some(record) = self.members.records.get_mut(&known_member) {
            record.is_self_eligible = false;
            record.host.eligible = Flag(false);
            record.lease_expires_at = now;
            record.lease_expiry_bound = now;
            record.swept = false;
            record.has_departed = true;
            self.hosts.push_due = true;
        }
        self.fencing.schedule_sweep();
        self.renewals.forget(stream);
    }

    pub(super) fn expire_members(&mut self, now: MonotonicTime) {
        if now < self.members.next_expiry_at {
            return;
        }
        self.members.next_expiry_at = now + MEMBER_EXPIRY_INTERVAL;
        let forget_after = self.timing.forget_after;
        let gone_members: Vec<KnownMember> = self
            .members
            .records
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
            if self.members.current.get(&gone_member.member) == Some(&gone_member) {
                self.members.current.remove(&gone_member.member);
            }
            self.hosts.push_due = true;
            self.members.changed = true;
            self.membership_list.check_due = true;
        }
    }

    fn forget_member(&mut self, now: MonotonicTime, gone_member: &KnownMember) {
        let Some(record) = self.members.records.remove(gone_member) else {
            return;
        };
        self.pressure.idle_since.remove(gone_member);
        if record.has_departed {
            self.note_departed(now, gone_member);
        }
    }

    /// Something came in on a daemon's stream: it is alive.
    pub(super) fn note_frame_received(&mut self, now: MonotonicTime, stream: StreamId) {
        if let Some(known_member) = self.members.streams.get(&stream)
            && let Some(record) = self.members.records.get_mut(known_member)
        {
            record.last_frame_at = now;
        }
    }
}
