//! How operators send: to any controller, again after silence or a failure, and read back.

use super::drawn_orders::{draw_base, draw_number, draw_order};
use super::event::Event;
use super::network::Node;
use super::operator::spec;
use super::world::World;
use crate::history::{Answer, History, OrderId, Reading, SendingId, ZoneOrderId};
use common::clock::Moment;
use common::identity::{ChangeId, Zone};
use controlplane::controller_state::{
    ChangeKind, Numbering, Operation, OperationReply, OperationTicket, Wait,
};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// How many orders are under way at once.
const MOST_UNDER_WAY: usize = 8;
/// How long an operator waits for an answer.
const SILENCE: Duration = Duration::from_millis(1000);
const FIRST_PAUSE: Duration = Duration::from_millis(60);
const LONGEST_PAUSE: Duration = Duration::from_millis(2000);
const MOST_REDIRECTS: u32 = 2;
/// How often an order is sent before it is given up.
const MOST_SENDINGS: u32 = 16;
/// How long an evacuation may be sent again.
const ZONE_PATIENCE: Duration = Duration::from_secs(12);
const LOST_REQUEST_SHARE: f64 = 0.03;
const LOST_ANSWER_SHARE: f64 = 0.15;
const LATE_REQUEST_SHARE: f64 = 0.04;
const LONGEST_DELAY: Duration = Duration::from_secs(10);
/// What is asked of a zone, by no version's number, comes late more often and later.
const LATE_ZONE_SHARE: f64 = 0.3;
const LONGEST_ZONE_DELAY: Duration = Duration::from_secs(20);
/// How soon after the last bytes of a request a controller hears that its caller hung up.
const HANG_UP_AFTER: Duration = Duration::from_millis(8);

/// What an operator wants.
#[derive(Clone, Copy)]
enum Aim {
    Change(OrderId),
    Zone(ZoneOrderId),
    Read,
}

/// A wish under way, sent once or more.
struct Wish {
    aim: Aim,
    operation: Operation,
    sent_count: u32,
    pause: Duration,
    began_at: Moment,
}

/// One sending that waits for its answer.
struct Sent {
    wish: u64,
    sending: Option<SendingId>,
    node: Node,
    redirect_count: u32,
    sent_at: Moment,
    arrives_at: Moment,
}

/// All operators, and what they sent and heard.
pub struct Operators {
    history: History,
    wishes: BTreeMap<u64, Wish>,
    sent: HashMap<OperationTicket, Sent>,
    known_numbers: Vec<u64>,
    refused: Vec<ChangeId>,
    last_wish: u64,
}

impl Default for Operators {
    fn default() -> Self {
        Self {
            history: History::default(),
            wishes: BTreeMap::new(),
            sent: HashMap::new(),
            known_numbers: vec![0],
            refused: Vec::new(),
            last_wish: 0,
        }
    }
}

impl Operators {
    fn learn(&mut self, number: u64) {
        if let Err(place) = self.known_numbers.binary_search(&number) {
            self.known_numbers.insert(place, number);
        }
    }
}

impl World {
    /// Operators send a change, or two at once on top of the same version.
    pub(super) fn send_orders(&mut self) {
        let base = draw_base(&mut self.chance, &self.operators.known_numbers);
        let number = draw_number(&mut self.chance, base);
        let rival_count = if self.chance.happens(0.4) { 2 } else { 1 };
        let has_same_number = self.chance.happens(0.6);
        for _ in 0..rival_count {
            if self.operators.wishes.len() >= MOST_UNDER_WAY {
                return;
            }
            let own_number =
                if has_same_number { number } else { draw_number(&mut self.chance, base) };
            self.send_order(own_number, base);
        }
    }

    fn send_order(&mut self, number: u64, base: u64) {
        self.next_number += 1;
        let label = self.next_number;
        let drawn = draw_order(&mut self.chance, number, base, label);
        let numbering = Numbering { number: drawn.order.number, base_number: base };
        let operation = Operation::Change {
            base: None,
            numbering: Some(numbering),
            change: Some(ChangeId::from(format!("{number}-{label}"))),
            kind: drawn.kind,
            wait: Wait::Accepted,
        };
        let order = self.operators.history.order(drawn.order);
        self.begin_wish(Aim::Change(order), operation);
    }

