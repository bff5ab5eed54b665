//! Every frame on the wire has the bytes that it had when the fixture was written, and is read from them.

#[path = "wire_forms/core_frames.rs"]
mod core_frames;
#[path = "../../../testing/support/form_list.rs"]
mod forms;
#[path = "wire_forms/hop_frames.rs"]
mod hop_frames;
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
use forms::{Form, held_forms, hold};
use googletest::prelude::*;
use kinds::kinds;
use parts::{Line, long, member_life};
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::io::AsyncReadExt;

const FRAMES: &str = "frames.txt";
const OPENINGS: &str = "openings.txt";
const HEARTBEATS: &str = "heartbeats.txt";

fn all_lines() -> Vec<Line> {
    let mut header_fields = core_frames::header_fields();
    header_fields.extend(stream_frames::header_fields());
    header_fields.extend(hop_frames::header_fields());
    header_fields
}

fn bytes_of(hex_text: &str) -> Vec<u8> {
    let pairs = hex_text
        .as_bytes()
        .chunks(2)
        .map(|pair| std::str::from_utf8(pair).expect("text"));
    pairs
        .map(|pair| u8::from_str_radix(pair, 16).expect("hexadecimal"))
        .collect()
}

fn form(name: &str, bytes: &[u8]) -> Form {
    Form {
        name: name.to_owned(),
        text: hex(bytes),
    }
}

#[gtest]
fn every_frame_has_the_bytes_it_always_had() -> Result<()> {
    let forms: Vec<Form> = all_lines()
        .iter()
        .map(|header_field| form(&header_field.name, &header_field.made.0))
        .collect();
    hold(FRAMES, &forms)
}

#[gtest]
fn every_frame_is_read_from_the_bytes_it_always_had() -> Result<()> {
    let held = held_forms(FRAMES)?;
    let header_fields = all_lines();
    verify_that!(held.len(), eq(header_fields.len()))?;
    for (held_form, header_field) in held.iter().zip(header_fields) {
        verify_that!(held_form.name, eq(&header_field.name))?;
        let held_bytes = bytes_of(&held_form.text);
        let (written_bytes, told) = (header_field.reload)(&held_bytes)?;
        verify_that!(written_bytes == held_bytes, eq(true)).failure_message(&header_field.name)?;
        verify_that!(told, eq(&header_field.made.1)).failure_message(&header_field.name)?;
    }
    Ok(())
}

/// All names that the fixture must have, or have more of below them.
fn needed_names() -> Vec<String> {
    let below = |above: &'static str, names: &'static [&'static str]| {
        names.iter().map(move |name| format!("{above}/{name}"))
    };
    let plain = [
        core_frames::CORE,
        stream_frames::UP,
        stream_frames::DOWN,
        hop_frames::HOP,
    ];
    let plain_names = plain.into_iter().flatten().map(|name| (*name).to_owned());
    plain_names
        .chain(below("stream-up/runner", stream_frames::NEWS))
        .chain(below("stream-up/sheds", hop_frames::REASONS))
        .chain(below("stream-down/acquired", stream_frames::ACQUIRED))
        .chain(below("stream-down/reserved", stream_frames::RESERVED))
        .chain(below("hop/done", hop_frames::OUTCOMES))
        .chain(below("hop/done/not-run", hop_frames::REASONS))
        .chain(below("hop/done/unknown", hop_frames::REASONS))
        .chain(below("hop/note", hop_frames::STATES))
        .collect()
}

#[gtest]
fn no_variant_lacks_its_bytes_in_the_fixture() -> Result<()> {
    let held = held_forms(FRAMES)?;
    let is_held = |needed: &str| {
        let below = format!("{needed}/");
        held.iter()
            .any(|form| form.name == needed || form.name.starts_with(&below))
    };
    let lacking: Vec<String> = needed_names()
        .into_iter()
        .filter(|name| !is_held(name))
        .collect();
    verify_that!(lacking, is_empty())
}

