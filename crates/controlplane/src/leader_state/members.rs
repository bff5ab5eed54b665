//! Members: their streams, their incarnations and what is known of each.

use super::membership::started_at;
use super::{EventDetail, LeaderOutput, LeaderState, StreamId, TraceStep};
use crate::consensus::ReportedMembership;
use common::clock::MonotonicTime;
use common::events;
use common::frames::{Flag, Host, KnownMember, LeaderToDaemon, SocketAddress};
use common::identity::{MemberName, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Members that are gone are looked for this often.
const MEMBER_EXPIRY_INTERVAL: Duration = Duration::from_millis(50);

/// What is known of one incarnation of a member.
pub(super) struct MemberRecord {
    /// As other members see it: not eligible while its zone is evacuated.
    pub host: Host,
    /// Where it listens for callers.
    pub ingress: SocketAddress,
    pub stream: Option<StreamId>,
    /// Whether the member itself is ready to hold functions, whatever becomes of its zone.
    pub is_self_eligible: bool,
    /// Until when the member may use its session lease, by this clock.
    pub lease_expires_at: MonotonicTime,
    /// From when on the member surely no longer uses the lease, however its clock drifts. Nothing that it
    /// held goes to another before this.
    pub lease_expiry_bound: MonotonicTime,
    /// The newest version that the member has installed.
    pub installed: Version,
    /// The newest version that was sent on its stream.
    pub pushed: Version,
    /// Whether it has claimed what it holds from earlier leaders.
    pub claimed: bool,
    /// When it last said hello, claimed or renewed its lease.
    pub last_heard_at: MonotonicTime,
    /// Whether the end of its lease has been dealt with.
    pub swept: bool,
    pub joined_at: MonotonicTime,
    /// The latest instant at which the incarnation may have started.
    pub started_at: MonotonicTime,
    /// Whether the incarnation ever had a session lease.
    pub had_lease: bool,
    /// When its stream last brought a frame.
    pub last_frame_at: MonotonicTime,
    /// The number of the host list that was last pushed to it; 0 asks for the complete list.
    pub pushed_hosts_number: u64,
    /// Whether it announced that it leaves.
    pub has_departed: bool,
}

impl MemberRecord {
    /// A member that has just said hello for the first time.
    fn new(now: MonotonicTime, hello: &MemberHello) -> Self {
        Self {
            is_self_eligible: hello.host.eligible.0,
            host: hello.host.clone(),
            ingress: hello.ingress,
            stream: None,
            lease_expires_at: MonotonicTime::ZERO,
            lease_expiry_bound: MonotonicTime::ZERO,
            installed: hello.version,
            pushed: hello.version,
            claimed: false,
            last_heard_at: now,
            swept: false,
            joined_at: now,
            started_at: hello.history.started_at,
            had_lease: hello.history.had_lease,
            last_frame_at: now,
            pushed_hosts_number: 0,
            has_departed: false,
        }
    }

    /// The member says hello on a stream; `shown_host` is how other members are to see it.
    fn connect(
        &mut self,
        now: MonotonicTime,
        stream: StreamId,
        hello: &MemberHello,
        shown_host: Host,
    ) {
        self.is_self_eligible = hello.host.eligible.0;
        self.stream = Some(stream);
        self.host = shown_host;
        self.ingress = hello.ingress;
        self.installed = hello.version;
        self.pushed = hello.version;
        self.last_heard_at = now;
        self.last_frame_at = now;
        self.pushed_hosts_number = 0;
        self.has_departed = false;
    }

    /// The member takes no functions any more.
    fn make_ineligible(&mut self) {
        self.is_self_eligible = false;
        self.host.eligible = Flag(false);
    }
}

/// What a member reports when it opens its stream.
pub(super) struct MemberHello {
    /// The member as it sees itself.
    pub host: Host,
    /// Where it listens for callers.
    pub ingress: SocketAddress,
    /// The version that it has installed.
    pub version: Version,
    pub history: IncarnationHistory,
}

/// What a member reports of its incarnation when it says hello.
pub(super) struct IncarnationHistory {
    pub started_at: MonotonicTime,
    pub had_lease: bool,
}

impl IncarnationHistory {
    /// From the age in milliseconds that the member reports, and whether it ever had a session lease.
    pub(super) fn new(now: MonotonicTime, age_ms: u32, had_lease: Flag) -> Self {
        Self {
            started_at: started_at(now, age_ms),
            had_lease: had_lease.0,
        }
    }
}

/// The members: their records, the stream that each has open, and which incarnation of a name is current.
pub(super) struct Members {
    streams: BTreeMap<StreamId, KnownMember>,
    records: BTreeMap<KnownMember, MemberRecord>,
    current: BTreeMap<MemberName, KnownMember>,
    /// Whether the set has changed since the control quorum last took it.
    changed: bool,
    next_expiry_at: MonotonicTime,
}

impl Members {
    /// No member has joined yet.
    pub(super) fn new() -> Self {
        Self {
            streams: BTreeMap::new(),
            records: BTreeMap::new(),
            current: BTreeMap::new(),
            changed: true,
            next_expiry_at: MonotonicTime::ZERO,
        }
    }

    /// Makes the stream the one that the member is reached on.
    fn attach(&mut self, stream: StreamId, known_member: &KnownMember) {
        let record = self.records.get(known_member);
        if let Some(earlier_stream) = record.and_then(|record| record.stream) {
            self.streams.remove(&earlier_stream);
        }
        self.streams.insert(stream, known_member.clone());
        self.current
            .insert(known_member.member.clone(), known_member.clone());
    }

    /// The member on a stream.
    pub(super) fn on_stream(&self, stream: StreamId) -> Option<&KnownMember> {
        self.streams.get(&stream)
    }

    /// The streams that are open.
    pub(super) fn open_streams(&self) -> Vec<StreamId> {
        self.streams.keys().copied().collect()
    }

    /// How many streams are open.
    pub(super) fn open_stream_count(&self) -> usize {
        self.streams.len()
    }

    /// The record of one incarnation.
    pub(super) fn get(&self, known_member: &KnownMember) -> Option<&MemberRecord> {
        self.records.get(known_member)
    }

    /// The record of one incarnation, to be changed.
    pub(super) fn get_mut(&mut self, known_member: &KnownMember) -> Option<&mut MemberRecord> {
        self.records.get_mut(known_member)
    }

    /// Every incarnation that has a record.
    pub(super) fn known(&self) -> impl Iterator<Item = &KnownMember> {
        self.records.keys()
    }

    /// Every incarnation with its record.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&KnownMember, &MemberRecord)> {
        self.records.iter()
    }

    /// Every record.
    pub(super) fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records.values()
    }

    /// Every record, to be changed.
    pub(super) fn records_mut(&mut self) -> impl Iterator<Item = &mut MemberRecord> {
        self.records.values_mut()
    }

    /// The stream on which one incarnation is reached.
    pub(super) fn stream_of(&self, known_member: &KnownMember) -> Option<StreamId> {
        self.records.get(known_member)?.stream
    }

    /// The incarnation that goes by a name at present.
    pub(super) fn current_incarnation(&self, member: &MemberName) -> Option<&KnownMember> {
        self.current.get(member)
    }

    /// The records of the present incarnations, by their names.
    pub(super) fn current_records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.current
            .values()
            .filter_map(|known_member| self.records.get(known_member))
    }

    /// The members that may hold leases have changed, so that the control quorum is to take them again.
    pub(super) fn mark_changed(&mut self) {
        self.changed = true;
    }

    /// The member on a stream, with its record.
    pub(super) fn on_stream_mut(
        &mut self,
        stream: StreamId,
    ) -> Option<(&KnownMember, &mut MemberRecord)> {
        let known_member = self.streams.get(&stream)?;
        Some((known_member, self.records.get_mut(known_member)?))
    }

    /// The record of the member that goes by a name at present.
    pub(super) fn current_record(&self, member: &MemberName) -> Option<&MemberRecord> {
        self.records.get(self.current.get(member)?)
    }

    fn remove(&mut self, gone_member: &KnownMember) -> Option<MemberRecord> {
        let record = self.records.remove(gone_member);
        if self.current.get(&gone_member.member) == Some(gone_member) {
            self.current.remove(&gone_member.member);
        }
        self.changed = true;
        record
    }
}

