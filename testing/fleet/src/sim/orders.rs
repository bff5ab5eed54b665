//! Operators that number their orders. They send commands to any controller, retry them after timeouts and failures,
//! and read the configuration.

use super::event::{ControllerEvent, OperatorEvent};
use super::network::Node;
use super::operator::spec;
use super::order_generator::{generate_base, generate_number, generate_order};
use super::simulation::Simulation;
use crate::history::{Answer, AttemptId, History, OrderId, Reading, ZoneOrderId};
use common::clock::MonotonicTime;
use common::frames::SocketAddress;
use common::identity::{ChangeId, Zone};
use common::spec::Document;
use controlplane::controller_state::{
    ChangeKind, ChangeRequest, Numbering, Operation, OperationReply, OperationTicket, Wait,
};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// The maximum number of commands in flight.
const MAX_COMMANDS_IN_FLIGHT: usize = 8;
/// The share of cases in which two concurrent changes are sent instead of one.
const CONCURRENT_CHANGES_SHARE: f64 = 0.4;
/// The share of cases in which concurrent changes have the same number.
const SAME_NUMBER_SHARE: f64 = 0.6;
/// How long an operator waits for a reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1000);
const INITIAL_BACKOFF: Duration = Duration::from_millis(60);
const MAX_BACKOFF: Duration = Duration::from_millis(2000);
const MAX_REDIRECTS: u32 = 2;
/// The number of attempts after which an order is abandoned.
const MAX_ATTEMPTS: u32 = 16;
/// How long an order to evacuate or restore a zone is retried.
const ZONE_COMMAND_TIMEOUT: Duration = Duration::from_secs(12);
const LOST_REQUEST_SHARE: f64 = 0.03;
const LOST_ANSWER_SHARE: f64 = 0.15;
const LATE_REQUEST_SHARE: f64 = 0.04;
const MAX_LATE_REQUEST_DELAY: Duration = Duration::from_secs(10);
/// Zone orders, which have no version number, are delayed more often and for longer than other commands.
const LATE_ZONE_ORDER_SHARE: f64 = 0.3;
const MAX_LATE_ZONE_ORDER_DELAY: Duration = Duration::from_secs(20);
/// The longest time after the last bytes of a request until the controller notices that the operator closed the
/// connection.
const MAX_DISCONNECT_DELAY: Duration = Duration::from_millis(8);

/// The kind of an operator's command.
#[derive(Clone, Copy)]
enum CommandKind {
    Change(OrderId),
    Zone(ZoneOrderId),
    Read,
}

/// A command in flight, with one or more attempts.
struct OperatorCommand {
    command_kind: CommandKind,
    operation: Operation,
    sent_count: u32,
    backoff: Duration,
    started_at: MonotonicTime,
}

/// An attempt that has not been answered yet.
struct SentRequest {
    command: u64,
    attempt: Option<AttemptId>,
    node: Node,
    redirect_count: u32,
    sent_at: MonotonicTime,
    arrives_at: MonotonicTime,
}

/// All operators, and the history of what they sent and received.
pub(crate) struct Operators {
    history: History,
    commands: BTreeMap<u64, OperatorCommand>,
    sent: HashMap<OperationTicket, SentRequest>,
    known_numbers: Vec<u64>,
    refused: Vec<ChangeId>,
    last_command: u64,
}

impl Default for Operators {
    fn default() -> Self {
        Self {
            history: History::default(),
            commands: BTreeMap::new(),
            sent: HashMap::new(),
            known_numbers: vec![0],
            refused: Vec::new(),
            last_command: 0,
        }
    }
}

impl Operators {
    /// Adds a number to the known version numbers, which are sorted.
    fn add_known_number(&mut self, number: u64) {
        if let Err(index) = self.known_numbers.binary_search(&number) {
            self.known_numbers.insert(index, number);
        }
    }
}

impl Simulation {
    /// Sends a change, or two concurrent ones with the same base version.
    pub(super) fn send_orders(&mut self) {
        let base = generate_base(&mut self.rng, &self.operators.known_numbers);
        let number = generate_number(&mut self.rng, base);
        let order_count = if self.rng.random_bool(CONCURRENT_CHANGES_SHARE) {
            2
        } else {
            1
        };
        let shares_number = self.rng.random_bool(SAME_NUMBER_SHARE);
        for _ in 0..order_count {
            if self.operators.commands.len() >= MAX_COMMANDS_IN_FLIGHT {
                return;
            }
            let order_number = if shares_number {
                number
            } else {
                generate_number(&mut self.rng, base)
            };
            self.send_order(order_number, base);
        }
    }

    fn send_order(&mut self, number: u64, base: u64) {
        let label = self.numbers.next();
        let generated_order = generate_order(&mut self.rng, number, base, label);
        let numbering = Numbering {
            number: generated_order.order.number,
            base_number: base,
        };
        let operation = Operation::Change(ChangeRequest {
            base: None,
            numbering: Some(numbering),
            change: Some(ChangeId::from(format!("{number}-{label}"))),
            kind: generated_order.kind,
            wait: Wait::Accepted,
        });
        let order = self.operators.history.record_order(generated_order.order);
        self.begin_command(CommandKind::Change(order), operation);
    }