    /// An operator wants a zone evacuated, or that to end.
    pub(super) fn turn_zone(&mut self, zone: Zone, evacuate: bool) {
        let order = self.operators.history.turns_zone(self.now, zone.as_str(), evacuate);
        let kind = if evacuate {
            ChangeKind::Evacuate { zone, force: true }
        } else {
            ChangeKind::Restore { zone }
        };
        let operation = Operation::Change {
            base: None,
            numbering: None,
            change: None,
            kind,
            wait: Wait::Accepted,
        };
        self.begin_wish(Aim::Zone(order), operation);
    }

    /// An operator reads the configuration.
    pub(super) fn read_back(&mut self) {
        self.begin_wish(Aim::Read, Operation::ReadSpec);
    }

    fn begin_wish(&mut self, aim: Aim, operation: Operation) {
        self.operators.last_wish += 1;
        let number = self.operators.last_wish;
        let wish = Wish { aim, operation, sent_count: 0, pause: FIRST_PAUSE, began_at: self.now };
        self.operators.wishes.insert(number, wish);
        self.send_wish(number);
    }

    /// Sends a wish to any controller.
    pub(super) fn send_wish(&mut self, number: u64) {
        let now = self.now;
        let Some(wish) = self.operators.wishes.get_mut(&number) else { return };
        wish.sent_count += 1;
        let aim = wish.aim;
        let sending = match aim {
            Aim::Change(order) => Some(self.operators.history.sends(now, order)),
            Aim::Zone(_) | Aim::Read => None,
        };
        let target = self.chance.below(self.controllers.len() as u64) as usize;
        self.send_to(number, sending, self.controllers[target].node, 0);
    }

    fn send_to(
        &mut self,
        wish_number: u64,
        sending: Option<SendingId>,
        node: Node,
        redirect_count: u32,
    ) {
        let Some(wish) = self.operators.wishes.get(&wish_number) else { return };
        let operation = wish.operation.clone();
        self.next_number += 1;
        let ticket = OperationTicket(self.next_number);
        let aim = wish.aim;
        let delay = self.request_delay(aim);
        let sent = Sent {
            wish: wish_number,
            sending,
            node,
            redirect_count,
            sent_at: self.now,
            arrives_at: self.now + delay,
        };
        self.operators.sent.insert(ticket, sent);
        self.traced(|now| {
            let number = node.0;
            format!("{now} operator sends wish {wish_number} to {number} as {ticket:?}, there in {delay:?}")
        });
        if !self.chance.happens(LOST_REQUEST_SHARE) {
            self.push(delay, Event::Operate(node, ticket, operation));
        }
        self.push(SILENCE, Event::HangUp(ticket));
    }

    fn request_delay(&mut self, aim: Aim) -> Duration {
        let (late_share, longest_delay) = match aim {
            Aim::Zone(_) => (LATE_ZONE_SHARE, LONGEST_ZONE_DELAY),
            Aim::Change(_) | Aim::Read => (LATE_REQUEST_SHARE, LONGEST_DELAY),
        };
        if self.chance.happens(late_share) {
            self.chance.within(Duration::from_millis(100), longest_delay)
        } else {
            self.network.delay(&mut self.chance)
        }
    }

    /// An operator heard nothing for a second: it ends the connection and goes on to another one.
    pub(super) fn hang_up(&mut self, ticket: OperationTicket) {
        let Some(sent) = self.operators.sent.remove(&ticket) else { return };
        let heard_at = self.now.max(sent.arrives_at);
        let hang_up_delay = self.chance.within(Duration::ZERO, HANG_UP_AFTER);
        let delay = heard_at.since(self.now) + hang_up_delay;
        self.push(delay, Event::Withdraw(sent.node, ticket));
        self.send_again_later(sent.wish);
    }

    /// The same wish is sent again after a pause that grows, or given up.
    fn send_again_later(&mut self, number: u64) {
        let Some(wish) = self.operators.wishes.get_mut(&number) else { return };
        let is_given_up = match wish.aim {
            Aim::Change(_) => wish.sent_count >= MOST_SENDINGS,
            Aim::Zone(_) => self.now.since(wish.began_at) >= ZONE_PATIENCE,
            Aim::Read => true,
        };
        if !is_given_up {
            let pause = wish.pause;
            wish.pause = (pause * 2).min(LONGEST_PAUSE);
            self.push(pause, Event::SendAgain(number));
            return;
        }
        let aim = wish.aim;
        self.operators.wishes.remove(&number);
        if let Aim::Zone(order) = aim {
            self.operators.history.zone_given_up(self.now, order);
        }
        self.counted("order given up");
    }

