//! A whole controller without I/O: the core, the leader state while it leads, and operators' changes.

mod changes;
mod content;
mod history;
mod judgement;
mod operation;
mod traces;

pub use content::change_name;
pub use history::{History, Numbered};
pub use operation::{
    ChangeKind, ItemChange, Numbering, Operation, OperationReply, OperationTicket, Unavailable,
    Wait,
};

use crate::core::{Address, Core, CoreOutput, WriteJob, WriteResult};
use crate::leader_state::{
    KEPT_VIEWS, LeaderOutput, LeaderState, LeaderTiming, Proof, StreamId, Told,
};
use changes::Changes;
use common::clock::Moment;
use common::events;
use common::frames::{CoreFrame, Place, StreamDown, StreamUp};
use common::identity::{RunnerId, Serial, Stamp, Ticket};
use common::rules::Rules;
use common::spec::View;
use common::tongue::{ListedRunner, ListedWorker, StopOrder};
use operation::WaitingOperation;
use serde_json::json;
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;
use traces::Traces;

const LEADER_EVERY: Duration = Duration::from_millis(50);
const HURRIED_EVERY: Duration = Duration::from_millis(10);
const WAITING_EVERY: Duration = Duration::from_millis(100);
const IDLE_EVERY: Duration = Duration::from_millis(500);

/// What reaches a controller.
#[derive(Debug)]
pub enum ControllerInput {
    /// Time passes.
    Tick,
    /// Another controller's frame.
    Core(CoreFrame),
    /// A write has ended.
    Written(Ticket, WriteResult),
    /// A daemon's frame.
    Stream(StreamId, StreamUp),
    /// A daemon's stream has ended.
    StreamLost(StreamId),
    /// The platform's workers.
    Workers(Vec<ListedWorker>),
    /// The platform's runners as they stood at a moment.
    Runners(Moment, Vec<ListedRunner>),
    /// The platform confirmed a stop.
    RunnerStopped(RunnerId),
    /// An operator's wish.
    Operate(OperationTicket, Operation),
    /// An operator hung up and hears no answer any more.
    Withdrawn(OperationTicket),
    /// Connections to this place are refused: the process there is gone.
    Gone(Place),
    /// Other seeds.
    Seeds(Vec<Place>),
}

/// What a controller orders.
#[derive(Debug)]
pub enum ControllerOutput {
    /// Send a frame to another controller.
    Send(Place, CoreFrame),
    /// Write to disk.
    Write(Ticket, WriteJob),
    /// Say something on a daemon's stream.
    Down(StreamId, StreamDown),
    /// End a daemon's stream.
    Close(StreamId),
    /// Ask the platform for its lists at once.
    AskLists,
    /// Have the platform stop a runner.
    StopRunner(StopOrder),
    /// Answer an operator.
    Operated(OperationTicket, OperationReply),
    /// An event was noted.
    Told(Numbered),
}

/// A whole controller without I/O.
pub struct ControllerState {
    core: Core,
    leader_state: Option<LeaderState>,
    leader_state_timing: LeaderTiming,
    fresh_span: Duration,
    streams: BTreeSet<StreamId>,
    history: History,
    changes: Changes,
    waiting: VecDeque<WaitingOperation>,
    traces: Traces,
    /// The last versions on this disk, committed or not; a leader's daemons that have one of them are told the
    /// difference.
    recent_views: VecDeque<View>,
    recent_stamp: Stamp,
    rules: Rules,
    outputs: Vec<ControllerOutput>,
}

impl ControllerState {
    /// A controller around a core member.
    pub fn new(core: Core, leader_state_timing: LeaderTiming, fresh_span: Duration) -> Self {
        Self {
            core,
            leader_state: None,
            leader_state_timing,
            fresh_span,
            streams: BTreeSet::new(),
            history: History::default(),
            changes: Changes::default(),
            waiting: VecDeque::new(),
            traces: Traces::default(),
            recent_views: VecDeque::new(),
            recent_stamp: Stamp::default(),
            rules: Rules::KEPT,
            outputs: Vec::new(),
        }
    }

    /// The same, with a rule taken away for proving.
    pub fn with_rules(mut self, rules: Rules) -> Self {
        self.rules = rules;
        self
    }

    /// The core member.
    pub fn core(&self) -> &Core {
        &self.core
    }

    /// The leader state, while this controller leads.
    pub fn leader_state(&self) -> Option<&LeaderState> {
        self.leader_state.as_ref()
    }

    /// The number of the newest event.
    pub fn newest_event(&self) -> u64 {
        self.history.newest()
    }