    /// Sends an order to evacuate a zone or to restore it.
    pub(super) fn send_zone_order(&mut self, zone: Zone, evacuate: bool) {
        let order =
            self.operators
                .history
                .record_zone_order(self.queue.now(), zone.as_str(), evacuate);
        let kind = if evacuate {
            ChangeKind::Evacuate { zone, force: true }
        } else {
            ChangeKind::Restore { zone }
        };
        let operation = Operation::Change(ChangeRequest {
            base: None,
            numbering: None,
            change: None,
            kind,
            wait: Wait::Accepted,
        });
        self.begin_command(CommandKind::Zone(order), operation);
    }

    /// Sends a command to read the configuration.
    pub(super) fn send_read(&mut self) {
        self.begin_command(CommandKind::Read, Operation::ReadSpec);
    }

    fn begin_command(&mut self, command_kind: CommandKind, operation: Operation) {
        self.operators.last_command += 1;
        let number = self.operators.last_command;
        let command = OperatorCommand {
            command_kind,
            operation,
            sent_count: 0,
            backoff: INITIAL_BACKOFF,
            started_at: self.queue.now(),
        };
        self.operators.commands.insert(number, command);
        self.send_command(number);
    }

    /// Sends a command to a random controller.
    pub(super) fn send_command(&mut self, number: u64) {
        let now = self.queue.now();
        let Some(command) = self.operators.commands.get_mut(&number) else {
            return;
        };
        command.sent_count += 1;
        let command_kind = command.command_kind;
        let attempt = match command_kind {
            CommandKind::Change(order) => Some(self.operators.history.record_attempt(now, order)),
            CommandKind::Zone(_) | CommandKind::Read => None,
        };
        let target = self.rng.below(self.nodes.controllers().len() as u64) as usize;
        self.send_to(number, attempt, self.nodes.controller(target).node, 0);
    }

    fn send_to(
        &mut self,
        command_number: u64,
        attempt: Option<AttemptId>,
        node: Node,
        redirect_count: u32,
    ) {
        let Some(command) = self.operators.commands.get(&command_number) else {
            return;
        };
        let operation = command.operation.clone();
        let ticket = OperationTicket(self.numbers.next());
        let command_kind = command.command_kind;
        let delay = self.request_delay(command_kind);
        let sent = SentRequest {
            command: command_number,
            attempt,
            node,
            redirect_count,
            sent_at: self.queue.now(),
            arrives_at: self.queue.now() + delay,
        };
        self.operators.sent.insert(ticket, sent);
        self.record.trace(self.queue.now(), || {
            let number = node.0;
            format!(
                "operator sends command {command_number} to {number} as {ticket:?}, arrives in {delay:?}"
            )
        });
        if !self.rng.random_bool(LOST_REQUEST_SHARE) {
            self.queue.push(
                delay,
                ControllerEvent::OperatorRequest(node, ticket, operation),
            );
        }
        self.queue
            .push(REPLY_TIMEOUT, OperatorEvent::ClientTimedOut(ticket));
    }

    fn request_delay(&mut self, command_kind: CommandKind) -> Duration {
        let (late_share, max_delay) = match command_kind {
            CommandKind::Zone(_) => (LATE_ZONE_ORDER_SHARE, MAX_LATE_ZONE_ORDER_DELAY),
            CommandKind::Change(_) | CommandKind::Read => {
                (LATE_REQUEST_SHARE, MAX_LATE_REQUEST_DELAY)
            }
        };
        if self.rng.random_bool(late_share) {
            self.rng.within(Duration::from_millis(100), max_delay)
        } else {
            self.network.delay(&mut self.rng)
        }
    }

    /// Handles an operator's timeout: the operator closes the connection and retries the command later.
    pub(super) fn time_out_command(&mut self, ticket: OperationTicket) {
        let Some(sent) = self.operators.sent.remove(&ticket) else {
            return;
        };
        let received_at = self.queue.now().max(sent.arrives_at);
        let disconnect_delay = self.rng.within(Duration::ZERO, MAX_DISCONNECT_DELAY);
        let delay = received_at.since(self.queue.now()) + disconnect_delay;
        self.queue.push(
            delay,
            ControllerEvent::OperatorDisconnected(sent.node, ticket),
        );
        self.retry_later(sent.command);
    }

    /// Schedules the next attempt with exponential backoff, or abandons the command.
    fn retry_later(&mut self, number: u64) {
        let Some(command) = self.operators.commands.get_mut(&number) else {
            return;
        };
        let is_abandoned = match command.command_kind {
            CommandKind::Change(_) => command.sent_count >= MAX_ATTEMPTS,
            CommandKind::Zone(_) => {
                self.queue.now().since(command.started_at) >= ZONE_COMMAND_TIMEOUT
            }
            CommandKind::Read => true,
        };
        if !is_abandoned {
            let backoff = command.backoff;
            command.backoff = (backoff * 2).min(MAX_BACKOFF);
            self.queue.push(backoff, OperatorEvent::Resend(number));
            return;
        }
        let command_kind = command.command_kind;
        self.operators.commands.remove(&number);
        if let CommandKind::Zone(order) = command_kind {
            self.operators
                .history
                .record_zone_order_abandoned(self.queue.now(), order);
        }
        self.record.count_event("order given up");
    }

