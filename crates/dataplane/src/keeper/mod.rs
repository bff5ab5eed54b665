//! What a daemon knows of the world: leader, spec, hosts, grants. No I/O; orders go out.

mod leader_frames;
mod orders;
mod questions;

pub use orders::KeeperOrder;

use crate::liaison::{Liaison, LiaisonOutput};
use crate::watch::{Watch, WatchOutput};
use common::clock::Moment;
use common::frames::{Claim, Heartbeat, Host, Place, StreamDown, StreamUp};
use common::identity::{CorrelationId, FunctionKey, GrantSerial, Serial};
use common::rules::Rules;
use common::spec::{Table, View};
use questions::Asked;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The keeper of one daemon.
pub struct Keeper {
    liaison: Liaison,
    watch: Watch,
    view: Option<View>,
    table: Arc<Table>,
    alive_hosts: Vec<Host>,
    acquires: BTreeMap<CorrelationId, Asked>,
    reserves: BTreeMap<CorrelationId, (FunctionKey, GrantSerial)>,
    /// Answers to questions up to this one come from before everything was given up.
    void_up_to: CorrelationId,
    /// Grants that were given back on this stream: the leader may name them once more before it hears so.
    given_back: BTreeMap<FunctionKey, GrantSerial>,
    leaving: bool,
    rules: Rules,
    orders: Vec<KeeperOrder>,
}

impl Keeper {
    /// Knows nothing yet.
    pub fn new(liaison: Liaison, own_host: Host) -> Self {
        Self {
            liaison,
            watch: Watch::new(own_host),
            view: None,
            table: Arc::new(Table::empty()),
            alive_hosts: Vec::new(),
            acquires: BTreeMap::new(),
            reserves: BTreeMap::new(),
            void_up_to: CorrelationId(0),
            given_back: BTreeMap::new(),
            leaving: false,
            rules: Rules::KEPT,
            orders: Vec::new(),
        }
    }

    /// The same, with a rule taken away for proving.
    pub fn with_rules(mut self, rules: Rules) -> Self {
        self.rules = rules;
        self
    }

    /// The same with another pause between heartbeats.
    pub fn with_beat(mut self, beat_every: Duration) -> Self {
        self.watch = self.watch.with_beat(beat_every);
        self
    }

    /// When something is due, at the latest.
    pub fn next_due(&self) -> Moment {
        self.liaison.next_due().min(self.watch.next_due())
    }

    /// The seeds have changed.
    pub fn set_seeds(&mut self, seeds: Vec<Place>) {
        self.liaison.set_seeds(seeds);
    }

    /// When the member grant ends.
    pub fn grant_end(&self) -> Moment {
        self.liaison.grant_end()
    }

    /// The serial installed.
    pub fn serial(&self) -> Serial {
        self.table.serial()
    }

    /// Whether the leader has welcomed the stream.
    pub fn is_welcomed(&self) -> bool {
        self.liaison.is_welcomed()
    }

    fn done(&mut self) -> Vec<KeeperOrder> {
        std::mem::take(&mut self.orders)
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Moment) -> Vec<KeeperOrder> {
        let outputs = self.liaison.tick(now);
        self.obey(now, outputs);
        let watch_outputs = self.watch.tick(now);
        self.obey_watch(watch_outputs);
        self.look_at_hosts(now);
        self.give_up_late_acquires(now);
        self.done()
    }

    fn obey_watch(&mut self, outputs: Vec<WatchOutput>) {
        for output in outputs {
            let frame = match output {
                WatchOutput::Beat(heartbeat, places) => {
                    self.orders.push(KeeperOrder::Beat(heartbeat, places));
                    continue;
                }
                WatchOutput::Silent(life) => StreamUp::Silent { life },
                WatchOutput::Heard(life) => StreamUp::Heard { life },
            };
            if self.liaison.is_welcomed() {
                self.orders.push(KeeperOrder::Say(frame));
            }
        }
    }

    fn look_at_hosts(&mut self, now: Moment) {
        let alive_hosts = self.watch.alive(now);
        if alive_hosts != self.alive_hosts {
            self.alive_hosts = alive_hosts;
            self.orders.push(KeeperOrder::Hosts(self.alive_hosts.clone()));
        }
    }

    /// The dialed stream is open.
    pub fn connected(&mut self, now: Moment) -> Vec<KeeperOrder> {
        let outputs = self.liaison.connected(now);
        self.obey(now, outputs);
        self.done()
    }

    /// A part of a long frame of the leader has come in.
    pub fn receiving(&mut self, now: Moment) {
        self.liaison.receiving(now);
    }

    /// The stream failed or ended.
    pub fn disconnected(&mut self, now: Moment) -> Vec<KeeperOrder> {
        let outputs = self.liaison.disconnected(now);
        self.obey(now, outputs);
        self.done()
    }

    /// The leader says something.
    pub fn heard(&mut self, now: Moment, frame: StreamDown) -> Vec<KeeperOrder> {
        let outputs = self.liaison.heard(now, frame);
        self.obey(now, outputs);
        self.done()
    }

    /// A heartbeat came in; false when it is a stranger's.
    pub fn beat(&mut self, now: Moment, heartbeat: &Heartbeat) -> bool {
        self.watch.heard(now, heartbeat)
    }

    /// The daemon is leaving: it takes on nothing any more.
    pub fn leave(&mut self, now: Moment) -> Vec<KeeperOrder> {
        self.leaving = true;
        let outputs = self.liaison.leave();
        self.obey(now, outputs);
        self.done()
    }

    /// Sends the claims that were gathered.
    pub fn claims(&mut self, claims: Vec<Claim>) -> Vec<KeeperOrder> {
        if self.liaison.is_welcomed() {
            let frame = self.liaison.claims(claims);
            self.orders.push(KeeperOrder::Say(frame));
        }
        self.done()
    }

    fn obey(&mut self, now: Moment, outputs: Vec<LiaisonOutput>) {
        for output in outputs {
            match output {
                LiaisonOutput::Dial(place) => self.orders.push(KeeperOrder::Dial(place)),
                LiaisonOutput::Hangup => self.orders.push(KeeperOrder::Hangup),
                LiaisonOutput::Say(frame) => self.orders.push(KeeperOrder::Say(frame)),
                LiaisonOutput::Welcomed => {
                    self.orders.push(KeeperOrder::Welcomed(self.liaison.term()));
                    for life in self.watch.missed() {
                        self.orders.push(KeeperOrder::Say(StreamUp::Silent { life }));
                    }
                }
                LiaisonOutput::Lost => {
                    self.acquires.clear();
                    self.given_back.clear();
                    let lost_reserves = std::mem::take(&mut self.reserves).into_values().collect();
                    self.orders.push(KeeperOrder::StreamLost(lost_reserves));
                }
                LiaisonOutput::GrantedUntil(grant_end) => {
                    self.orders.push(KeeperOrder::ServeUntil(grant_end));
                }
                LiaisonOutput::GrantEnded => {
                    self.void_open_acquires(now);
                    self.orders.push(KeeperOrder::GiveUpAll);
                }
                LiaisonOutput::Pass(frame) => self.hear(now, frame),
            }
        }
    }
}
