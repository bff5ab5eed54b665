//! Sample frames between controllers.

use crate::form_samples::address;
use crate::kinds::kinds;
use crate::parts::{SampleFrame, counting_u64, document_version, sample_frame};
use common::frames::{
    ConsensusFrame, ConsensusMessage, Flag, KnownMember, LengthPrefixed, SocketAddress,
};
use common::identity::{ControllerId, Term};

kinds!(CONSENSUS, consensus_kind, ConsensusMessage, {
    ConsensusMessage::Hello { .. } => "core/hello",
    ConsensusMessage::Bootstrap { .. } => "core/found",
    ConsensusMessage::VoteRequest { .. } => "core/vote-ask",
    ConsensusMessage::VoteResponse { .. } => "core/vote-reply",
    ConsensusMessage::Heartbeat { .. } => "core/round",
    ConsensusMessage::HeartbeatResponse { .. } => "core/round-reply",
    ConsensusMessage::AcceptFull { .. } => "core/accept",
    ConsensusMessage::AcceptDelta { .. } => "core/accept-change",
    ConsensusMessage::SnapshotRequest { .. } => "core/ask-whole",
    ConsensusMessage::VoterAddresses { .. } => "core/named",
    ConsensusMessage::Accepted { .. } => "core/accepted",
});

fn known_members() -> LengthPrefixed<KnownMember> {
    let known = |number: u8| KnownMember {
        member: format!("daemon-{number}").into(),
        incarnation: counting_u64(number).into(),
        address: address(number),
    };
    LengthPrefixed(vec![known(1), known(2)])
}

fn in_frame(body: ConsensusMessage) -> ConsensusFrame {
    ConsensusFrame {
        from: ControllerId(counting_u64(0xe0)),
        address: address(201),
        operators: address(203),
        zone: "zone-\u{e9}".into(),
        body,
    }
}

/// The suffix of a sample's name, needed if a variant has several samples, and the message.
type Sample = (&'static str, ConsensusMessage);

fn votes(term: Term) -> [Sample; 4] {
    let request = |is_pre_vote| ConsensusMessage::VoteRequest {
        term,
        accepted: document_version(0x20),
        is_pre_vote: Flag(is_pre_vote),
    };
    let pre_vote_response = ConsensusMessage::VoteResponse {
        term,
        requested_term: Term(counting_u64(0x18)),
        is_pre_vote: Flag(true),
        granted: Flag(false),
        members: LengthPrefixed(Vec::new()),
        complete: Flag(false),
    };
    let vote_response = ConsensusMessage::VoteResponse {
        term,
        requested_term: Term(counting_u64(0x18)),
        is_pre_vote: Flag(false),
        granted: Flag(true),
        members: known_members(),
        complete: Flag(false),
    };
    [
        ("", request(false)),
        ("/trial", request(true)),
        ("/trial", pre_vote_response),
        ("/given", vote_response),
    ]
}

fn heartbeats(term: Term) -> [Sample; 3] {
    let heartbeat = |members, complete| ConsensusMessage::Heartbeat {
        term,
        round: counting_u64(0x18),
        accepted: document_version(0x20),
        committed: document_version(0x30),
        members,
        complete: Flag(complete),
    };
    let response = ConsensusMessage::HeartbeatResponse {
        term,
        round: counting_u64(0x18),
        accepted: document_version(0x20),
    };
    [
        ("", heartbeat(known_members(), true)),
        ("/nobody", heartbeat(LengthPrefixed(Vec::new()), false)),
        ("", response),
    ]
}

fn versions(term: Term) -> [Sample; 4] {
    let delta = ConsensusMessage::AcceptDelta {
        term,
        base: document_version(0x20),
        document_version: document_version(0x30),
        delta: b"{\"change\":1}".to_vec().into(),
        digest: (0x80..0xa0).collect::<Vec<u8>>().into(),
    };
    [
        (
            "",
            ConsensusMessage::AcceptFull {
                term,
                document_version: document_version(0x20),
                document: b"{\"spec\":2}".to_vec().into(),
            },
        ),
        ("", delta),
        (
            "",
            ConsensusMessage::SnapshotRequest {
                term,
                accepted: document_version(0x20),
            },
        ),
        (
            "",
            ConsensusMessage::Accepted {
                term,
                document_version: document_version(0x20),
            },
        ),
    ]
}

fn samples() -> Vec<Sample> {
    let term = Term(counting_u64(0x10));
    let hello = |diskless| ConsensusMessage::Hello {
        accepted: document_version(0x20),
        term,
        diskless: Flag(diskless),
    };
    let mut samples = vec![
        ("", hello(false)),
        ("/passes-on", hello(true)),
        (
            "",
            ConsensusMessage::Bootstrap {
                document: b"{\"spec\":1}".to_vec().into(),
            },
        ),
        (
            "",
            ConsensusMessage::VoterAddresses {
                addresses: LengthPrefixed(vec![address(4), address(5), SocketAddress::UNSPECIFIED]),
            },
        ),
    ];
    samples.extend(votes(term));
    samples.extend(heartbeats(term));
    samples.extend(versions(term));
    samples
}

/// Returns the samples of all variants.
pub fn sample_frames() -> Vec<SampleFrame> {
    let as_sample_frame = |(suffix, body): Sample| {
        let name = format!("{}{suffix}", consensus_kind(&body));
        sample_frame(name, &in_frame(body))
    };
    samples().into_iter().map(as_sample_frame).collect()
}
