use super::daemon::local_moment;
use super::event::Event;
use super::flaw::Flaw;
use super::network::{Node, PLATFORM};
use super::platform::Asker;
use super::world::World;
use common::chance::Chance;
use common::clock::Moment;
use common::events;
use common::frames::{CoreBody, CoreFrame, Flag, Many, Place, StreamDown};
use common::identity::{ControllerId, Stamp, Term, Ticket};
use common::spec::Document;
use controlplane::controller_state::{
    ControllerInput, ControllerOutput, ControllerState, OperationReply, OperationTicket,
};
use controlplane::core::{Address, Core, CoreTiming, QuorumShape, Recalled, WriteJob, WriteResult};
use controlplane::leader_state::{LeaderTiming, StreamId};
use std::time::Duration;

/// A virtual disk.
pub struct SimDisk {
    /// What survives a crash.
    pub durable: Recalled,
    /// Until when writes hang.
    pub stalled_until: Moment,
    /// Until when writes fail.
    pub failing_until: Moment,
    /// The version before the newest.
    pub previous: Option<Document>,
}

/// One virtual controller.
pub struct SimController {
    /// Its node.
    pub node: Node,
    /// Counts its lives.
    pub life: u64,
    /// Where it is reached.
    pub place: Place,
    /// Its machine's clock, ahead of virtual time.
    pub clock_ahead: Duration,
    /// How many thousandths its machine's clock runs fast, or slow if negative.
    pub clock_drift: i64,
    /// The controller itself, while it is alive.
    pub controller_state: Option<ControllerState>,
    /// Its disk.
    pub disk: SimDisk,
}

pub(super) fn timing() -> CoreTiming {
    CoreTiming::builder()
        .election_shortest(Duration::from_millis(350))
        .election_longest(Duration::from_millis(600))
        .replace_after(Duration::from_secs(3))
        .build()
}

fn leader_state_timing() -> LeaderTiming {
    LeaderTiming::builder()
        .grant_length(Duration::from_millis(1600))
        .drift_margin(Duration::from_millis(160))
        .claims_wait(Duration::from_millis(1760))
        .build()
}

impl World {
    pub(super) fn controller_now(&self, place: usize) -> Moment {
        let controller = &self.controllers[place];
        local_moment(self.now, controller.clock_ahead, controller.clock_drift)
    }

    /// Starts a controller with what its disk remembers.
    pub(super) fn start_controller(&mut self, place: usize) {
        let local_now = self.controller_now(place);
        let seed = self.chance.number();
        let seeds = self.seeds();
        let rules = self.plan.rules();
        let voters = self.plan.voters;
        let controller = &mut self.controllers[place];
        controller.life += 1;
        let own_place = controller.place;
        let address = Address { place: own_place, operators: own_place };
        let core = Core::new(
            local_now,
            timing(),
            controller.disk.durable.clone(),
            address,
            Self::zone(place),
            seeds,
            Chance::seeded(seed),
        )
        .with_rules(rules)
        .with_shape(QuorumShape::new(voters, 1));
        let controller_state =
            ControllerState::new(core, leader_state_timing(), timing().election_shortest);
        controller.controller_state = Some(controller_state.with_rules(rules));
        let node = controller.node;
        self.push(Duration::from_millis(1), Event::Tick(node, self.controllers[place].life));
        self.push(Duration::from_millis(50), Event::Poll(node, self.controllers[place].life));
    }

    /// Kills a controller; the others find its address closed.
    pub(super) fn kill_controller(&mut self, place: usize) {
        let node = self.controllers[place].node;
        self.notice_gone(node, self.controllers[place].place);
        self.break_links(node);
        self.end_controller(place);
    }

    /// A controller's machine loses power: nobody is told.
    pub(super) fn power_off_controller(&mut self, place: usize) {
        self.doom_links(self.controllers[place].node);
        self.end_controller(place);
    }

    /// A controller's process ends; a write under way may or may not have reached the disk.
    fn end_controller(&mut self, place: usize) {
        self.controllers[place].controller_state = None;
        self.controllers[place].life += 1;
        let unsynced = std::mem::take(&mut self.unsynced);
        for (owner, job) in unsynced {
            let is_lucky = self.chance.happens(0.5) && self.plan.flaw != Flaw::SyncSkipped;
            if owner == place && is_lucky {
                self.controllers[place].disk.keep(&job);
            } else if owner != place {
                self.unsynced.push((owner, job));
            }
        }
    }

    /// The other controllers that reach a killed one find its place closed, a little later.
    fn notice_gone(&mut self, gone: Node, place: Place) {
        let others: Vec<Node> = self.controllers.iter().map(|controller| controller.node).collect();
        for other in others {
            let is_noticed = other != gone
                && self.network.reaches(other, gone)
                && self.network.reaches(gone, other)
                && !self.chance.happens(0.1);
            if is_noticed {
                let delay = self.network.delay(&mut self.chance);
                self.push(delay, Event::ControllerGone(other, place));
            }
        }
    }

