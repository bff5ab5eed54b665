//! Changes numbered by operators. Each reply is compared with that of a model, a list of the accepted changes.

use super::cluster::TestCluster;
use super::operations::{numbered_change, zone_change};
use common::identity::Zone;
use common::rng::SeededRng;
use common::spec::Document;
use controlplane::controller_state::{
    ChangeKind, ItemChange, Numbering, Operation, OperationReply, OperationTicket, derive_change_id,
};
use googletest::prelude::*;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, PartialEq, Debug)]
struct SentChange {
    number: u64,
    base_number: u64,
    content: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Verdict {
    Accepted,
    Stale,
    Invalid,
    NotAccepted,
    Unknown,
}

impl SentChange {
    fn random(rng: &mut SeededRng, current: u64) -> Self {
        let base_number = if rng.random_bool(0.7) {
            current
        } else {
            rng.below(current + 2)
        };
        let number = (base_number + rng.below(4)).saturating_sub(rng.below(2));
        Self {
            number,
            base_number,
            content: rng.below(3),
        }
    }

    fn spec(&self) -> Value {
        json!({"functions": {}, "routes": {}, "labels": {"content": self.content}})
    }

    fn numbering(&self) -> Numbering {
        Numbering {
            number: self.number,
            base_number: self.base_number,
        }
    }

    fn operation(&self) -> Operation {
        numbered_change(self.numbering(), ChangeKind::FullSpec(self.spec().into()))
    }

    fn is_in(&self, document: &Document) -> bool {
        let name = derive_change_id(
            None,
            Some(self.numbering()),
            &ChangeKind::FullSpec(self.spec().into()),
        );
        document.changes.iter().any(|recorded| recorded.id == name)
    }
}

fn verdict_of(reply: &OperationReply) -> Verdict {
    match reply {
        OperationReply::Accepted { .. } => Verdict::Accepted,
        OperationReply::Stale { .. } => Verdict::Stale,
        OperationReply::Invalid(_) => Verdict::Invalid,
        OperationReply::NotAccepted { .. } => Verdict::NotAccepted,
        _ => Verdict::Unknown,
    }
}

/// The model: all accepted changes in order.
#[derive(Default)]
struct ExpectedHistory(Vec<SentChange>);

impl ExpectedHistory {
    fn current(&self) -> u64 {
        self.0.last().map_or(0, |sent| sent.number)
    }

