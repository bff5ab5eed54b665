//! A digest of everything that happens in a simulation, which shows whether a change of the code altered behaviour.
//!
//! It covers the time, order and kind of each event, the bytes of each frame, and the result, but no name of
//! a type or field, so that renaming and restructuring do not change it.

use super::event::{ControllerEvent, DaemonEvent, Event, LinkEvent};
use super::plan::SimResult;
use binrw::BinWrite;
use binrw::meta::WriteEndian;
use common::clock::MonotonicTime;
use common::frames::encode;
use sha2::{Digest, Sha256};
use std::fmt::Write;

/// The digest of the events of one simulation.
#[derive(Default)]
pub(super) struct EventDigest {
    hasher: Sha256,
}

impl EventDigest {
    /// Adds an event with its virtual time and its number in the order of scheduling.
    pub(super) fn add(&mut self, due_at: MonotonicTime, number: u64, event: &Event) {
        self.hasher.update(due_at.0.to_be_bytes());
        self.hasher.update(number.to_be_bytes());
        self.hasher.update([event.kind_number()]);
        match event {
            Event::Controller(ControllerEvent::ConsensusFrame(_, frame)) => self.add_frame(frame),
            Event::Link(LinkEvent::FrameToController(_, frame)) => self.add_frame(frame),
            Event::Link(LinkEvent::FrameToDaemon(_, frame)) => self.add_frame(frame),
            Event::Daemon(DaemonEvent::HeartbeatDatagram(_, heartbeat)) => {
                self.add_frame(heartbeat)
            }
            Event::Daemon(DaemonEvent::PeerMessage(_, _, _, body))
            | Event::Daemon(DaemonEvent::ReplicaRequested(.., body)) => self.add_frame(body),
            Event::Daemon(DaemonEvent::ReplicaReplied(.., Some(body))) => self.add_frame(body),
            _ => {}
        }
    }

    fn add_frame<T>(&mut self, frame: &T)
    where
        T: for<'a> BinWrite<Args<'a> = ()> + WriteEndian,
    {
        match encode(frame) {
            // Sorted because a ledger's entries are sent in the arbitrary order of a hash map.
            Ok(mut frame_bytes) => {
                frame_bytes.sort_unstable();
                self.hasher.update(frame_bytes);
            }
            Err(_) => self.hasher.update(b"not encoded"),
        }
    }

    /// Returns the digest of all events in hexadecimal digits.
    pub(super) fn finish(self) -> String {
        hexadecimal(&self.hasher.finalize())
    }
}

/// The digest of the events and results of several simulations.
#[derive(Default)]
pub struct RunDigest {
    hasher: Sha256,
}

impl RunDigest {
    /// Adds one simulation and returns its own digest.
    pub fn add(&mut self, sim_result: &SimResult) -> String {
        let mut simulation_hasher = Sha256::new();
        simulation_hasher.update(sim_result.event_digest.as_bytes());
        simulation_hasher.update((sim_result.violations.len() as u64).to_be_bytes());
        simulation_hasher.update(sim_result.settled_answer_share.to_bits().to_be_bytes());
        simulation_hasher.update(sim_result.recovered_after.as_nanos().to_be_bytes());
        simulation_hasher.update(sim_result.steps.to_be_bytes());
        let mut counts: Vec<u64> = sim_result.counts.values().copied().collect();
        counts.extend(sim_result.checked.values());
        counts.sort_unstable();
        counts
            .iter()
            .for_each(|count| simulation_hasher.update(count.to_be_bytes()));
        let simulation_digest = simulation_hasher.finalize();
        self.hasher.update(simulation_digest);
        hexadecimal(&simulation_digest)
    }

    /// Returns the digest of all simulations in hexadecimal digits.
    pub fn finish(self) -> String {
        hexadecimal(&self.hasher.finalize())
    }
}

fn hexadecimal(digest_bytes: &[u8]) -> String {
    digest_bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}
