//! Invariants that the running code checks.
//!
//! A check does not repeat the rule that enforces its invariant: it examines the result. Each violation is counted on
//! the metrics page, logged as an event, and collected on threads on which a test requests it. Debug builds panic on
//! the first violation, unless a rule is disabled on purpose, the thread collects violations, or the process only
//! counts them.

use crate::events;
use crate::log_event;
use crate::rules::Rules;
use prometheus::{IntCounterVec, Opts};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::sync::LazyLock;
use std::sync::atomic::{AtomicBool, Ordering};

/// An invariant that the code checks while it runs.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Invariant {
    /// A daemon never installs an older spec than the one it has.
    SpecNeverOlder,
    /// A runner never has more requests than slots.
    SlotsRespected,
    /// A request that may run only once is never sent after it may have run.
    OnceSentOnce,
    /// A request that is reported as not run is at no runner.
    RejectedNotSent,
    /// Retries stay within the retry budget.
    RetryBudgetRespected,
    /// The first byte of a request is sent only during the session lease.
    SentUnderLease,
    /// A term has at most one leader.
    OneLeaderPerTerm,
    /// No committed version is replaced by an older one.
    CommitNeverLost,
    /// A change is proposed on top of the version that its operator named.
    ChangeOnNamedBase,
    /// The spec of a proposed version is valid.
    ProposedSpecValid,
    /// A function is granted only when every earlier lease on it has ended.
    GrantedAfterLease,
    /// A function is granted only after a claims quorum.
    GrantedAfterClaims,
}

impl Invariant {
    /// All invariants.
    pub const ALL: &[Invariant] = &[
        Invariant::SpecNeverOlder,
        Invariant::SlotsRespected,
        Invariant::OnceSentOnce,
        Invariant::RejectedNotSent,
        Invariant::RetryBudgetRespected,
        Invariant::SentUnderLease,
        Invariant::OneLeaderPerTerm,
        Invariant::CommitNeverLost,
        Invariant::ChangeOnNamedBase,
        Invariant::ProposedSpecValid,
        Invariant::GrantedAfterLease,
        Invariant::GrantedAfterClaims,
    ];

    /// Returns the invariant's name on the metrics page and in the log.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::SpecNeverOlder => "spec-never-older",
            Self::SlotsRespected => "slots-respected",
            Self::OnceSentOnce => "once-sent-once",
            Self::RejectedNotSent => "refused-not-sent",
            Self::RetryBudgetRespected => "retry-budget-kept",
            Self::SentUnderLease => "sent-under-lease",
            Self::OneLeaderPerTerm => "one-leader-per-term",
            Self::CommitNeverLost => "commit-never-lost",
            Self::ChangeOnNamedBase => "change-on-named-base",
            Self::ProposedSpecValid => "proposed-spec-valid",
            Self::GrantedAfterLease => "granted-after-lease",
            Self::GrantedAfterClaims => "granted-after-claims",
        }
    }
}

impl fmt::Display for Invariant {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(self.as_str())
    }
}

/// A violation of an invariant.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Violation {
    /// The violated invariant.
    pub invariant: Invariant,
    /// What was observed.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "invariant {}: {}", self.invariant, self.detail)
    }
}

/// The name of the metric that counts violations.
pub const COUNTER_NAME: &str = "rudder_invariant_violations_total";

/// The maximum number of violations that a thread collects.
const MAX_COLLECTED_PER_THREAD: usize = 64;

static COUNT_ONLY: AtomicBool = AtomicBool::new(false);

static COUNTERS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    let options = Opts::new(
        COUNTER_NAME,
        "promises that the process found broken, by invariant",
    );
    let counters = IntCounterVec::new(options, &["invariant"]).expect("a constant name is valid");
    for invariant in Invariant::ALL {
        counters.with_label_values(&[invariant.as_str()]);
    }
    counters
});

thread_local! {
    static COLLECTED: RefCell<Vec<Violation>> = const { RefCell::new(Vec::new()) };
    static IS_COLLECTING: Cell<bool> = const { Cell::new(false) };
}

/// Returns the counters of this process, one for each invariant.
pub fn counters() -> IntCounterVec {
    COUNTERS.clone()
}

/// Makes violations in this process be counted without a panic from now on. Deployed programs call it.
pub fn count_only() {
    COUNT_ONLY.store(true, Ordering::Relaxed);
}

/// Makes violations on this thread be collected for [`take_collected`] without a panic from now on. Discards those
/// collected before.
pub fn collect_on_this_thread() {
    IS_COLLECTING.set(true);
    COLLECTED.take();
}

/// Returns the violations collected on this thread since the last call.
pub fn take_collected() -> Vec<Violation> {
    COLLECTED.take()
}

/// Reports a violation unless `holds`; `detail` is evaluated only for a violation.
///
/// # Panics
/// On a violation in debug builds, unless a rule is disabled in `rules`, the thread collects violations or the process
/// only counts them.
pub fn require(rules: Rules, invariant: Invariant, holds: bool, detail: impl FnOnce() -> String) {
    if !holds {
        report_violation(
            rules,
            Violation {
                invariant,
                detail: detail(),
            },
        );
    }
}

#[cold]
fn report_violation(rules: Rules, violation: Violation) {
    COUNTERS
        .with_label_values(&[violation.invariant.as_str()])
        .inc();
    log_event!(Error, events::INVARIANT_VIOLATED, "{violation}");
    let is_tolerated =
        IS_COLLECTING.get() || !rules.all_enforced() || COUNT_ONLY.load(Ordering::Relaxed);
    assert!(!cfg!(debug_assertions) || is_tolerated, "{violation}");
    COLLECTED.with_borrow_mut(|collected| {
        if collected.len() < MAX_COLLECTED_PER_THREAD {
            collected.push(violation);
        }
    });
}
