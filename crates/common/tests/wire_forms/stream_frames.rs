//! Sample frames of the control stream between a daemon and the leader.

use crate::daemon_frames::{ALL_REASONS, reason_kind};
use crate::form_samples::address;
use crate::kinds::kinds;
use crate::parts::{
    SampleFrame, claim_runners, counting_u32, counting_u64, fencing_token, function, host,
    instance, member_incarnation, runner, sample_frame,
};
use common::frames::{
    AcquireResult, Claim, DaemonToLeader, Flag, IdleFunction, LeaderToDaemon, LengthPrefixed,
    PreviousLease, ReserveResult, RunnerStatus, SocketAddress,
};
use common::identity::{CorrelationId, FencingToken, Term, Version};

kinds!(TO_LEADER, to_leader_kind, DaemonToLeader, {
    DaemonToLeader::Hello { .. } => "stream-up/hello",
    DaemonToLeader::Claims { .. } => "stream-up/claims",
    DaemonToLeader::Renew { .. } => "stream-up/renew",
    DaemonToLeader::Installed { .. } => "stream-up/installed",
    DaemonToLeader::FullSpecRequest => "stream-up/whole",
    DaemonToLeader::Acquire { .. } => "stream-up/acquire",
    DaemonToLeader::Release { .. } => "stream-up/release",
    DaemonToLeader::Reserve { .. } => "stream-up/reserve",
    DaemonToLeader::RunnerUpdate { .. } => "stream-up/runner",
    DaemonToLeader::Rejections { .. } => "stream-up/sheds",
    DaemonToLeader::Leaving => "stream-up/leaving",
    DaemonToLeader::ReplicaLost { .. } => "stream-up/steward-lost",
    DaemonToLeader::Idle { .. } => "stream-up/idle",
    DaemonToLeader::MemberSuspected { .. } => "stream-up/silent",
    DaemonToLeader::MemberRecovered { .. } => "stream-up/heard",
    DaemonToLeader::FullHostListRequest => "stream-up/whole-hosts",
    DaemonToLeader::ReplicaComplete { .. } => "stream-up/steward-whole",
});

kinds!(STATUSES, status_kind, RunnerStatus, {
    RunnerStatus::Ready => "ready",
    RunnerStatus::Gone => "gone",
    RunnerStatus::Started { .. } => "begun",
});

kinds!(TO_DAEMON, to_daemon_kind, LeaderToDaemon, {
    LeaderToDaemon::Redirect { .. } => "stream-down/elsewhere",
    LeaderToDaemon::Welcome { .. } => "stream-down/welcome",
    LeaderToDaemon::Renewed { .. } => "stream-down/renewed",
    LeaderToDaemon::Spec { .. } => "stream-down/spec",
    LeaderToDaemon::SpecDelta { .. } => "stream-down/change",
    LeaderToDaemon::Hosts { .. } => "stream-down/hosts",
    LeaderToDaemon::HostsDelta { .. } => "stream-down/hosts-changed",
    LeaderToDaemon::Acquired { .. } => "stream-down/acquired",
    LeaderToDaemon::Reserved { .. } => "stream-down/reserved",
    LeaderToDaemon::Revoke { .. } => "stream-down/revoke",
    LeaderToDaemon::Drain { .. } => "stream-down/drain",
    LeaderToDaemon::HandOver { .. } => "stream-down/hand-over",
    LeaderToDaemon::ReclaimIdle { .. } => "stream-down/give-way",
    LeaderToDaemon::RunnerUnlisted { .. } => "stream-down/vanished",
    LeaderToDaemon::ReplicaAssigned { .. } => "stream-down/steward",
});

kinds!(ACQUIRED, acquired_kind, AcquireResult, {
    AcquireResult::Granted { .. } => "granted",
    AcquireResult::HeldBy { .. } => "owner",
    AcquireResult::Rejected => "shed",
    AcquireResult::RetryLater { .. } => "later",
});

kinds!(RESERVED, reserved_kind, ReserveResult, {
    ReserveResult::Reserved { .. } => "reserved",
    ReserveResult::Rejected => "shed",
});

const CORRELATION: CorrelationId = CorrelationId(0x0809_0a0b_0c0d_0e0f);

fn hello(is_eligible: bool, granted: bool) -> DaemonToLeader {
    DaemonToLeader::Hello {
        host: host(1, is_eligible),
        ingress: address(2),
        version: Version(counting_u64(0x20)),
        age_ms: counting_u32(0x28),
        granted: Flag(granted),
    }
}

fn claims() -> DaemonToLeader {
    let held_claim = Claim {
        function: function(),
        fencing_token: fencing_token(),
        runners: claim_runners(),
        is_releasing: Flag(false),
        replica: LengthPrefixed(vec![host(4, true)]),
        complete: Flag(true),
    };
    let releasing_claim = Claim {
        function: function().in_region(&"east".into()),
        fencing_token: FencingToken(counting_u64(0x30)),
        runners: LengthPrefixed(Vec::new()),
        is_releasing: Flag(true),
        replica: LengthPrefixed(Vec::new()),
        complete: Flag(false),
    };
    DaemonToLeader::Claims {
        claims: LengthPrefixed(vec![held_claim, releasing_claim]),
    }
}