    fn expect(&mut self, sent: &SentChange) -> Verdict {
        if self.0.contains(sent) {
            return Verdict::Accepted;
        }
        if sent.base_number != self.current() {
            return Verdict::Stale;
        }
        if sent.number <= self.current() {
            return Verdict::Invalid;
        }
        self.0.push(sent.clone());
        Verdict::Accepted
    }
}

#[gtest]
fn each_reply_to_a_numbered_change_matches_the_model() -> Result<()> {
    let mut seen: BTreeMap<String, usize> = BTreeMap::new();
    for seed in 0..8 {
        let mut cluster = TestCluster::bootstrapped(seed);
        let mut expected_history = ExpectedHistory::default();
        let mut rng = SeededRng::seeded(seed);
        let mut earlier: Vec<SentChange> = Vec::new();
        for _ in 0..60 {
            let repeated = rng.random_bool(0.3) && !earlier.is_empty();
            let sent = if repeated {
                earlier[rng.below(earlier.len() as u64) as usize].clone()
            } else {
                SentChange::random(&mut rng, expected_history.current())
            };
            earlier.push(sent.clone());
            let leader = cluster.await_leader();
            let reply = cluster.reply_to(leader, sent.operation()).expect("a reply");
            let expected = expected_history.expect(&sent);
            verify_that!(verdict_of(&reply), eq(expected)).with_failure_message(|| {
                format!(
                    "seed {seed}: {sent:?} after {:?}",
                    expected_history.0.last()
                )
            })?;
            *seen.entry(format!("{expected:?}")).or_default() += 1;
            let document = cluster.accepted(leader).expect("a document");
            verify_that!(document.number, eq(expected_history.current()))?;
        }
    }
    verify_that!(
        seen.values().all(|count| *count >= 20) && seen.len() == 3,
        eq(true)
    )
    .with_failure_message(|| format!("{seen:?}"))
}

/// Checks that each committed numbered spec was sent with the previous committed number as its base. Must hold
/// whichever controllers were killed.
fn check_chain(cluster: &TestCluster, sent: &[SentChange]) -> Result<()> {
    let mut chain: BTreeMap<u64, (u64, Value)> = BTreeMap::new();
    for document in &cluster.committed {
        let known = chain
            .entry(document.document_version.version.0)
            .or_insert((document.number, document.spec.to_value()));
        verify_that!(
            *known == (document.number, document.spec.to_value()),
            eq(true)
        )?;
    }
    let mut last_number = 0;
    for (number, spec) in chain.values().filter(|(number, _)| *number > 0) {
        if *number == last_number {
            continue;
        }
        let made_by = sent.iter().find(|change| {
            change.number == *number && change.base_number == last_number && change.spec() == *spec
        });
        verify_that!(made_by.is_some(), eq(true))?;
        last_number = *number;
    }
    Ok(())
}

/// The number of attempts with an unknown outcome, of retries of a recorded change, and of killed controllers.
#[derive(Default)]
struct RetryCounts {
    unknown: usize,
    recorded: usize,
    killed: usize,
}

/// Operators that send conflicting changes and retry them while controllers are killed.
struct RetryingOperators {
    cluster: TestCluster,
    rng: SeededRng,
    sent: Vec<SentChange>,
    accepted: Vec<SentChange>,
}

impl RetryingOperators {
    const MAX_RETRIES: usize = 8;

    fn new(seed: u64) -> Self {
        Self {
            cluster: TestCluster::bootstrapped(seed),
            rng: SeededRng::seeded(1000 + seed),
            sent: Vec::new(),
            accepted: Vec::new(),
        }
    }

    /// Sends one or two changes at once, may kill a controller afterwards, and retries each change until it is decided.
    fn send_conflicting_changes(&mut self, counts: &mut RetryCounts) -> Result<()> {
        let leader = self.cluster.await_leader();
        let current = self.cluster.accepted(leader).expect("a document").number;
        let conflicting_changes: Vec<SentChange> = (0..1 + self.rng.below(2))
            .map(|_| SentChange::random(&mut self.rng, current))
            .collect();
        self.sent.extend(conflicting_changes.iter().cloned());
        let tickets: Vec<OperationTicket> = conflicting_changes
            .iter()
            .map(|sent| self.cluster.submit(leader, sent.operation()))
            .collect();
        if self.rng.random_bool(0.7) {
            self.kill_and_restart(leader);
            counts.killed += 1;
        }
        self.cluster.advance(1000);
        for (sent, ticket) in conflicting_changes.into_iter().zip(tickets) {
            let verdict = self.decided_verdict(&sent, ticket, counts)?;
            self.check_decision(sent, verdict)?;
        }
        Ok(())
    }

    /// Kills the leader or another controller while the changes are in flight, and restarts it.
    fn kill_and_restart(&mut self, leader: usize) {
        let span = self.rng.below(25);
        self.cluster.advance(span);
        let victim = if self.rng.random_bool(0.8) {
            leader
        } else {
            self.rng.below(3) as usize
        };
        self.cluster.kill(victim);
        self.cluster.advance(400);
        self.cluster.start(victim);
    }

