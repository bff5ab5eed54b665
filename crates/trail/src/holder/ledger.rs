use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use waymark::clock::Moment;
use waymark::frames::{HopOutcome, HopReason};
use waymark::identity::TransactionId;

const KEPT_AFTER: Duration = Duration::from_secs(15);
const LARGEST_KEPT: usize = 64 << 10;

struct Noted {
    outcome: Option<HopOutcome>,
    expires_at: Moment,
}

/// What is known of each identity while this daemon holds the function.
#[derive(Default)]
pub struct Ledger {
    noted: HashMap<TransactionId, Noted>,
    expiries: BTreeMap<Moment, Vec<TransactionId>>,
}

impl Ledger {
    /// The outcome for a repeated identity; none for a new one.
    pub fn known(&self, _now: Moment, transaction: &TransactionId) -> Option<HopOutcome> {
        self.noted.get(transaction).map(|noted| {
            noted.outcome.clone().unwrap_or(HopOutcome::Unknown { reason: HopReason::UnderWay })
        })
    }

    /// Notes an identity before anything is sent for it.
    pub fn begin(&mut self, transaction: TransactionId, budget_end: Moment) {
        let expires_at = budget_end + KEPT_AFTER;
        self.expiries.entry(expires_at).or_default().push(transaction.clone());
        self.noted.insert(transaction, Noted { outcome: None, expires_at });
    }

    /// Notes how it ended; large answers are not kept.
    pub fn end(
        &mut self,
        now: Moment,
        transaction: &TransactionId,
        budget_end: Moment,
        outcome: HopOutcome,
    ) {
        let kept_outcome = match &outcome {
            HopOutcome::Answer { body, .. } if body.0.len() > LARGEST_KEPT => {
                HopOutcome::Unknown { reason: HopReason::RanBefore }
            }
            _ => outcome,
        };
        if !self.noted.contains_key(transaction) {
            self.begin(transaction.clone(), budget_end.max(now));
        }
        if let Some(noted) = self.noted.get_mut(transaction) {
            noted.outcome = Some(kept_outcome);
        }
    }

    /// Forgets identities whose callers have long stopped waiting.
    pub fn expire(&mut self, now: Moment) {
        while let Some(first_entry) = self.expiries.first_entry() {
            if *first_entry.key() > now {
                return;
            }
            for transaction in first_entry.remove() {
                if self.noted.get(&transaction).is_some_and(|noted| noted.expires_at <= now) {
                    self.noted.remove(&transaction);
                }
            }
        }
    }
}
