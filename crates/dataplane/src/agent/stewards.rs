//! Questions to stewards, the daemons that keep copies of others' ledgers, and answers as one.

use super::{Agent, Held};
use crate::holder::{Holder, HolderOutput};
use common::clock::Moment;
use common::frames::{Flag, HopBody, Host, Many};
use common::rules::Rule;
use std::sync::PoisonError;
use std::time::Duration;

const COLLECT_PATIENCE: Duration = Duration::from_millis(600);
const NOTE_PATIENCE: Duration = Duration::from_millis(300);

/// What a question to a steward is about.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Topic {
    /// An earlier holder's ledger.
    Collect,
    /// Lines of this round to be noted.
    Note(u64),
    /// The ranges in which its copy differs.
    Compare,
}

/// A question to a steward.
#[derive(Clone, Debug)]
pub struct Question {
    /// The steward.
    pub steward: Host,
    /// What is asked.
    pub body: HopBody,
    /// What it is about.
    pub topic: Topic,
    /// How long an answer is waited for.
    pub patience: Duration,
}

impl<W> Held<W> {
    /// The question that a holder's order stands for, if it is one.
    pub fn question(&self, order: HolderOutput) -> Result<Question, HolderOutput> {
        match order {
            HolderOutput::Collect { prior } => Ok(Question {
                body: HopBody::Collect {
                    function: self.function.clone(),
                    grant: prior.grant,
                    incarnation: prior.steward.incarnation,
                },
                steward: prior.steward,
                topic: Topic::Collect,
                patience: COLLECT_PATIENCE,
            }),
            HolderOutput::Note { round, steward, notes } => Ok(Question {
                body: HopBody::Note {
                    function: self.function.clone(),
                    grant: self.grant,
                    incarnation: steward.incarnation,
                    notes: Many(notes),
                },
                steward,
                topic: Topic::Note(round),
                patience: NOTE_PATIENCE,
            }),
            HolderOutput::Compare { steward, digests } => Ok(Question {
                body: HopBody::Compare {
                    function: self.function.clone(),
                    grant: self.grant,
                    incarnation: steward.incarnation,
                    digests: Many(digests),
                },
                steward,
                topic: Topic::Compare,
                patience: NOTE_PATIENCE,
            }),
            other => Err(other),
        }
    }
}

impl Topic {
    /// Brings a steward's reply, or its silence, to the holder.
    pub fn reply(
        self,
        holder: &mut Holder,
        now: Moment,
        reply: Option<HopBody>,
    ) -> Vec<HolderOutput> {
        match (self, reply) {
            (Self::Collect, Some(HopBody::Collected { whole, notes })) if whole.0 => {
                holder.collected(now, Some(notes.0))
            }
            (Self::Collect, _) => holder.collected(now, None),
            (Self::Note(round), Some(HopBody::Noted { kept })) => holder.noted(now, round, kept.0),
            (Self::Note(round), _) => holder.noted(now, round, false),
            (Self::Compare, Some(HopBody::Differs { ranges })) => holder.compared(now, &ranges.0),
            (Self::Compare, _) => Vec::new(),
        }
    }
}

impl<W> Agent<W> {
    /// What this daemon says as another one's steward; none to what is no question for a steward.
    pub fn answer_as_steward(&self, now: Moment, question: HopBody) -> Option<HopBody> {
        let mut replica = self.replica.lock().unwrap_or_else(PoisonError::into_inner);
        match question {
            HopBody::Note { .. } if !self.rules.keep(Rule::LedgerNoted) => {
                Some(HopBody::Noted { kept: Flag(true) })
            }
            HopBody::Note { function, grant, incarnation, notes } => {
                let kept = replica.note(now, &function, grant, incarnation, &notes.0);
                Some(HopBody::Noted { kept: Flag(kept) })
            }
            HopBody::Collect { function, grant, incarnation } => {
                let copy = replica.collect(now, &function, grant, incarnation);
                let whole = Flag(copy.is_some());
                Some(HopBody::Collected { whole, notes: Many(copy.unwrap_or_default()) })
            }
            HopBody::Compare { function, grant, incarnation, digests } => {
                let ranges = replica.compare(now, &function, grant, incarnation, &digests.0);
                Some(HopBody::Differs { ranges: Many(ranges) })
            }
            HopBody::Ask { .. }
            | HopBody::Done { .. }
            | HopBody::Noted { .. }
            | HopBody::Collected { .. }
            | HopBody::Differs { .. } => None,
        }
    }
}
