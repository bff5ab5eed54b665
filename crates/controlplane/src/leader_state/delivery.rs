use super::{LeaderOutput, LeaderState, StreamId, TraceStep};
use common::clock::Moment;
use common::events;
use common::frames::{Flag, StreamDown, pack};
use common::identity::{FunctionKey, MemberName, RunnerId, Serial};
use common::rules::Rule;
use common::spec::{Document, Table, View};
use serde_json::json;
use std::time::Duration;

/// How many versions daemons may be behind and still be told the difference.
pub const KEPT_VIEWS: usize = 8;

/// Whether a version is in force everywhere is looked at so often, not at each daemon's word.
const IN_FORCE_EVERY: Duration = Duration::from_millis(5);

impl LeaderState {
    /// Takes a committed document and pushes it to every daemon.
    pub fn committed(&mut self, document: Document) {
        let earlier_evacuated = self.document.as_ref().map(|held| held.evacuated.clone());
        let is_evacuation =
            earlier_evacuated.is_some_and(|earlier| !document.evacuated.is_subset(&earlier));
        if self.document.is_none() {
            self.inherited_serial = document.stamp.serial;
            self.inherited_nothing = document.generations.is_empty();
            self.awaited = document.roster.clone();
        }
        self.roster_changed = true;
        self.renewals.look_again();
        let is_unseen = self.document.as_ref().is_some_and(|held| {
            document.unseen > 0 && held.view_serial() == document.view_serial()
        });
        if is_unseen {
            self.document = Some(document);
            return;
        }
        let view = document.view();
        match Table::build_after(&self.table, &view) {
            Ok(table) => self.table = table,
            Err(fault) => {
                let detail = json!({"serial": view.serial.0, "fault": fault.to_string()});
                self.tell(events::SPEC_FAILED, detail);
            }
        }
        self.stewards_due = true;
        self.acquires_changed = true;
        self.longest_budget = self.longest_budget.max(self.table.longest_budget());
        self.document = Some(document);
        let mut earlier_views = std::mem::take(&mut self.earlier_views);
        earlier_views.retain(|earlier| earlier.serial < view.serial);
        self.views.extend(earlier_views);
        if self.views.back().is_none_or(|newest_view| newest_view.serial < view.serial) {
            self.views.push_back(view);
            self.made_frames.clear();
            self.made_whole = None;
        }
        let extra_count = self.views.len().saturating_sub(KEPT_VIEWS);
        self.views.drain(..extra_count);
        let heeds_evacuation = self.rules.keep(Rule::EvacuationObeyed);
        for record in self.members.values_mut() {
            let is_evacuated = self.table.is_evacuated(&record.host.zone) && heeds_evacuation;
            let eligible = Flag(record.is_welcome && !is_evacuated);
            if record.host.eligible != eligible {
                record.host.eligible = eligible;
                self.hosts_changed = true;
            }
        }
        let open_streams: Vec<StreamId> = self.streams.keys().copied().collect();
        for open_stream in open_streams {
            self.push_newest(open_stream);
        }
        if is_evacuation {
            self.warn_of_low_capacity();
        }
        self.hand_over_evacuated();
    }

    /// Says loudly that what is placed now will hardly fit on the workers that are left.
    fn warn_of_low_capacity(&mut self) {
        let needed_mb: u64 = self.reserved_mb().values().sum();
        let left_mb: u64 = self
            .workers
            .iter()
            .filter(|(worker, _)| self.is_worker_fit(worker))
            .map(|(_, record)| u64::from(record.listed.memory_mb))
            .sum();
        if needed_mb * 10 > left_mb * 9 {
            let detail = json!({"needed_mb": needed_mb, "left_mb": left_mb});
            self.tell(events::CAPACITY_LOW, detail);
        }
    }

    pub(super) fn push_newest(&mut self, stream: StreamId) {
        let Some(newest_view) = self.views.back() else { return };
        let Some(known_member) = self.streams.get(&stream) else { return };
        let Some(record) = self.members.get_mut(known_member) else { return };
        if record.pushed >= newest_view.serial {
            return;
        }
        let base_serial = record.pushed;
        let base_view = self.views.iter().find(|view| view.serial == base_serial);
        let frame = match base_view {
            Some(base) => {
                let made = self.made_frames.entry(base_serial);
                made.or_insert_with(|| change_frame(base, newest_view))
            }
            None => self.made_whole.get_or_insert_with(|| whole_frame(newest_view)),
        };
        let frame = frame.clone();
        record.pushed = newest_view.serial;
        let serial = newest_view.serial;
        let member = known_member.member.clone();
        self.outputs.push(LeaderOutput::Step { serial, member, step: TraceStep::Pushed });
        self.down(stream, frame);
    }

