//! Sample frames between daemons: requests, outcomes and ledger entries.

use crate::kinds::kinds;
use crate::parts::{
    SampleFrame, counting_u32, counting_u64, fencing_token, function, host, runner, sample_frame,
};
use common::frames::{
    DaemonFrame, DaemonMessage, Flag, HeaderField, LedgerRecord, LedgerRecordState, LengthPrefixed,
    RequestFailureReason, RequestOutcome, RequestPayload,
};
use common::identity::{CorrelationId, Version};

kinds!(DAEMONS, daemon_kind, DaemonMessage, {
    DaemonMessage::FunctionRequest { .. } => "hop/ask",
    DaemonMessage::Completed { .. } => "hop/done",
    DaemonMessage::Record { .. } => "hop/note",
    DaemonMessage::Recorded { .. } => "hop/noted",
    DaemonMessage::Collect { .. } => "hop/collect",
    DaemonMessage::Collected { .. } => "hop/collected",
    DaemonMessage::Compare { .. } => "hop/compare",
    DaemonMessage::Differs { .. } => "hop/differs",
});

kinds!(OUTCOMES, outcome_kind, RequestOutcome, {
    RequestOutcome::Response { .. } => "answer",
    RequestOutcome::NotRun { .. } => "not_run",
    RequestOutcome::Unknown { .. } => "unknown",
});

kinds!(REASONS, reason_kind, RequestFailureReason, {
    RequestFailureReason::NotHolder => "not-holder",
    RequestFailureReason::QueueFull => "inbox-full",
    RequestFailureReason::DeadlineTooShort => "budget-too-short",
    RequestFailureReason::NotServing => "not-serving",
    RequestFailureReason::NoRunnerAvailable => "no-runner",
    RequestFailureReason::RetryBudgetSpent => "tries-spent",
    RequestFailureReason::RejectedByRunner => "runner-shed",
    RequestFailureReason::NotAllowed => "not-allowed",
    RequestFailureReason::RejectedBefore => "shed-before",
    RequestFailureReason::InProgress => "under-way",
    RequestFailureReason::ResponseLost => "answer-lost",
    RequestFailureReason::HolderUnreachable => "holder-silent",
    RequestFailureReason::NoOwner => "no-owner",
    RequestFailureReason::OnceNotYetAdmitted => "once-wait",
    RequestFailureReason::AlreadyRan => "ran-before",
    RequestFailureReason::LedgerUnreachable => "ledger-silent",
});

kinds!(STATES, state_kind, LedgerRecordState, {
    LedgerRecordState::Recorded => "noted",
    LedgerRecordState::Answered => "answered",
    LedgerRecordState::Unknown => "unknown",
    LedgerRecordState::Rejected => "refused",
});

/// All reasons. If one were missing, the test that looks for each name in `REASONS` in the fixture would fail.
pub const ALL_REASONS: [RequestFailureReason; 16] = [
    RequestFailureReason::NotHolder,
    RequestFailureReason::QueueFull,
    RequestFailureReason::DeadlineTooShort,
    RequestFailureReason::NotServing,
    RequestFailureReason::NoRunnerAvailable,
    RequestFailureReason::RetryBudgetSpent,
    RequestFailureReason::RejectedByRunner,
    RequestFailureReason::NotAllowed,
    RequestFailureReason::RejectedBefore,
    RequestFailureReason::InProgress,
    RequestFailureReason::ResponseLost,
    RequestFailureReason::HolderUnreachable,
    RequestFailureReason::NoOwner,
    RequestFailureReason::OnceNotYetAdmitted,
    RequestFailureReason::AlreadyRan,
    RequestFailureReason::LedgerUnreachable,
];

const ALL_STATES: [LedgerRecordState; 4] = [
    LedgerRecordState::Recorded,
    LedgerRecordState::Answered,
    LedgerRecordState::Unknown,
    LedgerRecordState::Rejected,
];

fn header_fields() -> LengthPrefixed<HeaderField> {
    let header_field = |name: &str, value: &[u8]| HeaderField {
        name: name.into(),
        value: value.to_vec().into(),
    };
    LengthPrefixed(vec![
        header_field("host", b"segments.internal"),
        header_field("x-raw", &[0xff, 0x00, 0x20]),
    ])
}

fn payload() -> RequestPayload {
    RequestPayload {
        method: "PATCH".into(),
        target: "/segments/7?deep=yes".into(),
        header_fields: header_fields(),
        body: b"{\"asked\":true}".to_vec().into(),
    }
}

fn request(repeat: bool, wants_referral: bool, region: &str) -> DaemonMessage {
    let all_regions_key = function();
    DaemonMessage::FunctionRequest {
        idempotency_key: "try-1".into(),
        function: all_regions_key.in_region(&region.into()),
        route: "segment-check-post".into(),
        version: Version(counting_u64(0x40)),
        time_limit_ms: counting_u32(0x48),
        hops: 0x4c,
        repeat: Flag(repeat),
        wants_referral: Flag(wants_referral),
        region: format!("caller-{region}").into(),
        payload: payload(),
    }
}

