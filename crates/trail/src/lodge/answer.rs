use super::{Held, Lodge, Task};
use crate::holder::SendEnd;
use bytes::Bytes;
use std::time::Duration;
use waymark::clock::Moment;
use waymark::frames::{HopOutcome, HopReason};
use waymark::identity::{FunctionKey, RunnerId, TransactionId};
use waymark::rules::{Rule, Rules};
use waymark::seal;

/// What a runner sent back, as it came.
pub struct RunnerAnswer<'a> {
    /// The status.
    pub status: u16,
    /// The transaction it names.
    pub transaction: &'a str,
    /// The function it names.
    pub function: &'a str,
    /// The runner it names.
    pub runner: &'a str,
    /// The seal.
    pub seal: &'a str,
    /// Whether it says that it refused and did not run.
    pub is_shed: bool,
    /// The body.
    pub body: Bytes,
}

/// Decides what an answer is worth: only a whole body whose seal names what was asked is believed.
pub fn judge(
    rules: Rules,
    transaction: &TransactionId,
    function: &FunctionKey,
    runner: RunnerId,
    answer: RunnerAnswer<'_>,
) -> SendEnd {
    let names_asked = answer.transaction == transaction.as_str()
        && answer.function == function.to_string()
        && answer.runner == runner.to_string();
    let right_seal = if rules.keep(Rule::SealNamesAsked) {
        seal::seal(transaction, function, runner, answer.is_shed, &answer.body)
    } else {
        seal::seal_of_names(
            answer.transaction,
            answer.function,
            answer.runner,
            answer.is_shed,
            &answer.body,
        )
    };
    let is_believed = answer.seal == right_seal
        && (names_asked || !rules.keep(Rule::SealNamesAsked))
        || !rules.keep(Rule::SealChecked);
    if !is_believed {
        return SendEnd::Lost;
    }
    if answer.is_shed {
        return SendEnd::ShedByRunner;
    }
    SendEnd::Answered(HopOutcome::Answer {
        status: answer.status,
        seal: answer.seal.as_bytes().to_vec().into(),
        runner,
        lines: waymark::frames::Many(Vec::new()),
        body: answer.body.into(),
    })
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
    /// The caller's body.
    pub body: Bytes,
}

impl<W> Lodge<W> {
    /// The last look before a transaction is sent to a runner: the member grant runs, and the newest
    /// spec still leads its route to this function. Nothing comes between it and the send.
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
        if !self.is_serving(now) {
            return Err(HopReason::NotServing);
        }
        Ok(RunnerCall {
            transaction: task.transaction.clone(),
            function: held.function.clone(),
            runner: self.rules.keep(Rule::RunnerNamed).then_some(runner),
            attempt,
            budget_left: task.budget_end.since(now),
            body: task.body.clone(),
        })
    }
}