    /// A controller's disk is replaced by an empty one.
    pub(super) fn lose_disk(&mut self, place: usize) {
        let fresh_id = ControllerId(self.chance.number() | 1);
        let disk = &mut self.controllers[place].disk;
        disk.durable =
            Recalled { id: fresh_id, voted: None, accepted: None, distrusted: Stamp::default() };
        disk.previous = None;
    }

    /// The newest version on a disk rots: it is set aside at the start, and what it may have
    /// acknowledged is remembered.
    pub(super) fn damage_disk(&mut self, place: usize) {
        let disk = &mut self.controllers[place].disk;
        let rotten = disk.durable.accepted.take();
        disk.durable.distrusted = rotten.map_or(Stamp::default(), |held| held.stamp);
        disk.durable.accepted = disk.previous.take();
    }

    pub(super) fn feed_controller(&mut self, place: usize, input: ControllerInput) {
        if place >= self.controllers.len() {
            return;
        }
        let local_now = self.controller_now(place);
        let Some(controller_state) = &mut self.controllers[place].controller_state else { return };
        let orders = controller_state.take(local_now, input);
        for order in orders {
            self.obey_controller(place, order);
        }
    }

    fn obey_controller(&mut self, place: usize, order: ControllerOutput) {
        let node = self.controllers[place].node;
        let life = self.controllers[place].life;
        match order {
            ControllerOutput::Send(to, frame) => {
                let Some(to_node) = self.node_at(to) else { return };
                if self.plan.flaw == Flaw::QuorumOfOne {
                    self.forge_yes(place, to_node, &frame);
                }
                if self.network.reaches(node, to_node) && !self.chance.happens(0.001) {
                    let key = (node, to_node);
                    let delay = self.network.delay(&mut self.chance);
                    self.push_in_order(key, delay, Event::CoreFrame(to_node, frame));
                }
            }
            ControllerOutput::Write(ticket, job) => self.write(place, ticket, job),
            ControllerOutput::Down(stream, frame) => self.send_down(stream, frame),
            ControllerOutput::Close(stream) => self.close_link(stream.0),
            ControllerOutput::AskLists => self.read_lists(place),
            ControllerOutput::StopRunner(order) => {
                let asker = Asker { node, life };
                if self.network.reaches(node, PLATFORM) {
                    let delay = self.network.delay(&mut self.chance);
                    self.push(delay, Event::LeaderStop(asker, order));
                }
            }
            ControllerOutput::Operated(ticket, reply) => self.operated(place, ticket, reply),
            ControllerOutput::Told(numbered) => {
                if numbered.told.event == events::COMMITTED {
                    self.check_commit(place);
                }
                if self.is_tracing {
                    let line = format!(
                        "{} controller {place} {} {}",
                        self.now, numbered.told.event, numbered.told.detail
                    );
                    self.trace.push(line);
                }
            }
        }
    }

    /// Makes a controller believe that another said yes to whatever it asked.
    fn forge_yes(&mut self, place: usize, to_node: Node, frame: &CoreFrame) {
        let body = match &frame.body {
            CoreBody::VoteAsk { term, trial, .. } => CoreBody::VoteReply {
                term: if trial.0 { Term(term.0 - 1) } else { *term },
                asked: *term,
                trial: *trial,
                given: Flag(true),
                members: Many(Vec::new()),
                whole: Flag(true),
            },
            CoreBody::Round { term, round, accepted, .. } => {
                CoreBody::RoundReply { term: *term, round: *round, accepted: *accepted }
            }
            CoreBody::Accept { term, stamp, .. } | CoreBody::AcceptChange { term, stamp, .. } => {
                CoreBody::Accepted { term: *term, stamp: *stamp }
            }
            _ => return,
        };
        let other_place = self.controllers[to_node.0].place;
        let forged_frame = CoreFrame {
            from: self.controllers[to_node.0].disk.durable.id,
            place: other_place,
            operators: other_place,
            zone: "here".into(),
            body,
        };
        let node = self.controllers[place].node;
        self.push(Duration::from_micros(50), Event::CoreFrame(node, forged_frame));
    }

    fn check_commit(&mut self, place: usize) {
        let committed_document = self.controllers[place]
            .controller_state
            .as_ref()
            .and_then(|controller_state| controller_state.core().accepted().cloned());
        if let Some(document) = committed_document {
            self.checks.commits(self.now, &document);
        }
    }

