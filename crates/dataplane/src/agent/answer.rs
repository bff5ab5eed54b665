//! What a runner's answer is worth, and the last look before a send.

use super::{Agent, Held, Task};
use crate::holder::SendEnd;
use common::clock::Moment;
use common::frames::{HopOutcome, HopReason, Many, Parcel};
use common::identity::{FunctionKey, RunnerId, TransactionId};
use common::invariants::{Invariant, require};
use common::rules::{Rule, Rules};
use common::seal;
use common::tongue::{RunnerSaid, SealKind};
use std::sync::Arc;
use std::time::Duration;

/// Statuses by which a caller is promised that nothing ran. From a runner that does not say so they are
/// never passed on.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// The lowest status that ends a request.
const FIRST_FINAL: u16 = 200;
/// The lowest status of a failure; only with a failure can a runner say that it did not run.
const FIRST_FAILURE: u16 = 400;

/// Decides what an answer is worth: only one that names what was asked, whole and sealed, is believed.
pub fn judge(
    rules: Rules,
    transaction: &TransactionId,
    function: &FunctionKey,
    runner: RunnerId,
    said: RunnerSaid,
) -> SendEnd {
    match said.seal_kind {
        SealKind::Digest => judge_digest(rules, transaction, function, runner, said),
        SealKind::Carried => judge_carried(rules, transaction, function, runner, said),
    }
}

fn judge_digest(
    rules: Rules,
    transaction: &TransactionId,
    function: &FunctionKey,
    runner: RunnerId,
    said: RunnerSaid,
) -> SendEnd {
    let said_function = said.function.as_deref().unwrap_or("");
    let said_runner = said.runner.as_deref().unwrap_or("");
    let names_asked = said.transaction == transaction.as_str()
        && said_function == function.to_string()
        && said_runner == runner.to_string();
    let is_shed = said.did_not_run;
    let right_seal = if rules.keep(Rule::SealNamesAsked) {
        seal::seal(transaction, function, runner, is_shed, &said.body)
    } else {
        seal::seal_of_names(&said.transaction, said_function, said_runner, is_shed, &said.body)
    };
    let is_believed = said.seal == right_seal && (names_asked || !rules.keep(Rule::SealNamesAsked))
        || !rules.keep(Rule::SealChecked);
    if !is_believed {
        return SendEnd::Lost;
    }
    if is_shed {
        return SendEnd::ShedByRunner;
    }
    SendEnd::Answered(outcome_of(runner, said))
}

fn judge_carried(
    rules: Rules,
    transaction: &TransactionId,
    function: &FunctionKey,
    runner: RunnerId,
    said: RunnerSaid,
) -> SendEnd {
    let names_another = said.transaction != transaction.as_str()
        || said.function.as_ref().is_some_and(|named| *named != function.to_string())
        || said.runner.as_ref().is_some_and(|named| *named != runner.to_string());
    if said.is_other && said.transaction == transaction.as_str() {
        return SendEnd::OtherRunner;
    }
    if names_another && rules.keep(Rule::SealNamesAsked) {
        return SendEnd::Lost;
    }
    if said.did_not_run && said.status >= FIRST_FAILURE {
        return SendEnd::ShedByRunner;
    }
    if said.did_not_run || said.status < FIRST_FINAL || PROMISES.contains(&said.status) {
        return SendEnd::Lost;
    }
    if said.is_doubtful && rules.keep(Rule::BodyWhole) {
        return SendEnd::Lost;
    }
    let is_good = (200..300).contains(&said.status);
    if is_good && said.seal.is_empty() && rules.keep(Rule::SealChecked) {
        return SendEnd::Lost;
    }
    if said.status >= 500 {
        return SendEnd::Failed(outcome_of(runner, said));
    }
    SendEnd::Answered(outcome_of(runner, said))
}

fn outcome_of(runner: RunnerId, said: RunnerSaid) -> HopOutcome {
    HopOutcome::Answer {
        status: said.status,
        seal: said.seal.into_bytes().into(),
        runner,
        lines: Many(said.lines),
        body: said.body.into(),
    }
}

/// One send to a runner, as it goes out.
#[derive(Clone, Debug)]
pub struct RunnerCall {
    /// The try's identity.
    pub transaction: TransactionId,
    /// The function.
    pub function: FunctionKey,
    /// The runner that is meant; another one at its address refuses.
    pub runner: Option<RunnerId>,
    /// The number of this send.
    pub attempt: u32,
    /// What is left of the budget.
    pub budget_left: Duration,
    /// What the caller sent.
    pub parcel: Arc<Parcel>,
}

/// The leader waits for more than that beyond the end of a lease before it grants anew; whoever sends later than
/// that stood still between its look at the lease and its write.
const LEASE_SLACK: Duration = Duration::from_millis(100);

impl<W> Agent<W> {
    /// Whether anything may be sent for a held function: the member grant runs, and the function was not
    /// given up.
    pub fn may_send(&self, now: Moment, held: &Held<W>) -> bool {
        let is_held = self.held(&held.function, held.grant).is_some();
        (self.is_serving(now) && is_held) || !self.rules.keep(Rule::HeldBeforeSend)
    }

    /// Checks that what has just left did so while the session lease ran.
    pub fn check_sent(&self, now: Moment) {
        let lease_end = self.serving_until.get();
        let is_under_lease = now < lease_end + LEASE_SLACK;
        require(self.rules, Invariant::SentUnderLease, is_under_lease, || {
            format!("a request left {} ms after the lease", now.since(lease_end).as_millis())
        });
    }

    /// The last look before a transaction is handed to a connection: the member grant runs, the function
    /// is held, and the newest spec still leads its route to this function.
    pub fn runner_call(
        &self,
        now: Moment,
        held: &Held<W>,
        task: &Task,
        runner: RunnerId,
        attempt: u32,
    ) -> Result<RunnerCall, HopReason> {
        let table = self.table.load();
        let is_allowed = table.allows(&task.route, &held.function);
        if !is_allowed && self.rules.keep(Rule::SpecBeforeSend) {
            return Err(HopReason::NotAllowed);
        }
        if !self.is_serving(now) || !self.may_send(now, held) {
            return Err(HopReason::NotServing);
        }
        Ok(RunnerCall {
            transaction: task.transaction.clone(),
            function: held.function.clone(),
            runner: self.rules.keep(Rule::RunnerNamed).then_some(runner),
            attempt,
            budget_left: task.budget_end.since(now),
            parcel: task.parcel.clone(),
        })
    }
}
