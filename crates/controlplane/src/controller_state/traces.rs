//! Traces of how recent versions propagated, recorded while this controller was the leader.

use super::{ControllerState, MemberProgress, MemberTraceReport, TraceReport, VersionTraceReport};
use crate::leader_state::TraceStep;
use common::clock::MonotonicTime;
use common::identity::{DocumentVersion, MemberName, Term, Version};
use std::collections::BTreeMap;
use std::time::Duration;

/// Before a trace is added, those of the lowest versions are dropped down to this number.
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

impl Trace {
    fn span_until(&self, at: Option<MonotonicTime>) -> Option<Duration> {
        at.map(|at| at.since(self.started_at))
    }

    fn member_reports(&self) -> BTreeMap<MemberName, MemberTraceReport> {
        let report_of = |member_trace: &MemberTrace| MemberTraceReport {
            progress: Some(MemberProgress {
                pushed_after: self.span_until(member_trace.pushed_at),
                installed_after: self.span_until(member_trace.installed_at),
            }),
            lagging: None,
        };
        self.members
            .iter()
            .map(|(member, member_trace)| (member.clone(), report_of(member_trace)))
            .collect()
    }
}

/// The traces of recent versions, by version and by the term in which this controller was the leader.
#[derive(Default)]
pub(super) struct Traces {
    retained: BTreeMap<(Version, Term), Trace>,
    term: Term,
}

impl Traces {
    fn get_or_begin(
        &mut self,
        now: MonotonicTime,
        version: Version,
        is_own_change: bool,
    ) -> &mut Trace {
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

    /// Records that this version was produced by an operator's change accepted here.
    pub(super) fn record_proposal(&mut self, now: MonotonicTime, term: Term, version: Version) {
        self.term = term;
        self.get_or_begin(now, version, true);
    }

    /// Records that a version was committed, or committed again by a new leader.
    pub(super) fn record_committed(
        &mut self,
        now: MonotonicTime,
        document_version: DocumentVersion,
    ) {
        self.term = document_version.term;
        self.get_or_begin(now, document_version.version, false)
            .committed_at
            .get_or_insert(now);
    }

    /// Records that a version is in force at every serving daemon. Every older version is then in force or superseded.
    pub(super) fn record_in_force(&mut self, now: MonotonicTime, version: Version) {
        self.get_or_begin(now, version, false);
        let current_term = self.term;
        let traces_up_to_version = self.retained.range_mut(..=(version, Term(u64::MAX)));
        for (_, trace) in traces_up_to_version.filter(|((_, term), _)| *term == current_term) {
            trace.in_force_at.get_or_insert(now);
        }
    }

    /// Records that a version reached the next step at a daemon. Ignored if the version is not traced in this term.
    pub(super) fn record_step(
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
            .get_or_begin(now, version, false)
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
    /// Reports how a version propagated, as far as this controller knows. Version zero stands for the newest.
    pub(super) fn trace_report(&self, now: MonotonicTime, version: Version) -> TraceReport {
        let retained = &self.traces.retained;
        let requested = if version == Version(0) {
            retained.keys().next_back().map(|(newest, _)| *newest)
        } else {
            Some(version)
        };
        let traces = retained
            .iter()
            .filter(|((retained, _), _)| Some(*retained) == requested)
            .map(|((version, _), trace)| self.version_trace_report(now, *version, trace))
            .collect();
        TraceReport {
            version: requested,
            controller: self.consensus.id(),
            traces,
        }
    }

    fn version_trace_report(
        &self,
        now: MonotonicTime,
        version: Version,
        trace: &Trace,
    ) -> VersionTraceReport {
        let is_leading_now = self.consensus.is_leader() && self.consensus.term() == trace.term;
        let mut members = trace.member_reports();
        let laggards = self
            .leader_state
            .as_ref()
            .filter(|_| is_leading_now)
            .map(|leader_state| leader_state.laggards(now, version));
        for laggard in laggards.unwrap_or_default() {
            let report = members.entry(laggard.member).or_default();
            report.lagging = Some(laggard.reason.as_str());
        }
        VersionTraceReport {
            term: trace.term,
            is_leading_now,
            is_own_change: trace.is_own_change,
            committed_after: trace.span_until(trace.committed_at),
            in_force_after: trace.span_until(trace.in_force_at),
            age: now.since(trace.started_at),
            members,
        }
    }
}
