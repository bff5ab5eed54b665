//! Samples of what a daemon and the leader say to each other.

use crate::hop_frames::{ALL_REASONS, reason_kind};
use crate::kinds::kinds;
use crate::parts::{
    Line, claim_runners, function, grant, host, life, line, long, member_life, place, runner, short,
};
use common::frames::{
    AcquireResult, Claim, Flag, IdleFunction, Many, Place, Prior, ReserveResult, RunnerNews,
    StreamDown, StreamUp,
};
use common::identity::{CorrelationId, GrantSerial, Serial, Term};

kinds!(UP, up_kind, StreamUp, {
    StreamUp::Hello { .. } => "stream-up/hello",
    StreamUp::Claims { .. } => "stream-up/claims",
    StreamUp::Renew { .. } => "stream-up/renew",
    StreamUp::Installed { .. } => "stream-up/installed",
    StreamUp::Whole => "stream-up/whole",
    StreamUp::Acquire { .. } => "stream-up/acquire",
    StreamUp::Release { .. } => "stream-up/release",
    StreamUp::Reserve { .. } => "stream-up/reserve",
    StreamUp::Runner { .. } => "stream-up/runner",
    StreamUp::Sheds { .. } => "stream-up/sheds",
    StreamUp::Leaving => "stream-up/leaving",
    StreamUp::StewardLost { .. } => "stream-up/steward-lost",
    StreamUp::Idle { .. } => "stream-up/idle",
    StreamUp::Silent { .. } => "stream-up/silent",
    StreamUp::Heard { .. } => "stream-up/heard",
    StreamUp::WholeHosts => "stream-up/whole-hosts",
    StreamUp::StewardWhole { .. } => "stream-up/steward-whole",
});

kinds!(NEWS, news_kind, RunnerNews, {
    RunnerNews::Ready => "ready",
    RunnerNews::Gone => "gone",
    RunnerNews::Begun { .. } => "begun",
});

kinds!(DOWN, down_kind, StreamDown, {
    StreamDown::Elsewhere { .. } => "stream-down/elsewhere",
    StreamDown::Welcome { .. } => "stream-down/welcome",
    StreamDown::Renewed { .. } => "stream-down/renewed",
    StreamDown::Spec { .. } => "stream-down/spec",
    StreamDown::Change { .. } => "stream-down/change",
    StreamDown::Hosts { .. } => "stream-down/hosts",
    StreamDown::HostsChanged { .. } => "stream-down/hosts-changed",
    StreamDown::Acquired { .. } => "stream-down/acquired",
    StreamDown::Reserved { .. } => "stream-down/reserved",
    StreamDown::Revoke { .. } => "stream-down/revoke",
    StreamDown::Drain { .. } => "stream-down/drain",
    StreamDown::HandOver { .. } => "stream-down/hand-over",
    StreamDown::GiveWay { .. } => "stream-down/give-way",
    StreamDown::Vanished { .. } => "stream-down/vanished",
    StreamDown::Steward { .. } => "stream-down/steward",
});

kinds!(ACQUIRED, acquired_kind, AcquireResult, {
    AcquireResult::Granted { .. } => "granted",
    AcquireResult::Owner { .. } => "owner",
    AcquireResult::Shed => "shed",
    AcquireResult::Later { .. } => "later",
});

kinds!(RESERVED, reserved_kind, ReserveResult, {
    ReserveResult::Reserved { .. } => "reserved",
    ReserveResult::Shed => "shed",
});

const QUESTION: CorrelationId = CorrelationId(0x0809_0a0b_0c0d_0e0f);

fn hello(is_eligible: bool, granted: bool) -> StreamUp {
    StreamUp::Hello {
        host: host(1, is_eligible),
        door: place(2),
        serial: Serial(long(0x20)),
        age_ms: short(0x28),
        granted: Flag(granted),
    }
}

fn claims() -> StreamUp {
    let held = Claim {
        function: function(),
        grant: grant(),
        runners: claim_runners(),
        ending: Flag(false),
        steward: Many(vec![host(4, true)]),
        whole: Flag(true),
    };
    let ending = Claim {
        function: function().in_region(&"east".into()),
        grant: GrantSerial(long(0x30)),
        runners: Many(Vec::new()),
        ending: Flag(true),
        steward: Many(Vec::new()),
        whole: Flag(false),
    };
    StreamUp::Claims { claims: Many(vec![held, ending]) }
}

fn runner_news() -> [StreamUp; 3] {
    [RunnerNews::Ready, RunnerNews::Gone, RunnerNews::Begun { life: life(9) }]
        .map(|news| StreamUp::Runner { function: function(), runner: runner(0x38), news })
}

fn up_samples() -> Vec<(&'static str, StreamUp)> {
    let (function, grant) = (function(), grant());
    let idle = |function, idle_ms| IdleFunction { function, idle_ms };
    let idle_functions = vec![
        idle(function.clone(), short(0x40)),
        idle(function.in_region(&"east".into()), short(0x44)),
    ];
    let mut samples = vec![
        ("/staying", hello(true, false)),
        ("/leaving", hello(false, true)),
        ("/some", claims()),
        ("/none", StreamUp::Claims { claims: Many(Vec::new()) }),
        ("", StreamUp::Renew { correlation: QUESTION, serial: Serial(long(0x20)) }),
        ("", StreamUp::Installed { serial: Serial(long(0x20)) }),
        ("", StreamUp::Whole),
        ("", StreamUp::Acquire { correlation: QUESTION, function: function.clone() }),
        ("", StreamUp::Release { function: function.clone(), grant, runners: claim_runners() }),
        ("", StreamUp::Reserve { correlation: QUESTION, function: function.clone(), grant }),
        ("", StreamUp::Leaving),
        ("", StreamUp::StewardLost { function: function.clone(), grant, lost: "daemon-5".into() }),
        ("", StreamUp::Idle { functions: Many(idle_functions) }),
        ("", StreamUp::Silent { life: member_life(6) }),
        ("", StreamUp::Heard { life: member_life(6) }),
        ("", StreamUp::WholeHosts),
        ("", StreamUp::StewardWhole { function, grant, steward: "daemon-7".into() }),
    ];
    samples.extend(runner_news().map(|frame| ("", frame)));
    samples.extend(ALL_REASONS.map(|reason| {
        ("", StreamUp::Sheds { function: crate::parts::function(), count: short(0x48), reason })
    }));
    samples
}

