use super::{LeaderOutput, LeaderState, Proof, StreamId, TraceStep};
use common::clock::Moment;
use common::events;
use common::frames::{Flag, Host, KnownMember, Many, MemberLife, Place, StreamDown};
use common::identity::{FunctionKey, MemberName, Serial};
use common::ring::fitting_hosts;
use common::rules::Rule;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};

/// A daemon that its watchers miss counts as silent when its stream has brought nothing for so long.
const SILENT_AFTER: std::time::Duration = std::time::Duration::from_millis(700);
/// Daemons that are gone are looked for so often.
const EXPIRE_EVERY: std::time::Duration = std::time::Duration::from_millis(50);
const HOSTS_EVERY: std::time::Duration = std::time::Duration::from_millis(100);
/// From one asking for the lists to the next, while something may run that is not known.
const LISTS_EVERY: std::time::Duration = std::time::Duration::from_millis(150);

pub(super) struct MemberRecord {
    pub host: Host,
    pub door: Place,
    pub stream: Option<StreamId>,
    pub is_welcome: bool,
    pub grant_end: Moment,
    pub grant_bound: Moment,
    pub installed: Serial,
    pub pushed: Serial,
    pub claimed: bool,
    pub heard_at: Moment,
    pub swept: bool,
    pub joined_at: Moment,
    pub born_at: Moment,
    pub was_granted: bool,
    pub spoke_at: Moment,
    pub hosts_number: u64,
    pub has_left: bool,
}

/// What a daemon says of its present life.
pub(super) struct LifeHistory {
    pub born_at: Moment,
    pub was_granted: bool,
}

/// The host list as it was last pushed: its number, the daemons, those that watchers miss, and those that
/// functions pass over for others on wider links.
#[derive(Default)]
pub(super) struct PushedHosts {
    number: u64,
    hosts: BTreeMap<MemberName, Host>,
    silent: BTreeSet<MemberLife>,
    passed_over: BTreeSet<MemberName>,
}

impl PushedHosts {
    fn new(number: u64, hosts: BTreeMap<MemberName, Host>, silent: BTreeSet<MemberLife>) -> Self {
        let silent_names: BTreeSet<&MemberName> = silent.iter().map(|life| &life.member).collect();
        let heard_hosts = || hosts.values().filter(|host| !silent_names.contains(&host.member));
        let fitting: BTreeSet<&MemberName> =
            fitting_hosts(heard_hosts()).into_iter().map(|host| &host.member).collect();
        let passed_over = heard_hosts()
            .filter(|host| host.eligible.0 && !fitting.contains(&host.member))
            .map(|host| host.member.clone())
            .collect();
        Self { number, hosts, silent, passed_over }
    }

    /// Whether functions go to others than this daemon because its link is so much narrower.
    pub(super) fn passes_over(&self, member: &MemberName) -> bool {
        self.passed_over.contains(member)
    }
}

impl LeaderState {
    pub(super) fn hear_hello(
        &mut self,
        now: Moment,
        stream: StreamId,
        host: Host,
        door: Place,
        serial: Serial,
        history: LifeHistory,
    ) {
        let known_member = KnownMember {
            member: host.member.clone(),
            incarnation: host.incarnation,
            place: host.place,
        };
        self.sweep_anew();
        self.end_earlier_lives(now, &known_member);
        let is_reborn = self.last_known.iter().any(|known| known.is_reborn_as(&known_member));
        if is_reborn && !self.members.contains_key(&known_member) {
            self.reborn_at = now;
        }
        let earlier_stream = self.members.get(&known_member).and_then(|record| record.stream);
        if let Some(earlier_stream) = earlier_stream {
            self.streams.remove(&earlier_stream);
        }
        self.streams.insert(stream, known_member.clone());
        self.current.insert(host.member.clone(), known_member.clone());
        let is_welcome = host.eligible.0;
        let eligible = Flag(is_welcome && !self.is_evacuated(&host.zone));
        let record = self.members.entry(known_member).or_insert(MemberRecord {
            host: host.clone(),
            door,
            stream: None,
            is_welcome,
            grant_end: Moment::ZERO,
            grant_bound: Moment::ZERO,
            installed: serial,
            pushed: serial,
            claimed: false,
            heard_at: now,
            swept: false,
            joined_at: now,
            born_at: history.born_at,
            was_granted: history.was_granted,
            spoke_at: now,
            hosts_number: 0,
            has_left: false,
        });
        self.known_changed = true;
        self.roster_changed = true;
        record.stream = Some(stream);
        record.is_welcome = is_welcome;
        record.host = Host { eligible, ..host.clone() };
        record.door = door;
        record.installed = serial;
        record.pushed = serial;
        record.heard_at = now;
        record.hosts_number = 0;
        record.has_left = false;
        record.spoke_at = now;
        self.missed.retain(|life| life.member != host.member);
        self.hosts_changed = true;
        self.down(stream, StreamDown::Welcome { term: self.term });
        self.push_newest(stream);
        self.tell(
            events::MEMBER_JOINED,
            json!({
                "member": host.member.as_str(),
                "incarnation": host.incarnation.0,
                "locality": host.zone.as_str(),
            }),
        );
    }