    /// When time must pass next, if nothing reaches it before.
    pub fn next_due(&self, now: Moment) -> Moment {
        let longest_span = match (&self.leader_state, self.waiting.is_empty()) {
            (Some(leader_state), _) if leader_state.is_hurried() => HURRIED_EVERY,
            (Some(_), _) => LEADER_EVERY,
            (None, false) => WAITING_EVERY,
            (None, true) => IDLE_EVERY,
        };
        self.core.next_due().min(now + longest_span)
    }

    /// Takes one input and returns what is ordered.
    pub fn take(&mut self, now: Moment, input: ControllerInput) -> Vec<ControllerOutput> {
        let orders = self.core.expire(now);
        self.obey(now, orders);
        match input {
            ControllerInput::Tick => {
                let orders = self.core.tick(now);
                self.obey(now, orders);
            }
            ControllerInput::Core(frame) => {
                let orders = self.core.heard(now, frame);
                self.obey(now, orders);
            }
            ControllerInput::Written(ticket, result) => {
                if result == WriteResult::Failed {
                    self.tell(Told { event: events::DISK_FAILED, detail: json!({}) });
                }
                let orders = self.core.written(now, ticket, result);
                self.obey(now, orders);
            }
            ControllerInput::Stream(stream, frame) => self.hear_stream(now, stream, frame),
            ControllerInput::StreamLost(stream) => {
                self.streams.remove(&stream);
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.stream_lost(stream);
                }
            }
            ControllerInput::Workers(listed_workers) => {
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.workers_listed(listed_workers);
                }
            }
            ControllerInput::Runners(content_moment, listed_runners) => {
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.runners_listed(content_moment, &listed_runners);
                }
            }
            ControllerInput::RunnerStopped(runner) => {
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.runner_stopped(runner);
                }
            }
            ControllerInput::Operate(ticket, operation) => self.operate(now, ticket, operation),
            ControllerInput::Withdrawn(ticket) => self.withdraw(ticket),
            ControllerInput::Gone(place) => self.core.leader_gone(now, place),
            ControllerInput::Seeds(seeds) => self.core.reseed(seeds),
        }
        self.note_accepted();
        self.progress(now);
        std::mem::take(&mut self.outputs)
    }

    /// Keeps the newest version on this disk among the recent ones; a version that lost to another with its serial
    /// makes room.
    fn note_accepted(&mut self) {
        let Some(document) = self.core.accepted() else { return };
        if document.stamp == self.recent_stamp {
            return;
        }
        self.recent_stamp = document.stamp;
        let serial = document.view_serial();
        let is_seen = self.recent_views.back().is_some_and(|newest| newest.serial == serial);
        if is_seen && document.unseen > 0 {
            return;
        }
        self.recent_views.retain(|earlier| earlier.serial < serial);
        self.recent_views.push_back(document.view());
        let extra_count = self.recent_views.len().saturating_sub(KEPT_VIEWS);
        self.recent_views.drain(..extra_count);
    }

    fn hear_stream(&mut self, now: Moment, stream: StreamId, frame: StreamUp) {
        self.streams.insert(stream);
        match &mut self.leader_state {
            Some(leader_state) => leader_state.heard(now, stream, frame),
            None => {
                let leader = self.core.leader().map_or(Place::NOWHERE, |address| address.place);
                self.outputs.push(ControllerOutput::Down(stream, StreamDown::Elsewhere { leader }));
                self.outputs.push(ControllerOutput::Close(stream));
                self.streams.remove(&stream);
            }
        }
    }

    fn progress(&mut self, now: Moment) {
        self.progress_waiting(now);
        self.progress_changes(now);
        let Some(leader_state) = &mut self.leader_state else { return };
        if let Some((known_members, whole)) = leader_state.take_known_members() {
            self.core.set_members(known_members, whole);
        }
        let core = &self.core;
        let proof = Proof {
            ready: core.is_ready(),
            quorum_moment: core.quorum_moment(),
            confirmed: &|known_member| core.is_confirmed(known_member),
            in_flight: core.proposed().map(|document| &document.roster),
        };
        for order in leader_state.progress(now, &proof) {
            match order {
                LeaderOutput::Down { stream, frame } => {
                    self.outputs.push(ControllerOutput::Down(stream, frame));
                }
                LeaderOutput::AskLists => self.outputs.push(ControllerOutput::AskLists),
                LeaderOutput::StopRunner(order) => {
                    self.outputs.push(ControllerOutput::StopRunner(order));
                }
                LeaderOutput::Told(told) => {
                    if told.event == events::IN_FORCE
                        && let Some(serial) = told.detail["serial"].as_u64()
                    {
                        self.traces.in_force(now, Serial(serial));
                    }
                    self.tell(told);
                }
                LeaderOutput::Step { serial, member, step } => {
                    self.traces.step(now, serial, member, step);
                }
            }
        }
        self.progress_waits();
        self.put_roster_forward(now);
        let wants_round = self.leader_state.as_ref().is_some_and(LeaderState::wants_round)
            || (self.leader_state.is_some() && !self.waiting.is_empty())
            || self.changes.wants_proof();
        if wants_round {
            let orders = self.core.hasten_round(now);
            self.obey(now, orders);
        }
    }

    /// Names of daemons that joined or are long gone are committed together, after operators' changes
    /// that wait: those take the names along.
    fn put_roster_forward(&mut self, now: Moment) {
        let is_free = self.core.is_ready() && !self.core.is_proposing() && self.changes.is_idle();
        let Some(leader_state) = &mut self.leader_state else { return };
        let Some(roster) = leader_state.due_roster(now).filter(|_| is_free) else { return };
        let Some(document) = self.core.accepted() else { return };
        let next_document = document.with_roster(roster);
        if let Ok(orders) = self.core.propose(now, next_document) {
            self.obey(now, orders);
        }
    }

    fn tell(&mut self, told: Told) {
        let numbered = self.history.add(told);
        self.outputs.push(ControllerOutput::Told(numbered));
    }

    fn obey(&mut self, now: Moment, orders: Vec<CoreOutput>) {
        for order in orders {
            match order {
                CoreOutput::Send { to, frame } => {
                    self.outputs.push(ControllerOutput::Send(to, frame))
                }
                CoreOutput::Write { ticket, job } => {
                    self.outputs.push(ControllerOutput::Write(ticket, job));
                }
                CoreOutput::Campaigning { term } => {
                    let detail = json!({"term": term.0});
                    self.tell(Told { event: events::CAMPAIGN, detail });
                }
                CoreOutput::Elected { term, members, whole } => {
                    self.history.restart(term);
                    let detail = json!({
                        "term": term.0,
                        "surveyor": format!("{:x}", self.core.id().0),
                        "last_known": members.len(),
                        "whole": whole,
                    });
                    self.tell(Told { event: events::ELECTED, detail });
                    let leader_state_timing = self.leader_state_timing.clone();
                    let leader_state =
                        LeaderState::new(leader_state_timing, term, now, members, whole);
                    let leader_state = leader_state.with_earlier_views(self.recent_views.clone());
                    self.leader_state = Some(leader_state.with_rules(self.rules));
                }
                CoreOutput::SteppedDown => self.stepped_down(),
                CoreOutput::Committed(document) => {
                    let stamp = document.stamp;
                    let detail = json!({"term": stamp.term.0, "serial": stamp.serial.0});
                    self.tell(Told { event: events::COMMITTED, detail });
                    let seen_stamp = Stamp { serial: document.view_serial(), ..stamp };
                    self.traces.committed(now, seen_stamp);
                    if let Some(leader_state) = &mut self.leader_state {
                        leader_state.committed(document);
                    }
                    self.change_committed(stamp.serial);
                }
                CoreOutput::MembershipChange { places, settled } => {
                    let places: Vec<String> = places.iter().map(Place::to_string).collect();
                    let detail = json!({"core": places, "settled": settled});
                    self.tell(Told { event: events::SUCCESSION, detail });
                }
                CoreOutput::DiskStalled => {
                    self.tell(Told { event: events::DISK_STALLED, detail: json!({}) });
                }
            }
        }
    }

    fn stepped_down(&mut self) {
        let detail = json!({"term": self.core.term().0});
        self.tell(Told { event: events::STEPPED_DOWN, detail });
        self.leader_state = None;
        self.drop_changes();
        let leader = self.core.leader().map_or(Place::NOWHERE, |address| address.place);
        for stream in std::mem::take(&mut self.streams) {
            self.outputs.push(ControllerOutput::Down(stream, StreamDown::Elsewhere { leader }));
            self.outputs.push(ControllerOutput::Close(stream));
        }
    }

    fn leader_elsewhere(&self) -> Option<Address> {
        if self.core.is_leader() { None } else { self.core.leader() }
    }

    fn is_fresh(&self, now: Moment) -> bool {
        self.core.is_ready() && now.since(self.core.quorum_moment()) < self.fresh_span
    }

    /// Whether a majority still followed this leader in a round that began after this moment.
    fn is_proven_since(&self, now: Moment, asked_at: Moment) -> bool {
        self.is_fresh(now) && self.core.quorum_moment() >= asked_at
    }
}