impl LeaderState {
    /// The members that may hold leases.
    pub fn known_members(&self) -> ReportedMembership {
        let mut members: BTreeSet<KnownMember> = self.members.known().cloned().collect();
        if !self.claims.is_open {
            members.extend(self.claims.last_known.iter().cloned());
        }
        ReportedMembership {
            members,
            complete: self.claims.last_known_complete || self.claims.is_open,
        }
    }

    /// The known members, if they may have changed since this was last called.
    pub fn take_known_members(&mut self) -> Option<ReportedMembership> {
        std::mem::take(&mut self.members.changed).then(|| self.known_members())
    }

    /// A member opens its stream: whatever stood on an earlier stream of it, or with an earlier incarnation, ends.
    pub(super) fn handle_hello(
        &mut self,
        now: MonotonicTime,
        stream: StreamId,
        hello: MemberHello,
    ) {
        let host = &hello.host;
        let known_member = KnownMember {
            member: host.member.clone(),
            incarnation: host.incarnation,
            address: host.address,
        };
        self.fencing.schedule_sweep();
        self.end_earlier_incarnations(now, &known_member);
        let is_new = !self.members.records.contains_key(&known_member);
        if is_new && self.claims.expects_other_incarnation_of(&known_member) {
            self.claims.member_restarted_at = now;
        }
        self.members.attach(stream, &known_member);
        let shown_host = Host {
            eligible: Flag(host.eligible.0 && !self.is_evacuated(&host.zone)),
            ..host.clone()
        };
        let record = self
            .members
            .records
            .entry(known_member)
            .or_insert_with(|| MemberRecord::new(now, &hello));
        record.connect(now, stream, &hello, shown_host);
        self.members.changed = true;
        self.membership_list.check_due = true;
        self.hosts.member_connected(&host.member);
        self.send_frame(
            stream,
            LeaderToDaemon::Welcome {
                term: self.tokens.term,
            },
        );
        self.push_newest(stream);
        let detail = EventDetail::MemberConnected {
            member: hello.host.member,
            incarnation: hello.host.incarnation,
            zone: hello.host.zone,
        };
        self.record_event(events::MEMBER_CONNECTED, detail);
    }

