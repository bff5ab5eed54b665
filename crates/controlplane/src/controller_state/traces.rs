use super::{ControllerState, OperationReply};
use crate::leader_state::TraceStep;
use common::clock::MonotonicTime;
use common::identity::{DocumentVersion, MemberName, Term, Version};
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;

const MAX_RETAINED_TRACES: usize = 256;

#[derive(Default)]
struct MemberTrace {
    pushed_at: Option<MonotonicTime>,
    installed_at: Option<MonotonicTime>,
}

struct Trace {
    term: Term,
    started_at: MonotonicTime,
    is_own_change: bool,
    committed_at: Option<MonotonicTime>,
    in_force_at: Option<MonotonicTime>,
    members: BTreeMap<MemberName, MemberTrace>,
}

/// The way of the last versions, as this controller saw it while it led.
#[derive(Default)]
pub struct Traces {
    retained: BTreeMap<(Version, Term), Trace>,
    term: Term,
}

impl Traces {
    fn begin(&mut self, now: MonotonicTime, version: Version, is_own_change: bool) -> &mut Trace {
        while self.retained.len() > MAX_RETAINED_TRACES {
            self.retained.pop_first();
        }
        self.retained.entry((version, self.term)).or_insert(Trace {
            term: self.term,
            started_at: now,
            is_own_change,
            committed_at: None,
            in_force_at: None,
            members: BTreeMap::new(),
        })
    }

    /// A change is on its way to the disks.
    pub fn begin_proposal(&mut self, now: MonotonicTime, term: Term, version: Version) {
        self.term = term;
        self.begin(now, version, true);
    }

    /// A version is committed, or committed again by a new leader.
    pub fn committed(&mut self, now: MonotonicTime, document_version: DocumentVersion) {
        self.term = document_version.term;
        self.begin(now, document_version.version, false)
            .committed_at
            .get_or_insert(now);
    }

    /// A version, and with it every older one, is in force or replaced at every daemon that serves.
    pub fn in_force(&mut self, now: MonotonicTime, version: Version) {
        self.begin(now, version, false);
        let current_term = self.term;
        let passed = self.retained.range_mut(..=(version, Term(u64::MAX)));
        for (_, trace) in passed.filter(|((_, term), _)| *term == current_term) {
            trace.in_force_at.get_or_insert(now);
        }
    }

    /// A version came one step further at a daemon.
    pub fn step(
        &mut self,
        now: MonotonicTime,
        version: Version,
        member: MemberName,
        step: TraceStep,
    ) {
        if !self.retained.contains_key(&(version, self.term)) {
            return;
        }
        let member_trace = self
            .begin(now, version, false)
            .members
            .entry(member)
            .or_default();
        match step {
            TraceStep::Pushed => member_trace.pushed_at.get_or_insert(now),
            TraceStep::Installed => member_trace.installed_at.get_or_insert(now),
        };
    }
}

impl ControllerState {
    pub(super) fn trace(&self, now: MonotonicTime, version: Version) -> OperationReply {
        let newest = self
            .traces
            .retained
            .keys()
            .next_back()
            .map(|(newest, _)| *newest);
        let requested = if version == Version(0) {
            newest
        } else {
            Some(version)
        };
        let rows: Vec<Value> = self
            .traces
            .retained
            .iter()
            .filter(|((retained, _), _)| Some(*retained) == requested)
            .map(|(_, trace)| self.trace_row(now, requested.unwrap_or_default(), trace))
            .collect();
        let status = if rows.is_empty() { 404 } else { 200 };
        let controller = format!("{:x}", self.consensus.id().0);
        let body = json!({"serial": requested.map(|known| known.0), "surveyor": controller, "traces": rows});
        OperationReply::StatusAndBody(status, body)
    }

    fn trace_row(&self, now: MonotonicTime, version: Version, trace: &Trace) -> Value {
        let since = |at: &Option<MonotonicTime>| {
            at.map(|at| at.since(trace.started_at).as_secs_f64() * 1e3)
        };
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
        let is_present = self.consensus.is_leader() && self.consensus.term() == trace.term;
        let laggards = self
            .leader_state
            .as_ref()
            .filter(|_| is_present)
            .map(|leader_state| leader_state.laggards(now, version));
        for (member, reason) in laggards.unwrap_or_default() {
            let row = members
                .entry(member.to_string())
                .or_insert_with(|| json!({}));
            row["lagging"] = json!(reason);
        }
        json!({
            "term": trace.term.0,
            "leads_now": is_present,
            "from": if trace.is_own_change { "accepted here" } else { "taken over" },
            "committed_ms": since(&trace.committed_at),
            "in_force_ms": since(&trace.in_force_at),
            "age_ms": now.since(trace.started_at).as_secs_f64() * 1e3,
            "members": members,
        })
    }
}
