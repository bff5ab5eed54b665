//! A daemon's stream to the leader and its member grant. No I/O; orders go out.

use common::chance::Chance;
use common::clock::Moment;
use common::frames::{Claim, Flag, Host, Many, Place, StreamDown, StreamUp};
use common::identity::{CorrelationId, Serial, Term};
use common::rules::{Rule, Rules};
use std::collections::BTreeMap;
use std::time::Duration;
use typed_builder::TypedBuilder;

/// The liaison's times.
#[derive(Clone, Debug, TypedBuilder)]
pub struct LiaisonTiming {
    /// From one renewal to the next.
    #[builder(default = Duration::from_millis(250))]
    pub renew_every: Duration,
    /// How long a connection may take to come about and be welcomed.
    #[builder(default = Duration::from_millis(250))]
    pub welcome_within: Duration,
    /// How long a welcomed stream may bring no renewal before another leader is sought.
    #[builder(default = Duration::from_millis(550))]
    pub silence_within: Duration,
    /// How long a controller that fell silent is left alone.
    #[builder(default = Duration::from_millis(1500))]
    pub shun_for: Duration,
    /// How long one to which no connection came about is left alone although others name it as the leader: it may
    /// have started since.
    #[builder(default = Duration::from_millis(300))]
    pub shun_unreached_for: Duration,
    /// The shortest wait before the next seed is tried.
    #[builder(default = Duration::from_millis(30))]
    pub retry_shortest: Duration,
    /// The longest wait before the next seed is tried.
    #[builder(default = Duration::from_millis(150))]
    pub retry_longest: Duration,
    /// The longest wait after a controller said that it knows no leader, or named one again so soon.
    #[builder(default = Duration::from_millis(60))]
    pub unled_longest: Duration,
    /// How long leaders of a term before the newest one heard are refused: their grants have then
    /// surely ended.
    #[builder(default = Duration::from_secs(5))]
    pub refuse_earlier_for: Duration,
}

/// What the liaison orders.
#[derive(Clone, Debug)]
pub enum LiaisonOutput {
    /// Open a stream there.
    Dial(Place),
    /// End the stream.
    Hangup,
    /// Say something on the stream.
    Say(StreamUp),
    /// The stream is open and the leader answers; claims follow.
    Welcomed,
    /// The stream is lost; questions on it get no answer.
    Lost,
    /// The member grant runs until then.
    GrantedUntil(Moment),
    /// The member grant has ended: stop every runner, forget every function and owner.
    GrantEnded,
    /// Something that is not the liaison's own.
    Pass(StreamDown),
}

enum StreamState {
    Idle { dial_at: Moment },
    Dialing { give_up_at: Moment },
    Open { give_up_at: Moment },
    Welcomed { heard_at: Moment, renew_at: Moment },
}

/// A controller that did not answer.
#[derive(Clone, Copy)]
struct Shunned {
    place: Place,
    since: Moment,
    was_reached: bool,
}

/// A daemon's side of the stream.
pub struct Liaison {
    timing: LiaisonTiming,
    host: Host,
    door: Place,
    seeds: Vec<Place>,
    places: Vec<Place>,
    next_seed: usize,
    hinted_leader: Option<Place>,
    dialed: Place,
    shunned: Option<Shunned>,
    hinted_at: Moment,
    born_at: Moment,
    was_granted: bool,
    led_at: Moment,
    state: StreamState,
    term: Term,
    grant_end: Moment,
    granted: bool,
    serial: Serial,
    renewals: BTreeMap<CorrelationId, Moment>,
    last_correlation: CorrelationId,
    chance: Chance,
    leaving: bool,
    rules: Rules,
}

impl Liaison {
    /// A liaison that will seek the leader at once.
    pub fn new(
        now: Moment,
        timing: LiaisonTiming,
        host: Host,
        door: Place,
        seeds: Vec<Place>,
        mut chance: Chance,
    ) -> Self {
        let next_seed = chance.below(seeds.len().max(1) as u64) as usize;
        Self {
            timing,
            host,
            door,
            places: seeds.clone(),
            seeds,
            next_seed,
            hinted_leader: None,
            dialed: Place::NOWHERE,
            shunned: None,
            hinted_at: Moment::ZERO,
            born_at: now,
            was_granted: false,
            led_at: Moment::ZERO,
            state: StreamState::Idle { dial_at: now },
            term: Term(0),
            grant_end: Moment::ZERO,
            granted: false,
            serial: Serial(0),
            renewals: BTreeMap::new(),
            last_correlation: CorrelationId(0),
            chance,
            leaving: false,
            rules: Rules::KEPT,
        }
    }

    /// The same, with a rule taken away for proving.
    pub fn with_rules(mut self, rules: Rules) -> Self {
        self.rules = rules;
        self
    }

