//! Table of members: their streams, their incarnations and what the leader knows about each.

use super::StreamId;
use super::membership::started_at;
use common::clock::MonotonicTime;
use common::frames::{Flag, Host, KnownMember, SocketAddress};
use common::identity::{MemberName, Version};
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval between checks for members whose records can be dropped.
const MEMBER_EXPIRY_INTERVAL: Duration = Duration::from_millis(50);

/// What the leader knows about one incarnation of a member.
pub(super) struct MemberRecord {
    /// The host as advertised to other members: not eligible while its zone is evacuated.
    pub host: Host,
    /// Address on which it listens for callers.
    pub ingress: SocketAddress,
    pub stream: Option<StreamId>,
    /// Whether the member reports itself ready to hold functions, regardless of whether its zone is evacuated.
    pub is_self_eligible: bool,
    /// When the member's session lease ends, by the leader's clock.
    pub lease_expires_at: MonotonicTime,
    /// When the member has certainly stopped using the lease, allowing for clock drift. Nothing that it held is
    /// given to another member before this.
    pub lease_expiry_bound: MonotonicTime,
    /// The newest version that the member has installed.
    pub installed: Version,
    /// The newest version that was sent on its stream.
    pub pushed: Version,
    /// Whether it has reported what it holds from earlier leaders.
    pub claimed: bool,
    /// When it last sent a `Hello`, claimed a function or renewed its lease.
    pub last_contact_at: MonotonicTime,
    /// Whether the functions that it held were fenced after the end of its lease.
    pub is_expiry_handled: bool,
    pub joined_at: MonotonicTime,
    /// The latest instant at which the incarnation may have started.
    pub started_at: MonotonicTime,
    /// Whether the incarnation ever had a session lease.
    pub had_lease: bool,
    /// When the last frame arrived on its stream.
    pub last_frame_at: MonotonicTime,
    /// The number of the host list that was last pushed to it; 0 if it needs the complete list.
    pub pushed_hosts_number: u64,
    /// Whether it announced its departure.
    pub has_departed: bool,
}

impl MemberRecord {
    /// Creates the record of a member whose first `Hello` has just arrived.
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
            last_contact_at: now,
            is_expiry_handled: false,
            joined_at: now,
            started_at: hello.history.started_at,
            had_lease: hello.history.had_lease,
            last_frame_at: now,
            pushed_hosts_number: 0,
            has_departed: false,
        }
    }

    /// Records a `Hello` on a stream; `advertised_host` is the host as other members see it.
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
        self.last_contact_at = now;
        self.last_frame_at = now;
        self.pushed_hosts_number = 0;
        self.has_departed = false;
    }

    /// Marks the member as taking no more functions.
    pub(super) fn make_ineligible(&mut self) {
        self.is_self_eligible = false;
        self.host.eligible = Flag(false);
    }
}

/// What a member reports when it opens its stream.
pub(super) struct MemberHello {
    /// The member's own description of its host.
    pub host: Host,
    /// Address on which it listens for callers.
    pub ingress: SocketAddress,
    /// The version that it has installed.
    pub version: Version,
    pub history: IncarnationHistory,
}

/// What a member's `Hello` reports about its incarnation.
pub(super) struct IncarnationHistory {
    pub started_at: MonotonicTime,
    pub had_lease: bool,
}

impl IncarnationHistory {
    /// Creates the history from the reported age in milliseconds and whether the incarnation ever had a session lease.
    pub(super) fn new(now: MonotonicTime, age_ms: u32, had_lease: Flag) -> Self {
        Self {
            started_at: started_at(now, age_ms),
            had_lease: had_lease.0,
        }
    }
}

/// The members: their records, their open streams, and the current incarnation of each name.
pub(super) struct Members {
    streams: BTreeMap<StreamId, KnownMember>,
    records: BTreeMap<KnownMember, MemberRecord>,
    current: BTreeMap<MemberName, KnownMember>,
    /// Whether the set has changed since it was last passed to the control quorum.
    changed: bool,
    next_expiry_at: MonotonicTime,
}

impl Members {
    /// Creates an empty table.
    pub(super) fn new() -> Self {
        Self {
            streams: BTreeMap::new(),
            records: BTreeMap::new(),
            current: BTreeMap::new(),
            changed: true,
            next_expiry_at: MonotonicTime::ZERO,
        }
    }

