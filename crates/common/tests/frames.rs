//! Round trips of frames, and the errors for malformed frames and connections.

use common::frames::{
    AcquireResult, Channel, ConsensusFrame, ConsensusMessage, DaemonFrame, DaemonMessage,
    DaemonToLeader, Flag, FrameError, HeaderField, Heartbeat, Host, LeaderToDaemon, LedgerRecord,
    LedgerRecordState, LengthPrefixed, MemberIncarnation, RequestFailureReason, RequestOutcome,
    RequestPayload, SocketAddress, Suspicion, decode, decode_heartbeat, encode, encode_heartbeat,
    read_channel, read_frame, write_channel, write_frame,
};
use common::identity::{
    ControllerId, CorrelationId, DocumentVersion, FencingToken, FunctionKey, MemberName, RunnerId,
    Term, Version,
};
use common::rng::SeededRng;
use googletest::prelude::*;

fn sample() -> LeaderToDaemon {
    LeaderToDaemon::SpecDelta {
        base: Version(7),
        version: Version(8),
        delta: b"[]".to_vec().into(),
        digest: vec![1; 32].into(),
    }
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        member: "th-1".into(),
        incarnation: 9.into(),
        sequence_number: 3,
        suspicions: LengthPrefixed(vec![Suspicion {
            suspect: MemberIncarnation {
                member: "th-2".into(),
                incarnation: 4.into(),
            },
            remaining_relays: 2,
        }]),
    }
}

#[gtest]
fn truncated_frames_are_rejected_and_corrupted_frames_never_panic() -> Result<()> {
    let frame_bytes = encode(&sample())?;
    let mut rng = SeededRng::seeded(11);
    for length in 0..frame_bytes.len() {
        verify_that!(
            decode::<LeaderToDaemon>(&frame_bytes[..length]).is_err(),
            eq(true)
        )?;
    }
    for _ in 0..5000 {
        let mut corrupted_bytes = frame_bytes.clone();
        let index = rng.below(corrupted_bytes.len() as u64) as usize;
        corrupted_bytes[index] = rng.number() as u8;
        let _ = decode::<LeaderToDaemon>(&corrupted_bytes);
        let _ = decode::<DaemonFrame>(&corrupted_bytes);
    }
    Ok(())
}

fn host() -> Host {
    Host {
        member: "th-1".into(),
        incarnation: 5.into(),
        zone: "l".into(),
        address: SocketAddress::UNSPECIFIED,
        eligible: Flag(true),
        link_mbps: 0,
    }
}

fn function() -> FunctionKey {
    FunctionKey::new("f", Version(2))
}

fn function_request(
    idempotency_key: &str,
    function: FunctionKey,
    route: &str,
    payload: RequestPayload,
) -> DaemonMessage {
    DaemonMessage::FunctionRequest {
        idempotency_key: idempotency_key.into(),
        function,
        route: route.into(),
        version: Version(3),
        time_limit_ms: 900,
        hops: 1,
        repeat: Flag(false),
        wants_referral: Flag(true),
        region: "east".into(),
        payload,
    }
}

fn daemon_messages() -> [DaemonMessage; 3] {
    let record = LedgerRecord {
        idempotency_key: "t-1".into(),
        state: LedgerRecordState::Recorded,
        remaining_ms: 900,
    };
    [
        function_request(
            "t-1",
            function(),
            "r",
            RequestPayload::from_body(b"{}".to_vec().into()),
        ),
        DaemonMessage::Record {
            function: function(),
            fencing_token: FencingToken(4),
            incarnation: 5.into(),
            records: LengthPrefixed(vec![record.clone(), record]),
        },
        DaemonMessage::Compare {
            function: function(),
            fencing_token: FencingToken(4),
            incarnation: 5.into(),
            digests: LengthPrefixed(vec![1, 2, 3]),
        },
    ]
}

fn frames_to_leader() -> [DaemonToLeader; 3] {
    [
        DaemonToLeader::Hello {
            host: host(),
            ingress: SocketAddress::UNSPECIFIED,
            version: Version(3),
            age_ms: 700,
            granted: Flag(true),
        },
        DaemonToLeader::Acquire {
            correlation: CorrelationId(8),
            function: function(),
        },
        DaemonToLeader::Release {
            function: function(),
            fencing_token: FencingToken(4),
            runners: LengthPrefixed(Vec::new()),
        },
    ]
}

