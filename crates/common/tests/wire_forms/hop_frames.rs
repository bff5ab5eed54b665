//! Samples of what daemons say to each other: transactions, outcomes, ledger notes.

use crate::kinds::kinds;
use crate::parts::{Line, function, grant, host, line, long, runner, short};
use common::frames::{
    Flag, HeadLine, HopBody, HopFrame, HopOutcome, HopReason, LedgerNote, Many, NoteState, Parcel,
};
use common::identity::{CorrelationId, Serial};

kinds!(HOP, hop_kind, HopBody, {
    HopBody::Ask { .. } => "hop/ask",
    HopBody::Done { .. } => "hop/done",
    HopBody::Note { .. } => "hop/note",
    HopBody::Noted { .. } => "hop/noted",
    HopBody::Collect { .. } => "hop/collect",
    HopBody::Collected { .. } => "hop/collected",
    HopBody::Compare { .. } => "hop/compare",
    HopBody::Differs { .. } => "hop/differs",
});

kinds!(OUTCOMES, outcome_kind, HopOutcome, {
    HopOutcome::Answer { .. } => "answer",
    HopOutcome::NotRun { .. } => "not-run",
    HopOutcome::Unknown { .. } => "unknown",
});

kinds!(REASONS, reason_kind, HopReason, {
    HopReason::NotHolder => "not-holder",
    HopReason::InboxFull => "inbox-full",
    HopReason::BudgetTooShort => "budget-too-short",
    HopReason::NotServing => "not-serving",
    HopReason::NoRunner => "no-runner",
    HopReason::TriesSpent => "tries-spent",
    HopReason::RunnerShed => "runner-shed",
    HopReason::NotAllowed => "not-allowed",
    HopReason::ShedBefore => "shed-before",
    HopReason::UnderWay => "under-way",
    HopReason::AnswerLost => "answer-lost",
    HopReason::HolderSilent => "holder-silent",
    HopReason::NoOwner => "no-owner",
    HopReason::OnceWait => "once-wait",
    HopReason::RanBefore => "ran-before",
    HopReason::LedgerSilent => "ledger-silent",
});

kinds!(STATES, state_kind, NoteState, {
    NoteState::Noted => "noted",
    NoteState::Answered => "answered",
    NoteState::Unknown => "unknown",
    NoteState::Refused => "refused",
});

/// Every reason; that none is missing is seen in the fixture by `REASONS`.
pub const ALL_REASONS: [HopReason; 16] = [
    HopReason::NotHolder,
    HopReason::InboxFull,
    HopReason::BudgetTooShort,
    HopReason::NotServing,
    HopReason::NoRunner,
    HopReason::TriesSpent,
    HopReason::RunnerShed,
    HopReason::NotAllowed,
    HopReason::ShedBefore,
    HopReason::UnderWay,
    HopReason::AnswerLost,
    HopReason::HolderSilent,
    HopReason::NoOwner,
    HopReason::OnceWait,
    HopReason::RanBefore,
    HopReason::LedgerSilent,
];

const ALL_STATES: [NoteState; 4] =
    [NoteState::Noted, NoteState::Answered, NoteState::Unknown, NoteState::Refused];

fn head_lines() -> Many<HeadLine> {
    let head_line =
        |name: &str, value: &[u8]| HeadLine { name: name.into(), value: value.to_vec().into() };
    Many(vec![head_line("host", b"segments.internal"), head_line("x-raw", &[0xff, 0x00, 0x20])])
}

fn parcel() -> Parcel {
    Parcel {
        method: "PATCH".into(),
        target: "/segments/7?deep=yes".into(),
        lines: head_lines(),
        body: b"{\"asked\":true}".to_vec().into(),
    }
}

fn ask(repeat: bool, refer: bool, region: &str) -> HopBody {
    let whole_key = function();
    HopBody::Ask {
        transaction: "try-1".into(),
        function: whole_key.in_region(&region.into()),
        route: "segment-check-post".into(),
        serial: Serial(long(0x40)),
        budget_ms: short(0x48),
        hops: 0x4c,
        repeat: Flag(repeat),
        refer: Flag(refer),
        region: format!("caller-{region}").into(),
        parcel: parcel(),
    }
}

