//! Sessions of members with the leader: how each begins and ends, and which members are known.

use super::members::{MemberHello, MemberRecord};
use super::{EventDetail, LeaderOutput, LeaderState, StreamId, TraceStep};
use crate::consensus::ReportedMembership;
use common::clock::MonotonicTime;
use common::events;
use common::frames::{Flag, Host, KnownMember, LeaderToDaemon};
use common::identity::Version;
use std::collections::BTreeSet;

impl LeaderState {
    /// Returns the members that may hold leases.
    pub fn known_members(&self) -> ReportedMembership {
        let mut members: BTreeSet<KnownMember> = self.members.known().cloned().collect();
        if !self.claims.is_reached {
            members.extend(self.claims.last_known.iter().cloned());
        }
        ReportedMembership {
            members,
            complete: self.claims.last_known_complete || self.claims.is_reached,
        }
    }

    /// Returns the known members if they may have changed since the last call.
    pub fn take_known_members(&mut self) -> Option<ReportedMembership> {
        self.members.take_changed().then(|| self.known_members())
    }

    /// Handles a member's `Hello` on a new stream, which replaces the member's earlier streams and incarnations.
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
        let is_new = self.members.get(&known_member).is_none();
        if is_new && self.claims.expects_other_incarnation_of(&known_member) {
            self.claims.member_restarted_at = now;
        }
        self.members.attach(stream, &known_member);
        let advertised_host = Host {
            eligible: Flag(host.eligible.0 && !self.is_evacuated(&host.zone)),
            ..host.clone()
        };
        let record = self
            .members
            .get_or_insert(known_member, || MemberRecord::new(now, &hello));
        record.connect(now, stream, &hello, advertised_host);
        self.members.mark_changed();
        self.membership_list.check_due = true;
        self.hosts.handle_member_connected(&host.member);
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

    /// Ends the earlier incarnations of a member. The new incarnation has bound their port, so their processes have
    /// exited and their session leases are over.
    fn end_earlier_incarnations(&mut self, now: MonotonicTime, restarted_member: &KnownMember) {
        let earlier_incarnations: Vec<KnownMember> = self
            .members
            .known()
            .filter(|known| known.is_other_incarnation_of(restarted_member))
            .cloned()
            .collect();
        for earlier_incarnation in earlier_incarnations {
            self.claims.member_restarted_at = now;
            let Some(record) = self.members.get_mut(&earlier_incarnation) else {
                continue;
            };
            record.lease_expires_at = record.lease_expires_at.min(now);
            record.lease_expiry_bound = record.lease_expiry_bound.min(now);
            record.make_ineligible();
            if let Some(earlier_stream) = record.stream.take() {
                self.members.close_stream(earlier_stream);
                self.acquisitions.forget(earlier_stream);
                self.renewals.forget(earlier_stream);
            }
            self.fence_all_held_by(now, &earlier_incarnation);
        }
    }

    /// Records that a member has installed a version. Renewals may be waiting for that.
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

    /// Handles a graceful departure: the member gives up its session lease and takes no more functions.
    pub(super) fn handle_leaving(&mut self, now: MonotonicTime, stream: StreamId) {
        if self.members.on_stream(stream).is_none() {
            return;
        }
        if let Some((_, record)) = self.members.on_stream_mut(stream) {
            record.make_ineligible();
            record.lease_expires_at = now;
            record.lease_expiry_bound = now;
            record.is_expiry_handled = false;
            record.has_departed = true;
            self.hosts.push_due = true;
        }
        self.fencing.schedule_sweep();
        self.renewals.forget(stream);
    }

    /// Handles the end of a member's stream. Its session lease lasts until it expires.
    pub fn handle_stream_lost(&mut self, stream: StreamId) {
        let Some(known_member) = self.members.close_stream(stream) else {
            return;
        };
        self.acquisitions.check_due = true;
        self.acquisitions.forget(stream);
        self.renewals.forget(stream);
        if let Some(record) = self.members.get_mut(&known_member)
            && record.stream == Some(stream)
        {
            record.stream = None;
            let member = known_member.member;
            self.record_event(events::MEMBER_DISCONNECTED, EventDetail::Member { member });
        }
    }

    /// Whether a member is connected, has a session lease and is eligible for functions.
    pub(super) fn is_serving(&self, known_member: &KnownMember, now: MonotonicTime) -> bool {
        self.members.get(known_member).is_some_and(|record| {
            record.stream.is_some() && record.lease_expires_at > now && record.host.eligible.0
        })
    }

    /// Whether a member has a session lease.
    pub(super) fn has_lease(&self, known_member: &KnownMember, now: MonotonicTime) -> bool {
        self.members
            .get(known_member)
            .is_some_and(|record| record.lease_expires_at > now)
    }

    /// Drops the records of members that have no stream, lease or functions: immediately if they left gracefully,
    /// otherwise after [`forget_after`](super::LeaderTiming::forget_after).
    pub(super) fn expire_members(&mut self, now: MonotonicTime) {
        if !self.members.take_expiry_due(now) {
            return;
        }
        let forget_after = self.timing.forget_after;
        let gone_members: Vec<KnownMember> = self
            .members
            .iter()
            .filter(|(_, record)| {
                record.stream.is_none()
                    && now >= record.lease_expiry_bound
                    && (record.has_departed || now.since(record.last_contact_at) > forget_after)
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

    /// Records that a frame arrived on a member's stream, so the member is alive.
    pub(super) fn note_frame_received(&mut self, now: MonotonicTime, stream: StreamId) {
        if let Some((_, record)) = self.members.on_stream_mut(stream) {
            record.last_frame_at = now;
        }
    }
}
