use super::faults::SimFault;
use super::flaw::Flaw;
use super::plan::SimPlan;
use super::world::World;
use common::rules::Rule;
use std::fmt;
use std::time::Duration;

/// One rule of what must never happen: the faults that try it, what is seen without it, and that
/// nothing is seen with it.
pub struct Proof {
    /// What must never happen, in the brief's order.
    pub point: &'static str,
    /// What is broken on purpose.
    pub flaw: Flaw,
    /// The faults aimed at it.
    pub faults: &'static [SimFault],
    /// The longest time from one fault to the next.
    pub gap: Duration,
    /// What the breach that is looked for says.
    pub says: &'static str,
    /// How many seeds find it with certainty.
    pub seeds: u64,
    /// Whether operators send hundreds of numbered orders.
    pub numbers_orders: bool,
}

/// What a proof showed.
pub struct ProofEnd {
    /// The first seed that found the flaw, and what it saw.
    pub found: Option<(u64, String)>,
    /// Breaches of the same days with every rule kept.
    pub kept_breaches: Vec<String>,
    /// How often the days with every rule kept looked at anything.
    pub looked: u64,
}

/// The longest time between two orders where they are not what is proved.
const ORDER_GAP: Duration = Duration::from_millis(3000);
/// The same where they are: hundreds in a day, as many under way as operators have at once.
const HURRIED_ORDER_GAP: Duration = Duration::from_millis(150);

impl Proof {
    /// The same with hundreds of numbered orders.
    const fn with_orders(mut self) -> Self {
        self.numbers_orders = true;
        self
    }

    /// The day of a seed, with the flaw or without.
    pub fn plan(&self, seed: u64, flaw: Flaw) -> SimPlan {
        SimPlan {
            flaw,
            focus: self.faults.to_vec(),
            gap: self.gap,
            rate: 60.0,
            twins: 0.5,
            numbers_orders: self.numbers_orders,
            order_gap: if self.numbers_orders { HURRIED_ORDER_GAP } else { ORDER_GAP },
            ..SimPlan::seeded(seed)
        }
    }

    /// Runs the days without the rule until one finds it, and the same days with it.
    pub fn run(&self, most_seeds: u64) -> ProofEnd {
        let mut end = ProofEnd { found: None, kept_breaches: Vec::new(), looked: 0 };
        for seed in 1..=most_seeds {
            let kept_end = World::new(self.plan(seed, Flaw::None), false).run();
            end.looked += kept_end.looked.values().sum::<u64>();
            let kept_breaches = kept_end.breaches.iter();
            end.kept_breaches.extend(kept_breaches.map(|breach| format!("seed {seed}: {breach}")));
            let flawed_end = World::new(self.plan(seed, self.flaw), false).run();
            let seen = flawed_end.breaches.iter().find(|breach| breach.what.contains(self.says));
            if let Some(seen) = seen {
                end.found = Some((seed, seen.what.clone()));
                break;
            }
        }
        end
    }
}

impl fmt::Display for Proof {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let faults: Vec<String> = self.faults.iter().map(SimFault::to_string).collect();
        write!(out, "{} ({}; faults {})", self.point, self.flaw, faults.join(","))
    }
}

const fn proof(
    point: &'static str,
    rule: Rule,
    faults: &'static [SimFault],
    gap_ms: u64,
    says: &'static str,
    seeds: u64,
) -> Proof {
    around(point, Flaw::Without(rule), faults, gap_ms, says, seeds)
}

const fn around(
    point: &'static str,
    flaw: Flaw,
    faults: &'static [SimFault],
    gap_ms: u64,
    says: &'static str,
    seeds: u64,
) -> Proof {
    let gap = Duration::from_millis(gap_ms);
    Proof { point, flaw, faults, gap, says, seeds, numbers_orders: false }
}

use SimFault as F;

