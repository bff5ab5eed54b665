//! Frames come back as they were sent, and broken ones are told apart.

use common::chance::Chance;
use common::frames::{
    AcquireResult, Channel, CoreBody, CoreFrame, Flag, FrameFault, HeadLine, Heartbeat, HopBody,
    HopFrame, HopOutcome, HopReason, Host, LedgerNote, Many, MemberLife, NoteState, Parcel, Place,
    StreamDown, StreamUp, Suspicion, decode, decode_heartbeat, encode, encode_heartbeat,
    read_channel, read_frame, write_channel, write_frame,
};
use common::identity::{
    ControllerId, CorrelationId, FunctionKey, GrantSerial, MemberName, RunnerId, Serial, Stamp,
    Term,
};
use googletest::prelude::*;

fn sample() -> StreamDown {
    StreamDown::Change {
        base: Serial(7),
        serial: Serial(8),
        patch: b"[]".to_vec().into(),
        digest: vec![1; 32].into(),
    }
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        member: "th-1".into(),
        incarnation: 9.into(),
        count: 3,
        suspicions: Many(vec![Suspicion {
            life: MemberLife { member: "th-2".into(), incarnation: 4.into() },
            tellings: 2,
        }]),
    }
}

#[gtest]
fn any_cut_or_flipped_frame_is_an_error_or_another_frame_but_never_a_panic() -> Result<()> {
    let frame_bytes = encode(&sample())?;
    let mut chance = Chance::seeded(11);
    for cut in 0..frame_bytes.len() {
        verify_that!(decode::<StreamDown>(&frame_bytes[..cut]).is_err(), eq(true))?;
    }
    for _ in 0..5000 {
        let mut broken_bytes = frame_bytes.clone();
        let place = chance.below(broken_bytes.len() as u64) as usize;
        broken_bytes[place] = chance.number() as u8;
        let _ = decode::<StreamDown>(&broken_bytes);
        let _ = decode::<HopFrame>(&broken_bytes);
    }
    Ok(())
}

/// One real frame of each kind that a process takes from another.
fn real_frames() -> Vec<Vec<u8>> {
    let host = Host {
        member: "th-1".into(),
        incarnation: 5.into(),
        zone: "l".into(),
        place: Place::NOWHERE,
        eligible: Flag(true),
        link_mbps: 0,
    };
    let function = FunctionKey::new("f", Serial(2));
    let note = LedgerNote { transaction: "t-1".into(), state: NoteState::Noted, left_ms: 900 };
    let asks = [
        HopBody::Ask {
            transaction: "t-1".into(),
            function: function.clone(),
            route: "r".into(),
            serial: Serial(3),
            budget_ms: 900,
            hops: 1,
            repeat: Flag(false),
            refer: Flag(true),
            region: "east".into(),
            parcel: Parcel::of_body(b"{}".to_vec().into()),
        },
        HopBody::Note {
            function: function.clone(),
            grant: GrantSerial(4),
            incarnation: 5.into(),
            notes: Many(vec![note.clone(), note]),
        },
        HopBody::Compare {
            function: function.clone(),
            grant: GrantSerial(4),
            incarnation: 5.into(),
            digests: Many(vec![1, 2, 3]),
        },
    ];
    let hops = asks.into_iter().map(|body| HopFrame { correlation: CorrelationId(8), body });
    let ups = [
        StreamUp::Hello {
            host: host.clone(),
            door: Place::NOWHERE,
            serial: Serial(3),
            age_ms: 700,
            granted: Flag(true),
        },
        StreamUp::Acquire { correlation: CorrelationId(8), function: function.clone() },
        StreamUp::Release {
            function: function.clone(),
            grant: GrantSerial(4),
            runners: Many(Vec::new()),
        },
    ];
    let downs = [
        sample(),
        StreamDown::Hosts {
            number: 4,
            hosts: Many(vec![host.clone(), host.clone()]),
            silent: Many(Vec::new()),
        },
        StreamDown::HostsChanged {
            number: 5,
            put: Many(vec![host]),
            removed: Many(vec!["th-3".into()]),
            silent: Many(vec![MemberLife { member: "th-1".into(), incarnation: 5.into() }]),
        },
        StreamDown::Acquired {
            correlation: CorrelationId(8),
            function,
            result: AcquireResult::Later { wait_ms: 900 },
        },
    ];
    let (term, stamp) = (Term(2), Stamp { term: Term(2), serial: Serial(3) });
    let cores = [
        CoreBody::Accept { term, stamp, document: b"{}".to_vec().into() },
        CoreBody::AcceptChange {
            term,
            base: Stamp { term, serial: Serial(2) },
            stamp,
            change: b"{}".to_vec().into(),
            digest: vec![7; 32].into(),
        },
        CoreBody::AskWhole { term, accepted: stamp },
    ];
    let hop_bytes = hops.map(|frame| encode(&frame).expect("bytes"));
    let up_bytes = ups.iter().map(|frame| encode(frame).expect("bytes"));
    let down_bytes = downs.iter().map(|frame| encode(frame).expect("bytes"));
    let core_bytes = cores.map(|body| encode(&core_frame(body)).expect("bytes"));
    hop_bytes.chain(up_bytes).chain(down_bytes).chain(core_bytes).collect()
}