    /// When something is due.
    pub fn next_due(&self) -> Moment {
        let state_due = match self.state {
            StreamState::Idle { dial_at } => dial_at,
            StreamState::Dialing { give_up_at } | StreamState::Open { give_up_at } => give_up_at,
            StreamState::Welcomed { heard_at, renew_at } => {
                let silent_at = heard_at + self.timing.silence_within;
                if self.leaving { silent_at } else { silent_at.min(renew_at) }
            }
        };
        if self.granted { state_due.min(self.grant_end) } else { state_due }
    }

    /// The seeds have changed; controllers known from the spec stay known.
    pub fn set_seeds(&mut self, seeds: Vec<Place>) {
        if seeds.is_empty() {
            return;
        }
        self.places.retain(|place| !self.seeds.contains(place) || seeds.contains(place));
        let new_places: Vec<Place> =
            seeds.iter().copied().filter(|seed| !self.places.contains(seed)).collect();
        self.places.extend(new_places);
        self.seeds = seeds;
    }

    /// When the member grant ends.
    pub fn grant_end(&self) -> Moment {
        self.grant_end
    }

    /// Whether the leader has welcomed the stream.
    pub fn is_welcomed(&self) -> bool {
        matches!(self.state, StreamState::Welcomed { .. })
    }

    /// The term of the leader last heard.
    pub fn term(&self) -> Term {
        self.term
    }

    /// A number for a question.
    pub fn correlation(&mut self) -> CorrelationId {
        self.last_correlation = self.last_correlation.next();
        self.last_correlation
    }

    /// The data plane has installed a spec, which names where the core's members stand.
    pub fn installed(&mut self, serial: Serial, core: &[Place]) -> Vec<LiaisonOutput> {
        self.serial = serial;
        self.places = core.to_vec();
        let new_seeds = self.seeds.iter().filter(|seed| !core.contains(seed));
        self.places.extend(new_seeds);
        if self.is_welcomed() {
            vec![LiaisonOutput::Say(StreamUp::Installed { serial })]
        } else {
            Vec::new()
        }
    }

    /// The daemon is leaving: it takes on no function any more.
    pub fn leave(&mut self) -> Vec<LiaisonOutput> {
        self.leaving = true;
        self.host.eligible.0 = false;
        if self.is_welcomed() {
            vec![LiaisonOutput::Say(self.hello(self.led_at))]
        } else {
            Vec::new()
        }
    }

    fn hello(&self, now: Moment) -> StreamUp {
        let age_ms = now.since(self.born_at).as_millis().min(u128::from(u32::MAX)) as u32;
        StreamUp::Hello {
            host: self.host.clone(),
            door: self.door,
            serial: self.serial,
            age_ms,
            granted: Flag(self.was_granted),
        }
    }

    fn idle(&mut self, now: Moment) {
        let wait_span = self.chance.within(self.timing.retry_shortest, self.timing.retry_longest);
        self.state = StreamState::Idle { dial_at: now + wait_span };
        self.renewals.clear();
    }

    /// A leader that was named is dialed at once; without one, or when names come too fast, a little
    /// later.
    fn follow_hint(&mut self, now: Moment) {
        let is_useful = self.hinted_leader.is_some_and(|named| self.may_dial_named(now, named));
        let is_first = now.since(self.hinted_at) >= self.timing.retry_shortest;
        let dial_at = if is_useful && is_first {
            self.hinted_at = now;
            now
        } else {
            now + self.chance.within(self.timing.retry_shortest, self.timing.unled_longest)
        };
        self.state = StreamState::Idle { dial_at };
    }