fn note(number: u8, state: NoteState) -> LedgerNote {
    LedgerNote {
        transaction: format!("try-{number}").into(),
        state,
        left_ms: short(0xa0 + number * 4),
    }
}

fn done(outcome: HopOutcome) -> HopBody {
    HopBody::Done { outcome, holder: Many(vec![host(3, true)]), regional_tenths: 0x1d }
}

/// The rest of a line's name, and what is said.
type Sample = (String, HopBody);

fn outcomes() -> Vec<Sample> {
    let answer = HopOutcome::Answer {
        status: 0x0123,
        seal: (0xc0..0xe0).collect::<Vec<u8>>().into(),
        runner: runner(0x58),
        lines: head_lines(),
        body: b"{\"answered\":true}".to_vec().into(),
    };
    let bare_answer =
        HopBody::Done { outcome: answer.clone(), holder: Many(Vec::new()), regional_tenths: 0 };
    let not_run = |reason: HopReason| done(HopOutcome::NotRun { reason, retry_ms: short(0x5a) });
    let unknown = |reason: HopReason| done(HopOutcome::Unknown { reason });
    let name = |body: &HopBody, rest: &str| match body {
        HopBody::Done { outcome, .. } => format!("/{}/{rest}", outcome_kind(outcome)),
        _ => format!("/{rest}"),
    };
    let answers = [("by-another", done(answer)), ("by-itself", bare_answer)];
    let not_runs = ALL_REASONS.map(|reason| (reason_kind(&reason), not_run(reason)));
    let unknowns = ALL_REASONS.map(|reason| (reason_kind(&reason), unknown(reason)));
    let all = answers.into_iter().chain(not_runs).chain(unknowns);
    all.map(|(rest, body)| (name(&body, rest), body)).collect()
}

fn ledger() -> Vec<Sample> {
    let incarnation = long(0x90).into();
    let note_of = |state: NoteState| HopBody::Note {
        function: function(),
        grant: grant(),
        incarnation,
        notes: Many(vec![note(1, state)]),
    };
    let notes: Vec<LedgerNote> = (1..).zip(ALL_STATES).map(|(n, state)| note(n, state)).collect();
    let collected = |whole| HopBody::Collected { whole: Flag(whole), notes: Many(notes.clone()) };
    let digests = Many(vec![long(0xb0), 0, long(0xb8)]);
    let mut samples: Vec<Sample> = ALL_STATES
        .into_iter()
        .map(|state| (format!("/{}", state_kind(&state)), note_of(state)))
        .collect();
    samples.extend([
        ("/yes".to_owned(), HopBody::Noted { kept: Flag(true) }),
        ("/no".to_owned(), HopBody::Noted { kept: Flag(false) }),
        (String::new(), HopBody::Collect { function: function(), grant: grant(), incarnation }),
        ("/whole".to_owned(), collected(true)),
        ("/part".to_owned(), collected(false)),
        (
            String::new(),
            HopBody::Compare { function: function(), grant: grant(), incarnation, digests },
        ),
        (String::new(), HopBody::Differs { ranges: Many(vec![0, 0x7f, 0xff]) }),
    ]);
    samples
}

/// All lines of this channel.
pub fn lines() -> Vec<Line> {
    let bare_ask = HopBody::Ask {
        transaction: "".into(),
        function: function(),
        route: "".into(),
        serial: Serial(0),
        budget_ms: 0,
        hops: 0,
        repeat: Flag(false),
        refer: Flag(false),
        region: "".into(),
        parcel: Parcel::of_body(b"bare".to_vec().into()),
    };
    let mut samples: Vec<Sample> = vec![
        ("/repeat".to_owned(), ask(true, false, "east")),
        ("/refer".to_owned(), ask(false, true, "w\u{eb}st")),
        ("/bare".to_owned(), bare_ask),
    ];
    samples.extend(outcomes());
    samples.extend(ledger());
    let as_line = |(rest, body): Sample| {
        let name = format!("{}{rest}", hop_kind(&body));
        line(name, &HopFrame { correlation: CorrelationId(long(0x08)), body })
    };
    samples.into_iter().map(as_line).collect()
}