    /// Retries a change until its verdict is definite, and returns the verdict. Checks that a change that a leader has
    /// recorded is accepted.
    fn decided_verdict(
        &mut self,
        sent: &SentChange,
        ticket: OperationTicket,
        counts: &mut RetryCounts,
    ) -> Result<Verdict> {
        let first_reply = self.cluster.replies.remove(&ticket);
        let mut verdict = first_reply.map_or(Verdict::Unknown, |reply| verdict_of(&reply));
        for _ in 0..Self::MAX_RETRIES {
            if !matches!(verdict, Verdict::Unknown | Verdict::NotAccepted) {
                break;
            }
            counts.unknown += usize::from(verdict == Verdict::Unknown);
            let leader = self.cluster.await_leader();
            let is_recorded = self
                .cluster
                .accepted(leader)
                .is_some_and(|document| sent.is_in(document));
            counts.recorded += usize::from(is_recorded);
            let reply = self.cluster.reply_to(leader, sent.operation());
            verdict = reply.map_or(Verdict::Unknown, |reply| verdict_of(&reply));
            if is_recorded {
                verify_that!(verdict, eq(Verdict::Accepted))?;
            }
        }
        Ok(verdict)
    }

    /// Checks that a rejected change is in no committed version.
    fn check_decision(&mut self, sent: SentChange, verdict: Verdict) -> Result<()> {
        match verdict {
            Verdict::Accepted => self.accepted.push(sent),
            Verdict::Stale | Verdict::Invalid => {
                let is_committed = self
                    .cluster
                    .committed
                    .iter()
                    .any(|document| sent.is_in(document));
                verify_that!(is_committed, eq(false))?;
            }
            Verdict::NotAccepted | Verdict::Unknown => {}
        }
        Ok(())
    }