fn frames_to_daemon() -> [LeaderToDaemon; 4] {
    [
        sample(),
        LeaderToDaemon::Hosts {
            number: 4,
            hosts: LengthPrefixed(vec![host(), host()]),
            suspected: LengthPrefixed(Vec::new()),
        },
        LeaderToDaemon::HostsDelta {
            number: 5,
            put: LengthPrefixed(vec![host()]),
            removed: LengthPrefixed(vec!["th-3".into()]),
            suspected: LengthPrefixed(vec![MemberIncarnation {
                member: "th-1".into(),
                incarnation: 5.into(),
            }]),
        },
        LeaderToDaemon::Acquired {
            correlation: CorrelationId(8),
            function: function(),
            result: AcquireResult::RetryLater { wait_ms: 900 },
        },
    ]
}

fn consensus_messages() -> [ConsensusMessage; 3] {
    let (term, document_version) = (
        Term(2),
        DocumentVersion {
            term: Term(2),
            version: Version(3),
        },
    );
    [
        ConsensusMessage::AcceptFull {
            term,
            document_version,
            document: b"{}".to_vec().into(),
        },
        ConsensusMessage::AcceptDelta {
            term,
            base: DocumentVersion {
                term,
                version: Version(2),
            },
            document_version,
            delta: b"{}".to_vec().into(),
            digest: vec![7; 32].into(),
        },
        ConsensusMessage::SnapshotRequest {
            term,
            accepted: document_version,
        },
    ]
}

/// Returns encoded sample frames of each channel.
fn sample_frames() -> Vec<Vec<u8>> {
    let daemon_frames = daemon_messages().map(|body| DaemonFrame {
        correlation: CorrelationId(8),
        body,
    });
    let daemon_bytes = daemon_frames.map(|frame| encode(&frame).expect("bytes"));
    let to_leader_bytes = frames_to_leader().map(|frame| encode(&frame).expect("bytes"));
    let to_daemon_bytes = frames_to_daemon().map(|frame| encode(&frame).expect("bytes"));
    let consensus_bytes =
        consensus_messages().map(|body| encode(&consensus_frame(body)).expect("bytes"));
    daemon_bytes
        .into_iter()
        .chain(to_leader_bytes)
        .chain(to_daemon_bytes)
        .chain(consensus_bytes)
        .collect()
}

fn consensus_frame(body: ConsensusMessage) -> ConsensusFrame {
    ConsensusFrame {
        from: ControllerId(7),
        address: SocketAddress::UNSPECIFIED,
        operators: SocketAddress::UNSPECIFIED,
        zone: "l".into(),
        body,
    }
}

#[gtest]
fn seeded_mutations_of_every_frame_are_rejected_or_decoded_fully() -> Result<()> {
    let mut rng = SeededRng::seeded(23);
    let mut rejected_count = 0;
    for frame_bytes in sample_frames() {
        for _ in 0..3000 {
            let mut corrupted_bytes = frame_bytes.clone();
            for _ in 0..1 + rng.below(4) {
                let index = rng.below(corrupted_bytes.len() as u64) as usize;
                match rng.below(3) {
                    0 => corrupted_bytes[index] = rng.number() as u8,
                    1 => corrupted_bytes.truncate(index.max(1)),
                    _ => corrupted_bytes.insert(index, rng.number() as u8),
                }
            }
            let decoded = [
                decode::<DaemonFrame>(&corrupted_bytes).is_ok(),
                decode::<DaemonToLeader>(&corrupted_bytes).is_ok(),
                decode::<LeaderToDaemon>(&corrupted_bytes).is_ok(),
                decode::<ConsensusFrame>(&corrupted_bytes).is_ok(),
            ];
            rejected_count += decoded.iter().filter(|is_decoded| !**is_decoded).count();
        }
    }
    verify_that!(rejected_count, ge(60_000))
}

#[gtest]
fn outcomes_round_trip() -> Result<()> {
    let outcome = RequestOutcome::NotRun {
        reason: RequestFailureReason::RetryBudgetSpent,
        retry_after_ms: 2000,
    };
    let body = DaemonMessage::Completed {
        outcome: outcome.clone(),
        holder: LengthPrefixed(Vec::new()),
        regional_delay_deciseconds: 0,
    };
    let frame = DaemonFrame {
        correlation: CorrelationId(5),
        body,
    };
    let decoded = decode::<DaemonFrame>(&encode(&frame)?)?;
    verify_that!(decoded.correlation, eq(CorrelationId(5)))?;
    match decoded.body {
        DaemonMessage::Completed {
            outcome: decoded_outcome,
            ..
        } => {
            verify_that!(decoded_outcome, eq(&outcome))
        }
        _ => fail!("another frame came back"),
    }
}

#[gtest]
fn trailing_bytes_are_an_error() -> Result<()> {
    let mut frame_bytes = encode(&sample())?;
    frame_bytes.push(0);
    verify_that!(
        matches!(
            decode::<LeaderToDaemon>(&frame_bytes),
            Err(FrameError::Trailing(1))
        ),
        eq(true)
    )
}