fn record(number: u8, state: LedgerRecordState) -> LedgerRecord {
    LedgerRecord {
        idempotency_key: format!("try-{number}").into(),
        state,
        remaining_ms: counting_u32(0xa0 + number * 4),
    }
}

fn completed(outcome: RequestOutcome) -> DaemonMessage {
    DaemonMessage::Completed {
        outcome,
        holder: LengthPrefixed(vec![host(3, true)]),
        regional_delay_deciseconds: 0x1d,
    }
}

/// The suffix of a sample's name, and the message.
type Sample = (String, DaemonMessage);

fn outcomes() -> Vec<Sample> {
    let response = RequestOutcome::Response {
        status: 0x0123,
        seal: (0xc0..0xe0).collect::<Vec<u8>>().into(),
        runner: runner(0x58),
        header_fields: header_fields(),
        body: b"{\"answered\":true}".to_vec().into(),
    };
    let bare_response = DaemonMessage::Completed {
        outcome: response.clone(),
        holder: LengthPrefixed(Vec::new()),
        regional_delay_deciseconds: 0,
    };
    let not_run = |reason: RequestFailureReason| {
        completed(RequestOutcome::NotRun {
            reason,
            retry_after_ms: counting_u32(0x5a),
        })
    };
    let unknown = |reason: RequestFailureReason| completed(RequestOutcome::Unknown { reason });
    let name = |body: &DaemonMessage, suffix: &str| match body {
        DaemonMessage::Completed { outcome, .. } => format!("/{}/{suffix}", outcome_kind(outcome)),
        _ => format!("/{suffix}"),
    };
    let responses = [
        ("by-another", completed(response)),
        ("by-itself", bare_response),
    ];
    let not_runs = ALL_REASONS.map(|reason| (reason_kind(&reason), not_run(reason)));
    let unknowns = ALL_REASONS.map(|reason| (reason_kind(&reason), unknown(reason)));
    let all = responses.into_iter().chain(not_runs).chain(unknowns);
    all.map(|(suffix, body)| (name(&body, suffix), body))
        .collect()
}

fn record_samples() -> Vec<Sample> {
    let incarnation = counting_u64(0x90).into();
    let record_of = |state: LedgerRecordState| DaemonMessage::Record {
        function: function(),
        fencing_token: fencing_token(),
        incarnation,
        records: LengthPrefixed(vec![record(1, state)]),
    };
    let mut samples: Vec<Sample> = ALL_STATES
        .into_iter()
        .map(|state| (format!("/{}", state_kind(&state)), record_of(state)))
        .collect();
    samples.extend([
        (
            "/yes".to_owned(),
            DaemonMessage::Recorded {
                is_stored: Flag(true),
            },
        ),
        (
            "/no".to_owned(),
            DaemonMessage::Recorded {
                is_stored: Flag(false),
            },
        ),
    ]);
    samples
}

fn collection_samples() -> Vec<Sample> {
    let incarnation = counting_u64(0x90).into();
    let records: Vec<LedgerRecord> = (1..)
        .zip(ALL_STATES)
        .map(|(number, state)| record(number, state))
        .collect();
    let collected = |complete| DaemonMessage::Collected {
        complete: Flag(complete),
        records: LengthPrefixed(records.clone()),
    };
    let digests = LengthPrefixed(vec![counting_u64(0xb0), 0, counting_u64(0xb8)]);
    vec![
        (
            String::new(),
            DaemonMessage::Collect {
                function: function(),
                fencing_token: fencing_token(),
                incarnation,
            },
        ),
        ("/whole".to_owned(), collected(true)),
        ("/part".to_owned(), collected(false)),
        (
            String::new(),
            DaemonMessage::Compare {
                function: function(),
                fencing_token: fencing_token(),
                incarnation,
                digests,
            },
        ),
        (
            String::new(),
            DaemonMessage::Differs {
                ranges: LengthPrefixed(vec![0, 0x7f, 0xff]),
            },
        ),
    ]
}

/// Returns the samples of all variants.
pub fn sample_frames() -> Vec<SampleFrame> {
    let bare_request = DaemonMessage::FunctionRequest {
        idempotency_key: "".into(),
        function: function(),
        route: "".into(),
        version: Version(0),
        time_limit_ms: 0,
        hops: 0,
        repeat: Flag(false),
        wants_referral: Flag(false),
        region: "".into(),
        payload: RequestPayload::from_body(b"bare".to_vec().into()),
    };
    let mut samples: Vec<Sample> = vec![
        ("/repeat".to_owned(), request(true, false, "east")),
        ("/refer".to_owned(), request(false, true, "w\u{eb}st")),
        ("/bare".to_owned(), bare_request),
    ];
    samples.extend(outcomes());
    samples.extend(record_samples());
    samples.extend(collection_samples());
    let as_sample_frame = |(suffix, body): Sample| {
        let name = format!("{}{suffix}", daemon_kind(&body));
        sample_frame(
            name,
            &DaemonFrame {
                correlation: CorrelationId(counting_u64(0x08)),
                body,
            },
        )
    };
    samples.into_iter().map(as_sample_frame).collect()
}