fn runner_updates() -> [DaemonToLeader; 3] {
    [
        RunnerStatus::Ready,
        RunnerStatus::Gone,
        RunnerStatus::Started {
            instance: instance(9),
        },
    ]
    .map(|runner_status| DaemonToLeader::RunnerUpdate {
        function: function(),
        runner: runner(0x38),
        runner_status,
    })
}

type ToLeaderSample = (&'static str, DaemonToLeader);

fn session_samples() -> Vec<ToLeaderSample> {
    vec![
        ("/staying", hello(true, false)),
        ("/leaving", hello(false, true)),
        ("/some", claims()),
        (
            "/none",
            DaemonToLeader::Claims {
                claims: LengthPrefixed(Vec::new()),
            },
        ),
        (
            "",
            DaemonToLeader::Renew {
                correlation: CORRELATION,
                version: Version(counting_u64(0x20)),
            },
        ),
        (
            "",
            DaemonToLeader::Installed {
                version: Version(counting_u64(0x20)),
            },
        ),
    ]
}

fn lease_samples() -> Vec<ToLeaderSample> {
    let (function, fencing_token) = (function(), fencing_token());
    vec![
        ("", DaemonToLeader::FullSpecRequest),
        (
            "",
            DaemonToLeader::Acquire {
                correlation: CORRELATION,
                function: function.clone(),
            },
        ),
        (
            "",
            DaemonToLeader::Release {
                function: function.clone(),
                fencing_token,
                runners: claim_runners(),
            },
        ),
        (
            "",
            DaemonToLeader::Reserve {
                correlation: CORRELATION,
                function: function.clone(),
                fencing_token,
            },
        ),
    ]
}

fn report_samples() -> Vec<ToLeaderSample> {
    let (function, fencing_token) = (function(), fencing_token());
    let idle = |function, idle_ms| IdleFunction { function, idle_ms };
    let idle_functions = vec![
        idle(function.clone(), counting_u32(0x40)),
        idle(function.in_region(&"east".into()), counting_u32(0x44)),
    ];
    vec![
        ("", DaemonToLeader::Leaving),
        (
            "",
            DaemonToLeader::ReplicaLost {
                function: function.clone(),
                fencing_token,
                lost: "daemon-5".into(),
            },
        ),
        (
            "",
            DaemonToLeader::Idle {
                functions: LengthPrefixed(idle_functions),
            },
        ),
        (
            "",
            DaemonToLeader::MemberSuspected {
                incarnation: member_incarnation(6),
            },
        ),
        (
            "",
            DaemonToLeader::MemberRecovered {
                incarnation: member_incarnation(6),
            },
        ),
        ("", DaemonToLeader::FullHostListRequest),
        (
            "",
            DaemonToLeader::ReplicaComplete {
                function,
                fencing_token,
                replica: "daemon-7".into(),
            },
        ),
    ]
}

fn to_leader_samples() -> Vec<ToLeaderSample> {
    let mut samples = session_samples();
    samples.extend(lease_samples());
    samples.extend(report_samples());
    samples.extend(runner_updates().map(|frame| ("", frame)));
    samples.extend(ALL_REASONS.map(|reason| {
        (
            "",
            DaemonToLeader::Rejections {
                function: crate::parts::function(),
                count: counting_u32(0x48),
                reason,
            },
        )
    }));
    samples
}

fn to_leader_name(suffix: &str, frame: &DaemonToLeader) -> String {
    let kind = to_leader_kind(frame);
    match frame {
        DaemonToLeader::RunnerUpdate { runner_status, .. } => {
            format!("{kind}/{}", status_kind(runner_status))
        }
        DaemonToLeader::Rejections { reason, .. } => format!("{kind}/{}", reason_kind(reason)),
        _ => format!("{kind}{suffix}"),
    }
}

fn acquisitions() -> [ToDaemonSample; 5] {
    let granted = AcquireResult::Granted {
        fencing_token: fencing_token(),
        once_wait_ms: counting_u32(0x50),
        replica: LengthPrefixed(vec![host(8, true)]),
        previous_lease: LengthPrefixed(vec![PreviousLease {
            replica: host(9, false),
            fencing_token: FencingToken(counting_u64(0x54)),
        }]),
        adopted: claim_runners(),
    };
    let first_lease = AcquireResult::Granted {
        fencing_token: fencing_token(),
        once_wait_ms: 0,
        replica: LengthPrefixed(Vec::new()),
        previous_lease: LengthPrefixed(Vec::new()),
        adopted: LengthPrefixed(Vec::new()),
    };
    let results = [
        ("/after-another", granted),
        ("/anew", first_lease),
        (
            "",
            AcquireResult::HeldBy {
                host: host(10, true),
            },
        ),
        ("", AcquireResult::Rejected),
        (
            "",
            AcquireResult::RetryLater {
                wait_ms: counting_u32(0x58),
            },
        ),
    ];
    results.map(|(suffix, result)| {
        (
            suffix,
            LeaderToDaemon::Acquired {
                correlation: CORRELATION,
                function: function(),
                result,
            },
        )
    })
}

fn reservations() -> [ToDaemonSample; 2] {
    let reserved = ReserveResult::Reserved {
        runner: runner(0x5c),
        worker: "worker-9".into(),
        memory_mb: counting_u32(0x64),
    };
    [reserved, ReserveResult::Rejected].map(|result| {
        (
            "",
            LeaderToDaemon::Reserved {
                correlation: CORRELATION,
                function: function(),
                result,
            },
        )
    })
}

fn host_lists() -> [ToDaemonSample; 3] {
    let hosts = LengthPrefixed(vec![host(11, true), host(12, false)]);
    let suspected = LengthPrefixed(vec![member_incarnation(12), member_incarnation(13)]);
    let empty_delta = LeaderToDaemon::HostsDelta {
        number: counting_u64(0x68),
        put: LengthPrefixed(Vec::new()),
        removed: LengthPrefixed(Vec::new()),
        suspected: LengthPrefixed(Vec::new()),
    };
    let delta = LeaderToDaemon::HostsDelta {
        number: counting_u64(0x68),
        put: hosts.clone(),
        removed: LengthPrefixed(vec!["daemon-14".into(), "daemon-15".into()]),
        suspected: suspected.clone(),
    };
    [
        (
            "",
            LeaderToDaemon::Hosts {
                number: counting_u64(0x68),
                hosts,
                suspected,
            },
        ),
        ("/some", delta),
        ("/none", empty_delta),
    ]
}

type ToDaemonSample = (&'static str, LeaderToDaemon);

fn opening_samples() -> Vec<ToDaemonSample> {
    let renewed = LeaderToDaemon::Renewed {
        correlation: CORRELATION,
        lease_ms: counting_u32(0x70),
        version: Version(counting_u64(0x74)),
    };
    let delta = LeaderToDaemon::SpecDelta {
        base: Version(counting_u64(0x74)),
        version: Version(counting_u64(0x7c)),
        delta: b"{\"base\":3}".to_vec().into(),
        digest: (0x80..0xa0).collect::<Vec<u8>>().into(),
    };
    let spec = LeaderToDaemon::Spec {
        version: Version(counting_u64(0x74)),
        document: b"{\"serial\":4}".to_vec().into(),
    };
    vec![
        (
            "/known",
            LeaderToDaemon::Redirect {
                leader: address(16),
            },
        ),
        (
            "/nowhere",
            LeaderToDaemon::Redirect {
                leader: SocketAddress::UNSPECIFIED,
            },
        ),
        (
            "",
            LeaderToDaemon::Welcome {
                term: Term(counting_u64(0x74)),
            },
        ),
        ("", renewed),
        ("", spec),
        ("", delta),
    ]
}

fn order_samples() -> Vec<ToDaemonSample> {
    let (function, fencing_token, runner) = (function(), fencing_token(), runner(0x6c));
    let replica = |replica| LeaderToDaemon::ReplicaAssigned {
        function: crate::parts::function(),
        fencing_token,
        replica,
    };
    vec![
        (
            "",
            LeaderToDaemon::Revoke {
                function: function.clone(),
                fencing_token,
            },
        ),
        (
            "",
            LeaderToDaemon::Drain {
                function: function.clone(),
                runner,
            },
        ),
        (
            "",
            LeaderToDaemon::HandOver {
                function: function.clone(),
                fencing_token,
            },
        ),
        (
            "",
            LeaderToDaemon::ReclaimIdle {
                function: function.clone(),
                fencing_token,
            },
        ),
        ("", LeaderToDaemon::RunnerUnlisted { function, runner }),
        ("/another", replica(LengthPrefixed(vec![host(17, true)]))),
        ("/nobody", replica(LengthPrefixed(Vec::new()))),
    ]
}

fn to_daemon_samples() -> Vec<ToDaemonSample> {
    let mut samples = opening_samples();
    samples.extend(order_samples());
    samples.extend(host_lists());
    samples.extend(acquisitions());
    samples.extend(reservations());
    samples
}

fn to_daemon_name(suffix: &str, frame: &LeaderToDaemon) -> String {
    let kind = to_daemon_kind(frame);
    match frame {
        LeaderToDaemon::Acquired { result, .. } => {
            format!("{kind}/{}{suffix}", acquired_kind(result))
        }
        LeaderToDaemon::Reserved { result, .. } => format!("{kind}/{}", reserved_kind(result)),
        _ => format!("{kind}{suffix}"),
    }
}

/// Returns the samples of all variants, in both directions.
pub fn sample_frames() -> Vec<SampleFrame> {
    let to_leader_frames = to_leader_samples()
        .into_iter()
        .map(|(suffix, frame)| sample_frame(to_leader_name(suffix, &frame), &frame));
    let to_daemon_frames = to_daemon_samples()
        .into_iter()
        .map(|(suffix, frame)| sample_frame(to_daemon_name(suffix, &frame), &frame));
    to_leader_frames.chain(to_daemon_frames).collect()
}