#[tokio::test]
async fn wrong_magic_versions_channels_and_sizes_are_reported() {
    let mut good_bytes = Vec::new();
    write_channel(&mut good_bytes, Channel::Daemons)
        .await
        .unwrap();
    assert_eq!(
        read_channel(&mut good_bytes.as_slice()).await.unwrap(),
        Channel::Daemons
    );
    let read = async |given: [u8; 4]| read_channel(&mut given.as_slice()).await;
    assert!(matches!(read(*b"GET ").await, Err(FrameError::WrongMagic)));
    let other_version = [good_bytes[0], good_bytes[1], 99, good_bytes[3]];
    assert!(matches!(
        read(other_version).await,
        Err(FrameError::WrongVersion(99))
    ));
    let unknown_channel = [good_bytes[0], good_bytes[1], good_bytes[2], 77];
    assert!(matches!(
        read(unknown_channel).await,
        Err(FrameError::WrongChannel(77))
    ));
    let oversized_length = u32::MAX.to_be_bytes();
    let too_large = read_frame::<_, LeaderToDaemon>(&mut oversized_length.as_slice()).await;
    assert!(matches!(too_large, Err(FrameError::Oversized(u32::MAX))));
    let mut framed = Vec::new();
    write_frame(&mut framed, &sample()).await.unwrap();
    assert!(
        read_frame::<_, LeaderToDaemon>(&mut framed.as_slice())
            .await
            .is_ok()
    );
    let half = framed.len() / 2;
    let truncated = read_frame::<_, LeaderToDaemon>(&mut &framed[..half]).await;
    assert!(matches!(truncated, Err(FrameError::Connection(_))));
}

#[gtest]
fn heartbeats_of_another_version_are_rejected() -> Result<()> {
    let datagram = encode_heartbeat(&heartbeat())?.to_vec();
    verify_that!(decode_heartbeat(&datagram)?, eq(&heartbeat()))?;
    let mut newer_datagram = datagram.clone();
    newer_datagram[2] += 1;
    verify_that!(decode_heartbeat(&newer_datagram).is_err(), eq(true))?;
    verify_that!(decode_heartbeat(b"hello").is_err(), eq(true))?;
    verify_that!(MemberName::from("th-1").as_str(), eq("th-1"))
}

fn forwarded_request(idempotency_key: &str, header_fields: Vec<HeaderField>) -> DaemonMessage {
    let payload = RequestPayload {
        method: "POST".into(),
        target: "/segments/7".into(),
        header_fields: LengthPrefixed(header_fields),
        body: vec![7; 300].into(),
    };
    let function = FunctionKey::new("segment-check", Version(2));
    function_request(idempotency_key, function, "segment-check-post", payload)
}

fn completed_request(header_fields: Vec<HeaderField>) -> DaemonMessage {
    let outcome = RequestOutcome::Response {
        status: 200,
        seal: vec![1; 32].into(),
        runner: RunnerId {
            fencing_token: FencingToken(4),
            ordinal: 5,
        },
        header_fields: LengthPrefixed(header_fields),
        body: vec![7; 1700].into(),
    };
    DaemonMessage::Completed {
        outcome,
        holder: LengthPrefixed(Vec::new()),
        regional_delay_deciseconds: 0,
    }
}

#[gtest]
fn a_forwarded_request_adds_little_overhead() -> Result<()> {
    let header_field = |name: &str, value: &str| HeaderField {
        name: name.into(),
        value: value.as_bytes().to_vec().into(),
    };
    let idempotency_key = "0f3c2a9e-6a55-4d0e-8a5c-1f3f6f0c9d11";
    let header_fields = vec![
        header_field("host", "segments.internal"),
        header_field("content-type", "application/json"),
    ];
    let header_length = |header_fields: &[HeaderField]| -> usize {
        let field_length = |header_field: &HeaderField| {
            header_field.name.as_str().len() + header_field.value.0.len() + ": \r\n".len()
        };
        header_fields.iter().map(field_length).sum()
    };
    let request = forwarded_request(idempotency_key, header_fields.clone());
    let completed = completed_request(header_fields.clone());
    let framed = |body: DaemonMessage| {
        encode(&DaemonFrame {
            correlation: CorrelationId(8),
            body,
        })
        .map(|bytes| bytes.len() + 4)
    };
    let request_overhead = framed(request)?
        - header_length(&header_fields)
        - 300
        - idempotency_key.len()
        - "POST/segments/7".len();
    let outcome_overhead = framed(completed)? - header_length(&header_fields) - 1700 - 32;
    verify_that!(request_overhead + outcome_overhead, le(150))
}
