use super::network::{Node, PLATFORM};
use super::world::{Event, World};
use std::time::Duration;

impl World {
    fn some_surveyor(&mut self) -> usize {
        self.chance.below(3) as usize
    }

    fn some_daemon(&mut self) -> usize {
        self.chance.below(self.daemons.len() as u64) as usize
    }

    fn some_node(&mut self) -> Node {
        let place = self.chance.below(3 + self.daemons.len() as u64) as usize;
        Node(place)
    }

    pub(super) fn schedule_fault(&mut self) {
        let wait_span = self.chance.within(Duration::from_millis(300), Duration::from_millis(3500));
        self.push(wait_span, Event::Fault);
    }

    /// Causes one fault by chance; each is undone some time later.
    pub(super) fn cause_fault(&mut self) {
        let lasts = self.chance.within(Duration::from_millis(300), Duration::from_millis(6000));
        let kind = self.chance.below(16);
        if self.is_tracing {
            let line = format!("{} fault {kind} for {lasts:?}", self.now);
            self.trace.push(line);
        }
        match kind {
            0 | 1 => {
                let place = self.some_surveyor();
                self.kill_surveyor(place);
                self.push(lasts, Event::Return(self.surveyors[place].node));
            }
            2 => {
                let leader = self.surveyors.iter().position(|surveyor| {
                    surveyor.plane.as_ref().is_some_and(|plane| plane.core().is_leader())
                });
                if let Some(place) = leader {
                    self.kill_surveyor(place);
                    self.push(lasts, Event::Return(self.surveyors[place].node));
                }
            }
            3 | 4 => {
                let place = self.some_daemon();
                self.kill_daemon(place);
                self.push(lasts, Event::Return(self.daemons[place].node));
            }
            5 | 6 => {
                let node = self.some_node();
                let until = self.now + lasts;
                let frozen_until = self.frozen.entry(node).or_insert(until);
                *frozen_until = (*frozen_until).max(until);
            }
            7 => {
                let lonely_node = self.some_node();
                for other in self.all_nodes() {
                    self.network.cut(lonely_node, other);
                    self.network.cut(other, lonely_node);
                }
                self.push(lasts, Event::Mend);
            }
            8 => {
                let lonely_node = self.some_node();
                let hears_nothing = self.chance.happens(0.5);
                for other in self.all_nodes() {
                    if hears_nothing {
                        self.network.cut(other, lonely_node);
                    } else {
                        self.network.cut(lonely_node, other);
                    }
                }
                self.push(lasts, Event::Mend);
            }
            9 => {
                let (left, right): (Vec<Node>, Vec<Node>) =
                    self.all_nodes().into_iter().partition(|node| {
                        (node.0 * 7 + lasts.subsec_nanos() as usize).is_multiple_of(3)
                    });
                for left_node in &left {
                    for right_node in &right {
                        self.network.cut(*left_node, *right_node);
                        self.network.cut(*right_node, *left_node);
                    }
                }
                self.push(lasts, Event::Mend);
            }
            10 => {
                let place = self.some_surveyor();
                self.surveyors[place].disk.stalled_until = self.now + lasts;
            }
            11 => {
                let place = self.some_surveyor();
                self.surveyors[place].disk.failing_until = self.now + lasts;
            }
            12 => {
                let worker_place = self.chance.below(self.platform.workers.len() as u64) as usize;
                let worker = self.platform.workers[worker_place].worker.clone();
                self.platform.crash(&worker);
            }
            14 => {
                for place in 0..3 {
                    self.kill_surveyor(place);
                    self.push(lasts, Event::Return(self.surveyors[place].node));
                }
            }
            13 => {
                if self.may_lose_disk() {
                    self.counted("disk lost");
                    let place = self.some_surveyor();
                    self.kill_surveyor(place);
                    self.lose_disk(place);
                    self.push(lasts, Event::Return(self.surveyors[place].node));
                }
            }
            _ => {
                self.mischief = 0.1;
                self.push(lasts, Event::Behave);
            }
        }
    }

    /// Only when every member of the core is alive, on the disk it is known by, and nothing is
    /// unsettled, may one more disk be lost: the deployments bear one loss at a time.
    fn may_lose_disk(&self) -> bool {
        let planes = self.surveyors.iter().filter_map(|surveyor| surveyor.plane.as_ref());
        let ready_plane = planes.into_iter().find(|plane| plane.core().is_ready());
        let Some(document) = ready_plane.and_then(|plane| plane.core().accepted()) else {
            return false;
        };
        let is_known = |surveyor: &super::surveyor::SimSurveyor| {
            let id = surveyor.disk.durable.id;
            surveyor.plane.is_some() && document.core.iter().any(|member| member.id == id)
        };
        document.former.is_empty() && self.surveyors.iter().all(is_known)
    }

    fn all_nodes(&self) -> Vec<Node> {
        (0..3 + self.daemons.len()).map(Node).chain([PLATFORM]).collect()
    }

    /// A killed machine returns.
    pub(super) fn bring_back(&mut self, node: Node) {
        if node.0 < 3 {
            if self.surveyors[node.0].plane.is_none() {
                self.start_surveyor(node.0);
            }
        } else if self.daemons[node.0 - 3].body.is_none() {
            self.start_daemon(node.0 - 3);
        }
    }

    /// Everything returns and is mended.
    pub(super) fn heal(&mut self) {
        self.network.mend();
        self.frozen.clear();
        self.mischief = 0.0;
        for node in self.all_nodes() {
            if node != PLATFORM {
                self.bring_back(node);
            }
        }
        for surveyor in &mut self.surveyors {
            surveyor.disk.stalled_until = waymark::clock::Moment::ZERO;
            surveyor.disk.failing_until = waymark::clock::Moment::ZERO;
        }
    }
}
