//! The leader's leader state: members and their grants, function grants, workers. All of it in memory.

mod claims;
mod delivery;
mod emptying;
mod fence;
mod functions;
mod grants;
mod link_moves;
mod listing;
mod members;
mod output;
mod pressure;
mod renewals;
mod report;
mod reservations;
mod roster;
mod stewards;
mod timing;
mod workers;

pub use delivery::KEPT_VIEWS;
pub use output::{LeaderOutput, StreamId, Told, TraceStep};
pub use timing::LeaderTiming;

use common::clock::Moment;
use common::frames::{KnownMember, MemberLife, Prior, StreamDown, StreamUp};
use common::identity::{
    CorrelationId, FunctionKey, GrantSerial, MemberName, Serial, Term, WorkerName, Zone,
};
use common::rules::{Rule, Rules};
use common::spec::{Document, RosterMember, Table, View};
use common::tongue::ListedRunner;
use emptying::Emptying;
use grants::{FunctionGrants, GrantEntry};
use members::{LifeHistory, MemberRecord, PushedHosts};
use renewals::Renewals;
use reservations::Reservations;
use roster::Absence;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use workers::WorkerRecord;

/// What the core proves to the leader state at one moment.
pub struct Proof<'a> {
    /// Whether the leader has committed under its own term.
    pub ready: bool,
    /// When the newest round was sent that a majority answered.
    pub quorum_moment: Moment,
    /// Whether a round that a majority answered named a daemon.
    pub confirmed: &'a dyn Fn(&KnownMember) -> bool,
    /// The roster of the change in flight.
    pub in_flight: Option<&'a BTreeSet<RosterMember>>,
}

struct WaitingAcquire {
    stream: StreamId,
    correlation: CorrelationId,
    function: FunctionKey,
    asked_at: Moment,
    told_later: bool,
}

/// The leader's leader state for one reign.
pub struct LeaderState {
    timing: LeaderTiming,
    term: Term,
    elected_at: Moment,
    last_known: BTreeSet<KnownMember>,
    last_known_whole: bool,
    awaited: BTreeSet<RosterMember>,
    absences: BTreeMap<RosterMember, Absence>,
    roster_changed: bool,
    roster_look_at: Moment,
    roster_wanted_since: Option<Moment>,
    listed_from: Moment,
    lists_asked_at: Moment,
    document: Option<Document>,
    table: Table,
    views: VecDeque<View>,
    /// Versions from before this reign; nothing is told to daemons before the first commit under it.
    earlier_views: VecDeque<View>,
    made_frames: BTreeMap<Serial, StreamDown>,
    made_whole: Option<StreamDown>,
    longest_budget: Duration,
    in_force: Serial,
    in_force_looked_at: Moment,
    streams: BTreeMap<StreamId, KnownMember>,
    members: BTreeMap<KnownMember, MemberRecord>,
    current: BTreeMap<MemberName, KnownMember>,
    entries: FunctionGrants,
    fencing: BTreeSet<FunctionKey>,
    reservations: Reservations,
    workers: BTreeMap<WorkerName, WorkerRecord>,
    workers_listed: bool,
    once_from: BTreeMap<FunctionKey, Moment>,
    priors: BTreeMap<FunctionKey, Prior>,
    refused_at: BTreeMap<WorkerName, Moment>,
    reborn_at: Moment,
    stewards_due: bool,
    fences_changed: bool,
    /// Before this no unswept daemon's grant ends.
    sweep_due: Moment,
    expiry_due: Moment,
    fences_looked_at: Moment,
    acquires_changed: bool,
    acquires_looked_at: Moment,
    known_changed: bool,
    idle_since: BTreeMap<KnownMember, BTreeMap<FunctionKey, Moment>>,
    gave_way_at: BTreeMap<FunctionKey, Moment>,
    starving: BTreeMap<FunctionKey, Moment>,
    took_back_at: Moment,
    emptying: Option<Emptying>,
    next_emptying_at: Moment,
    no_room_told_at: Moment,
    acquires: Vec<WaitingAcquire>,
    renewals: Renewals,
    runners_listed_at: Moment,
    newest_list: Vec<ListedRunner>,
    all_claimed: bool,
    opened: bool,
    opened_at: Moment,
    inherited_serial: Serial,
    inherited_nothing: bool,
    given_count: u64,
    hosts_changed: bool,
    hosts_pushed_at: Moment,
    pushed_hosts: PushedHosts,
    links_looked_at: Moment,
    moved_off_at: BTreeMap<FunctionKey, Moment>,
    missed: BTreeSet<MemberLife>,
    silent: BTreeSet<MemberLife>,
    rules: Rules,
    outputs: Vec<LeaderOutput>,
}