    fn write(&mut self, place: usize, ticket: Ticket, job: WriteJob) {
        let life = self.controllers[place].life;
        let node = self.controllers[place].node;
        let disk = &self.controllers[place].disk;
        let own_delay = self.chance.within(Duration::from_micros(300), Duration::from_millis(12));
        let ends_at = (self.now + own_delay).max(disk.stalled_until);
        let is_failing = disk.failing_until > self.now;
        self.unsynced.push((place, job.clone()));
        let skips_sync = self.plan.flaw == Flaw::SyncSkipped;
        if skips_sync {
            self.push(
                Duration::from_micros(100),
                Event::Written(node, life, ticket, WriteResult::Synced),
            );
            let late = ends_at.since(self.now) + Duration::from_secs(20);
            self.push(late, Event::Durable(node, life, job));
        } else if is_failing {
            let delay = ends_at.since(self.now);
            self.push(delay, Event::Written(node, life, ticket, WriteResult::Failed));
        } else {
            let delay = ends_at.since(self.now);
            self.push(delay, Event::Durable(node, life, job));
            self.push(
                delay + Duration::from_nanos(1),
                Event::Written(node, life, ticket, WriteResult::Synced),
            );
        }
    }

    pub(super) fn durable(&mut self, place: usize, job: &WriteJob) {
        self.controllers[place].disk.keep(job);
        self.unsynced.retain(|(owner, kept)| *owner != place || !is_same(kept, job));
    }

    fn send_down(&mut self, stream: StreamId, frame: StreamDown) {
        let Some(link) = self.links.get(&stream.0) else { return };
        let (from, to) = (link.controller, link.daemon);
        if !self.network.reaches(from, to) {
            self.doom_link(stream.0);
            return;
        }
        self.counted("frames down");
        match &frame {
            StreamDown::Renewed { .. } => self.recovery.renewed(self.now, to.daemon_place()),
            StreamDown::Hosts { hosts, .. } => self.counted_by("hosts told", hosts.0.len()),
            StreamDown::HostsChanged { put, .. } => {
                self.counted_by("hosts told", put.0.len());
            }
            StreamDown::Spec { document: blob, .. } | StreamDown::Change { patch: blob, .. } => {
                self.counted_by("spec bytes", blob.0.len());
            }
            _ => {}
        }
        let delay = self.network.delay(&mut self.chance);
        let key = (Node(2_000_000 + stream.0 as usize), to);
        self.push_in_order(key, delay, Event::LinkDown(stream.0, frame));
    }

    pub(super) fn poll_platform(&mut self, place: usize) {
        let node = self.controllers[place].node;
        let life = self.controllers[place].life;
        self.push(Duration::from_millis(400), Event::Poll(node, life));
        let leads = self.controllers[place]
            .controller_state
            .as_ref()
            .is_some_and(|controller_state| controller_state.core().is_leader());
        if leads {
            self.read_lists(place);
        }
    }

    fn read_lists(&mut self, place: usize) {
        let node = self.controllers[place].node;
        let life = self.controllers[place].life;
        if !self.network.reaches(node, PLATFORM) {
            return;
        }
        let sent_at = self.controller_now(place);
        let (age, listed_runners, workers) = self.platform.late_lists(self.now);
        let delay = self.network.delay(&mut self.chance);
        self.push(delay, Event::Lists(node, life, workers, sent_at - age, listed_runners));
    }

    fn operated(&mut self, place: usize, ticket: OperationTicket, reply: OperationReply) {
        self.judge_reply(place, ticket, &reply);
        let delay = self.network.delay(&mut self.chance);
        self.push(delay, Event::Operated(ticket, reply));
    }
}

fn is_same(left: &WriteJob, right: &WriteJob) -> bool {
    match (left, right) {
        (WriteJob::Vote { term: left_term, .. }, WriteJob::Vote { term: right_term, .. }) => {
            left_term == right_term
        }
        (WriteJob::Version(left_document), WriteJob::Version(right_document)) => {
            left_document.stamp == right_document.stamp
        }
        (WriteJob::Scrub(_), WriteJob::Scrub(_)) => true,
        _ => false,
    }
}

impl SimDisk {
    /// Makes a write durable.
    pub fn keep(&mut self, job: &WriteJob) {
        match job {
            WriteJob::Vote { term, candidate } => {
                if self.durable.voted.is_none_or(|(voted, _)| voted < *term) {
                    self.durable.voted = Some((*term, *candidate));
                }
            }
            WriteJob::Scrub(_) => {}
            WriteJob::Version(document) => {
                let is_newer =
                    self.durable.accepted.as_ref().is_none_or(|held| held.stamp < document.stamp);
                if is_newer {
                    self.previous = self.durable.accepted.replace(document.clone());
                    if self.durable.distrusted <= document.stamp {
                        self.durable.distrusted = Stamp::default();
                    }
                }
            }
        }
    }
}