fn core_frame(body: CoreBody) -> CoreFrame {
    CoreFrame {
        from: ControllerId(7),
        place: Place::NOWHERE,
        operators: Place::NOWHERE,
        zone: "l".into(),
        body,
    }
}

#[gtest]
fn seeded_mutations_of_every_kind_of_frame_are_refused_or_read_whole() -> Result<()> {
    let mut chance = Chance::seeded(23);
    let mut refused_count = 0;
    for frame_bytes in real_frames() {
        for _ in 0..3000 {
            let mut broken_bytes = frame_bytes.clone();
            for _ in 0..1 + chance.below(4) {
                let place = chance.below(broken_bytes.len() as u64) as usize;
                match chance.below(3) {
                    0 => broken_bytes[place] = chance.number() as u8,
                    1 => broken_bytes.truncate(place.max(1)),
                    _ => broken_bytes.insert(place, chance.number() as u8),
                }
            }
            let read = [
                decode::<HopFrame>(&broken_bytes).is_ok(),
                decode::<StreamUp>(&broken_bytes).is_ok(),
                decode::<StreamDown>(&broken_bytes).is_ok(),
                decode::<CoreFrame>(&broken_bytes).is_ok(),
            ];
            refused_count += read.iter().filter(|is_read| !**is_read).count();
        }
    }
    verify_that!(refused_count, ge(60_000))
}

#[gtest]
fn outcomes_survive_the_way() -> Result<()> {
    let outcome = HopOutcome::NotRun { reason: HopReason::TriesSpent, retry_ms: 2000 };
    let body =
        HopBody::Done { outcome: outcome.clone(), holder: Many(Vec::new()), regional_tenths: 0 };
    let frame = HopFrame { correlation: CorrelationId(5), body };
    let read = decode::<HopFrame>(&encode(&frame)?)?;
    verify_that!(read.correlation, eq(CorrelationId(5)))?;
    match read.body {
        HopBody::Done { outcome: read_outcome, .. } => verify_that!(read_outcome, eq(&outcome)),
        _ => fail!("another frame came back"),
    }
}

#[gtest]
fn bytes_left_over_are_a_fault() -> Result<()> {
    let mut frame_bytes = encode(&sample())?;
    frame_bytes.push(0);
    verify_that!(
        matches!(decode::<StreamDown>(&frame_bytes), Err(FrameFault::Trailing(1))),
        eq(true)
    )
}