    fn hang_up(&mut self, now: Moment, outputs: &mut Vec<LiaisonOutput>) {
        let was_welcomed = self.is_welcomed();
        self.idle(now);
        outputs.push(LiaisonOutput::Hangup);
        if was_welcomed {
            outputs.push(LiaisonOutput::Lost);
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Moment) -> Vec<LiaisonOutput> {
        let mut outputs = Vec::new();
        self.end_grant_if_due(now, &mut outputs);
        match self.state {
            StreamState::Idle { dial_at } if now >= dial_at => {
                let dialed_place = self.next_place(now);
                self.dialed = dialed_place;
                self.state = StreamState::Dialing { give_up_at: now + self.timing.welcome_within };
                outputs.push(LiaisonOutput::Dial(dialed_place));
            }
            StreamState::Dialing { give_up_at } | StreamState::Open { give_up_at }
                if now >= give_up_at =>
            {
                self.shun_dialed(now);
                self.hang_up(now, &mut outputs);
            }
            StreamState::Welcomed { heard_at, .. }
                if now.since(heard_at) > self.timing.silence_within =>
            {
                self.shun_dialed(now);
                self.hang_up(now, &mut outputs);
            }
            StreamState::Welcomed { heard_at, renew_at } if now >= renew_at && !self.leaving => {
                self.state =
                    StreamState::Welcomed { heard_at, renew_at: now + self.timing.renew_every };
                let correlation = self.correlation();
                self.renewals.insert(correlation, now);
                while self.renewals.len() > 16 {
                    self.renewals.pop_first();
                }
                let serial = self.serial;
                outputs.push(LiaisonOutput::Say(StreamUp::Renew { correlation, serial }));
            }
            _ => {}
        }
        outputs
    }

    /// A hinted leader first, else the controllers in turn; one that fell silent is left alone for a while.
    fn next_place(&mut self, now: Moment) -> Place {
        if let Some(named_place) = self.hinted_leader.take()
            && self.may_dial_named(now, named_place)
        {
            return named_place;
        }
        let shunned_place = self
            .shunned
            .filter(|shunned| now < shunned.since + self.timing.shun_for)
            .map(|shunned| shunned.place);
        for _ in 0..self.places.len() {
            self.next_seed = (self.next_seed + 1) % self.places.len();
            if Some(self.places[self.next_seed]) != shunned_place {
                break;
            }
        }
        self.places[self.next_seed]
    }

    /// The controller that was dialed last is left alone for a while.
    fn shun_dialed(&mut self, now: Moment) {
        let was_reached = !matches!(self.state, StreamState::Dialing { .. });
        self.shunned = Some(Shunned { place: self.dialed, since: now, was_reached });
    }

    /// Whether a controller that another one names as the leader may be dialed.
    fn may_dial_named(&self, now: Moment, named: Place) -> bool {
        let Some(shunned) = self.shunned.filter(|shunned| shunned.place == named) else {
            return true;
        };
        let is_patient = shunned.was_reached || !self.rules.keep(Rule::NamedLeaderDialed);
        let shun_for =
            if is_patient { self.timing.shun_for } else { self.timing.shun_unreached_for };
        now >= shunned.since + shun_for
    }

    fn end_grant_if_due(&mut self, now: Moment, outputs: &mut Vec<LiaisonOutput>) {
        if self.granted && now >= self.grant_end {
            self.granted = false;
            outputs.push(LiaisonOutput::GrantEnded);
        }
    }

    /// The dialed connection is open.
    pub fn connected(&mut self, now: Moment) -> Vec<LiaisonOutput> {
        if let StreamState::Dialing { .. } = self.state {
            self.state = StreamState::Open { give_up_at: now + self.timing.welcome_within };
            return vec![LiaisonOutput::Say(self.hello(now))];
        }
        Vec::new()
    }

    /// The connection failed or ended.
    pub fn disconnected(&mut self, now: Moment) -> Vec<LiaisonOutput> {
        let was_welcomed = self.is_welcomed();
        self.idle(now);
        if was_welcomed { vec![LiaisonOutput::Lost] } else { Vec::new() }
    }

    /// A part of a long frame has come in: the leader is not silent, however slow the link is. It says
    /// nothing of the member grant.
    pub fn receiving(&mut self, now: Moment) {
        if let StreamState::Welcomed { heard_at, .. } = &mut self.state {
            *heard_at = now;
        }
    }

    /// The claims to send once welcomed.
    pub fn claims(&self, claims: Vec<Claim>) -> StreamUp {
        StreamUp::Claims { claims: Many(claims) }
    }

    /// Takes what the leader says.
    pub fn heard(&mut self, now: Moment, frame: StreamDown) -> Vec<LiaisonOutput> {
        let mut outputs = Vec::new();
        self.end_grant_if_due(now, &mut outputs);
        match frame {
            StreamDown::Elsewhere { leader } => {
                self.hinted_leader = (leader != Place::NOWHERE).then_some(leader);
                self.hang_up(now, &mut outputs);
                self.follow_hint(now);
            }
            StreamDown::Welcome { term } => {
                let is_deposed =
                    term < self.term && now.since(self.led_at) < self.timing.refuse_earlier_for;
                if is_deposed {
                    self.shun_dialed(now);
                    self.hang_up(now, &mut outputs);
                } else if !self.is_welcomed() {
                    self.term = term;
                    self.led_at = now;
                    self.state = StreamState::Welcomed { heard_at: now, renew_at: now };
                    outputs.push(LiaisonOutput::Welcomed);
                }
            }
            StreamDown::Renewed { correlation, length_ms, serial } => {
                let StreamState::Welcomed { renew_at, .. } = self.state else { return outputs };
                self.state = StreamState::Welcomed { heard_at: now, renew_at };
                self.led_at = now;
                let Some(sent_at) = self.renewals.remove(&correlation) else { return outputs };
                let new_end = sent_at + Duration::from_millis(u64::from(length_ms));
                let is_newest = serial <= self.serial || !self.rules.keep(Rule::RenewalNeedsSpec);
                if new_end > self.grant_end && new_end > now && is_newest {
                    self.grant_end = new_end;
                    self.granted = true;
                    self.was_granted = true;
                    outputs.push(LiaisonOutput::GrantedUntil(new_end));
                }
            }
            other => {
                if let StreamState::Welcomed { renew_at, .. } = self.state {
                    self.state = StreamState::Welcomed { heard_at: now, renew_at };
                }
                outputs.push(LiaisonOutput::Pass(other));
            }
        }
        outputs
    }
}