    /// A new life at the same place holds that place's port: the earlier one is gone, and its grant with
    /// it.
    fn end_earlier_lives(&mut self, now: Moment, reborn: &KnownMember) {
        let earlier_lives: Vec<KnownMember> =
            self.members.keys().filter(|known| known.is_reborn_as(reborn)).cloned().collect();
        for earlier_life in earlier_lives {
            self.reborn_at = now;
            let Some(record) = self.members.get_mut(&earlier_life) else { continue };
            record.grant_end = record.grant_end.min(now);
            record.grant_bound = record.grant_bound.min(now);
            record.is_welcome = false;
            record.host.eligible = Flag(false);
            if let Some(earlier_stream) = record.stream.take() {
                self.streams.remove(&earlier_stream);
                self.acquires.retain(|acquire| acquire.stream != earlier_stream);
                self.renewals.forget(earlier_stream);
            }
            self.fence_all_of(now, &earlier_life);
        }
    }

    pub(super) fn hear_installed(&mut self, stream: StreamId, serial: Serial) {
        if let Some(known_member) = self.streams.get(&stream)
            && let Some(record) = self.members.get_mut(known_member)
        {
            let is_news = record.installed < serial;
            record.installed = record.installed.max(serial);
            if is_news {
                self.renewals.look_again();
                let member = known_member.member.clone();
                self.outputs.push(LeaderOutput::Step {
                    serial,
                    member,
                    step: TraceStep::Installed,
                });
            }
        }
    }

    pub(super) fn hear_leaving(&mut self, now: Moment, stream: StreamId) {
        let Some(known_member) = self.streams.get(&stream).cloned() else { return };
        if let Some(record) = self.members.get_mut(&known_member) {
            record.is_welcome = false;
            record.host.eligible = Flag(false);
            record.grant_end = now;
            record.grant_bound = now;
            record.swept = false;
            record.has_left = true;
            self.hosts_changed = true;
        }
        self.sweep_anew();
        self.renewals.forget(stream);
    }

    pub(super) fn expire_members(&mut self, now: Moment) {
        if now < self.expiry_due {
            return;
        }
        self.expiry_due = now + EXPIRE_EVERY;
        let forget_after = self.timing.forget_after;
        let gone_members: Vec<KnownMember> = self
            .members
            .iter()
            .filter(|(_, record)| {
                record.stream.is_none()
                    && now >= record.grant_bound
                    && (record.has_left || now.since(record.heard_at) > forget_after)
            })
            .map(|(known_member, _)| known_member.clone())
            .filter(|known_member| !self.entries.has_any(known_member))
            .collect();
        for gone_member in gone_members {
            self.forget_member(now, &gone_member);
            if self.current.get(&gone_member.member) == Some(&gone_member) {
                self.current.remove(&gone_member.member);
            }
            self.hosts_changed = true;
            self.known_changed = true;
            self.roster_changed = true;
        }
    }

    fn forget_member(&mut self, now: Moment, gone_member: &KnownMember) {
        let Some(record) = self.members.remove(gone_member) else { return };
        self.idle_since.remove(gone_member);
        if record.has_left {
            self.note_left(now, gone_member);
        }
    }