    /// Makes this the member's stream, in place of an earlier one, and the incarnation the current one.
    pub(super) fn attach(&mut self, stream: StreamId, known_member: &KnownMember) {
        let record = self.records.get(known_member);
        if let Some(earlier_stream) = record.and_then(|record| record.stream) {
            self.streams.remove(&earlier_stream);
        }
        self.streams.insert(stream, known_member.clone());
        self.current
            .insert(known_member.member.clone(), known_member.clone());
    }

    /// Returns the member on a stream.
    pub(super) fn on_stream(&self, stream: StreamId) -> Option<&KnownMember> {
        self.streams.get(&stream)
    }

    /// Returns the open streams.
    pub(super) fn open_streams(&self) -> Vec<StreamId> {
        self.streams.keys().copied().collect()
    }

    /// Returns the number of open streams.
    pub(super) fn open_stream_count(&self) -> usize {
        self.streams.len()
    }

    /// Returns the record of one incarnation.
    pub(super) fn get(&self, known_member: &KnownMember) -> Option<&MemberRecord> {
        self.records.get(known_member)
    }

    /// Returns a mutable reference to the record of one incarnation.
    pub(super) fn get_mut(&mut self, known_member: &KnownMember) -> Option<&mut MemberRecord> {
        self.records.get_mut(known_member)
    }

    /// Iterates over all incarnations that have a record.
    pub(super) fn known(&self) -> impl Iterator<Item = &KnownMember> {
        self.records.keys()
    }

    /// Iterates over all incarnations and their records.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&KnownMember, &MemberRecord)> {
        self.records.iter()
    }

    /// Iterates over all records.
    pub(super) fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records.values()
    }

    /// Iterates mutably over all records.
    pub(super) fn records_mut(&mut self) -> impl Iterator<Item = &mut MemberRecord> {
        self.records.values_mut()
    }

    /// Returns the open stream of one incarnation.
    pub(super) fn stream_of(&self, known_member: &KnownMember) -> Option<StreamId> {
        self.records.get(known_member)?.stream
    }

    /// Returns the current incarnation of a member.
    pub(super) fn current_incarnation(&self, member: &MemberName) -> Option<&KnownMember> {
        self.current.get(member)
    }

    /// Iterates over the records of the current incarnations, ordered by member name.
    pub(super) fn current_records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.current
            .values()
            .filter_map(|known_member| self.records.get(known_member))
    }

    /// Returns the record of one incarnation, and creates it if there is none.
    pub(super) fn get_or_insert(
        &mut self,
        known_member: KnownMember,
        new_record: impl FnOnce() -> MemberRecord,
    ) -> &mut MemberRecord {
        self.records.entry(known_member).or_insert_with(new_record)
    }

    /// Removes a stream that has ended, and returns the member that was on it.
    pub(super) fn close_stream(&mut self, stream: StreamId) -> Option<KnownMember> {
        self.streams.remove(&stream)
    }

    /// Whether the expiry check is due. If so, the next one is due after [`MEMBER_EXPIRY_INTERVAL`].
    pub(super) fn take_expiry_due(&mut self, now: MonotonicTime) -> bool {
        let is_due = now >= self.next_expiry_at;
        if is_due {
            self.next_expiry_at = now + MEMBER_EXPIRY_INTERVAL;
        }
        is_due
    }

    /// Returns whether the members that may hold leases have changed since the last call.
    pub(super) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Records that the members that may hold leases have changed and must be passed to the control quorum again.
    pub(super) fn mark_changed(&mut self) {
        self.changed = true;
    }

    /// Returns the member on a stream and a mutable reference to its record.
    pub(super) fn on_stream_mut(
        &mut self,
        stream: StreamId,
    ) -> Option<(&KnownMember, &mut MemberRecord)> {
        let known_member = self.streams.get(&stream)?;
        Some((known_member, self.records.get_mut(known_member)?))
    }

    /// Returns the record of a member's current incarnation.
    pub(super) fn current_record(&self, member: &MemberName) -> Option<&MemberRecord> {
        self.records.get(self.current.get(member)?)
    }

    /// Removes an incarnation and returns its record.
    pub(super) fn remove(&mut self, gone_member: &KnownMember) -> Option<MemberRecord> {
        let record = self.records.remove(gone_member);
        if self.current.get(&gone_member.member) == Some(gone_member) {
            self.current.remove(&gone_member.member);
        }
        self.changed = true;
        record
    }
}
