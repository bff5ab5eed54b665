//! Compares the encoding of every frame, of the opening bytes of connections and of heartbeats with the fixtures, and
//! decodes the fixtures. Guards against unintended changes to the wire format.

#[path = "wire_forms/consensus_frames.rs"]
mod consensus_frames;
#[path = "wire_forms/daemon_frames.rs"]
mod daemon_frames;
mod form_samples;
#[path = "../../../testing/support/form_list.rs"]
mod forms;
#[path = "wire_forms/kinds.rs"]
mod kinds;
#[path = "wire_forms/parts.rs"]
mod parts;
#[path = "wire_forms/stream_frames.rs"]
mod stream_frames;

use common::frames::{
    Channel, DaemonToLeader, Heartbeat, LengthPrefixed, Suspicion, append_frame, decode_heartbeat,
    dial, encode_heartbeat, read_channel, read_frame, write_channel,
};
use common::identity::Version;
use common::seal::hex;
use form_samples::bytes_of_hex;
use forms::{Form, check, expected_forms};
use googletest::prelude::*;
use kinds::kinds;
use parts::{SampleFrame, counting_u64, member_incarnation};
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::io::AsyncReadExt;

const FRAMES: &str = "frames.txt";
const OPENINGS: &str = "openings.txt";
const HEARTBEATS: &str = "heartbeats.txt";

fn sample_frames() -> Vec<SampleFrame> {
    let mut frames = consensus_frames::sample_frames();
    frames.extend(stream_frames::sample_frames());
    frames.extend(daemon_frames::sample_frames());
    frames
}

fn form(name: &str, bytes: &[u8]) -> Form {
    Form {
        name: name.to_owned(),
        text: hex(bytes),
    }
}

#[gtest]
fn every_frame_keeps_its_bytes() -> Result<()> {
    let forms: Vec<Form> = sample_frames()
        .iter()
        .map(|sample| form(&sample.name, &sample.expected.0))
        .collect();
    check(FRAMES, &forms)
}

#[gtest]
fn every_frame_is_decoded_from_the_fixture() -> Result<()> {
    let fixture_forms = expected_forms(FRAMES)?;
    let samples = sample_frames();
    verify_that!(fixture_forms.len(), eq(samples.len()))?;
    for (fixture_form, sample) in fixture_forms.iter().zip(samples) {
        verify_that!(fixture_form.name, eq(&sample.name))?;
        let fixture_bytes = bytes_of_hex(&fixture_form.text);
        let (written_bytes, debug_form) = (sample.decode)(&fixture_bytes)?;
        verify_that!(written_bytes == fixture_bytes, eq(true)).failure_message(&sample.name)?;
        verify_that!(debug_form, eq(&sample.expected.1)).failure_message(&sample.name)?;
    }
    Ok(())
}

/// The names that must be in the fixture, either in full or as the first part of a name.
fn needed_names() -> Vec<String> {
    let below = |parent: &'static str, names: &'static [&'static str]| {
        names.iter().map(move |name| format!("{parent}/{name}"))
    };
    let plain = [
        consensus_frames::CONSENSUS,
        stream_frames::TO_LEADER,
        stream_frames::TO_DAEMON,
        daemon_frames::DAEMONS,
    ];
    let plain_names = plain.into_iter().flatten().map(|name| (*name).to_owned());
    plain_names
        .chain(below("stream-up/runner", stream_frames::STATUSES))
        .chain(below("stream-up/sheds", daemon_frames::REASONS))
        .chain(below("stream-down/acquired", stream_frames::ACQUIRED))
        .chain(below("stream-down/reserved", stream_frames::RESERVED))
        .chain(below("hop/done", daemon_frames::OUTCOMES))
        .chain(below("hop/done/not_run", daemon_frames::REASONS))
        .chain(below("hop/done/unknown", daemon_frames::REASONS))
        .chain(below("hop/note", daemon_frames::STATES))
        .collect()
}

#[gtest]
fn every_variant_is_in_the_fixture() -> Result<()> {
    let fixture_forms = expected_forms(FRAMES)?;
    let is_in_fixture = |needed: &str| {
        let prefix = format!("{needed}/");
        fixture_forms
            .iter()
            .any(|form| form.name == needed || form.name.starts_with(&prefix))
    };
    let missing: Vec<String> = needed_names()
        .into_iter()
        .filter(|name| !is_in_fixture(name))
        .collect();
    verify_that!(missing, is_empty())
}

kinds!(CHANNELS, channel_kind, Channel, {
    Channel::Consensus => "opening/core",
    Channel::Stream => "opening/stream",
    Channel::Daemons => "opening/hop",
});