    pub(super) fn open_if_due(&mut self, now: Moment, proof: &Proof<'_>) {
        if self.opened || !proof.ready || self.document.is_none() {
            return;
        }
        if now.since(self.elected_at) > self.timing.strike_after {
            let current = &self.current;
            let (kept, struck): (BTreeSet<KnownMember>, BTreeSet<KnownMember>) =
                std::mem::take(&mut self.last_known)
                    .into_iter()
                    .partition(|known_member| current.contains_key(&known_member.member));
            self.known_changed |= !struck.is_empty();
            self.last_known = kept;
            let listed_struck = self.strike_awaited();
            let struck_names: BTreeSet<MemberName> = struck
                .into_iter()
                .map(|known| known.member)
                .chain(listed_struck.into_iter().map(|listed| listed.member))
                .collect();
            for struck_name in struck_names {
                self.tell(events::STRUCK_OFF, json!({"member": struck_name.as_str()}));
            }
        }
        if !self.awaited.is_empty() {
            self.open_by_roster(now);
            return;
        }
        let has_claimed = |known_member: &KnownMember| {
            self.members.get(known_member).is_some_and(|record| record.claimed)
        };
        let has_name_claimed = |known_member: &KnownMember| {
            self.current.get(&known_member.member).is_some_and(&has_claimed)
        };
        let claimed_count = self.last_known.iter().filter(|known| has_name_claimed(known)).count();
        let has_majority = self.last_known.is_empty() || claimed_count * 2 > self.last_known.len();
        let is_reborn = |known: &KnownMember| {
            let now_known = self.current.get(&known.member);
            now_known.is_some_and(|reborn| known.is_reborn_as(reborn) && has_claimed(reborn))
        };
        let has_reborn = self.last_known.iter().any(&is_reborn);
        let reborn_from = self.reborn_at + self.timing.start_settle;
        let listed_from =
            if has_reborn { reborn_from.max(self.elected_at) } else { self.elected_at };
        let is_list_new = self.runners_listed_at >= listed_from;
        let all_claimed = self.last_known_whole
            && !self.last_known.is_empty()
            && is_list_new
            && self.last_known.iter().all(|known| has_claimed(known) || is_reborn(known));
        let full_wait_end = self.elected_at + self.timing.claims_wait;
        let has_waited = now >= full_wait_end
            && self.runners_listed_at >= full_wait_end + self.timing.start_settle;
        let is_due = has_majority && (all_claimed || has_waited);
        if self.inherited_nothing || is_due || !self.rules.keep(Rule::ClaimsWait) {
            self.open(now, self.last_known.len(), claimed_count, all_claimed);
        }
    }

    /// The committed roster names whoever may hold a grant: when each of them has claimed, or its place
    /// has, nothing else holds anything. Those that do not come are waited for until their grants have
    /// ended, and the platform's list shows what they left.
    fn open_by_roster(&mut self, now: Moment) {
        let claimed_count = self.claimed_names();
        let has_majority = claimed_count * 2 > self.awaited.len();
        let all_claimed = self.has_whole_roster_claimed();
        let full_wait_end = self.elected_at + self.timing.claims_wait;
        let has_waited = now >= full_wait_end
            && self.runners_listed_at >= full_wait_end + self.timing.start_settle;
        let is_hasty = has_majority && !self.rules.keep(Rule::RosterAwaited);
        let is_due = all_claimed || (has_majority && has_waited);
        if is_due || is_hasty || !self.rules.keep(Rule::ClaimsWait) {
            if all_claimed {
                self.listed_from = self.whole_list_from();
            }
            self.open(now, self.awaited.len(), claimed_count, all_claimed);
        }
    }

    fn open(&mut self, now: Moment, last_known: usize, claimed: usize, all_claimed: bool) {
        self.opened = true;
        self.lists_asked_at = Moment::ZERO;
        self.known_changed = true;
        self.roster_changed = true;
        self.acquires_changed = true;
        self.opened_at = now;
        self.all_claimed = all_claimed;
        self.take_listed();
        let waited_ms = now.since(self.elected_at).as_millis() as u64;
        self.tell(
            events::CLAIMS_QUORUM,
            json!({
                "last_known": last_known,
                "claimed": claimed,
                "all_claimed": all_claimed,
                "waited_ms": waited_ms,
                "functions": self.entries.len(),
            }),
        );
    }

    /// The lists are asked for at the election, and again from the opening on until everything is known
    /// that earlier lives left.
    pub(super) fn ask_lists(&mut self, now: Moment) {
        let is_wanted =
            self.lists_asked_at == Moment::ZERO || (self.opened && !self.is_list_whole());
        if is_wanted && now.since(self.lists_asked_at) >= LISTS_EVERY {
            self.lists_asked_at = now;
            self.outputs.push(LeaderOutput::AskLists);
        }
    }

    /// From when on transactions that may run only once are safe with a function never granted by
    /// this leader: whoever held it had stopped when the claims quorum stood, or when every grant of
    /// an earlier leader had ended. A function that is
    /// younger than this reign was held by nobody.
    pub(super) fn once_boundary(&self, function: &FunctionKey) -> Moment {
        if function.generation > self.inherited_serial {
            return Moment::ZERO;
        }
        let stopped_at = self.opened_at.min(self.elected_at + self.timing.full_wait());
        stopped_at + self.longest_delay()
    }

    /// How long a transaction may be under way: its budget, and a member grant for which a daemon
    /// on its way may have been frozen without losing the right to pass it on.
    pub(super) fn longest_delay(&self) -> std::time::Duration {
        self.longest_budget + self.timing.grant_length
    }