impl LeaderState {
    /// An empty leader state for a new leader.
    pub fn new(
        timing: LeaderTiming,
        term: Term,
        elected_at: Moment,
        last_known: BTreeSet<KnownMember>,
        last_known_whole: bool,
    ) -> Self {
        Self {
            timing,
            term,
            elected_at,
            last_known,
            last_known_whole,
            awaited: BTreeSet::new(),
            absences: BTreeMap::new(),
            roster_changed: true,
            roster_look_at: elected_at,
            roster_wanted_since: None,
            listed_from: Moment::ZERO,
            lists_asked_at: Moment::ZERO,
            document: None,
            table: Table::empty(),
            views: VecDeque::new(),
            earlier_views: VecDeque::new(),
            made_frames: BTreeMap::new(),
            made_whole: None,
            longest_budget: Duration::ZERO,
            in_force: Serial(0),
            in_force_looked_at: Moment::ZERO,
            streams: BTreeMap::new(),
            members: BTreeMap::new(),
            current: BTreeMap::new(),
            entries: FunctionGrants::default(),
            fencing: BTreeSet::new(),
            reservations: Reservations::default(),
            workers: BTreeMap::new(),
            workers_listed: false,
            once_from: BTreeMap::new(),
            priors: BTreeMap::new(),
            refused_at: BTreeMap::new(),
            reborn_at: Moment::ZERO,
            stewards_due: false,
            fences_changed: true,
            sweep_due: Moment::ZERO,
            expiry_due: Moment::ZERO,
            fences_looked_at: Moment::ZERO,
            acquires_changed: true,
            acquires_looked_at: Moment::ZERO,
            known_changed: true,
            idle_since: BTreeMap::new(),
            gave_way_at: BTreeMap::new(),
            starving: BTreeMap::new(),
            took_back_at: Moment::ZERO,
            emptying: None,
            no_room_told_at: Moment::ZERO,
            next_emptying_at: elected_at + Duration::from_secs(15),
            acquires: Vec::new(),
            renewals: Renewals::default(),
            runners_listed_at: Moment::ZERO,
            newest_list: Vec::new(),
            all_claimed: false,
            opened: false,
            opened_at: elected_at,
            inherited_serial: Serial(0),
            inherited_nothing: false,
            given_count: 0,
            hosts_changed: false,
            hosts_pushed_at: Moment::ZERO,
            pushed_hosts: PushedHosts::default(),
            links_looked_at: elected_at,
            moved_off_at: BTreeMap::new(),
            missed: BTreeSet::new(),
            silent: BTreeSet::new(),
            rules: Rules::KEPT,
            outputs: Vec::new(),
        }
    }

    /// The same, with a rule taken away for proving.
    pub fn with_rules(mut self, rules: Rules) -> Self {
        self.rules = rules;
        self
    }

    /// The same with the versions that this controller has seen lately: daemons that are a little behind are told
    /// what changed, and not the whole.
    pub fn with_earlier_views(mut self, views: VecDeque<View>) -> Self {
        self.earlier_views = views;
        self
    }

    fn is_evacuated(&self, zone: &Zone) -> bool {
        self.rules.keep(Rule::EvacuationObeyed) && self.table.is_evacuated(zone)
    }

    /// Whether the claims quorum stands and grants are given.
    pub fn is_open(&self) -> bool {
        self.opened
    }

    /// The daemons that may hold grants, and whether there are surely no others.
    pub fn known_members(&self) -> (BTreeSet<KnownMember>, bool) {
        let mut known_members: BTreeSet<KnownMember> = self.members.keys().cloned().collect();
        if !self.opened {
            known_members.extend(self.last_known.iter().cloned());
        }
        (known_members, self.last_known_whole || self.opened)
    }

