//! Questions to stewards and their replies.

use super::hop_frame;
use crate::synthetic::events::{Event, Spot};
use crate::synthetic::fleet::Fleet;
use crate::synthetic::meter::{Role, Work};
use crate::synthetic::wire;
use bytes::Bytes;
use common::frames::{HopFrame, decode, encode};
use dataplane::agent::{Question, Topic};

impl Fleet {
    pub(super) fn ask_steward(&mut self, spot: &Spot, question: Question) {
        let Question { steward, body, topic, patience } = question;
        let number = self.number();
        self.open_questions.insert(number);
        let silent = Event::StewardSaid { spot: spot.clone(), number, topic, frame: None };
        self.push(patience, silent);
        let Some(other) = self.daemon_at(steward.place) else { return };
        let frame = hop_frame(number, body);
        let encoded = self.meter.wire(Role::Holder, Work::Stewards, 1, || encode(&frame));
        let Ok(bytes) = encoded else { return };
        self.meter.sent(Role::Holder, Work::Stewards, 1, wire::frame_bytes(bytes.len()));
        let delay = Self::delay(spot.daemon, other);
        let (spot, frame) = (spot.clone(), bytes.into());
        self.push(delay, Event::StewardAsked { steward: other, spot, number, topic, frame });
    }

    pub(super) fn steward_asked(
        &mut self,
        steward: usize,
        spot: Spot,
        number: u64,
        topic: Topic,
        bytes: &Bytes,
    ) {
        let now = self.now;
        let Some(agent) = self.agent(steward) else { return };
        let work = Work::Stewards;
        self.meter.heard(Role::Holder, work, 1, wire::frame_bytes(bytes.len()));
        let read = self.meter.wire(Role::Holder, work, 1, || decode::<HopFrame>(bytes));
        let Ok(frame) = read else { return };
        let (reply, _) =
            self.meter.think(Role::Holder, work, || agent.answer_as_steward(now, frame.body));
        let Some(reply) = reply else { return };
        let frame = hop_frame(number, reply);
        let Ok(bytes) = self.meter.wire(Role::Holder, work, 1, || encode(&frame)) else { return };
        self.meter.sent(Role::Holder, work, 1, wire::frame_bytes(bytes.len()));
        let delay = Self::delay(steward, spot.daemon);
        let frame = Some(bytes.into());
        self.push(delay, Event::StewardSaid { spot, number, topic, frame });
    }

    pub(super) fn steward_said(
        &mut self,
        spot: &Spot,
        number: u64,
        topic: Topic,
        frame: Option<Bytes>,
    ) {
        if !self.open_questions.remove(&number) {
            return;
        }
        let reply = frame.and_then(|bytes| {
            let work = Work::Stewards;
            self.meter.heard(Role::Holder, work, 1, wire::frame_bytes(bytes.len()));
            let read = self.meter.wire(Role::Holder, work, 1, || decode::<HopFrame>(&bytes));
            read.ok().map(|frame| frame.body)
        });
        self.apply(spot, Work::Stewards, |holder, now| topic.reply(holder, now, reply));
    }
}