kinds!(CHANNELS, channel_kind, Channel, {
    Channel::Consensus => "opening/core",
    Channel::Stream => "opening/stream",
    Channel::Daemons => "opening/hop",
});

const ALL_CHANNELS: [Channel; 3] = [Channel::Consensus, Channel::Stream, Channel::Daemons];

/// What comes first on a dialed connection.
async fn dialed_bytes(channel: Channel) -> Vec<u8> {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a listener");
    let std::net::SocketAddr::V4(address) = listener.local_addr().expect("an address") else {
        panic!("not of the fourth version")
    };
    let patience = Duration::from_secs(10);
    let dialed = dial(Ipv4Addr::LOCALHOST, address.into(), channel, patience).await;
    let (mut accepted, _) = listener.accept().await.expect("a connection");
    drop(dialed.expect("a dialed connection"));
    let mut first_bytes = Vec::new();
    accepted.read_to_end(&mut first_bytes).await.expect("bytes");
    first_bytes
}

#[tokio::test]
async fn connections_open_as_they_always_did() {
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
            version: Version(long(0x10)),
        },
    )
    .expect("a frame");
    forms.push(form("two-frames", &framed_bytes));
    hold(OPENINGS, &forms).expect("held");
    assert!(
        CHANNELS
            .iter()
            .all(|name| forms.iter().any(|form| form.name == *name))
    );
}

#[tokio::test]
async fn connections_are_read_as_they_always_opened() {
    let held = held_forms(OPENINGS).expect("forms");
    for channel in ALL_CHANNELS {
        let held_form = held.iter().find(|form| form.name == channel_kind(&channel));
        let held_bytes = bytes_of(&held_form.expect("held").text);
        assert_eq!(
            read_channel(&mut held_bytes.as_slice())
                .await
                .expect("a channel"),
            channel
        );
    }
    let two_frames = held
        .iter()
        .find(|form| form.name == "two-frames")
        .expect("held");
    let held_bytes = bytes_of(&two_frames.text);
    let mut reader = held_bytes.as_slice();
    let first = read_frame::<_, DaemonToLeader>(&mut reader)
        .await
        .expect("a frame");
    assert!(matches!(first, DaemonToLeader::Leaving));
    let second = read_frame::<_, DaemonToLeader>(&mut reader)
        .await
        .expect("a frame");
    assert!(
        matches!(second, DaemonToLeader::Installed { version } if version == Version(long(0x10)))
    );
    assert!(reader.is_empty());
}

fn heartbeats() -> [(&'static str, Heartbeat); 2] {
    let heartbeat = |suspicions| Heartbeat {
        member: "daemon-1".into(),
        incarnation: long(0x10).into(),
        count: long(0x18),
        suspicions: LengthPrefixed(suspicions),
    };
    let suspicions = vec![
        Suspicion {
            instance: member_life(2),
            remaining_relays: 0x21,
        },
        Suspicion {
            instance: member_life(3),
            remaining_relays: 0,
        },
    ];
    [
        ("heartbeat/calm", heartbeat(Vec::new())),
        ("heartbeat/suspecting", heartbeat(suspicions)),
    ]
}

#[gtest]
fn heartbeats_have_the_bytes_they_always_had() -> Result<()> {
    let mut forms = Vec::new();
    for (name, heartbeat) in heartbeats() {
        forms.push(form(name, &encode_heartbeat(&heartbeat)?));
    }
    hold(HEARTBEATS, &forms)
}

#[gtest]
fn heartbeats_are_read_from_the_bytes_they_always_had() -> Result<()> {
    let held = held_forms(HEARTBEATS)?;
    verify_that!(held.len(), eq(heartbeats().len()))?;
    for (held_form, (name, heartbeat)) in held.iter().zip(heartbeats()) {
        verify_that!(held_form.name, eq(name))?;
        verify_that!(
            decode_heartbeat(&bytes_of(&held_form.text))?,
            eq(&heartbeat)
        )?;
    }
    Ok(())
}
