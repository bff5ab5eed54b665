use super::{AskEnd, Holding, State};
use std::time::Duration;
use waymark::clock::Moment;
use waymark::frames::{HopBody, Host, LedgerNote, Many, Prior};
use waymark::identity::FunctionKey;

const COLLECT_PATIENCE: Duration = Duration::from_millis(600);
const NOTE_PATIENCE: Duration = Duration::from_millis(300);

/// Collects an earlier holder's ledger from its steward; none when that does not have it whole.
pub async fn collect(
    state: &State,
    function: &FunctionKey,
    prior: Prior,
) -> Option<Vec<LedgerNote>> {
    let body = HopBody::Collect {
        function: function.clone(),
        grant: prior.grant,
        incarnation: prior.steward.incarnation,
    };
    let wait_until = Moment::now() + COLLECT_PATIENCE;
    match state.links.ask(prior.steward.place, body, wait_until).await {
        AskEnd::Reply(HopBody::Collected { whole, notes }) if whole.0 => Some(notes.0),
        _ => None,
    }
}

/// Has a steward note lines; true only when it says so.
pub async fn note(state: &State, holding: &Holding, steward: Host, notes: Vec<LedgerNote>) -> bool {
    let body = HopBody::Note {
        function: holding.function.clone(),
        grant: holding.grant,
        incarnation: steward.incarnation,
        notes: Many(notes),
    };
    let asked_at = Moment::now();
    let reply = state.links.ask(steward.place, body, asked_at + NOTE_PATIENCE).await;
    state.gauges.note_seconds.observe(Moment::now().since(asked_at).as_secs_f64());
    matches!(reply, AskEnd::Reply(HopBody::Noted { kept }) if kept.0)
}

/// The ranges in which a steward's copy differs; none when it does not answer.
pub async fn compare(
    state: &State,
    holding: &Holding,
    steward: Host,
    digests: Vec<u64>,
) -> Vec<u8> {
    let body = HopBody::Compare {
        function: holding.function.clone(),
        grant: holding.grant,
        incarnation: steward.incarnation,
        digests: Many(digests),
    };
    let wait_until = Moment::now() + NOTE_PATIENCE;
    match state.links.ask(steward.place, body, wait_until).await {
        AskEnd::Reply(HopBody::Differs { ranges }) => ranges.0,
        _ => Vec::new(),
    }
}