    pub(super) fn push_whole(&mut self, stream: StreamId) {
        if let Some(newest_view) = self.views.back() {
            let frame = self.made_whole.get_or_insert_with(|| whole_frame(newest_view)).clone();
            self.down(stream, frame);
        }
    }

    pub(super) fn note_in_force(&mut self, now: Moment) {
        let Some(serial) = self.document.as_ref().map(Document::view_serial) else {
            return;
        };
        if self.in_force >= serial || now.since(self.in_force_looked_at) < IN_FORCE_EVERY {
            return;
        }
        self.in_force_looked_at = now;
        let is_past_doubt = self.all_claimed || now >= self.elected_at + self.timing.full_wait();
        let is_everywhere = self
            .members
            .values()
            .all(|record| record.installed >= serial || now >= record.grant_bound);
        if is_past_doubt && is_everywhere {
            self.in_force = serial;
            self.tell(events::IN_FORCE, json!({"serial": serial.0}));
        }
    }

    /// Asks holders in evacuated zones for their functions, and drains runners there.
    pub(super) fn hand_over_evacuated(&mut self) {
        let held_functions = self.entries.iter().map(|(function, _)| function.clone()).collect();
        self.hand_over_if_evacuated(held_functions);
        self.drain_unfit();
    }

    /// Asks for those of these functions back whose holders stand in evacuated zones.
    pub(super) fn hand_over_if_evacuated(&mut self, functions: Vec<FunctionKey>) {
        if !self.rules.keep(Rule::EvacuationObeyed) || !self.table.has_evacuated() {
            return;
        }
        for function in functions {
            let Some(entry) = self.entries.get_mut(&function) else { continue };
            if entry.handing_over || entry.fencing_since.is_some() {
                continue;
            }
            let Some(record) = self.members.get(&entry.holder) else { continue };
            let Some(stream) = record.stream else { continue };
            if !self.table.is_evacuated(&record.host.zone) {
                continue;
            }
            entry.handing_over = true;
            let grant = entry.grant;
            self.down(stream, StreamDown::HandOver { function, grant });
        }
    }

    /// Tells holders to drain runners whose worker is draining, gone or evacuated.
    pub(super) fn drain_unfit(&mut self) {
        let runners = self.reservations.iter().map(|(runner, _)| *runner).collect();
        self.drain_if_unfit(runners);
    }

    /// The same for these runners.
    pub(super) fn drain_if_unfit(&mut self, runners: Vec<RunnerId>) {
        if !self.workers_listed {
            return;
        }
        for runner in runners {
            let Some(held) = self.reservations.get(runner) else { continue };
            if !held.draining && !self.is_worker_fit(&held.worker) {
                let function = held.function.clone();
                self.drain(function, runner);
            }
        }
    }

    /// Tells the holder to drain a runner that the platform says is about to leave.
    pub(super) fn drain_leaving(&mut self, runner: RunnerId) {
        let Some(held) = self.reservations.get(runner) else { return };
        if !held.draining && self.rules.keep(Rule::DrainObeyed) {
            let function = held.function.clone();
            self.drain(function, runner);
        }
    }

    pub(super) fn drain(&mut self, function: FunctionKey, runner: RunnerId) {
        if self.reservations.get(runner).is_some_and(|held| held.is_left()) {
            self.reservations.want_stop(runner);
            return;
        }
        let Some(entry) = self.entries.get(&function) else { return };
        if entry.grant != runner.grant {
            return;
        }
        let holder_record = self.members.get(&entry.holder);
        let Some(stream) = holder_record.and_then(|record| record.stream) else { return };
        self.reservations.note(runner, |held| held.draining = true);
        self.down(stream, StreamDown::Drain { function, runner });
    }

    /// The committed document.
    pub fn document(&self) -> Option<&Document> {
        self.document.as_ref()
    }

    /// The daemons that have not installed a serial, and why as far as can be seen from here.
    pub fn laggards(&self, now: Moment, serial: Serial) -> Vec<(MemberName, &'static str)> {
        self.members
            .iter()
            .filter(|(_, record)| record.installed < serial)
            .map(|(known_member, record)| {
                let reason = if now >= record.grant_bound {
                    "grant ended"
                } else if record.stream.is_none() {
                    "cut off"
                } else {
                    "not acknowledged"
                };
                (known_member.member.clone(), reason)
            })
            .collect()
    }
}

fn change_frame(base_view: &View, newest_view: &View) -> StreamDown {
    StreamDown::Change {
        base: base_view.serial,
        serial: newest_view.serial,
        patch: pack(&base_view.change_to(newest_view)),
        digest: newest_view.digest().to_vec().into(),
    }
}

fn whole_frame(view: &View) -> StreamDown {
    StreamDown::Spec { serial: view.serial, document: pack(&view.to_bytes()) }
}