    /// Something came in on a daemon's stream: it is alive.
    pub(super) fn note_spoke(&mut self, now: Moment, stream: StreamId) {
        if let Some(known_member) = self.streams.get(&stream)
            && let Some(record) = self.members.get_mut(known_member)
        {
            record.spoke_at = now;
        }
    }

    /// A watcher misses a daemon.
    pub(super) fn hear_silent(&mut self, stream: StreamId, life: MemberLife) {
        if self.streams.contains_key(&stream) && self.is_current(&life) {
            self.missed.insert(life);
        }
    }

    /// A watcher hears it again, or it speaks for itself.
    pub(super) fn hear_heard(&mut self, life: &MemberLife) {
        self.missed.remove(life);
    }

    fn is_current(&self, life: &MemberLife) -> bool {
        let known_member = self.current.get(&life.member);
        known_member.is_some_and(|known| known.incarnation == life.incarnation)
    }

    /// Silent is whom its watchers miss while its stream has brought nothing either.
    fn look_who_is_silent(&mut self, now: Moment) {
        let missed = std::mem::take(&mut self.missed);
        self.missed = missed.into_iter().filter(|life| self.is_current(life)).collect();
        let has_spoken = |life: &MemberLife| {
            let record = self.current.get(&life.member).and_then(|known| self.members.get(known));
            record.is_some_and(|record| now.since(record.spoke_at) < SILENT_AFTER)
        };
        let silent: BTreeSet<MemberLife> =
            self.missed.iter().filter(|life| !has_spoken(life)).cloned().collect();
        if silent == self.silent {
            return;
        }
        self.hosts_changed = true;
        let earlier_silent = std::mem::replace(&mut self.silent, silent);
        for life in self.silent.difference(&earlier_silent).cloned().collect::<Vec<MemberLife>>() {
            self.tell(events::MEMBER_SILENT, json!({"member": life.member.as_str()}));
        }
        for life in earlier_silent.difference(&self.silent).cloned().collect::<Vec<MemberLife>>() {
            self.tell(events::MEMBER_HEARD, json!({"member": life.member.as_str()}));
        }
    }

    /// A change of the host list did not fit what a daemon has.
    pub(super) fn hear_whole_hosts(&mut self, stream: StreamId) {
        if let Some(known_member) = self.streams.get(&stream)
            && let Some(record) = self.members.get_mut(known_member)
        {
            record.hosts_number = 0;
            self.hosts_changed = true;
        }
    }

    /// Tells every daemon who there is, changes of a tenth of a second at once: a fresh stream gets the
    /// whole list, all others what has changed since they were last told.
    pub(super) fn push_hosts(&mut self, now: Moment) {
        self.look_who_is_silent(now);
        if !self.hosts_changed || now.since(self.hosts_pushed_at) < HOSTS_EVERY {
            return;
        }
        self.hosts_changed = false;
        self.hosts_pushed_at = now;
        let hosts: BTreeMap<MemberName, Host> = self
            .current
            .values()
            .filter_map(|known_member| self.members.get(known_member))
            .map(|record| (record.host.member.clone(), record.host.clone()))
            .collect();
        let pushed = &self.pushed_hosts;
        let put: Vec<Host> = hosts
            .values()
            .filter(|host| pushed.hosts.get(&host.member) != Some(host))
            .cloned()
            .collect();
        let removed: Vec<MemberName> =
            pushed.hosts.keys().filter(|member| !hosts.contains_key(*member)).cloned().collect();
        let is_other = !put.is_empty() || !removed.is_empty() || pushed.silent != self.silent;
        let number = if is_other { pushed.number + 1 } else { pushed.number };
        let silent = Many(self.silent.iter().cloned().collect());
        let change = StreamDown::HostsChanged {
            number,
            put: Many(put),
            removed: Many(removed),
            silent: Many(self.silent.iter().cloned().collect()),
        };
        let whole =
            StreamDown::Hosts { number, hosts: Many(hosts.values().cloned().collect()), silent };
        let pushed_number = std::mem::replace(
            &mut self.pushed_hosts,
            PushedHosts::new(number, hosts, self.silent.clone()),
        )
        .number;
        let open_streams: Vec<(StreamId, KnownMember)> =
            self.streams.iter().map(|(stream, known)| (*stream, known.clone())).collect();
        for (open_stream, known_member) in open_streams {
            let Some(record) = self.members.get_mut(&known_member) else { continue };
            let told_number = std::mem::replace(&mut record.hosts_number, number);
            if told_number == number {
                continue;
            }
            let is_next = told_number > 0 && told_number == pushed_number;
            self.down(open_stream, if is_next { change.clone() } else { whole.clone() });
        }
    }
}
