//! Requests to ledger replicas, and the replies.

use super::numbered_frame;
use crate::synthetic::events::{Event, HolderKey, ReplicaEvent, ReplicaRequestKey};
use crate::synthetic::fleet::SyntheticFleet;
use crate::synthetic::meter::{Role, Work};
use crate::synthetic::wire;
use bytes::Bytes;
use common::frames::DaemonFrame;
use dataplane::agent::ReplicaRequest;

impl SyntheticFleet {
    /// Handles an event of a request to a ledger replica.
    pub(in crate::synthetic) fn handle_replica_event(
        &mut self,
        request_key: ReplicaRequestKey,
        event: ReplicaEvent,
    ) {
        match event {
            ReplicaEvent::Requested { replica, frame } => {
                self.handle_replica_request(replica, request_key, &frame);
            }
            ReplicaEvent::Replied(frame) => self.handle_replica_reply(&request_key, frame),
        }
    }

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
        let request_key = ReplicaRequestKey {
            holder: holder_key.clone(),
            number: self.next_number(),
            request_kind,
        };
        self.pending_replica_requests.insert(request_key.number);
        let timed_out = Event::Replica(request_key.clone(), ReplicaEvent::Replied(None));
        self.push(timeout, timed_out);
        let Some(replica_daemon) = self.daemon_at(replica.address) else {
            return;
        };
        let frame = numbered_frame(request_key.number, body);
        let Some(frame) = self.encode_replica_frame(&frame) else {
            return;
        };
        let requested = ReplicaEvent::Requested {
            replica: replica_daemon,
            frame,
        };
        let delay = Self::message_delay(holder_key.daemon, replica_daemon);
        self.push(delay, Event::Replica(request_key, requested));
    }

    fn handle_replica_request(
        &mut self,
        replica: usize,
        request_key: ReplicaRequestKey,
        bytes: &Bytes,
    ) {
        let now = self.now;
        let Some(agent) = self.agent(replica) else {
            return;
        };
        let Some(frame) = self.decode_replica_frame(bytes) else {
            return;
        };
        let (reply, _) = self.meter.measure_step(Role::Holder, Work::Replicas, || {
            agent.handle_replica_request(now, frame.body)
        });
        let Some(reply) = reply else { return };
        let frame = numbered_frame(request_key.number, reply);
        let Some(frame) = self.encode_replica_frame(&frame) else {
            return;
        };
        let delay = Self::message_delay(replica, request_key.holder.daemon);
        self.push(
            delay,
            Event::Replica(request_key, ReplicaEvent::Replied(Some(frame))),
        );
    }

    /// Handles the reply of a ledger replica, or the timeout of the request if there is no frame.
    fn handle_replica_reply(&mut self, request_key: &ReplicaRequestKey, frame: Option<Bytes>) {
        if !self.pending_replica_requests.remove(&request_key.number) {
            return;
        }
        let reply = frame
            .and_then(|bytes| self.decode_replica_frame(&bytes))
            .map(|frame| frame.body);
        let request_kind = request_key.request_kind;
        self.update_holder(&request_key.holder, Work::Replicas, |holder, now| {
            request_kind.handle_reply(holder, now, reply)
        });
    }

    fn encode_replica_frame(&mut self, frame: &DaemonFrame) -> Option<Bytes> {
        wire::encode_sent(&mut self.meter, Role::Holder, Work::Replicas, frame)
    }

    fn decode_replica_frame(&mut self, bytes: &Bytes) -> Option<DaemonFrame> {
        wire::decode_received(&mut self.meter, Role::Holder, Work::Replicas, bytes)
    }
}
