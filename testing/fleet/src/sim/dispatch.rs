//! Leads each event to the part of the fleet that it is for.

use super::event::Event;
use super::flaw::Flaw;
use super::network::PLATFORM;
use super::world::World;
use controlplane::controller_state::{ChangeKind, ControllerInput};
use controlplane::leader_state::StreamId;
use std::time::Duration;

impl World {
    pub(super) fn happen(&mut self, event: Event) {
        match event {
            Event::Tick(node, life) => {
                self.push(Duration::from_millis(20), Event::Tick(node, life));
                if node.is_controller() {
                    self.feed_controller(node.0, ControllerInput::Tick);
                } else {
                    self.tick_daemon(node.daemon_place());
                }
            }
            Event::Poll(node, _) => self.poll_platform(node.0),
            Event::CoreFrame(node, frame) => {
                self.feed_controller(node.0, ControllerInput::Core(frame))
            }
            Event::ControllerGone(node, place) => {
                self.feed_controller(node.0, ControllerInput::Gone(place));
            }
            Event::Durable(node, life, job) => {
                if self.controllers[node.0].life == life {
                    self.durable(node.0, &job);
                }
            }
            Event::Written(node, _, ticket, result) => {
                self.feed_controller(node.0, ControllerInput::Written(ticket, result));
            }
            Event::Lists(node, _, workers, content_at, runners) => {
                self.feed_controller(node.0, ControllerInput::Workers(workers));
                self.feed_controller(node.0, ControllerInput::Runners(content_at, runners));
            }
            Event::Dialed(number) => {
                if let Some(link) = self.links.get(&number)
                    && self.is_current_link(link.daemon.daemon_place(), number)
                {
                    let place = link.daemon.daemon_place();
                    self.with_controller(place, |controller, agent, now| {
                        controller.connected(agent, now)
                    });
                }
            }
            Event::LinkUp(number, frame) => {
                let Some(link) = self.links.get(&number).filter(|link| !link.doomed) else {
                    return;
                };
                let place = link.controller.0;
                self.feed_controller(place, ControllerInput::Stream(StreamId(number), frame));
            }
            Event::LinkDown(number, frame) => {
                let Some(link) = self.links.get(&number).filter(|link| !link.doomed) else {
                    return;
                };
                let place = link.daemon.daemon_place();
                if self.is_current_link(place, number) {
                    self.with_controller(place, |controller, agent, now| {
                        controller.heard(agent, now, frame)
                    });
                }
            }
            Event::LinkLost(number, node) => {
                if node.is_controller() {
                    self.feed_controller(node.0, ControllerInput::StreamLost(StreamId(number)));
                } else if node != PLATFORM {
                    self.link_lost(node.daemon_place(), number);
                }
            }
            Event::Beat(node, heartbeat) => self.heartbeat(node.daemon_place(), &heartbeat),
            Event::Look(node, _, number, wake) => self.wake(node.daemon_place(), number, wake),
            Event::AcquireTimedOut(node, _, number) => {
                self.acquire_timed_out(node.daemon_place(), number)
            }
            Event::Hop(node, _, back, body) => self.hear_hop(node.daemon_place(), back, body),
            Event::Passed(node, _, number, end, regional_tenths) => {
                self.passed_back(node.daemon_place(), number, end, regional_tenths);
            }
            Event::Word(node, _, function, grant, word) => {
                self.with_controller(node.daemon_place(), |controller, agent, now| {
                    controller.told(agent, now, function, grant, word)
                });
            }
            Event::Gone(node, _) => {
                self.kill_daemon(node.daemon_place());
                self.push(Duration::from_millis(700), Event::Return(node));
            }
            Event::Run(place, run) => self.begin_run(place, run),
            Event::RunDone(runner, run, spoils) => self.run_done(runner, run, spoils),
            Event::SendEnded(asker, function, ticket, grant, end) => {
                let place = asker.node.daemon_place();
                self.apply(place, &function, grant, |holder, now| {
                    holder.sent_ended(now, ticket, end)
                });
            }
            Event::StewardAsked(node, asker, number, function, grant, topic, body) => {
                let place = node.daemon_place();
                self.steward_asked(place, asker, number, function, grant, topic, body);
            }
            Event::StewardSaid(asker, number, function, grant, topic, reply) => {
                self.steward_said(
                    asker.node.daemon_place(),
                    number,
                    &function,
                    grant,
                    topic,
                    reply,
                );
            }
            other => self.happen_outside(other),
        }
    }