fn up_name(rest: &str, frame: &StreamUp) -> String {
    let kind = up_kind(frame);
    match frame {
        StreamUp::Runner { news, .. } => format!("{kind}/{}", news_kind(news)),
        StreamUp::Sheds { reason, .. } => format!("{kind}/{}", reason_kind(reason)),
        _ => format!("{kind}{rest}"),
    }
}

fn acquisitions() -> [(&'static str, StreamDown); 5] {
    let granted = AcquireResult::Granted {
        grant: grant(),
        once_wait_ms: short(0x50),
        steward: Many(vec![host(8, true)]),
        prior: Many(vec![Prior { steward: host(9, false), grant: GrantSerial(long(0x54)) }]),
        adopted: claim_runners(),
    };
    let granted_anew = AcquireResult::Granted {
        grant: grant(),
        once_wait_ms: 0,
        steward: Many(Vec::new()),
        prior: Many(Vec::new()),
        adopted: Many(Vec::new()),
    };
    let results = [
        ("/after-another", granted),
        ("/anew", granted_anew),
        ("", AcquireResult::Owner { host: host(10, true) }),
        ("", AcquireResult::Shed),
        ("", AcquireResult::Later { wait_ms: short(0x58) }),
    ];
    results.map(|(rest, result)| {
        (rest, StreamDown::Acquired { correlation: QUESTION, function: function(), result })
    })
}

fn reservations() -> [(&'static str, StreamDown); 2] {
    let reserved = ReserveResult::Reserved {
        runner: runner(0x5c),
        worker: "worker-9".into(),
        memory_mb: short(0x64),
    };
    [reserved, ReserveResult::Shed].map(|result| {
        ("", StreamDown::Reserved { correlation: QUESTION, function: function(), result })
    })
}

fn host_lists() -> [(&'static str, StreamDown); 3] {
    let hosts = Many(vec![host(11, true), host(12, false)]);
    let silent = Many(vec![member_life(12), member_life(13)]);
    let none = StreamDown::HostsChanged {
        number: long(0x68),
        put: Many(Vec::new()),
        removed: Many(Vec::new()),
        silent: Many(Vec::new()),
    };
    let changed = StreamDown::HostsChanged {
        number: long(0x68),
        put: hosts.clone(),
        removed: Many(vec!["daemon-14".into(), "daemon-15".into()]),
        silent: silent.clone(),
    };
    [
        ("", StreamDown::Hosts { number: long(0x68), hosts, silent }),
        ("/some", changed),
        ("/none", none),
    ]
}

fn down_samples() -> Vec<(&'static str, StreamDown)> {
    let (function, grant, runner) = (function(), grant(), runner(0x6c));
    let steward =
        |steward| StreamDown::Steward { function: crate::parts::function(), grant, steward };
    let renewed = StreamDown::Renewed {
        correlation: QUESTION,
        length_ms: short(0x70),
        serial: Serial(long(0x74)),
    };
    let change = StreamDown::Change {
        base: Serial(long(0x74)),
        serial: Serial(long(0x7c)),
        patch: b"{\"base\":3}".to_vec().into(),
        digest: (0x80..0xa0).collect::<Vec<u8>>().into(),
    };
    let spec = StreamDown::Spec {
        serial: Serial(long(0x74)),
        document: b"{\"serial\":4}".to_vec().into(),
    };
    let mut samples = vec![
        ("/known", StreamDown::Elsewhere { leader: place(16) }),
        ("/nowhere", StreamDown::Elsewhere { leader: Place::NOWHERE }),
        ("", StreamDown::Welcome { term: Term(long(0x74)) }),
        ("", renewed),
        ("", spec),
        ("", change),
        ("", StreamDown::Revoke { function: function.clone(), grant }),
        ("", StreamDown::Drain { function: function.clone(), runner }),
        ("", StreamDown::HandOver { function: function.clone(), grant }),
        ("", StreamDown::GiveWay { function: function.clone(), grant }),
        ("", StreamDown::Vanished { function, runner }),
        ("/another", steward(Many(vec![host(17, true)]))),
        ("/nobody", steward(Many(Vec::new()))),
    ];
    samples.extend(host_lists());
    samples.extend(acquisitions());
    samples.extend(reservations());
    samples
}

fn down_name(rest: &str, frame: &StreamDown) -> String {
    let kind = down_kind(frame);
    match frame {
        StreamDown::Acquired { result, .. } => format!("{kind}/{}{rest}", acquired_kind(result)),
        StreamDown::Reserved { result, .. } => format!("{kind}/{}", reserved_kind(result)),
        _ => format!("{kind}{rest}"),
    }
}

/// All lines of this channel, of both directions.
pub fn lines() -> Vec<Line> {
    let ups = up_samples().into_iter().map(|(rest, frame)| line(up_name(rest, &frame), &frame));
    let downs =
        down_samples().into_iter().map(|(rest, frame)| line(down_name(rest, &frame), &frame));
    ups.chain(downs).collect()
}
