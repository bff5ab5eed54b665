use super::{ControllerState, OperationReply};
use crate::leader_state::TraceStep;
use common::clock::Moment;
use common::identity::{MemberName, Serial, Stamp, Term};
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;

const KEPT_TRACES: usize = 256;

#[derive(Default)]
struct MemberTrace {
    pushed_at: Option<Moment>,
    installed_at: Option<Moment>,
}

struct Trace {
    term: Term,
    begun_at: Moment,
    is_own_change: bool,
    committed_at: Option<Moment>,
    in_force_at: Option<Moment>,
    members: BTreeMap<MemberName, MemberTrace>,
}

/// The way of the last versions, as this controller saw it while it led.
#[derive(Default)]
pub struct Traces {
    kept: BTreeMap<(Serial, Term), Trace>,
    term: Term,
}

impl Traces {
    fn begin(&mut self, now: Moment, serial: Serial, is_own_change: bool) -> &mut Trace {
        while self.kept.len() > KEPT_TRACES {
            self.kept.pop_first();
        }
        self.kept.entry((serial, self.term)).or_insert(Trace {
            term: self.term,
            begun_at: now,
            is_own_change,
            committed_at: None,
            in_force_at: None,
            members: BTreeMap::new(),
        })
    }

    /// A change is on its way to the disks.
    pub fn put_forward(&mut self, now: Moment, term: Term, serial: Serial) {
        self.term = term;
        self.begin(now, serial, true);
    }

    /// A version is committed, or committed again by a new leader.
    pub fn committed(&mut self, now: Moment, stamp: Stamp) {
        self.term = stamp.term;
        self.begin(now, stamp.serial, false).committed_at.get_or_insert(now);
    }

    /// A version, and with it every older one, is in force or replaced at every daemon that serves.
    pub fn in_force(&mut self, now: Moment, serial: Serial) {
        self.begin(now, serial, false);
        let reign = self.term;
        let passed = self.kept.range_mut(..=(serial, Term(u64::MAX)));
        for (_, trace) in passed.filter(|((_, term), _)| *term == reign) {
            trace.in_force_at.get_or_insert(now);
        }
    }

    /// A version came one step further at a daemon.
    pub fn step(&mut self, now: Moment, serial: Serial, member: MemberName, step: TraceStep) {
        if !self.kept.contains_key(&(serial, self.term)) {
            return;
        }
        let member_trace = self.begin(now, serial, false).members.entry(member).or_default();
        match step {
            TraceStep::Pushed => member_trace.pushed_at.get_or_insert(now),
            TraceStep::Installed => member_trace.installed_at.get_or_insert(now),
        };
    }
}

impl ControllerState {
    pub(super) fn trace(&self, now: Moment, serial: Serial) -> OperationReply {
        let newest = self.traces.kept.keys().next_back().map(|(newest, _)| *newest);
        let asked = if serial == Serial(0) { newest } else { Some(serial) };
        let rows: Vec<Value> = self
            .traces
            .kept
            .iter()
            .filter(|((kept, _), _)| Some(*kept) == asked)
            .map(|(_, trace)| self.trace_row(now, asked.unwrap_or_default(), trace))
            .collect();
        let status = if rows.is_empty() { 404 } else { 200 };
        let controller = format!("{:x}", self.core.id().0);
        let body =
            json!({"serial": asked.map(|known| known.0), "surveyor": controller, "traces": rows});
        OperationReply::Said(status, body)
    }

    fn trace_row(&self, now: Moment, serial: Serial, trace: &Trace) -> Value {
        let since = |at: &Option<Moment>| at.map(|at| at.since(trace.begun_at).as_secs_f64() * 1e3);
        let mut members: Map<String, Value> = trace
            .members
            .iter()
            .map(|(member, member_trace)| {
                let row = json!({
                    "pushed_ms": since(&member_trace.pushed_at),
                    "acknowledged_ms": since(&member_trace.installed_at),
                });
                (member.to_string(), row)
            })
            .collect();
        let is_present = self.core.is_leader() && self.core.term() == trace.term;
        let laggards = self
            .leader_state
            .as_ref()
            .filter(|_| is_present)
            .map(|leader_state| leader_state.laggards(now, serial));
        for (member, reason) in laggards.unwrap_or_default() {
            let row = members.entry(member.to_string()).or_insert_with(|| json!({}));
            row["lagging"] = json!(reason);
        }
        json!({
            "term": trace.term.0,
            "leads_now": is_present,
            "from": if trace.is_own_change { "accepted here" } else { "taken over" },
            "committed_ms": since(&trace.committed_at),
            "in_force_ms": since(&trace.in_force_at),
            "age_ms": now.since(trace.begun_at).as_secs_f64() * 1e3,
            "members": members,
        })
    }
}