    pub(super) fn happen_outside(&mut self, event: Event) {
        match event {
            Event::Start(asker, function, runner, worker, spec) => {
                self.start_runner(asker, function, runner, worker, &spec);
            }
            Event::Started(asker, function, runner, end) => {
                let place = asker.node.daemon_place();
                self.apply(place, &function, runner.grant, |holder, now| {
                    holder.started(now, runner, end)
                });
            }
            Event::Stop(asker, function, runner, life) => {
                self.platform.stop_life(runner, life.as_ref());
                let delay = self.network.delay(&mut self.chance);
                self.push(delay, Event::Stopped(asker, function, runner));
            }
            Event::Stopped(asker, function, runner) => {
                let place = asker.node.daemon_place();
                self.apply(place, &function, runner.grant, |holder, now| {
                    holder.stopped(now, runner)
                });
            }
            Event::LeaderStop(asker, order) => {
                let runner = order.runner;
                let flaw = self.plan.flaw;
                if !matches!(flaw, Flaw::StopsUnconfirmed | Flaw::StopsUnheard) {
                    self.platform.stop_life(runner, order.life.as_ref());
                }
                let delay = self.network.delay(&mut self.chance);
                if self.plan.flaw != Flaw::StopsUnheard {
                    self.push(delay, Event::LeaderStopped(asker, runner));
                }
            }
            Event::LeaderStopped(asker, runner) => {
                self.feed_controller(asker.node.0, ControllerInput::RunnerStopped(runner));
            }
            Event::Probed(asker, function, runner, is_ready) => {
                let place = asker.node.daemon_place();
                self.apply(place, &function, runner.grant, |holder, now| {
                    holder.probed(now, runner, is_ready)
                });
            }
            Event::Settled(asker, function, runner, running) => {
                let place = asker.node.daemon_place();
                self.apply(place, &function, runner.grant, |holder, now| {
                    holder.settled(now, runner, running)
                });
            }
            Event::Operate(node, ticket, operation) => {
                self.feed_controller(node.0, ControllerInput::Operate(ticket, operation));
            }
            Event::Withdraw(node, ticket) => {
                self.feed_controller(node.0, ControllerInput::Withdrawn(ticket));
            }
            Event::HangUp(ticket) => self.hang_up(ticket),
            Event::SendAgain(wish) => self.send_wish(wish),
            Event::ReadBack => {
                self.read_back();
                self.schedule_reading();
            }
            Event::Operated(ticket, reply) => self.hear_operated(ticket, reply),
            Event::ListTick => {
                self.platform.take_list(self.now);
                self.check_hands();
                let is_late = self.platform.lag > Duration::from_millis(1000);
                if is_late || !self.is_control_whole() {
                    self.checks.doubts_control(self.now);
                }
                self.push(Duration::from_millis(100), Event::ListTick);
            }
            Event::Call => self.call_some(),
            Event::CallAgain(transaction, route_name) => self.call_again(transaction, route_name),
            Event::Act(action) => self.act(action),
            Event::Change => {
                self.send_change();
                if !self.is_healed {
                    self.schedule_change();
                }
            }
            Event::Fault if !self.is_healed => {
                self.cause_fault();
                self.schedule_fault();
            }
            Event::Return(node) => self.bring_back(node),
            Event::Mend => self.network.mend(),
            Event::Wake(node) => self.wake_machine(node),
            Event::Behave => {
                self.mischief = 0.0;
                self.platform.lag = Duration::from_millis(1000);
            }
            Event::RunnerLeft(runner) => self.platform.stop(runner),
            Event::RestoreWorkers => self.platform.restore(),
            Event::WorkersReturn(workers) => {
                self.platform.workers.extend(workers);
                self.platform.workers.sort_by(|left, right| left.worker.cmp(&right.worker));
            }
            Event::Restore(zone) => self.send(None, ChangeKind::Restore { zone }),
            Event::Repeat(route_name) => self.repeat(&route_name),
            Event::Heal => {
                self.heal();
                self.is_healed = true;
            }
            _ => {}
        }
    }
}
