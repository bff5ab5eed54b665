//! Requests to ledger replicas and their replies.

use super::hop_frame;
use crate::synthetic::events::{Event, HolderKey};
use crate::synthetic::fleet::SyntheticFleet;
use crate::synthetic::meter::{Role, Work};
use crate::synthetic::wire;
use bytes::Bytes;
use common::frames::{DaemonFrame, decode, encode};
use dataplane::agent::{ReplicaRequest, ReplicaRequestKind};

impl SyntheticFleet {
    pub(super) fn send_replica_request(
        &mut self,
        holder_key: &HolderKey,
        replica_request: ReplicaRequest,
    ) {
        let ReplicaRequest {
            replica,
            body,
            request_kind,
            timeout,
        } = replica_request;
        let number = self.number();
        self.pending_replica_requests.insert(number);
        let timed_out = Event::ReplicaReplied {
            holder_key: holder_key.clone(),
            number,
            request_kind,
            frame: None,
        };
        self.push(timeout, timed_out);
        let Some(other) = self.daemon_at(replica.address) else {
            return;
        };
        let frame = hop_frame(number, body);
        let encoded = self
            .meter
            .wire(Role::Holder, Work::Replicas, 1, || encode(&frame));
        let Ok(bytes) = encoded else { return };
        self.meter.sent(
            Role::Holder,
            Work::Replicas,
            1,
            wire::frame_bytes(bytes.len()),
        );
        let delay = Self::delay(holder_key.daemon, other);
        let (holder_key, frame) = (holder_key.clone(), bytes.into());
        self.push(
            delay,
            Event::ReplicaRequested {
                replica: other,
                holder_key,
                number,
                request_kind,
                frame,
            },
        );
    }

    pub(super) fn handle_replica_request(
        &mut self,
        replica: usize,
        holder_key: HolderKey,
        number: u64,
        request_kind: ReplicaRequestKind,
        bytes: &Bytes,
    ) {
        let now = self.now;
        let Some(agent) = self.agent(replica) else {
            return;
        };
        let work = Work::Replicas;
        self.meter
            .received(Role::Holder, work, 1, wire::frame_bytes(bytes.len()));
        let read = self
            .meter
            .wire(Role::Holder, work, 1, || decode::<DaemonFrame>(bytes));
        let Ok(frame) = read else { return };
        let (reply, _) = self.meter.measure_step(Role::Holder, work, || {
            agent.answer_replica_request(now, frame.body)
        });
        let Some(reply) = reply else { return };
        let frame = hop_frame(number, reply);
        let Ok(bytes) = self.meter.wire(Role::Holder, work, 1, || encode(&frame)) else {
            return;
        };
        self.meter
            .sent(Role::Holder, work, 1, wire::frame_bytes(bytes.len()));
        let delay = Self::delay(replica, holder_key.daemon);
        let frame = Some(bytes.into());
        self.push(
            delay,
            Event::ReplicaReplied {
                holder_key,
                number,
                request_kind,
                frame,
            },
        );
    }

    pub(super) fn handle_replica_reply(
        &mut self,
        holder_key: &HolderKey,
        number: u64,
        request_kind: ReplicaRequestKind,
        frame: Option<Bytes>,
    ) {
        if !self.pending_replica_requests.remove(&number) {
            return;
        }
        let reply = frame.and_then(|bytes| {
            let work = Work::Replicas;
            self.meter
                .received(Role::Holder, work, 1, wire::frame_bytes(bytes.len()));
            let read = self
                .meter
                .wire(Role::Holder, work, 1, || decode::<DaemonFrame>(&bytes));
            read.ok().map(|frame| frame.body)
        });
        self.apply(holder_key, Work::Replicas, |holder, now| {
            request_kind.reply(holder, now, reply)
        });
    }
}
