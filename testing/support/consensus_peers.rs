//! Consensus nodes of a control quorum of three, and frames from their peers, for tests of a single node.

use common::clock::MonotonicTime;
use common::frames::{ConsensusFrame, ConsensusMessage, Flag, LengthPrefixed, SocketAddress};
use common::identity::{ControllerId, Term, Zone};
use common::rng::SeededRng;
use common::rules::Rules;
use common::spec::{Document, Voter};
use controlplane::consensus::{ConsensusNode, ConsensusTiming, ControllerAddress, PersistedState};

/// The time at which every node starts.
pub(crate) const START: MonotonicTime = MonotonicTime(1_000_000_000);

/// Returns the address of a controller, which is the same for peers and operators.
pub(crate) fn address(number: u64) -> SocketAddress {
    SocketAddress(format!("10.0.0.{number}:1").parse().expect("an address"))
}

fn zone(number: u64) -> Zone {
    Zone::from(format!("zone-{number}"))
}

/// Returns the three voters, numbered from one, each in a different zone.
pub(crate) fn three_voters() -> Vec<Voter> {
    let voter = |number| Voter {
        id: ControllerId(number),
        address: address(number),
        zone: zone(number),
    };
    (1..4).map(voter).collect()
}

/// Creates the consensus node of a controller that starts with a document on its disk.
pub(crate) fn consensus_node(number: u64, document: Document, rules: Rules) -> ConsensusNode {
    let mut persisted = PersistedState::empty(ControllerId(number));
    persisted.accepted = Some(document);
    let controller_address = ControllerAddress {
        address: address(number),
        operator_address: address(number),
    };
    let timing = ConsensusTiming::builder().build();
    let seeds = (1..4).map(address).collect();
    let rng = SeededRng::seeded(number);
    ConsensusNode::new(
        START,
        timing,
        persisted,
        controller_address,
        zone(number),
        seeds,
        rng,
    )
    .with_rules(rules)
}

/// Wraps a message in a frame of the given sender.
pub(crate) fn frame(from: u64, body: ConsensusMessage) -> ConsensusFrame {
    ConsensusFrame {
        from: ControllerId(from),
        address: address(from),
        operators: address(from),
        zone: zone(from),
        body,
    }
}

/// Returns the response of a voter that grants every vote and accepts every version. Other messages have none.
pub(crate) fn agreeing_response(request: &ConsensusMessage) -> Option<ConsensusMessage> {
    match request {
        ConsensusMessage::VoteRequest {
            term, is_pre_vote, ..
        } => Some(ConsensusMessage::VoteResponse {
            term: if is_pre_vote.0 {
                Term(term.0 - 1)
            } else {
                *term
            },
            requested_term: *term,
            is_pre_vote: *is_pre_vote,
            granted: Flag(true),
            members: LengthPrefixed(Vec::new()),
            complete: Flag(true),
        }),
        ConsensusMessage::AcceptFull {
            term,
            document_version,
            ..
        }
        | ConsensusMessage::AcceptDelta {
            term,
            document_version,
            ..
        } => Some(ConsensusMessage::Accepted {
            term: *term,
            document_version: *document_version,
        }),
        _ => None,
    }
}