    /// Checks that every accepted change is recorded and that no two of them are based on the same number.
    fn check_accepted(&mut self) -> Result<()> {
        check_chain(&self.cluster, &self.sent)?;
        let leader = self.cluster.await_leader();
        let newest = self.cluster.accepted(leader).expect("a document");
        for sent in &self.accepted {
            verify_that!(sent.is_in(newest), eq(true))?;
        }
        let different: BTreeSet<(u64, u64, u64)> = self
            .accepted
            .iter()
            .map(|sent| (sent.number, sent.base_number, sent.content))
            .collect();
        let different_bases: BTreeSet<u64> =
            self.accepted.iter().map(|sent| sent.base_number).collect();
        verify_that!(different.len(), eq(different_bases.len()))
    }
}

#[gtest]
fn a_change_retried_after_kills_is_never_rejected_once_committed() -> Result<()> {
    let mut counts = RetryCounts::default();
    for seed in 0..40 {
        let mut operators = RetryingOperators::new(seed);
        for _ in 0..12 {
            operators.send_conflicting_changes(&mut counts)?;
        }
        operators.check_accepted()?;
    }
    verify_that!(
        counts.unknown.min(counts.recorded).min(counts.killed),
        ge(10)
    )
}

#[gtest]
fn a_change_sent_twice_at_once_is_applied_once() -> Result<()> {
    let mut cluster = TestCluster::bootstrapped(4);
    let leader = cluster.await_leader();
    let sent = SentChange {
        number: 5,
        base_number: 0,
        content: 1,
    };
    let rival = SentChange {
        number: 5,
        base_number: 0,
        content: 2,
    };
    let tickets = [&sent, &sent, &rival].map(|change| cluster.submit(leader, change.operation()));
    cluster.advance(1000);
    let verdicts = tickets.map(|ticket| verdict_of(&cluster.replies[&ticket]));
    verify_that!(
        verdicts,
        eq([Verdict::Accepted, Verdict::Accepted, Verdict::Stale])
    )?;
    verify_that!(cluster.accepted(leader).expect("a document").number, eq(5))
}

fn function(memory_mb: u64) -> Value {
    json!({"memory_mb": memory_mb, "boot_ms": 100, "slots": 2, "labels": {"kept": [memory_mb]}})
}

fn route(name: &str, function: &str) -> Value {
    json!({"method": "POST", "path": format!("/{name}"), "function": function,
           "budget_ms": 1000, "kind": "once", "labels": {"of": name}})
}

/// Submits a numbered change to the leader and checks the verdict.
fn check_verdict(
    cluster: &mut TestCluster,
    leader: usize,
    (number, base_number): (u64, u64),
    kind: ChangeKind,
    expected: Verdict,
) -> Result<()> {
    let numbering = Numbering {
        number,
        base_number,
    };
    let reply = cluster.reply_to(leader, numbered_change(numbering, kind));
    verify_that!(reply.map(|reply| verdict_of(&reply)), some(eq(expected)))
}

#[gtest]
fn items_are_replaced_completely_and_removed_by_name() -> Result<()> {
    let mut cluster = TestCluster::bootstrapped(2);
    let leader = cluster.await_leader();
    let first = json!({
        "functions": {"a": function(100), "b": function(200)},
        "routes": {"ra": route("ra", "a"), "rb": route("rb", "b")},
        "labels": {"day": "one"},
    });
    let first = ChangeKind::FullSpec(first.into());
    check_verdict(&mut cluster, leader, (3, 0), first, Verdict::Accepted)?;
    let items = ItemChange {
        put_functions: BTreeMap::from([("c".to_owned(), function(300))]),
        remove_functions: BTreeSet::from(["b".to_owned(), "nobody".to_owned()]),
        put_routes: BTreeMap::from([("ra".to_owned(), route("other", "c"))]),
        remove_routes: BTreeSet::from(["rb".to_owned()]),
        limits: Some(json!({"body_bytes": 4096})),
        labels: None,
    };
    let items = ChangeKind::Items(Box::new(items));
    for _ in 0..2 {
        check_verdict(
            &mut cluster,
            leader,
            (8, 3),
            items.clone(),
            Verdict::Accepted,
        )?;
    }
    let expected = json!({
        "functions": {"a": function(100), "c": function(300)},
        "routes": {"ra": route("other", "c")},
        "limits": {"body_bytes": 4096},
        "labels": {"day": "one"},
    });
    let accepted = cluster.accepted(leader).expect("a document");
    verify_that!(accepted.spec.to_value(), eq(&expected))?;
    let dangling = ItemChange {
        remove_functions: BTreeSet::from(["c".to_owned()]),
        ..ItemChange::default()
    };
    let dangling = ChangeKind::Items(Box::new(dangling));
    check_verdict(&mut cluster, leader, (9, 8), dangling, Verdict::Invalid)?;
    verify_that!(cluster.accepted(leader).expect("a document").number, eq(8))
}

#[gtest]
fn a_repeated_zone_change_without_an_id_is_accepted_and_changes_nothing() -> Result<()> {
    let mut cluster = TestCluster::bootstrapped(6);
    let leader = cluster.await_leader();
    let evacuate = |force| ChangeKind::Evacuate {
        zone: "l9".into(),
        force,
    };
    let unknown = cluster.reply_to(leader, zone_change(evacuate(false)));
    verify_that!(
        matches!(unknown, Some(OperationReply::UnknownZone { .. })),
        eq(true)
    )?;
    let restore = ChangeKind::Restore { zone: "l9".into() };
    for (kind, is_evacuated) in [(evacuate(true), true), (restore, false)] {
        let mut versions = BTreeSet::new();
        for _ in 0..3 {
            let reply = cluster.reply_to(leader, zone_change(kind.clone()));
            verify_that!(
                reply.map(|reply| verdict_of(&reply)),
                some(eq(Verdict::Accepted))
            )?;
            let document = cluster.accepted(leader).expect("a document");
            verify_that!(
                document.evacuated.contains(&Zone::from("l9")),
                eq(is_evacuated)
            )?;
            versions.insert(document.document_version.version);
        }
        verify_that!(versions.len(), eq(1))?;
    }
    Ok(())
}