const ALL_CHANNELS: [Channel; 3] = [Channel::Consensus, Channel::Stream, Channel::Daemons];

/// Returns the opening bytes of a dialed connection.
async fn dialed_bytes(channel: Channel) -> Vec<u8> {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a listener");
    let std::net::SocketAddr::V4(address) = listener.local_addr().expect("an address") else {
        panic!("not an IPv4 address")
    };
    let timeout = Duration::from_secs(10);
    let dialed = dial(Ipv4Addr::LOCALHOST, address.into(), channel, timeout).await;
    let (mut accepted, _) = listener.accept().await.expect("a connection");
    drop(dialed.expect("a dialed connection"));
    let mut first_bytes = Vec::new();
    accepted.read_to_end(&mut first_bytes).await.expect("bytes");
    first_bytes
}

#[tokio::test]
async fn connections_keep_their_opening_bytes() {
    let mut forms = Vec::new();
    for channel in ALL_CHANNELS {
        let mut written_bytes = Vec::new();
        write_channel(&mut written_bytes, channel)
            .await
            .expect("written");
        assert_eq!(dialed_bytes(channel).await, written_bytes);
        forms.push(form(channel_kind(&channel), &written_bytes));
    }
    let mut framed_bytes = Vec::new();
    append_frame(&mut framed_bytes, &DaemonToLeader::Leaving).expect("a frame");
    append_frame(
        &mut framed_bytes,
        &DaemonToLeader::Installed {
            version: Version(counting_u64(0x10)),
        },
    )
    .expect("a frame");
    forms.push(form("two-frames", &framed_bytes));
    check(OPENINGS, &forms).expect("the forms of the fixture");
    assert!(
        CHANNELS
            .iter()
            .all(|name| forms.iter().any(|form| form.name == *name))
    );
}

#[tokio::test]
async fn opening_bytes_of_the_fixture_are_accepted() {
    let fixture_forms = expected_forms(OPENINGS).expect("forms");
    for channel in ALL_CHANNELS {
        let fixture_form = fixture_forms
            .iter()
            .find(|form| form.name == channel_kind(&channel));
        let fixture_bytes = bytes_of_hex(&fixture_form.expect("a form").text);
        assert_eq!(
            read_channel(&mut fixture_bytes.as_slice())
                .await
                .expect("a channel"),
            channel
        );
    }
    let two_frames = fixture_forms
        .iter()
        .find(|form| form.name == "two-frames")
        .expect("a form");
    let fixture_bytes = bytes_of_hex(&two_frames.text);
    let mut reader = fixture_bytes.as_slice();
    let first = read_frame::<_, DaemonToLeader>(&mut reader)
        .await
        .expect("a frame");
    assert!(matches!(first, DaemonToLeader::Leaving));
    let second = read_frame::<_, DaemonToLeader>(&mut reader)
        .await
        .expect("a frame");
    assert!(
        matches!(second, DaemonToLeader::Installed { version } if version == Version(counting_u64(0x10)))
    );
    assert!(reader.is_empty());
}

fn heartbeats() -> [(&'static str, Heartbeat); 2] {
    let heartbeat = |suspicions| Heartbeat {
        member: "daemon-1".into(),
        incarnation: counting_u64(0x10).into(),
        sequence_number: counting_u64(0x18),
        suspicions: LengthPrefixed(suspicions),
    };
    let suspicions = vec![
        Suspicion {
            suspect: member_incarnation(2),
            remaining_relays: 0x21,
        },
        Suspicion {
            suspect: member_incarnation(3),
            remaining_relays: 0,
        },
    ];
    [
        ("heartbeat/calm", heartbeat(Vec::new())),
        ("heartbeat/suspecting", heartbeat(suspicions)),
    ]
}

#[gtest]
fn heartbeats_keep_their_bytes() -> Result<()> {
    let mut forms = Vec::new();
    for (name, heartbeat) in heartbeats() {
        forms.push(form(name, &encode_heartbeat(&heartbeat)?));
    }
    check(HEARTBEATS, &forms)
}

#[gtest]
fn heartbeats_are_decoded_from_the_fixture() -> Result<()> {
    let fixture_forms = expected_forms(HEARTBEATS)?;
    verify_that!(fixture_forms.len(), eq(heartbeats().len()))?;
    for (fixture_form, (name, heartbeat)) in fixture_forms.iter().zip(heartbeats()) {
        verify_that!(fixture_form.name, eq(name))?;
        verify_that!(
            decode_heartbeat(&bytes_of_hex(&fixture_form.text))?,
            eq(&heartbeat)
        )?;
    }
    Ok(())
}
