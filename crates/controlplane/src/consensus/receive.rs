//! The dispatch of frames from other controllers.

use super::election::{VoteRequest, VoteResponse};
use super::peers::Hello;
use super::replication::VersionDelta;
use super::state::Contact;
use super::{ConsensusNode, ConsensusOutput, ControllerAddress};

use common::clock::MonotonicTime;
use common::frames::{ConsensusFrame, ConsensusMessage, KnownMember};
use common::identity::{DocumentVersion, Term};

/// A leader's heartbeat as received.
struct Heartbeat {
    term: Term,
    round: u64,
    committed: DocumentVersion,
    members: Vec<KnownMember>,
    complete: bool,
}

impl ConsensusNode {
    /// Takes in a frame from another controller. A node's own frames are ignored.
    pub fn receive(&mut self, now: MonotonicTime, frame: ConsensusFrame) -> Vec<ConsensusOutput> {
        if frame.from == self.local.id {
            return Vec::new();
        }
        let sender = Contact {
            id: frame.from,
            controller_address: ControllerAddress {
                address: frame.address,
                operators: frame.operators,
            },
        };
        self.peers.record(now, sender, frame.zone);
        self.dispatch(now, sender, frame.body);
        self.take_outputs()
    }

    /// Hands a message to the handlers of its concern. Each step but the last returns a message that does not
    /// concern it, and the last step is exhaustive: a new kind of message does not compile without a handler.
    fn dispatch(&mut self, now: MonotonicTime, sender: Contact, message: ConsensusMessage) {
        let Some(message) = self.dispatch_introduction(now, sender, message) else {
            return;
        };
        let Some(message) = self.dispatch_election(now, sender, message) else {
            return;
        };
        let Some(message) = self.dispatch_heartbeat(now, sender, message) else {
            return;
        };
        self.dispatch_replication(now, sender, message);
    }

    /// Messages by which controllers find each other and begin the control quorum.
    fn dispatch_introduction(
        &mut self,
        now: MonotonicTime,
        sender: Contact,
        message: ConsensusMessage,
    ) -> Option<ConsensusMessage> {
        match message {
            ConsensusMessage::Hello {
                accepted,
                term,
                diskless,
            } => {
                let hello = Hello {
                    accepted,
                    term,
                    is_diskless: diskless.0,
                };
                self.handle_hello(now, sender, hello);
            }
            ConsensusMessage::VoterAddresses { addresses } => {
                self.handle_voter_addresses(addresses.0);
            }
            ConsensusMessage::Bootstrap { document } => self.handle_bootstrap(now, &document),
            other => return Some(other),
        }
        None
    }

    /// Requests for votes and the responses to them.
    fn dispatch_election(
        &mut self,
        now: MonotonicTime,
        sender: Contact,
        message: ConsensusMessage,
    ) -> Option<ConsensusMessage> {
        match message {
            ConsensusMessage::VoteRequest {
                term,
                accepted,
                is_pre_vote,
            } => {
                let request = VoteRequest {
                    term,
                    accepted,
                    is_pre_vote: is_pre_vote.0,
                };
                self.handle_vote_request(now, sender, request);
            }
            ConsensusMessage::VoteResponse {
                term,
                requested_term,
                is_pre_vote,
                granted,
                members,
                complete,
            } => {
                let response = VoteResponse {
                    term,
                    requested_term,
                    is_pre_vote: is_pre_vote.0,
                    granted: granted.0,
                    members: members.0,
                    complete: complete.0,
                };
                self.handle_vote_response(now, sender.id, response);
            }
            other => return Some(other),
        }
        None
    }

    /// The leader's heartbeats and the responses to them.
    fn dispatch_heartbeat(
        &mut self,
        now: MonotonicTime,
        sender: Contact,
        message: ConsensusMessage,
    ) -> Option<ConsensusMessage> {
        match message {
            ConsensusMessage::Heartbeat {
                term,
                round,
                accepted: _,
                committed,
                members,
                complete,
            } => {
                let heartbeat = Heartbeat {
                    term,
                    round,
                    committed,
                    members: members.0,
                    complete: complete.0,
                };
                self.handle_heartbeat(now, sender, heartbeat);
            }
            ConsensusMessage::HeartbeatResponse {
                term,
                round,
                accepted,
            } => self.handle_heartbeat_response(now, sender, term, round, accepted),
            other => return Some(other),
        }
        None
    }

    /// Versions of the document, and the acknowledgements of them. The other messages have been handled by now;
    /// they are listed so that the match stays exhaustive.
    fn dispatch_replication(
        &mut self,
        now: MonotonicTime,
        sender: Contact,
        message: ConsensusMessage,
    ) {
        let sender_address = sender.controller_address.address;
        match message {
            ConsensusMessage::AcceptFull {
                term,
                document_version,
                document,
            } => self.handle_accept(now, sender, term, document_version, &document),
            ConsensusMessage::AcceptDelta {
                term,
                base,
                document_version,
                delta,
                digest,
            } => {
                let version = VersionDelta {
                    term,
                    base,
                    document_version,
                    delta: &delta,
                    digest: &digest,
                };
                self.handle_accept_delta(now, sender, version);
            }
            ConsensusMessage::SnapshotRequest { term, accepted } => {
                self.handle_snapshot_request(now, sender_address, term, accepted);
            }
            ConsensusMessage::Accepted {
                term,
                document_version,
            } => self.handle_accepted(now, sender_address, term, document_version),
            ConsensusMessage::Hello { .. }
            | ConsensusMessage::VoterAddresses { .. }
            | ConsensusMessage::Bootstrap { .. }
            | ConsensusMessage::VoteRequest { .. }
            | ConsensusMessage::VoteResponse { .. }
            | ConsensusMessage::Heartbeat { .. }
            | ConsensusMessage::HeartbeatResponse { .. } => {}
        }
    }

    fn handle_heartbeat(&mut self, now: MonotonicTime, sender: Contact, heartbeat: Heartbeat) {
        if self.observe_leader(now, sender, heartbeat.term) {
            self.membership.members = heartbeat.members.into_iter().collect();
            self.membership.complete = heartbeat.complete;
            self.committed = self.committed.max(heartbeat.committed);
        }
        if !self.local.diskless {
            let address = sender.controller_address.address;
            self.send_heartbeat_response(address, heartbeat.term, heartbeat.round);
        }
    }
}
