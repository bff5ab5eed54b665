//! Dispatches frames received from other controllers.

use super::election::{VoteRequest, VoteResponse};
use super::peers::Hello;
use super::replication::VersionDelta;
use super::state::Contact;
use super::{ConsensusNode, ConsensusOutput, ControllerAddress};

use common::clock::MonotonicTime;
use common::frames::{ConsensusFrame, ConsensusMessage, KnownMember};
use common::identity::{DocumentVersion, Term};

/// A heartbeat received from a leader.
struct Heartbeat {
    term: Term,
    round: u64,
    committed: DocumentVersion,
    members: Vec<KnownMember>,
    complete: bool,
}

impl ConsensusNode {
    /// Handles a frame from another controller. A frame that this node sent itself is ignored.
    pub fn handle_frame(
        &mut self,
        now: MonotonicTime,
        frame: ConsensusFrame,
    ) -> Vec<ConsensusOutput> {
        if frame.from == self.local.id {
            return Vec::new();
        }
        let sender = Contact {
            id: frame.from,
            controller_address: ControllerAddress {
                address: frame.address,
                operator_address: frame.operators,
            },
        };
        self.peers.record(now, sender, frame.zone);
        self.dispatch(now, sender, frame.body);
        self.take_outputs()
    }

    /// Calls the handler for the kind of message. The match is exhaustive, so that a kind without a
    /// handler does not compile.
    fn dispatch(&mut self, now: MonotonicTime, sender: Contact, message: ConsensusMessage) {
        let sender_address = sender.controller_address.address;
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
