//! The leader's state: when it issues leases, whose claims it awaits, and from when on a request may be sent that
//! must not run twice.

#[path = "../../../testing/support/forms.rs"]
mod forms;

use common::adapter::{ListedRunner, ListedWorker};
use common::clock::MonotonicTime;
use common::frames::{
    AcquireResult, Claim, ClaimedRunner, DaemonToLeader, Flag, Host, IdleFunction, Instance,
    KnownMember, LeaderToDaemon, LengthPrefixed, MemberIncarnation, RequestFailureReason,
    ReserveResult, RunnerStatus, SocketAddress,
};
use common::identity::{
    ChangeId, ControllerId, CorrelationId, DocumentVersion, FencingToken, FunctionKey, MemberName,
    RunnerId, Term, Version,
};
use common::spec::{Document, ListedMember, Voter, read_spec};
use controlplane::leader_state::{
    EventRecord, LeaderOutput, LeaderState, LeaderTiming, QuorumProof, StreamId,
};
use googletest::prelude::*;
use serde_json::json;
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

const ELECTED: MonotonicTime = MonotonicTime(100_000_000_000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn document() -> Document {
    let member = Voter {
        id: ControllerId(1),
        address: SocketAddress::UNSPECIFIED,
        zone: "l".into(),
    };
    let spec = json!({
        "functions": {
            "f": {"memory_mb": 100, "boot_ms": 10, "slots": 2},
            "g": {"memory_mb": 100, "boot_ms": 10, "slots": 2},
        },
        "routes": {"f": {"method": "POST", "path": "/f", "function": "f", "budget_ms": 3000, "kind": "once"}},
    });
    let checked_spec = read_spec(&spec).expect("a good spec");
    let mut made =
        Document::founding(vec![member]).with_spec(spec, &checked_spec, ChangeId::from("c"));
    made.document_version = DocumentVersion {
        term: Term(5),
        version: made.document_version.version,
    };
    made
}

fn known(name: &str) -> KnownMember {
    KnownMember {
        member: name.into(),
        incarnation: 1.into(),
        address: SocketAddress::UNSPECIFIED,
    }
}

fn function() -> FunctionKey {
    FunctionKey::new("f", Version(2))
}

fn hello(host: Host, age_ms: u32, granted: bool) -> DaemonToLeader {
    let granted = Flag(granted);
    DaemonToLeader::Hello {
        host,
        ingress: SocketAddress::UNSPECIFIED,
        version: Version(2),
        age_ms,
        granted,
    }
}

struct Harness {
    leader_state: LeaderState,
    now: MonotonicTime,
    outputs: Vec<LeaderOutput>,
    /// All events recorded so far.
    events: Vec<EventRecord>,
}

impl Harness {
    fn new(last_known: &[&str]) -> Self {
        let members: BTreeSet<KnownMember> = last_known.iter().map(|name| known(name)).collect();
        let mut leader_state = LeaderState::new(
            LeaderTiming::builder().build(),
            Term(5),
            ELECTED,
            members,
            true,
        );
        leader_state.committed(document());
        Self {
            leader_state,
            now: ELECTED,
            outputs: Vec::new(),
            events: Vec::new(),
        }
    }

    fn advance(&mut self, span: Duration) {
        self.now = self.now + span;
        let proof = QuorumProof {
            ready: true,
            quorum_confirmed_at: self.now,
            confirmed: &|_| true,
            proposed_membership: None,
        };
        self.outputs = self.leader_state.progress(self.now, &proof);
        let recorded = self.outputs.iter().filter_map(|output| match output {
            LeaderOutput::EventRecord(event_record) => Some(event_record.clone()),
            _ => None,
        });
        self.events.extend(recorded);
    }

    fn join(&mut self, stream: u64, name: &str, claims: Vec<Claim>) {
        self.join_on(stream, name, 0, claims);
    }

    fn join_on(&mut self, stream: u64, name: &str, link_mbps: u32, claims: Vec<Claim>) {
        let host = Host {
            member: name.into(),
            incarnation: 1.into(),
            zone: format!("l{stream}").as_str().into(),
            address: SocketAddress::UNSPECIFIED,
            eligible: Flag(true),
            link_mbps,
        };
        let hello = hello(host, 700, true);
        self.send(stream, hello);
        self.send(
            stream,
            DaemonToLeader::Claims {
                claims: LengthPrefixed(claims),
            },
        );
        self.renew(stream);
    }

    fn renew(&mut self, stream: u64) {
        let frame = DaemonToLeader::Renew {
            correlation: CorrelationId(1),
            version: Version(2),
        };
        self.send(stream, frame);
    }

    fn listed(&mut self, listed_runners: &[ListedRunner]) {
        self.leader_state.runners_listed(self.now, listed_runners);
    }

    fn send(&mut self, stream: u64, frame: DaemonToLeader) {
        self.leader_state.receive(self.now, StreamId(stream), frame);
    }

    fn acquire(&mut self, stream: u64) {
        let frame = DaemonToLeader::Acquire {
            correlation: CorrelationId(9),
            function: function(),
        };
        self.send(stream, frame);
    }

    fn acquired(&self) -> Option<AcquireResult> {
        self.outputs.iter().find_map(|output| match output {
            LeaderOutput::FrameToDaemon {
                frame: LeaderToDaemon::Acquired { result, .. },
                ..
            } => Some(result.clone()),
            _ => None,
        })
    }

    fn requests_lists(&self) -> bool {
        self.outputs
            .iter()
            .any(|output| matches!(output, LeaderOutput::RequestLists))
    }

    fn stops(&self) -> Vec<RunnerId> {
        self.outputs
            .iter()
            .filter_map(|output| match output {
                LeaderOutput::StopRunner(order) => Some(order.runner),
                _ => None,
            })
            .collect()
    }
}

fn old_runner() -> RunnerId {
    RunnerId {
        fencing_token: FencingToken(7),
        ordinal: 3,
    }
}

fn instance() -> Instance {
    Instance {
        name: "l1".into(),
        address: SocketAddress::UNSPECIFIED,
    }
}

fn adoptable_claim(is_releasing: bool) -> Claim {
    let mut made = claim(is_releasing);
    made.runners.0[0].instance = LengthPrefixed(vec![instance()]);
    made.runners.0[0].is_adoptable = Flag(true);
    made
}

fn claim(is_releasing: bool) -> Claim {
    let runner = ClaimedRunner {
        runner: old_runner(),
        worker: "w".into(),
        memory_mb: 100,
        instance: LengthPrefixed(Vec::new()),
        is_adoptable: Flag(false),
    };
    Claim {
        function: function(),
        fencing_token: FencingToken(7),
        runners: LengthPrefixed(vec![runner]),
        is_releasing: Flag(is_releasing),
        replica: LengthPrefixed(Vec::new()),
        complete: Flag(false),
    }
}

#[gtest]
fn nothing_is_granted_before_every_last_known_daemon_claims_or_the_full_wait_is_over() -> Result<()>
{
    let mut harness = Harness::new(&["a", "b", "c"]);
    harness.join(1, "a", vec![]);
    harness.join(2, "b", vec![]);
    harness.acquire(1);
    harness.advance(ms(100));
    verify_that!(harness.leader_state.is_open(), eq(false))?;
    verify_that!(harness.acquired(), none())?;
    harness.join(3, "c", vec![]);
    harness.advance(ms(100));
    verify_that!(harness.leader_state.is_open(), eq(false))?;
    harness.listed(&[]);
    harness.advance(ms(100));
    verify_that!(
        matches!(harness.acquired(), Some(AcquireResult::Granted { .. })),
        eq(true)
    )
}

fn listed_instance(leaving: bool) -> ListedRunner {
    ListedRunner {
        instance: instance(),
        runner: None,
        function: "f".into(),
        key: None,
        worker: "w".into(),
        leaving,
    }
}

fn after_the_full_wait(leaving: bool) -> Result<Harness> {
    let mut harness = Harness::new(&["a", "b", "c"]);
    harness.join(1, "a", vec![]);
    harness.join(2, "b", vec![]);
    harness.acquire(1);
    harness.advance(ms(2500));
    let listed = [listed_instance(leaving)];
    harness.listed(&listed);
    harness.advance(ms(700));
    verify_that!(harness.leader_state.is_open(), eq(false))?;
    harness.listed(&listed);
    harness.advance(ms(10));
    verify_that!(harness.leader_state.is_open(), eq(true))?;
    Ok(harness)
}

#[gtest]
fn after_the_full_wait_an_unclaimed_runner_is_adopted_with_the_lease() -> Result<()> {
    let harness = after_the_full_wait(false)?;
    verify_that!(harness.stops(), is_empty())?;
    let Some(AcquireResult::Granted {
        fencing_token,
        adopted,
        ..
    }) = harness.acquired()
    else {
        return fail!("not granted");
    };
    verify_that!(adopted.0.len(), eq(1))?;
    verify_that!(adopted.0[0].runner.fencing_token, eq(fencing_token))?;
    verify_that!(adopted.0[0].instance.0, elements_are![eq(&instance())])
}

#[gtest]
fn after_the_full_wait_an_unclaimed_runner_that_leaves_is_stopped_before_the_lease() -> Result<()> {
    let mut harness = after_the_full_wait(true)?;
    verify_that!(harness.stops().len(), eq(1))?;
    verify_that!(harness.acquired(), none())?;
    let stopped = harness.stops()[0];
    harness.leader_state.runner_stopped(stopped);
    harness.advance(ms(10));
    verify_that!(
        matches!(harness.acquired(), Some(AcquireResult::Granted { .. })),
        eq(true)
    )
}

#[gtest]
fn runners_of_a_released_function_block_its_next_lease() -> Result<()> {
    let mut harness = Harness::new(&["a", "b"]);
    harness.join(1, "a", vec![claim(true)]);
    harness.join(2, "b", vec![]);
    harness.listed(&[]);
    harness.acquire(2);
    harness.advance(ms(10));
    verify_that!(harness.leader_state.is_open(), eq(true))?;
    verify_that!(harness.acquired(), none())?;
    verify_that!(harness.stops(), elements_are![eq(&old_runner())])?;
    harness.leader_state.runner_stopped(old_runner());
    harness.advance(ms(10));
    verify_that!(
        matches!(harness.acquired(), Some(AcquireResult::Granted { .. })),
        eq(true)
    )
}

#[gtest]
fn the_once_wait_counts_from_the_claims_and_not_from_the_election() -> Result<()> {
    let mut harness = Harness::new(&["a"]);
    harness.advance(ms(1500));
    harness.join(1, "a", vec![]);
    harness.listed(&[]);
    harness.acquire(1);
    harness.advance(ms(10));
    let Some(AcquireResult::Granted { once_wait_ms, .. }) = harness.acquired() else {
        return fail!("not granted");
    };
    let lease_length = LeaderTiming::builder().build().lease_length;
    verify_that!(once_wait_ms, eq(3000 + lease_length.as_millis() as u32))
}

#[gtest]
fn an_unreachable_holder_is_not_named_and_its_function_is_fenced_when_its_lease_has_ended()
-> Result<()> {
    let mut harness = Harness::new(&["a", "b"]);
    harness.join(1, "a", vec![claim(false)]);
    harness.join(2, "b", vec![]);
    harness.listed(&[]);
    harness.advance(ms(10));
    harness.acquire(2);
    harness.advance(ms(10));
    verify_that!(
        matches!(harness.acquired(), Some(AcquireResult::Owner { .. })),
        eq(true)
    )?;
    harness.advance(ms(1500));
    harness.acquire(2);
    harness.advance(ms(10));
    verify_that!(harness.acquired(), none())?;
    verify_that!(harness.stops(), is_empty())?;
    harness.send(
        2,
        DaemonToLeader::Renew {
            correlation: CorrelationId(2),
            version: Version(2),
        },
    );
    harness.advance(ms(1200));
    verify_that!(harness.stops(), elements_are![eq(&old_runner())])?;
    harness.send(
        2,
        DaemonToLeader::Renew {
            correlation: CorrelationId(3),
            version: Version(2),
        },
    );
    harness.leader_state.runner_stopped(old_runner());
    harness.advance(ms(10));
    harness.advance(ms(10));
    verify_that!(
        harness.leader_state.report_holders().holders[0].member,
        eq(&MemberName::from("b"))
    )
}

fn reserve(
    harness: &mut Harness,
    stream: u64,
    name: &str,
    fencing_token: FencingToken,
) -> ReserveResult {
    reserve_under(
        harness,
        stream,
        FunctionKey::new(name, Version(2)),
        fencing_token,
    )
}

fn reserve_under(
    harness: &mut Harness,
    stream: u64,
    function: FunctionKey,
    fencing_token: FencingToken,
) -> ReserveResult {
    harness.send(
        stream,
        DaemonToLeader::Reserve {
            correlation: CorrelationId(4),
            function,
            fencing_token,
        },
    );
    harness.advance(ms(10));
    let found = harness.outputs.iter().find_map(|output| match output {
        LeaderOutput::FrameToDaemon {
            frame: LeaderToDaemon::Reserved { result, .. },
            ..
        } => Some(result.clone()),
        _ => None,
    });
    found.expect("an answer")
}

fn granted(harness: &mut Harness, stream: u64, name: &str) -> FencingToken {
    granted_under(harness, stream, FunctionKey::new(name, Version(2)))
}

fn granted_under(harness: &mut Harness, stream: u64, function: FunctionKey) -> FencingToken {
    harness.send(
        stream,
        DaemonToLeader::Acquire {
            correlation: CorrelationId(9),
            function,
        },
    );
    harness.advance(ms(10));
    match harness.acquired() {
        Some(AcquireResult::Granted { fencing_token, .. }) => fencing_token,
        other => panic!("not granted: {other:?}"),
    }
}

#[gtest]
fn max_runners_counts_a_functions_keys_of_all_regions_together() -> Result<()> {
    let mut harness = Harness::new(&["daemon-1", "daemon-2"]);
    harness.join(1, "daemon-1", Vec::new());
    harness.join(2, "daemon-2", Vec::new());
    harness.listed(&[]);
    harness.advance(ms(10));
    harness.leader_state.workers_listed(vec![ListedWorker {
        worker: "w-1".into(),
        zone: "l1".into(),
        memory_mb: 100_000,
        draining: false,
    }]);
    let all_regions = FunctionKey::new("f", Version(2));
    let west = all_regions.in_region(&"west".into());
    let fencing_tokens = [
        granted_under(&mut harness, 1, all_regions.clone()),
        granted_under(&mut harness, 2, west.clone()),
    ];
    let mut reserve = |stream: u64, function: &FunctionKey| {
        let fencing_token = fencing_tokens[stream as usize - 1];
        let answer = reserve_under(&mut harness, stream, function.clone(), fencing_token);
        matches!(answer, ReserveResult::Reserved { .. })
    };
    let is_given: Vec<bool> = (0..4).map(|_| reserve(1, &all_regions)).collect();
    verify_that!(is_given, each(eq(&true)))?;
    let is_given: Vec<bool> = (0..5).map(|_| reserve(2, &west)).collect();
    verify_that!(is_given, eq(&vec![true, true, true, true, false]))?;
    verify_that!(reserve(1, &all_regions), eq(false))
}

#[gtest]
fn a_new_stream_gets_the_full_host_list_and_the_others_a_delta() -> Result<()> {
    let mut harness = Harness::new(&[]);
    harness.join(1, "a", Vec::new());
    harness.advance(ms(200));
    harness.join(2, "b", Vec::new());
    harness.advance(ms(200));
    let sent: Vec<(u64, u64, usize)> = harness.hosts_sent();
    verify_that!(
        sent,
        unordered_elements_are![eq(&(1, 2, 1)), eq(&(2, 2, 2))]
    )?;
    harness.send(1, DaemonToLeader::FullHostListRequest);
    harness.advance(ms(200));
    verify_that!(harness.hosts_sent(), elements_are![eq(&(1, 2, 2))])?;
    harness.advance(ms(200));
    verify_that!(harness.hosts_sent(), is_empty())
}

#[gtest]
fn a_daemon_is_suspected_only_when_failure_detectors_and_its_stream_agree() -> Result<()> {
    let mut harness = Harness::new(&[]);
    harness.join(1, "a", Vec::new());
    harness.join(2, "b", Vec::new());
    harness.advance(ms(200));
    let suspect = || MemberIncarnation {
        member: "b".into(),
        incarnation: 1.into(),
    };
    harness.send(
        1,
        DaemonToLeader::MemberSuspected {
            incarnation: suspect(),
        },
    );
    harness.advance(ms(200));
    verify_that!(harness.suspected_sent(), none())?;
    harness.advance(ms(600));
    verify_that!(
        harness.suspected_sent(),
        some(elements_are![eq(&suspect())])
    )?;
    harness.send(
        1,
        DaemonToLeader::MemberRecovered {
            incarnation: suspect(),
        },
    );
    harness.advance(ms(200));
    verify_that!(harness.suspected_sent(), some(is_empty()))?;
    let earlier_incarnation = MemberIncarnation {
        member: "b".into(),
        incarnation: 9.into(),
    };
    harness.send(
        1,
        DaemonToLeader::MemberSuspected {
            incarnation: earlier_incarnation,
        },
    );
    harness.advance(ms(2000));
    verify_that!(harness.suspected_sent(), none())
}

impl Harness {
    /// The host lists sent: the stream, the list's number, how many hosts it names.
    fn hosts_sent(&self) -> Vec<(u64, u64, usize)> {
        let named = self.outputs.iter().filter_map(|output| match output {
            LeaderOutput::FrameToDaemon {
                stream,
                frame: LeaderToDaemon::Hosts { number, hosts, .. },
            } => Some((stream.0, *number, hosts.0.len())),
            LeaderOutput::FrameToDaemon {
                stream,
                frame: LeaderToDaemon::HostsDelta { number, put, .. },
            } => Some((stream.0, *number, put.0.len())),
            _ => None,
        });
        named.collect()
    }

    fn suspected_sent(&self) -> Option<Vec<MemberIncarnation>> {
        self.outputs.iter().find_map(|output| match output {
            LeaderOutput::FrameToDaemon {
                frame: LeaderToDaemon::HostsDelta { suspected, .. },
                ..
            } => Some(suspected.0.clone()),
            _ => None,
        })
    }
}

#[gtest]
fn a_crowded_function_gives_one_runner_up_for_a_function_that_has_none() -> Result<()> {
    let mut harness = Harness::new(&["a"]);
    harness.join(1, "a", vec![]);
    harness.listed(&[]);
    harness.advance(ms(10));
    harness.leader_state.workers_listed(vec![ListedWorker {
        worker: "w".into(),
        zone: "l".into(),
        memory_mb: 300,
        draining: false,
    }]);
    let crowded_lease = granted(&mut harness, 1, "f");
    for _ in 0..3 {
        let given = reserve(&mut harness, 1, "f", crowded_lease);
        verify_that!(matches!(given, ReserveResult::Reserved { .. }), eq(true))?;
    }
    let starved_lease = granted(&mut harness, 1, "g");
    verify_that!(
        reserve(&mut harness, 1, "g", starved_lease),
        eq(&ReserveResult::Rejected)
    )?;
    let drained: Vec<RunnerId> = harness
        .outputs
        .iter()
        .filter_map(|output| match output {
            LeaderOutput::FrameToDaemon {
                frame: LeaderToDaemon::Drain { runner, .. },
                ..
            } => Some(*runner),
            _ => None,
        })
        .collect();
    verify_that!(drained.len(), eq(1))?;
    verify_that!(drained[0].fencing_token, eq(crowded_lease))?;
    harness.leader_state.runner_stopped(drained[0]);
    verify_that!(
        reserve(&mut harness, 1, "f", crowded_lease),
        eq(&ReserveResult::Rejected)
    )?;
    let given = reserve(&mut harness, 1, "g", starved_lease);
    verify_that!(matches!(given, ReserveResult::Reserved { .. }), eq(true))
}

fn two_daemons(claims: Vec<Claim>) -> Harness {
    let mut harness = Harness::new(&["a", "b"]);
    harness.join(1, "a", claims);
    harness.join(2, "b", vec![]);
    harness.listed(&[]);
    harness.advance(ms(10));
    harness
}

fn adopted(harness: &Harness) -> Vec<ClaimedRunner> {
    match harness.acquired() {
        Some(AcquireResult::Granted { adopted, .. }) => adopted.0,
        other => panic!("not granted: {other:?}"),
    }
}

#[gtest]
fn a_dead_holders_runner_is_adopted_once_only() -> Result<()> {
    let mut harness = two_daemons(vec![adoptable_claim(false)]);
    harness.advance(ms(2250));
    harness.send(
        2,
        DaemonToLeader::Renew {
            correlation: CorrelationId(2),
            version: Version(2),
        },
    );
    harness.acquire(2);
    harness.advance(ms(10));
    verify_that!(harness.stops(), is_empty())?;
    let adopted_runners = adopted(&harness);
    verify_that!(adopted_runners.len(), eq(1))?;
    verify_that!(adopted_runners[0].runner == old_runner(), eq(false))?;
    harness.join(3, "a", vec![adoptable_claim(true)]);
    harness.advance(ms(10));
    harness.send(
        2,
        DaemonToLeader::Release {
            function: function(),
            fencing_token: adopted_runners[0].runner.fencing_token,
            runners: LengthPrefixed(adopted_runners.clone()),
        },
    );
    harness.acquire(3);
    harness.advance(ms(10));
    verify_that!(harness.stops(), is_empty())?;
    let next_adopted = adopted(&harness);
    verify_that!(next_adopted.len(), eq(1))?;
    verify_that!(next_adopted[0].instance.0, elements_are![eq(&instance())])
}

#[gtest]
fn an_orphaned_runner_that_nobody_adopts_is_stopped() -> Result<()> {
    let mut harness = two_daemons(vec![adoptable_claim(true)]);
    verify_that!(harness.stops(), is_empty())?;
    harness.advance(ms(3900));
    verify_that!(harness.stops(), is_empty())?;
    harness.advance(ms(200));
    verify_that!(harness.stops(), elements_are![eq(&old_runner())])
}

#[gtest]
fn another_incarnation_of_a_daemon_at_its_address_ends_the_lease_at_once() -> Result<()> {
    let mut harness = two_daemons(vec![adoptable_claim(false)]);
    let host = Host {
        member: "a".into(),
        incarnation: 2.into(),
        zone: "l1".into(),
        address: SocketAddress::UNSPECIFIED,
        eligible: Flag(true),
        link_mbps: 0,
    };
    harness.send(3, hello(host, 0, false));
    harness.acquire(2);
    harness.advance(ms(10));
    verify_that!(adopted(&harness).len(), eq(1))
}

#[gtest]
fn an_instance_missing_from_the_list_is_no_longer_its_holders() -> Result<()> {
    let mut harness = two_daemons(vec![adoptable_claim(false)]);
    let is_notified = |harness: &Harness| {
        harness.outputs.iter().any(|output| {
            matches!(output, LeaderOutput::FrameToDaemon { frame: LeaderToDaemon::RunnerUnlisted { runner, .. }, .. }
                if *runner == old_runner())
        })
    };
    harness.advance(ms(900));
    harness.listed(&[]);
    harness.advance(ms(10));
    verify_that!(is_notified(&harness), eq(false))?;
    harness.advance(ms(200));
    harness.listed(&[]);
    harness.advance(ms(10));
    verify_that!(is_notified(&harness), eq(true))
}

#[gtest]
fn a_started_runner_not_yet_reported_is_not_taken_for_an_orphan() -> Result<()> {
    let mut harness = two_daemons(vec![]);
    harness.leader_state.workers_listed(vec![ListedWorker {
        worker: "w".into(),
        zone: "l".into(),
        memory_mb: 300,
        draining: false,
    }]);
    let fencing_token = granted(&mut harness, 2, "f");
    let ReserveResult::Reserved { runner, .. } = reserve(&mut harness, 2, "f", fencing_token)
    else {
        return fail!("no room");
    };
    harness.listed(&[listed_instance(false)]);
    harness.advance(ms(10));
    verify_that!(harness.leader_state.report_runners().runners.len(), eq(1))?;
    let runner_status = RunnerStatus::Started {
        instance: instance(),
    };
    harness.send(
        2,
        DaemonToLeader::RunnerUpdate {
            function: function(),
            runner,
            runner_status,
        },
    );
    harness.listed(&[listed_instance(false)]);
    harness.advance(ms(10));
    verify_that!(harness.leader_state.report_runners().runners.len(), eq(1))?;
    verify_that!(harness.stops(), is_empty())
}

#[gtest]
fn without_spreading_a_runner_is_placed_in_its_holders_zone() -> Result<()> {
    let mut harness = Harness::new(&["a"]);
    let timing = LeaderTiming::builder().spread_over_zones(false).build();
    let members: BTreeSet<KnownMember> = [known("a")].into();
    harness.leader_state = LeaderState::new(timing, Term(5), ELECTED, members, true);
    harness.leader_state.committed(document());
    harness.join(1, "a", vec![]);
    harness.listed(&[]);
    harness.advance(ms(10));
    let worker = |name: &str, zone: &str, memory_mb: u32| ListedWorker {
        worker: name.into(),
        zone: zone.into(),
        memory_mb,
        draining: false,
    };
    harness.leader_state.workers_listed(vec![
        worker("far", "l9", 900),
        worker("near-1", "l1", 200),
        worker("near-2", "l1", 200),
    ]);
    let fencing_token = granted(&mut harness, 1, "f");
    let mut worker_names = Vec::new();
    for _ in 0..5 {
        if let ReserveResult::Reserved { worker, .. } = reserve(&mut harness, 1, "f", fencing_token)
        {
            worker_names.push(worker.to_string());
        }
    }
    verify_that!(
        worker_names[..4]
            .iter()
            .all(|name| name.starts_with("near")),
        eq(true)
    )?;
    verify_that!(worker_names[4].as_str(), eq("far"))
}

fn address(last: u8) -> SocketAddress {
    SocketAddress(format!("10.0.0.{last}:1").parse().expect("an address"))
}

/// A listed member: its name, and the last number of its address.
type Listed = (&'static str, u8);

fn membership(listed: &[Listed]) -> BTreeSet<ListedMember> {
    let members = listed.iter().map(|(name, last)| ListedMember {
        member: (*name).into(),
        address: address(*last),
    });
    members.collect()
}

fn elected_with_membership(listed: &[Listed]) -> Harness {
    let timing = LeaderTiming::builder().build();
    let mut leader_state = LeaderState::new(timing, Term(5), ELECTED, BTreeSet::new(), false);
    let mut made = document().with_membership(membership(listed));
    made.document_version.term = Term(5);
    leader_state.committed(made);
    Harness {
        leader_state,
        now: ELECTED,
        outputs: Vec::new(),
        events: Vec::new(),
    }
}

fn join_as(
    harness: &mut Harness,
    stream: u64,
    at: Listed,
    incarnation: u64,
    age_ms: u32,
    granted: bool,
) {
    let host = Host {
        member: at.0.into(),
        incarnation: incarnation.into(),
        zone: "l".into(),
        address: address(at.1),
        eligible: Flag(true),
        link_mbps: 0,
    };
    harness.send(stream, hello(host, age_ms, granted));
    harness.send(
        stream,
        DaemonToLeader::Claims {
            claims: LengthPrefixed(vec![]),
        },
    );
    harness.send(
        stream,
        DaemonToLeader::Renew {
            correlation: CorrelationId(1),
            version: Version(2),
        },
    );
}

fn is_renewed(harness: &Harness, renewal_stream: u64) -> bool {
    harness.outputs.iter().any(|output| {
        matches!(output, LeaderOutput::FrameToDaemon { stream, frame: LeaderToDaemon::Renewed { .. } }
            if *stream == StreamId(renewal_stream))
    })
}

#[gtest]
fn with_a_membership_the_leader_state_opens_when_each_address_has_claimed_in_any_incarnation()
-> Result<()> {
    let mut harness = elected_with_membership(&[("a", 1), ("b", 2), ("c", 3)]);
    join_as(&mut harness, 1, ("a", 1), 1, 5000, true);
    join_as(&mut harness, 2, ("b", 2), 9, 600, false);
    harness.advance(ms(100));
    verify_that!(harness.leader_state.is_open(), eq(false))?;
    join_as(&mut harness, 3, ("c", 4), 9, 600, false);
    harness.advance(ms(100));
    verify_that!(harness.leader_state.is_open(), eq(false))?;
    join_as(&mut harness, 4, ("d", 3), 9, 600, false);
    harness.advance(ms(10));
    verify_that!(harness.leader_state.is_open(), eq(true))
}

#[gtest]
fn a_listed_member_that_does_not_join_is_awaited_as_long_as_its_lease() -> Result<()> {
    let mut harness = elected_with_membership(&[("a", 1), ("b", 2), ("c", 3)]);
    join_as(&mut harness, 1, ("a", 1), 1, 5000, true);
    join_as(&mut harness, 2, ("b", 2), 1, 5000, true);
    harness.advance(ms(2150));
    harness.listed(&[]);
    harness.advance(ms(10));
    verify_that!(harness.leader_state.is_open(), eq(false))?;
    harness.advance(ms(450));
    harness.listed(&[]);
    harness.advance(ms(10));
    verify_that!(harness.leader_state.is_open(), eq(true))
}

/// The earlier incarnation was gone when the present one started; the starts it had requested settle a little later.
#[gtest]
fn an_unclaimed_instance_is_adopted_from_the_first_complete_list() -> Result<()> {
    let mut harness = elected_with_membership(&[("a", 1)]);
    harness.advance(ms(10));
    verify_that!(harness.requests_lists(), eq(true))?;
    harness.advance(ms(190));
    join_as(&mut harness, 1, ("a", 1), 9, 1000, false);
    harness.acquire(1);
    harness.advance(ms(10));
    verify_that!(harness.leader_state.is_open(), eq(true))?;
    verify_that!(harness.requests_lists(), eq(true))?;
    harness
        .leader_state
        .runners_listed(ELECTED - ms(301), &[listed_instance(false)]);
    harness.advance(ms(30));
    verify_that!(harness.acquired(), none())?;
    harness
        .leader_state
        .runners_listed(ELECTED - ms(300), &[listed_instance(false)]);
    harness.advance(ms(30));
    verify_that!(adopted(&harness).len(), eq(1))
}

/// A member with a lease from before the election may have orphaned a runner just before it.
#[gtest]
fn nothing_is_granted_before_a_list_shows_what_was_orphaned_until_the_election() -> Result<()> {
    let mut harness = elected_with_membership(&[("a", 1)]);
    join_as(&mut harness, 1, ("a", 1), 1, 60_000, true);
    harness.acquire(1);
    harness
        .leader_state
        .runners_listed(ELECTED - ms(1), &[listed_instance(false)]);
    harness.advance(ms(30));
    verify_that!(harness.leader_state.is_open(), eq(true))?;
    verify_that!(harness.acquired(), none())?;
    harness
        .leader_state
        .runners_listed(ELECTED, &[listed_instance(false)]);
    harness.advance(ms(30));
    verify_that!(adopted(&harness).len(), eq(1))
}

#[gtest]
fn a_daemon_gets_a_lease_when_the_committed_and_the_proposed_membership_name_it() -> Result<()> {
    let mut harness = elected_with_membership(&[("a", 1)]);
    join_as(&mut harness, 1, ("a", 1), 1, 5000, true);
    join_as(&mut harness, 2, ("b", 2), 1, 300, false);
    harness.advance(ms(10));
    verify_that!(is_renewed(&harness, 1), eq(true))?;
    verify_that!(is_renewed(&harness, 2), eq(false))?;
    verify_that!(harness.leader_state.due_membership(harness.now), none())?;
    harness.now = harness.now + ms(40);
    let due = harness.leader_state.due_membership(harness.now);
    verify_that!(due.as_ref(), some(eq(&membership(&[("a", 1), ("b", 2)]))))?;
    let mut next_document = document().with_membership(due.expect("a membership"));
    next_document.document_version = DocumentVersion {
        term: Term(5),
        version: Version(4),
    };
    next_document.hidden_versions = 2;
    harness.leader_state.committed(next_document);
    verify_that!(harness.leader_state.due_membership(harness.now), none())?;
    let smaller = membership(&[("a", 1)]);
    let quorum_confirmed_at = harness.now;
    let proof = QuorumProof {
        ready: true,
        quorum_confirmed_at,
        confirmed: &|_| true,
        proposed_membership: Some(&smaller),
    };
    harness.outputs = harness.leader_state.progress(harness.now, &proof);
    verify_that!(is_renewed(&harness, 2), eq(false))?;
    harness.advance(ms(10));
    verify_that!(is_renewed(&harness, 2), eq(true))?;
    let is_pushed = |output: &LeaderOutput| {
        matches!(
            output,
            LeaderOutput::FrameToDaemon {
                frame: LeaderToDaemon::Change { .. } | LeaderToDaemon::Spec { .. },
                ..
            }
        )
    };
    verify_that!(harness.outputs.iter().any(is_pushed), eq(false))
}

#[gtest]
fn a_quorum_proof_from_before_an_incarnation_joined_gives_it_no_lease() -> Result<()> {
    let mut harness = elected_with_membership(&[("a", 1)]);
    harness.advance(ms(300));
    join_as(&mut harness, 1, ("a", 1), 9, 100, false);
    let before = harness.now - ms(5);
    let proof = QuorumProof {
        ready: true,
        quorum_confirmed_at: before,
        confirmed: &|_| true,
        proposed_membership: None,
    };
    harness.outputs = harness.leader_state.progress(harness.now + ms(100), &proof);
    verify_that!(is_renewed(&harness, 1), eq(false))?;
    verify_that!(harness.leader_state.needs_heartbeat_round(), eq(true))?;
    harness.advance(ms(0));
    verify_that!(is_renewed(&harness, 1), eq(true))
}

#[gtest]
fn members_absent_for_long_leave_the_membership() -> Result<()> {
    let mut harness = elected_with_membership(&[("a", 1), ("b", 2)]);
    join_as(&mut harness, 1, ("a", 1), 1, 5000, true);
    harness.advance(ms(100));
    verify_that!(harness.leader_state.due_membership(harness.now), none())?;
    harness.advance(ms(3800));
    verify_that!(harness.leader_state.due_membership(harness.now), none())?;
    harness.advance(ms(400));
    verify_that!(harness.leader_state.due_membership(harness.now), none())?;
    harness.advance(ms(40));
    verify_that!(
        harness.leader_state.due_membership(harness.now),
        some(eq(&membership(&[("a", 1)])))
    )
}

/// Members that left for good would otherwise be awaited by the next leader.
#[gtest]
fn a_daemon_that_departed_orderly_leaves_the_membership_when_it_does_not_restart() -> Result<()> {
    let mut harness = elected_with_membership(&[("a", 1), ("b", 2)]);
    join_as(&mut harness, 1, ("a", 1), 1, 5000, true);
    join_as(&mut harness, 2, ("b", 2), 1, 5000, true);
    harness.advance(ms(100));
    harness.send(2, DaemonToLeader::Leaving);
    harness.leader_state.stream_lost(StreamId(2));
    let departed_at = harness.now;
    let mut due_membership = None;
    while due_membership.is_none() && harness.now.since(departed_at) < ms(4000) {
        harness.advance(ms(20));
        due_membership = harness.leader_state.due_membership(harness.now);
    }
    verify_that!(due_membership, some(eq(&membership(&[("a", 1)]))))?;
    verify_that!(harness.now.since(departed_at), ge(ms(2200)))?;
    verify_that!(harness.now.since(departed_at), lt(ms(2900)))
}

#[gtest]
fn a_daemon_that_departed_orderly_and_restarts_stays_in_the_membership() -> Result<()> {
    let mut harness = elected_with_membership(&[("a", 1), ("b", 2)]);
    join_as(&mut harness, 1, ("a", 1), 1, 5000, true);
    join_as(&mut harness, 2, ("b", 2), 1, 5000, true);
    harness.advance(ms(100));
    harness.send(2, DaemonToLeader::Leaving);
    harness.leader_state.stream_lost(StreamId(2));
    harness.advance(ms(1000));
    verify_that!(harness.leader_state.due_membership(harness.now), none())?;
    join_as(&mut harness, 3, ("b", 2), 2, 100, false);
    for _ in 0..40 {
        harness.advance(ms(100));
        verify_that!(harness.leader_state.due_membership(harness.now), none())?;
    }
    Ok(())
}

/// Where most members are gone or cut off, those that remain serve.
#[gtest]
fn a_leader_opens_with_those_that_joined_once_the_others_are_dropped() -> Result<()> {
    let mut harness = elected_with_membership(&[("a", 1), ("b", 2), ("c", 3), ("d", 4)]);
    join_as(&mut harness, 1, ("a", 1), 1, 5000, true);
    harness.advance(ms(3900));
    harness.listed(&[]);
    harness.advance(ms(50));
    verify_that!(harness.leader_state.is_open(), eq(false))?;
    harness.advance(ms(200));
    harness.listed(&[]);
    harness.advance(ms(50));
    verify_that!(harness.leader_state.is_open(), eq(true))
}

const NARROW_MBPS: u32 = 2;
const WIDE_MBPS: u32 = 100;

/// A leader with one member, on a narrow link, that holds the function.
fn granted_on_a_narrow_link() -> Harness {
    let mut harness = Harness::new(&["a"]);
    harness.join_on(1, "a", NARROW_MBPS, vec![]);
    harness.advance(ms(100));
    harness.listed(&[]);
    harness.acquire(1);
    harness.advance(ms(100));
    harness
}

/// How many hand-overs of the function are requested within five seconds.
fn hand_overs(harness: &mut Harness) -> usize {
    let mut seen = 0;
    for _ in 0..50 {
        harness.advance(ms(100));
        let is_hand_over = |output: &&LeaderOutput| {
            matches!(
                output,
                LeaderOutput::FrameToDaemon {
                    frame: LeaderToDaemon::HandOver { .. },
                    ..
                }
            )
        };
        seen += harness.outputs.iter().filter(is_hand_over).count();
        harness.renew(1);
    }
    seen
}

/// While members are still joining a leader it may have too few hosts on wide links, and issue leases to one on a
/// narrow link. The busiest function of a deployment must not stay there once the others have joined.
#[gtest]
fn a_function_leaves_a_narrow_link_once_enough_wide_ones_have_joined() -> Result<()> {
    let mut harness = granted_on_a_narrow_link();
    verify_that!(
        matches!(harness.acquired(), Some(AcquireResult::Granted { .. })),
        eq(true)
    )?;
    for (stream, name) in [(2, "b"), (3, "c"), (4, "d")] {
        harness.join_on(stream, name, WIDE_MBPS, vec![]);
    }
    verify_that!(hand_overs(&mut harness), eq(1))
}

#[gtest]
fn a_function_stays_on_a_narrow_link_while_too_few_wide_ones_have_joined() -> Result<()> {
    let mut harness = granted_on_a_narrow_link();
    for (stream, name) in [(2, "b"), (3, "c")] {
        harness.join_on(stream, name, WIDE_MBPS, vec![]);
    }
    verify_that!(hand_overs(&mut harness), eq(0))
}

/// A leader that has just opened, with hosts on wide links, and a request from the one on a narrow link.
fn acquisition_from_a_narrow_link() -> Harness {
    let mut harness = Harness::new(&["a"]);
    harness.join_on(1, "a", NARROW_MBPS, vec![]);
    for (stream, name) in [(2, "b"), (3, "c"), (4, "d")] {
        harness.join_on(stream, name, WIDE_MBPS, vec![]);
    }
    harness.advance(ms(100));
    harness.listed(&[]);
    harness.acquire(1);
    harness.advance(ms(100));
    harness
}

/// The first request may come from a host on a narrow link whose host list names no others yet. A request from a wide
/// link that comes meanwhile goes first, and the other requester gets the holder's name.
#[gtest]
fn an_acquisition_from_a_narrow_link_waits_for_one_from_a_wide_link() -> Result<()> {
    let mut harness = acquisition_from_a_narrow_link();
    verify_that!(harness.leader_state.is_open(), eq(true))?;
    verify_that!(harness.acquired(), none())?;
    harness.acquire(3);
    harness.advance(ms(100));
    verify_that!(
        matches!(harness.acquired(), Some(AcquireResult::Granted { .. })),
        eq(true)
    )?;
    harness.advance(ms(100));
    verify_that!(
        matches!(harness.acquired(), Some(AcquireResult::Owner { .. })),
        eq(true)
    )
}

#[gtest]
fn an_acquisition_from_a_narrow_link_without_a_wide_rival_is_granted_after_a_second() -> Result<()>
{
    let mut harness = acquisition_from_a_narrow_link();
    verify_that!(harness.leader_state.is_open(), eq(true))?;
    harness.advance(ms(900));
    verify_that!(harness.acquired(), none())?;
    harness.renew(1);
    harness.advance(ms(200));
    verify_that!(
        matches!(harness.acquired(), Some(AcquireResult::Granted { .. })),
        eq(true)
    )
}

/// What a new leader that has seen versions 2 and 3 sends to a member with version 2: the number of frames before it
/// has committed version 3, and the frames after that.
fn sent_by_a_new_leader() -> (usize, Vec<&'static str>) {
    let newest = document().with_zone("l9".into(), true, ChangeId::from("turn"));
    let earlier_views = VecDeque::from([document().view(), newest.view()]);
    let leader_state = LeaderState::new(
        LeaderTiming::builder().build(),
        Term(6),
        ELECTED,
        BTreeSet::new(),
        true,
    );
    let leader_state = leader_state.with_earlier_views(earlier_views);
    let mut harness = Harness {
        leader_state,
        now: ELECTED,
        outputs: Vec::new(),
        events: Vec::new(),
    };
    let sent = |harness: &Harness| -> Vec<&'static str> {
        let frames = harness.outputs.iter().filter_map(|output| match output {
            LeaderOutput::FrameToDaemon { frame, .. } => Some(frame),
            _ => None,
        });
        let specs = frames.filter_map(|frame| match frame {
            LeaderToDaemon::Spec { .. } => Some("complete"),
            LeaderToDaemon::Change { .. } => Some("change"),
            _ => None,
        });
        specs.collect()
    };
    harness.join(1, "th-1", Vec::new());
    harness.advance(ms(1));
    let before_count = sent(&harness).len();
    harness.leader_state.committed(newest);
    harness.advance(ms(1));
    (before_count, sent(&harness))
}

#[gtest]
fn a_new_leader_sends_daemons_a_little_behind_the_delta() -> Result<()> {
    let (before_count, sent) = sent_by_a_new_leader();
    verify_that!(before_count, eq(0))?;
    verify_that!(sent, elements_are![eq(&"change")])
}

/// The reports on members, holders, workers and runners, with each key and each form of a value.
#[gtest]
fn reports_keep_their_keys_and_values() {
    let mut harness = Harness::new(&["a", "b"]);
    harness.join(1, "a", vec![adoptable_claim(false)]);
    harness.join(2, "b", Vec::new());
    harness.listed(&[]);
    harness.advance(ms(10));
    let worker = |name: &str, draining| ListedWorker {
        worker: name.into(),
        zone: "l1".into(),
        memory_mb: 100_000,
        draining,
    };
    harness
        .leader_state
        .workers_listed(vec![worker("w", false), worker("w-2", true)]);
    let fencing_token = granted(&mut harness, 2, "g");
    reserve(&mut harness, 2, "g", fencing_token);
    let leader_state = &harness.leader_state;
    let known_zones: Vec<String> = leader_state
        .known_zones()
        .iter()
        .map(ToString::to_string)
        .collect();
    let counts: Vec<(&str, u64)> = leader_state.counts().into();
    let seen = json!({
        "members": leader_state.report_members(harness.now),
        "holders": leader_state.report_holders(),
        "workers": leader_state.report_workers(),
        "runners": leader_state.report_runners(),
        "counts": counts,
        "localities": known_zones,
    });
    forms::check(
        env!("CARGO_MANIFEST_DIR"),
        "reports.json",
        &format!("{seen:#}\n"),
    );
}

fn worker(name: &str, zone: &str, memory_mb: u32) -> ListedWorker {
    ListedWorker {
        worker: name.into(),
        zone: zone.into(),
        memory_mb,
        draining: false,
    }
}

/// Leases, suspicion and fencing on one worker that is full.
fn events_of_leases() -> Vec<EventRecord> {
    let mut harness = two_daemons(vec![adoptable_claim(false)]);
    harness
        .leader_state
        .workers_listed(vec![worker("w", "l1", 100)]);
    let claims = LengthPrefixed(vec![claim(false)]);
    harness.send(2, DaemonToLeader::Claims { claims });
    let ready = DaemonToLeader::RunnerUpdate {
        function: function(),
        runner: old_runner(),
        runner_status: RunnerStatus::Ready,
    };
    harness.send(1, ready);
    let rejections = DaemonToLeader::Rejections {
        function: function(),
        count: 3,
        reason: RequestFailureReason::QueueFull,
    };
    harness.send(1, rejections);
    let idle = IdleFunction {
        function: function(),
        idle_ms: 900,
    };
    let functions = LengthPrefixed(vec![idle]);
    harness.send(1, DaemonToLeader::Idle { functions });
    let fencing_token = granted(&mut harness, 2, "g");
    harness.advance(ms(1100));
    reserve(&mut harness, 2, "g", fencing_token);
    let release = DaemonToLeader::Release {
        function: FunctionKey::new("g", Version(2)),
        fencing_token,
        runners: LengthPrefixed(Vec::new()),
    };
    harness.send(2, release);
    end_a_lease(&mut harness);
    harness.events
}

/// The holder of a function is suspected and cut off; its zone is evacuated after that.
fn end_a_lease(harness: &mut Harness) {
    let suspect = || MemberIncarnation {
        member: "a".into(),
        incarnation: 1.into(),
    };
    harness.send(
        2,
        DaemonToLeader::MemberSuspected {
            incarnation: suspect(),
        },
    );
    harness.advance(ms(900));
    harness.send(
        2,
        DaemonToLeader::MemberRecovered {
            incarnation: suspect(),
        },
    );
    harness.renew(2);
    harness.leader_state.stream_lost(StreamId(1));
    harness.advance(ms(900));
    harness.renew(2);
    let evacuated = document().with_zone("l1".into(), true, ChangeId::from("evacuated"));
    harness.leader_state.committed(evacuated);
    harness.advance(ms(10));
    harness.leader_state.runner_stopped(old_runner());
    harness.advance(ms(2300));
}

/// A runner that is missing in the platform's list, and one that nobody claimed.
fn events_of_lists() -> Vec<EventRecord> {
    let mut harness = two_daemons(vec![adoptable_claim(false)]);
    harness.advance(ms(1100));
    harness.listed(&[]);
    harness.advance(ms(10));
    let mut unclaimed = listed_instance(false);
    unclaimed.instance.name = "l2".into();
    harness.listed(&[unclaimed]);
    harness.advance(ms(10));
    harness.events
}

/// A function without a runner, while another one has all the memory.
fn events_of_reclaiming() -> Vec<EventRecord> {
    let mut harness = Harness::new(&["a"]);
    harness.join(1, "a", vec![]);
    harness.listed(&[]);
    harness.advance(ms(10));
    harness
        .leader_state
        .workers_listed(vec![worker("w", "l", 200)]);
    let crowded_lease = granted(&mut harness, 1, "f");
    for _ in 0..2 {
        reserve(&mut harness, 1, "f", crowded_lease);
    }
    let starved_lease = granted(&mut harness, 1, "g");
    reserve(&mut harness, 1, "g", starved_lease);
    harness.events
}

/// A little used worker is evacuated.
fn events_of_evacuation() -> Vec<EventRecord> {
    let mut harness = Harness::new(&["a"]);
    harness.join(1, "a", vec![]);
    harness.listed(&[]);
    harness.advance(ms(10));
    harness
        .leader_state
        .workers_listed(vec![worker("w-1", "l", 200)]);
    let fencing_token = granted(&mut harness, 1, "f");
    for _ in 0..2 {
        reserve(&mut harness, 1, "f", fencing_token);
    }
    let both = vec![worker("w-1", "l", 1000), worker("w-2", "l", 150)];
    harness
        .leader_state
        .workers_listed(vec![worker("w-2", "l", 150)]);
    let last = reserve(&mut harness, 1, "f", fencing_token);
    harness.leader_state.workers_listed(both);
    for _ in 0..16 {
        harness.renew(1);
        harness.advance(ms(1000));
    }
    if let ReserveResult::Reserved { runner, .. } = last {
        harness.leader_state.runner_stopped(runner);
    }
    harness.advance(ms(10));
    harness.events
}

/// A member that does not come back is no longer awaited.
fn events_of_absence() -> Vec<EventRecord> {
    let mut harness = Harness::new(&["a", "b"]);
    harness.join(1, "a", vec![]);
    harness.advance(ms(4100));
    harness.events
}

/// The events of the leader by number, with each key and each form of a value.
#[gtest]
fn events_keep_their_keys_and_values() {
    let shown = |events: Vec<EventRecord>| -> Vec<serde_json::Value> {
        let lines = events
            .into_iter()
            .map(|event_record| json!([event_record.event.number, event_record.detail]));
        lines.collect()
    };
    let seen = json!({
        "leases": shown(events_of_leases()),
        "lists": shown(events_of_lists()),
        "reclaiming": shown(events_of_reclaiming()),
        "evacuation": shown(events_of_evacuation()),
        "absence": shown(events_of_absence()),
    });
    forms::check(
        env!("CARGO_MANIFEST_DIR"),
        "leader_events.json",
        &format!("{seen:#}\n"),
    );
}
