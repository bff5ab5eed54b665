use super::control::ControlInput;
use super::{State, platform, runners, stewards};
use crate::holder::{Entry, Holder, HolderOutput, SendEnd};
use bytes::Bytes;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::oneshot;
use waymark::clock::Moment;
use waymark::frames::{HopOutcome, HopReason, StreamUp};
use waymark::identity::{FunctionKey, GrantSerial, Ticket, TransactionId};

/// A transaction on its way to a runner.
#[derive(Clone)]
pub struct Task {
    /// The try's identity.
    pub transaction: TransactionId,
    /// The route that matched it.
    pub route: String,
    /// When its budget ends.
    pub budget_end: Moment,
    /// The caller's body.
    pub body: Bytes,
}

struct Waiter {
    task: Task,
    outcome: oneshot::Sender<HopOutcome>,
}

/// A held function with those who wait for it.
pub struct Holding {
    /// The function.
    pub function: FunctionKey,
    /// The grant it is held under.
    pub grant: GrantSerial,
    holder: Mutex<Holder>,
    waiters: Mutex<HashMap<Ticket, Waiter>>,
}

impl Holding {
    /// A function just granted.
    pub fn new(holder: Holder) -> Self {
        Self {
            function: holder.function().clone(),
            grant: holder.grant(),
            holder: Mutex::new(holder),
            waiters: Mutex::new(HashMap::new()),
        }
    }

    /// Looks at or changes the holder.
    pub fn with<T>(&self, look: impl FnOnce(&mut Holder) -> T) -> T {
        look(&mut self.holder.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// What a sent ticket stands for.
    pub fn task(&self, ticket: Ticket) -> Option<Task> {
        let waiters = self.waiters.lock().unwrap_or_else(PoisonError::into_inner);
        waiters.get(&ticket).map(|waiter| waiter.task.clone())
    }

    /// Takes a transaction in and waits for its outcome.
    pub async fn serve(
        self: &Arc<Self>,
        state: &Arc<State>,
        task: Task,
        once: bool,
        repeat: bool,
        patience: std::time::Duration,
    ) -> HopOutcome {
        let ticket = state.ticket();
        let (outcome_sender, outcome) = oneshot::channel();
        let entry = Entry {
            ticket,
            transaction: task.transaction.clone(),
            once,
            repeat,
            budget_end: task.budget_end,
            patience,
        };
        let waiter = Waiter { task, outcome: outcome_sender };
        self.waiters.lock().unwrap_or_else(PoisonError::into_inner).insert(ticket, waiter);
        let (at_once, outputs) = self.with(|holder| holder.grant_entry(Moment::now(), entry));
        self.drive(state, outputs);
        if let Some(outcome) = at_once {
            self.waiters.lock().unwrap_or_else(PoisonError::into_inner).remove(&ticket);
            return outcome;
        }
        outcome.await.unwrap_or(HopOutcome::Unknown { reason: HopReason::AnswerLost })
    }

    /// Does what the holder orders.
    pub fn drive(self: &Arc<Self>, state: &Arc<State>, outputs: Vec<HolderOutput>) {
        for output in outputs {
            let holding = self.clone();
            let task_state = state.clone();
            match output {
                HolderOutput::Send { ticket, runner, place, attempt } => {
                    tokio::spawn(async move {
                        let end =
                            runners::send(&task_state, &holding, ticket, runner, place, attempt)
                                .await;
                        holding.sent_ended(&task_state, ticket, end);
                    });
                }
                HolderOutput::End { ticket, outcome } => {
                    let mut waiters = self.waiters.lock().unwrap_or_else(PoisonError::into_inner);
                    if let Some(waiter) = waiters.remove(&ticket) {
                        let _ = waiter.outcome.send(outcome);
                    }
                }
                HolderOutput::Reserve => {
                    let function = self.function.clone();
                    let _ = state.control.send(ControlInput::Reserve(function, self.grant));
                }
                HolderOutput::Start { runner, worker } => {
                    tokio::spawn(async move {
                        let place = platform::start(&task_state, &holding, runner, &worker).await;
                        holding
                            .apply(&task_state, |holder, now| holder.started(now, runner, place));
                    });
                }
                HolderOutput::Probe { runner, place } => {
                    tokio::spawn(async move {
                        let is_ready = runners::is_ready(runner, place).await;
                        holding
                            .apply(&task_state, |holder, now| holder.probed(now, runner, is_ready));
                    });
                }
                HolderOutput::Settle { runner, place } => {
                    tokio::spawn(async move {
                        let running = runners::running(runner, place).await;
                        holding
                            .apply(&task_state, |holder, now| holder.settled(now, runner, running));
                    });
                }
                HolderOutput::Stop { runner } => {
                    tokio::spawn(async move {
                        if platform::stop(&task_state, runner).await {
                            holding.apply(&task_state, |holder, now| holder.stopped(now, runner));
                        }
                    });
                }
                HolderOutput::News { runner, news } => {
                    let function = self.function.clone();
                    let frame = StreamUp::Runner { function, runner, news };
                    let _ = state.control.send(ControlInput::Say(frame));
                }
                HolderOutput::Collect { prior } => {
                    tokio::spawn(async move {
                        let notes = stewards::collect(&task_state, &holding.function, prior).await;
                        holding.apply(&task_state, |holder, now| holder.collected(now, notes));
                    });
                }
                HolderOutput::Note { round, steward, notes } => {
                    tokio::spawn(async move {
                        let is_kept = stewards::note(&task_state, &holding, steward, notes).await;
                        holding.apply(&task_state, |holder, now| holder.noted(now, round, is_kept));
                    });
                }
                HolderOutput::Compare { steward, digests } => {
                    tokio::spawn(async move {
                        let ranges =
                            stewards::compare(&task_state, &holding, steward, digests).await;
                        holding.apply(&task_state, |holder, now| holder.compared(now, &ranges));
                    });
                }
                HolderOutput::StewardLost { lost } => {
                    let function = self.function.clone();
                    let frame = StreamUp::StewardLost { function, grant: self.grant, lost };
                    let _ = state.control.send(ControlInput::Say(frame));
                }
                HolderOutput::StewardWhole { steward } => {
                    let function = self.function.clone();
                    let frame = StreamUp::StewardWhole { function, grant: self.grant, steward };
                    let _ = state.control.send(ControlInput::Say(frame));
                }
                HolderOutput::Released => {
                    let function = self.function.clone();
                    let _ = state.control.send(ControlInput::Released(function, self.grant));
                }
            }
        }
    }

    /// Changes the holder and does what it orders.
    pub fn apply(
        self: &Arc<Self>,
        state: &Arc<State>,
        change: impl FnOnce(&mut Holder, Moment) -> Vec<HolderOutput>,
    ) {
        let outputs = self.with(|holder| change(holder, Moment::now()));
        self.drive(state, outputs);
    }

    fn sent_ended(self: &Arc<Self>, state: &Arc<State>, ticket: Ticket, end: SendEnd) {
        self.apply(state, |holder, now| holder.sent_ended(now, ticket, end));
    }
}