    /// Handles a controller's reply to a command. Some replies are lost at random.
    pub(super) fn handle_command_reply(&mut self, ticket: OperationTicket, reply: OperationReply) {
        if self.rng.random_bool(LOST_ANSWER_SHARE) {
            return;
        }
        let Some(sent) = self.operators.sent.remove(&ticket) else {
            return;
        };
        let Some(command) = self.operators.commands.get(&sent.command) else {
            return;
        };
        match (command.command_kind, reply) {
            (_, OperationReply::Redirect(leader)) => self.follow_redirect(sent, leader),
            (CommandKind::Change(_), reply) => self.handle_change_reply(sent, reply),
            (CommandKind::Zone(order), OperationReply::Accepted { .. }) => {
                self.operators
                    .history
                    .record_zone_order_acknowledged(self.queue.now(), order);
                self.end_command(sent.command, "zone order acknowledged");
            }
            (
                CommandKind::Zone(order),
                OperationReply::UnknownZone { .. } | OperationReply::LastZone,
            ) => {
                self.operators
                    .history
                    .record_zone_order_abandoned(self.queue.now(), order);
                self.end_command(sent.command, "zone order refused");
            }
            (CommandKind::Read, OperationReply::Spec { document, .. }) => {
                self.record_reading(&sent, &document);
                self.end_command(sent.command, "configuration read");
            }
            _ => self.retry_later(sent.command),
        }
    }

    /// Sends a command to the leader that a controller named, or retries it later.
    fn follow_redirect(&mut self, sent: SentRequest, leader: SocketAddress) {
        let node = self
            .nodes
            .node_at(leader)
            .filter(|_| sent.redirect_count < MAX_REDIRECTS);
        match node {
            Some(node) => self.send_to(sent.command, sent.attempt, node, sent.redirect_count + 1),
            None => self.retry_later(sent.command),
        }
    }

    fn record_reading(&mut self, sent: &SentRequest, document: &Document) {
        self.operators.add_known_number(document.number);
        let evacuated = document
            .evacuated
            .iter()
            .map(|zone| zone.as_str().to_owned());
        self.operators.history.record_reading(Reading {
            requested_at: sent.sent_at,
            received_at: self.queue.now(),
            number: document.number,
            content: document.spec.to_value(),
            evacuated: evacuated.collect(),
        });
    }

    fn handle_change_reply(&mut self, sent: SentRequest, reply: OperationReply) {
        let Some(command) = self.operators.commands.get(&sent.command) else {
            return;
        };
        let Operation::Change(ChangeRequest {
            change: Some(change),
            numbering,
            ..
        }) = &command.operation
        else {
            return;
        };
        let (change, numbering) = (change.clone(), *numbering);
        let answer = match reply {
            OperationReply::Accepted { version, .. } => {
                self.checks
                    .check_accepted(self.queue.now(), &change, None, version);
                if let Some(numbering) = numbering {
                    self.operators.add_known_number(numbering.number);
                }
                Answer::Acknowledged
            }
            OperationReply::Stale { number, .. } => Answer::Stale {
                current: Some(number),
            },
            OperationReply::Invalid(_) => Answer::Invalid,
            _ => {
                self.record.count_event("order without a clear answer");
                self.retry_later(sent.command);
                return;
            }
        };
        let (node, waited) = (sent.node.0, self.queue.now().since(sent.sent_at));
        self.record.trace(self.queue.now(), || {
            format!("operator receives {answer:?} for {change} from {node} after {waited:?}")
        });
        if let Some(attempt) = sent.attempt {
            self.operators
                .history
                .record_answer(self.queue.now(), attempt, answer);
        }
        if answer == Answer::Acknowledged {
            self.end_command(sent.command, "change accepted");
        } else {
            self.checks.check_change_refused(self.queue.now(), &change);
            self.operators.refused.push(change);
            self.end_command(sent.command, "change refused");
        }
    }

    /// Removes a command that was answered definitely, and counts its outcome under the label.
    fn end_command(&mut self, number: u64, label: &str) {
        self.operators.commands.remove(&number);
        self.record.count_event(label);
    }

    /// Checks that refused changes were not committed later, and that the operators' history is linearizable.
    pub(super) fn check_operator_history(&mut self) {
        for change in std::mem::take(&mut self.operators.refused) {
            self.checks.check_change_refused(self.queue.now(), &change);
        }
        let operators = std::mem::take(&mut self.operators);
        self.checks
            .count_operator_answers(operators.history.checked_count());
        for anomaly in operators.history.find_anomalies(&spec(0)) {
            self.checks
                .report_violation(self.queue.now(), anomaly.to_string());
        }
    }

    pub(super) fn schedule_read(&mut self) {
        let delay = self
            .rng
            .within(Duration::from_millis(100), Duration::from_millis(1500));
        self.queue.push(delay, OperatorEvent::Read);
    }
}