#[tokio::test]
async fn wrong_marks_versions_channels_and_sizes_are_named() {
    let mut good_bytes = Vec::new();
    write_channel(&mut good_bytes, Channel::Hop).await.unwrap();
    assert_eq!(read_channel(&mut good_bytes.as_slice()).await.unwrap(), Channel::Hop);
    let read = async |given: [u8; 4]| read_channel(&mut given.as_slice()).await;
    assert!(matches!(read(*b"GET ").await, Err(FrameFault::WrongMark)));
    let newer = [good_bytes[0], good_bytes[1], 99, good_bytes[3]];
    assert!(matches!(read(newer).await, Err(FrameFault::WrongSerial(99))));
    let odd = [good_bytes[0], good_bytes[1], good_bytes[2], 77];
    assert!(matches!(read(odd).await, Err(FrameFault::WrongChannel(77))));
    let huge = u32::MAX.to_be_bytes();
    let too_large = read_frame::<_, StreamDown>(&mut huge.as_slice()).await;
    assert!(matches!(too_large, Err(FrameFault::Oversized(u32::MAX))));
    let mut framed = Vec::new();
    write_frame(&mut framed, &sample()).await.unwrap();
    assert!(read_frame::<_, StreamDown>(&mut framed.as_slice()).await.is_ok());
    let half = framed.len() / 2;
    let cut = read_frame::<_, StreamDown>(&mut &framed[..half]).await;
    assert!(matches!(cut, Err(FrameFault::Connection(_))));
}

#[gtest]
fn heartbeats_of_another_version_are_not_read() -> Result<()> {
    let datagram = encode_heartbeat(&heartbeat())?.to_vec();
    verify_that!(decode_heartbeat(&datagram)?, eq(&heartbeat()))?;
    let mut newer_datagram = datagram.clone();
    newer_datagram[2] += 1;
    verify_that!(decode_heartbeat(&newer_datagram).is_err(), eq(true))?;
    verify_that!(decode_heartbeat(b"hello").is_err(), eq(true))?;
    verify_that!(MemberName::from("th-1").as_str(), eq("th-1"))
}

#[gtest]
fn a_passed_call_costs_little_beside_its_own_lines_and_bodies() -> Result<()> {
    let line = |name: &str, value: &str| HeadLine {
        name: name.into(),
        value: value.as_bytes().to_vec().into(),
    };
    let identity = "0f3c2a9e-6a55-4d0e-8a5c-1f3f6f0c9d11";
    let lines = vec![line("host", "segments.internal"), line("content-type", "application/json")];
    let own_bytes = |lines: &[HeadLine]| -> usize {
        let as_sent =
            |line: &HeadLine| line.name.as_str().len() + line.value.0.len() + ": \r\n".len();
        lines.iter().map(as_sent).sum()
    };
    let parcel = Parcel {
        method: "POST".into(),
        target: "/segments/7".into(),
        lines: Many(lines.clone()),
        body: vec![7; 300].into(),
    };
    let ask = HopBody::Ask {
        transaction: identity.into(),
        function: FunctionKey::new("segment-check", Serial(2)),
        route: "segment-check-post".into(),
        serial: Serial(3),
        budget_ms: 900,
        hops: 1,
        repeat: Flag(false),
        refer: Flag(true),
        region: "east".into(),
        parcel,
    };
    let outcome = HopOutcome::Answer {
        status: 200,
        seal: vec![1; 32].into(),
        runner: RunnerId { grant: GrantSerial(4), ordinal: 5 },
        lines: Many(lines.clone()),
        body: vec![7; 1700].into(),
    };
    let done = HopBody::Done { outcome, holder: Many(Vec::new()), regional_tenths: 0 };
    let framed = |body: HopBody| {
        encode(&HopFrame { correlation: CorrelationId(8), body }).map(|bytes| bytes.len() + 4)
    };
    let ask_overhead =
        framed(ask)? - own_bytes(&lines) - 300 - identity.len() - "POST/segments/7".len();
    let done_overhead = framed(done)? - own_bytes(&lines) - 1700 - 32;
    verify_that!(ask_overhead + done_overhead, le(150))
}
