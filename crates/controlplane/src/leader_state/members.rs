//! The table of members: their streams, their incarnations and what is known of each.

use super::StreamId;
use super::membership::started_at;
use common::clock::MonotonicTime;
use common::frames::{Flag, Host, KnownMember, SocketAddress};
use common::identity::{MemberName, Version};
use std::collections::BTreeMap;
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
    pub is_expiry_handled: bool,
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
    pub(super) fn new(now: MonotonicTime, hello: &MemberHello) -> Self {
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
            is_expiry_handled: false,
            joined_at: now,
            started_at: hello.history.started_at,
            had_lease: hello.history.had_lease,
            last_frame_at: now,
            pushed_hosts_number: 0,
            has_departed: false,
        }
    }

    /// The member says hello on a stream; `advertised_host` is how other members are to see it.
    pub(super) fn connect(
        &mut self,
        now: MonotonicTime,
        stream: StreamId,
        hello: &MemberHello,
        advertised_host: Host,
    ) {
        self.is_self_eligible = hello.host.eligible.0;
        self.stream = Some(stream);
        self.host = advertised_host;
        self.ingress = hello.ingress;
        self.installed = hello.version;
        self.pushed = hello.version;
        self.last_heard_at = now;
        self.last_frame_at = now;
        self.pushed_hosts_number = 0;
        self.has_departed = false;
    }

    /// The member takes no functions any more.
    pub(super) fn make_ineligible(&mut self) {
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
    pub(super) fn attach(&mut self, stream: StreamId, known_member: &KnownMember) {
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

    /// The record of one incarnation; a new one is made for an incarnation that has none.
    pub(super) fn get_or_insert(
        &mut self,
        known_member: KnownMember,
        new_record: impl FnOnce() -> MemberRecord,
    ) -> &mut MemberRecord {
        self.records.entry(known_member).or_insert_with(new_record)
    }

    /// A stream has ended; returns the member that was on it.
    pub(super) fn close_stream(&mut self, stream: StreamId) -> Option<KnownMember> {
        self.streams.remove(&stream)
    }

    /// Whether it is time to look for members that are gone; it is then not due again for a while.
    pub(super) fn take_expiry_due(&mut self, now: MonotonicTime) -> bool {
        let is_due = now >= self.next_expiry_at;
        if is_due {
            self.next_expiry_at = now + MEMBER_EXPIRY_INTERVAL;
        }
        is_due
    }

    /// Whether the members that may hold leases have changed since this was last called.
    pub(super) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
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

    /// Forgets an incarnation; returns its record.
    pub(super) fn remove(&mut self, gone_member: &KnownMember) -> Option<MemberRecord> {
        let record = self.records.remove(gone_member);
        if self.current.get(&gone_member.member) == Some(gone_member) {
            self.current.remove(&gone_member.member);
        }
        self.changed = true;
        record
    }
}