    /// The same, if they may have changed since last asked.
    pub fn take_known_members(&mut self) -> Option<(BTreeSet<KnownMember>, bool)> {
        std::mem::take(&mut self.known_changed).then(|| self.known_members())
    }

    /// The newest serial that is in force everywhere.
    pub fn in_force(&self) -> Serial {
        self.in_force
    }

    /// Takes what a daemon says on its stream.
    pub fn heard(&mut self, now: Moment, stream: StreamId, frame: StreamUp) {
        self.acquires_changed = true;
        self.note_spoke(now, stream);
        match frame {
            StreamUp::Hello { host, door, serial, age_ms, granted } => {
                let history =
                    LifeHistory { born_at: roster::born_at(now, age_ms), was_granted: granted.0 };
                self.hear_hello(now, stream, host, door, serial, history);
            }
            StreamUp::Claims { claims } => self.hear_claims(now, stream, claims.0),
            StreamUp::Renew { correlation, serial } => {
                self.hear_renew(now, stream, correlation, serial);
            }
            StreamUp::Installed { serial } => self.hear_installed(stream, serial),
            StreamUp::Whole => self.push_whole(stream),
            StreamUp::Acquire { correlation, function } => {
                let asked = WaitingAcquire {
                    stream,
                    correlation,
                    function,
                    asked_at: now,
                    told_later: false,
                };
                self.acquires.push(asked);
            }
            StreamUp::Release { function, grant, runners } => {
                self.hear_release(now, stream, function, grant, runners);
            }
            StreamUp::Reserve { correlation, function, grant } => {
                self.hear_reserve(now, stream, correlation, function, grant);
            }
            StreamUp::Runner { function, runner, news } => {
                self.hear_runner_news(now, &function, runner, news);
            }
            StreamUp::Sheds { function, count, reason } => {
                self.hear_sheds(stream, function, count, reason)
            }
            StreamUp::StewardLost { function, grant, lost } => {
                self.hear_steward_lost(now, stream, function, grant, &lost);
            }
            StreamUp::StewardWhole { function, grant, steward } => {
                self.hear_steward_whole(stream, &function, grant, &steward);
            }
            StreamUp::Idle { functions } => self.hear_idle(now, stream, functions.0),
            StreamUp::Silent { life } => self.hear_silent(stream, life),
            StreamUp::Heard { life } => self.hear_heard(&life),
            StreamUp::WholeHosts => self.hear_whole_hosts(stream),
            StreamUp::Leaving => self.hear_leaving(now, stream),
        }
    }

    /// A stream has ended.
    pub fn stream_lost(&mut self, stream: StreamId) {
        let Some(known_member) = self.streams.remove(&stream) else { return };
        self.acquires_changed = true;
        self.acquires.retain(|acquire| acquire.stream != stream);
        self.renewals.forget(stream);
        if let Some(record) = self.members.get_mut(&known_member)
            && record.stream == Some(stream)
        {
            record.stream = None;
            self.tell(
                common::events::MEMBER_LOST,
                serde_json::json!({"member": known_member.member.as_str()}),
            );
        }
    }

    /// Does all that is due, and returns what has been ordered.
    pub fn progress(&mut self, now: Moment, proof: &Proof<'_>) -> Vec<LeaderOutput> {
        self.expire_members(now);
        self.open_if_due(now, proof);
        self.ask_lists(now);
        self.fence(now);
        self.name_stewards(now);
        self.answer_renewals(now, proof);
        self.answer_acquires(now);
        self.note_in_force(now);
        self.empty_workers(now);
        self.push_hosts(now);
        self.leave_narrow_links(now);
        std::mem::take(&mut self.outputs)
    }

    fn down(&mut self, stream: StreamId, frame: StreamDown) {
        self.outputs.push(LeaderOutput::Down { stream, frame });
    }

    fn tell(&mut self, event: common::events::Event, detail: serde_json::Value) {
        self.outputs.push(LeaderOutput::Told(Told { event, detail }));
    }

    fn is_serving(&self, known_member: &KnownMember, now: Moment) -> bool {
        self.members.get(known_member).is_some_and(|record| {
            record.stream.is_some() && record.grant_end > now && record.host.eligible.0
        })
    }

    fn next_number(&mut self) -> GrantSerial {
        self.given_count += 1;
        GrantSerial::of(self.term, self.given_count)
    }
}
