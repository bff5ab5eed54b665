//! Carries out what a simulated daemon orders, and checks what it is told.

use super::Awaits;
use crate::sim::event::Event;
use crate::sim::network::Node;
use crate::sim::world::World;
use common::frames::{AcquireResult, StreamUp};
use common::identity::{FunctionKey, GrantSerial, Serial};
use dataplane::agent::DaemonOrder;

impl World {
    pub(in crate::sim) fn obey_daemon(&mut self, place: usize, order: DaemonOrder<u64>) {
        let node = self.daemons[place].node;
        let life = self.daemons[place].life;
        match order {
            DaemonOrder::Dial(to) => {
                let link = self.dial(node, life, to);
                if let Some(body) = &mut self.daemons[place].body {
                    body.link = Some(link);
                }
            }
            DaemonOrder::Hangup => {
                let link = self.daemons[place].body.as_mut().and_then(|body| body.link.take());
                if let Some(link) = link {
                    self.close_link(link);
                }
            }
            DaemonOrder::Say(frame) => self.say(place, frame),
            DaemonOrder::Beat(heartbeat, to_places) => {
                for to in to_places {
                    let Some(to_node) = self.node_at(to) else { continue };
                    self.counted("heartbeats");
                    let copies = if self.chance.happens(0.01) { 2 } else { 1 };
                    for _ in 0..copies {
                        if self.network.reaches(node, to_node) && !self.chance.happens(0.01) {
                            let delay = self.network.delay(&mut self.chance);
                            self.push(delay, Event::Beat(to_node, heartbeat.clone()));
                        }
                    }
                }
            }
            DaemonOrder::Holder(held, outputs) => self.drive(place, &held, outputs),
            DaemonOrder::Acquired(function, result, _) => {
                self.count_acquired(result.as_ref());
                self.acquired(place, &function, result);
            }
            DaemonOrder::AcquiresLost => {
                let Some(body) = &mut self.daemons[place].body else { return };
                let waiting = std::mem::take(&mut body.acquires);
                for function in waiting.into_keys() {
                    self.acquired(place, &function, None);
                }
            }
            DaemonOrder::Changed => self.look_all(place),
            DaemonOrder::Installed(serial) => self.check_install(place, serial),
            DaemonOrder::Tell(event, detail) => {
                if event == common::events::GRANTED {
                    self.check_granted(place);
                }
                if self.is_tracing {
                    let line = format!("{} daemon {place} {event} {detail}", self.now);
                    self.trace.push(line);
                }
            }
            DaemonOrder::GrantEnded => self.counted("grants ended"),
        }
    }

    pub(in crate::sim) fn check_install(&mut self, place: usize, serial: Serial) {
        let life = self.daemons[place].life;
        self.checks.installs(self.now, place, life, serial);
    }

    pub(in crate::sim) fn count_acquired(&mut self, result: Option<&AcquireResult>) {
        self.counted(match result {
            Some(AcquireResult::Granted { .. }) => "acquired: granted",
            Some(AcquireResult::Owner { .. }) => "acquired: owner",
            Some(AcquireResult::Later { .. }) => "acquired: later",
            Some(AcquireResult::Shed) => "acquired: shed",
            None => "acquired: nothing",
        });
    }

    pub(in crate::sim) fn say(&mut self, place: usize, frame: StreamUp) {
        let Some(body) = &self.daemons[place].body else { return };
        let Some(link) = body.link else { return };
        let from = self.daemons[place].node;
        let Some(to) = self.links.get(&link).map(|link| link.controller) else { return };
        if !self.network.reaches(from, to) {
            self.doom_link(link);
            return;
        }
        self.counted("frames up");
        if matches!(frame, StreamUp::Acquire { .. }) {
            self.counted("acquisitions");
        }
        let delay = self.network.delay(&mut self.chance);
        let key = (Node(1_000_000 + link as usize), to);
        self.push_in_order(key, delay, Event::LinkUp(link, frame));
    }

    /// Each life is in the hands of one living holder at most.
    pub(in crate::sim) fn check_hands(&mut self) {
        let mut held_lives = Vec::new();
        for place in 0..self.daemons.len() {
            let Some(agent) = self.agent(place).filter(|_| self.is_daemon_serving(place)) else {
                continue;
            };
            for held in agent.holdings.load().values() {
                let lives = held
                    .with(|holder| if holder.is_claimable() { holder.lives() } else { Vec::new() });
                held_lives.extend(lives.into_iter().map(|life| (place, held.grant, life.name)));
            }
        }
        let listed = held_lives.iter().map(|(place, grant, life)| (*place, *grant, life));
        self.checks.hands(self.now, listed);
    }

    /// Whether a daemon serves a function under a grant.
    pub(in crate::sim) fn is_live_holder(
        &self,
        place: usize,
        function: &FunctionKey,
        grant: GrantSerial,
    ) -> bool {
        let held = self.agent(place).and_then(|agent| agent.held(function, grant));
        self.is_daemon_serving(place)
            && held.is_some_and(|held| held.with(|holder| holder.is_claimable()))
    }

    /// A function that has just been granted: nobody else may serve it, and every runner of it that is
    /// alive is among those taken over.
    pub(in crate::sim) fn check_granted(&mut self, place: usize) {
        let Some(agent) = self.agent(place) else { return };
        let holdings = agent.holdings.load_full();
        for held in holdings.values() {
            if !self.checks.is_new_grant(held.grant) {
                continue;
            }
            let adopted = held.with(|holder| holder.lives());
            let alive =
                self.platform.runners.values().map(|runner| (&runner.function, &runner.life));
            self.checks.granted_with(self.now, &held.function, held.grant, &adopted, alive);
            for other in (0..self.daemons.len()).filter(|other| *other != place) {
                let is_held = self.agent(other).is_some_and(|other_agent| {
                    other_agent
                        .holdings
                        .load()
                        .get(&held.function)
                        .is_some_and(|held| held.with(|holder| holder.is_claimable()))
                });
                if is_held && self.is_daemon_serving(other) {
                    let function = &held.function;
                    let what =
                        format!("daemon {place} is granted {function}, which daemon {other} holds");
                    self.checks.breach(self.now, what);
                }
            }
        }
    }

    pub(in crate::sim) fn acquired(
        &mut self,
        place: usize,
        function: &FunctionKey,
        result: Option<AcquireResult>,
    ) {
        let Some(body) = &mut self.daemons[place].body else { return };
        for number in body.acquires.remove(function).unwrap_or_default() {
            self.step(place, number, Awaits::Acquired, |way, agent, now| {
                way.acquired(agent, now, result.clone())
            });
        }
    }
}