/// The proofs by simulated days, a row for each rule.
pub const PROOFS: &[Proof] = &[
    proof("runs twice", Rule::IdentityKnown, &[F::Mischief], 2000, "ran 2 times", 6),
    proof(
        "runs twice",
        Rule::LedgerNoted,
        &[F::KillDaemon, F::FreezeHolder],
        1500,
        "ran 2 times",
        12,
    ),
    proof(
        "runs twice",
        Rule::LedgerCollected,
        &[F::KillDaemon, F::FreezeHolder],
        1500,
        "ran 2 times",
        12,
    ),
    proof(
        "refused runs",
        Rule::RefusedIsGone,
        &[F::Crowd, F::Mischief],
        1000,
        "refused as not run",
        6,
    ),
    proof("foreign answer", Rule::SealChecked, &[F::Mischief], 1000, "no runner made", 6),
    proof("foreign answer", Rule::SealNamesAsked, &[F::Mischief], 1000, "no runner made", 6),
    proof(
        "not allowed",
        Rule::RunnerNamed,
        &[F::LoseRunner, F::CrashWorker],
        500,
        "not in force",
        12,
    ),
    proof("in force", Rule::MemberGrant, &[F::CutOff, F::FreezeHolder], 1500, "member grant", 6),
    around(
        "in force",
        Flaw::SyncSkipped,
        &[F::KillCore, F::KillLeader],
        1500,
        "commit was lost",
        20,
    ),
    around("in force", Flaw::QuorumOfOne, &[F::CutCore, F::CutInTwo], 1500, "", 20),
    proof("refused in force", Rule::StaleBaseRefused, &[F::Storm], 1500, "both accepted", 6),
    proof("refused in force", Rule::InvalidRefused, &[F::Storm], 1500, "invalid at", 6),
    proof("draining", Rule::DrainObeyed, &[F::DrainWorker], 3000, "draining for", 6),
    proof("draining", Rule::DrainObeyed, &[F::RunnerLeaves], 1000, "leaving for", 6),
    proof("evacuation", Rule::EvacuationObeyed, &[F::Evacuate], 3000, "evacuated for", 6),
    proof("orderly stop", Rule::AnswersHandedOut, &[F::StopInOrder], 1500, "stops in order", 6),
    proof(
        "extra tries",
        Rule::TriesCounted,
        &[F::Mischief, F::Crowd, F::Impatience],
        700,
        "extra try",
        24,
    ),
    proof("flood", Rule::RampKept, &[F::Crowd], 1000, "answers", 6),
    proof("flood", Rule::SlotsKept, &[F::Crowd], 1000, "slots", 6),
    proof("flood", Rule::LostKeepsSlot, &[F::Mischief, F::Crowd], 700, "at once on", 12),
    proof(
        "two holders",
        Rule::FenceBeforeRegrant,
        &[F::KillDaemon, F::FreezeHolder],
        1500,
        "is alive",
        6,
    ),
    proof(
        "two holders",
        Rule::GrantOutwaited,
        &[F::FreezeHolder, F::CutOff],
        1500,
        "send to the same life",
        12,
    ),
    proof(
        "two holders",
        Rule::LifeAdoptedOnce,
        &[F::StopInOrder, F::KillDaemon],
        1500,
        "is in the hands of",
        12,
    ),
    proof("two holders", Rule::ClaimsWait, &[F::KillLeader, F::CutOff], 1200, "", 20),
    proof("two holders", Rule::RosterAwaited, &[F::KillLeader, F::CutOff], 1200, "", 20),
    around(
        "two holders",
        Flaw::StopsUnconfirmed,
        &[F::KillDaemon, F::FreezeHolder],
        1500,
        "is alive",
        6,
    ),
    proof(
        "orders",
        Rule::RefusalProven,
        &[F::FreezeLeader, F::CutCore],
        4000,
        "was acknowledged before",
        50,
    )
    .with_orders(),
    proof("orders", Rule::TakenKnown, &[F::KillLeader], 1500, "was taken, then refused", 50)
        .with_orders(),
    proof("orders", Rule::NumberTakenOnce, &[F::KillLeader], 1500, "both accepted as", 50)
        .with_orders(),
    proof("orders", Rule::AcknowledgedByMajority, &[F::KillLeader, F::CutCore], 1500, "", 50)
        .with_orders(),
    proof("orders", Rule::HungUpDropped, &[F::Evacuate], 500, "which no order explains", 50)
        .with_orders(),
    around("down", Flaw::StopsUnheard, &[F::KillHerd, F::DrainWorker], 3000, "mostly down", 6),
];