    /// A controller's answer has reached its operator.
    pub(super) fn hear_answer(&mut self, ticket: OperationTicket, reply: OperationReply) {
        if self.chance.happens(LOST_ANSWER_SHARE) {
            return;
        }
        let Some(sent) = self.operators.sent.remove(&ticket) else { return };
        let Some(wish) = self.operators.wishes.get(&sent.wish) else { return };
        match (wish.aim, reply) {
            (_, OperationReply::Elsewhere(leader)) => {
                let node = self.node_at(leader).filter(|_| sent.redirect_count < MOST_REDIRECTS);
                match node {
                    Some(node) => {
                        self.send_to(sent.wish, sent.sending, node, sent.redirect_count + 1);
                    }
                    None => self.send_again_later(sent.wish),
                }
            }
            (Aim::Change(_), reply) => self.hear_change(sent, reply),
            (Aim::Zone(order), OperationReply::Accepted { .. }) => {
                self.operators.history.zone_acknowledged(self.now, order);
                self.end_wish(sent.wish, "zone order acknowledged");
            }
            (Aim::Zone(order), OperationReply::NoZone { .. } | OperationReply::LastZone) => {
                self.operators.history.zone_given_up(self.now, order);
                self.end_wish(sent.wish, "zone order refused");
            }
            (Aim::Read, OperationReply::Spec { document, .. }) => {
                self.operators.learn(document.number);
                let evacuated = document.evacuated.iter().map(|zone| zone.as_str().to_owned());
                self.operators.history.reads(Reading {
                    asked_at: sent.sent_at,
                    heard_at: self.now,
                    number: document.number,
                    content: document.spec.to_value(),
                    evacuated: evacuated.collect(),
                });
                self.end_wish(sent.wish, "configuration read");
            }
            _ => self.send_again_later(sent.wish),
        }
    }

    fn hear_change(&mut self, sent: Sent, reply: OperationReply) {
        let Some(wish) = self.operators.wishes.get(&sent.wish) else { return };
        let Operation::Change { change: Some(change), numbering, .. } = &wish.operation else {
            return;
        };
        let (change, numbering) = (change.clone(), *numbering);
        let answer = match reply {
            OperationReply::Accepted { serial, .. } => {
                self.checks.accepts(self.now, &change, None, serial);
                if let Some(numbering) = numbering {
                    self.operators.learn(numbering.number);
                }
                Answer::Acknowledged
            }
            OperationReply::Stale { number, .. } => Answer::Stale { current: Some(number) },
            OperationReply::Invalid(_) => Answer::Invalid,
            _ => {
                self.counted("order without a clear answer");
                self.send_again_later(sent.wish);
                return;
            }
        };
        let (node, waited) = (sent.node.0, self.now.since(sent.sent_at));
        self.traced(|now| {
            format!("{now} operator hears {answer:?} on {change} from {node} after {waited:?}")
        });
        if let Some(sending) = sent.sending {
            self.operators.history.hears(self.now, sending, answer);
        }
        if answer == Answer::Acknowledged {
            self.end_wish(sent.wish, "change accepted");
        } else {
            self.checks.refuses(self.now, &change);
            self.operators.refused.push(change);
            self.end_wish(sent.wish, "change refused");
        }
    }

    fn end_wish(&mut self, number: u64, label: &str) {
        self.operators.wishes.remove(&number);
        self.counted(label);
    }

    /// Refused changes must not be committed later either, and all that operators heard must be
    /// explained by one order of events.
    pub(super) fn judge_operators(&mut self) {
        for change in std::mem::take(&mut self.operators.refused) {
            self.checks.refuses(self.now, &change);
        }
        let operators = std::mem::take(&mut self.operators);
        self.checks.judges_operators(operators.history.judged_count());
        for anomaly in operators.history.judge(&spec(0)) {
            self.checks.breach(self.now, anomaly.to_string());
        }
    }

    pub(super) fn schedule_reading(&mut self) {
        let wait_span = self.chance.within(Duration::from_millis(100), Duration::from_millis(1500));
        self.push(wait_span, Event::ReadBack);
    }
}