    /// Ends the earlier incarnations of a member. The new one holds the port of their address, so they are
    /// gone, and their session leases with them.
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
            record.make_ineligible();
            if let Some(earlier_stream) = record.stream.take() {
                self.members.streams.remove(&earlier_stream);
                self.acquisitions.forget(earlier_stream);
                self.renewals.forget(earlier_stream);
            }
            self.fence_all_held_by(now, &earlier_incarnation);
        }
    }

    /// A member has installed a version; renewals may wait for that.
    pub(super) fn handle_installed(&mut self, stream: StreamId, version: Version) {
        if let Some((known_member, record)) = self.members.on_stream_mut(stream) {
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

    /// A member leaves in order: it gives up its session lease and takes no functions any more.
    pub(super) fn handle_leaving(&mut self, now: MonotonicTime, stream: StreamId) {
        if !self.members.streams.contains_key(&stream) {
            return;
        }
        if let Some((_, record)) = self.members.on_stream_mut(stream) {
            record.make_ineligible();
            record.lease_expires_at = now;
            record.lease_expiry_bound = now;
            record.swept = false;
            record.has_departed = true;
            self.hosts.push_due = true;
        }
        self.fencing.schedule_sweep();
        self.renewals.forget(stream);
    }

    /// A member's stream has ended; its lease stands until it expires.
    pub fn stream_lost(&mut self, stream: StreamId) {
        let Some(known_member) = self.members.streams.remove(&stream) else {
            return;
        };
        self.acquisitions.check_due = true;
        self.acquisitions.forget(stream);
        self.renewals.forget(stream);
        if let Some(record) = self.members.records.get_mut(&known_member)
            && record.stream == Some(stream)
        {
            record.stream = None;
            let member = known_member.member;
            self.record_event(events::MEMBER_DISCONNECTED, EventDetail::Member { member });
        }
    }

    /// Whether a member is connected, has a session lease and may be given functions.
    pub(super) fn is_serving(&self, known_member: &KnownMember, now: MonotonicTime) -> bool {
        self.members
            .records
            .get(known_member)
            .is_some_and(|record| {
                record.stream.is_some() && record.lease_expires_at > now && record.host.eligible.0
            })
    }

    /// Whether a member has a session lease.
    pub(super) fn has_lease(&self, known_member: &KnownMember, now: MonotonicTime) -> bool {
        self.members
            .records
            .get(known_member)
            .is_some_and(|record| record.lease_expires_at > now)
    }

    /// Forgets members without stream and lease once they hold nothing: at once if they left in order, else
    /// after a while.
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
            let record = self.members.remove(&gone_member);
            self.pressure.idle_since.remove(&gone_member);
            if record.is_some_and(|record| record.has_departed) {
                self.note_departed(now, &gone_member);
            }
            self.hosts.push_due = true;
            self.membership_list.check_due = true;
        }
    }

    /// A frame came in on a member's stream: the member is alive.
    pub(super) fn note_frame_received(&mut self, now: MonotonicTime, stream: StreamId) {
        if let Some((_, record)) = self.members.on_stream_mut(stream) {
            record.last_frame_at = now;
        }
    }
}
