//! A transaction as a daemon takes it on, from a caller or from another daemon.

use common::clock::Moment;
use common::frames::{HopBody, Parcel};
use common::identity::{FunctionKey, Region, Serial, TransactionId};
use std::sync::Arc;
use std::time::Duration;

/// A transaction that seeks its holder.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The try's identity.
    pub transaction: TransactionId,
    /// The function.
    pub function: FunctionKey,
    /// The route that matched it.
    pub route: String,
    /// The spec it was matched with.
    pub serial: Serial,
    /// When its budget ends.
    pub budget_end: Moment,
    /// How many hops it has made.
    pub hops: u8,
    /// Whether it is a repeat: the caller's, or of one passed to a holder that fell silent.
    pub repeat: bool,
    /// Whether whoever passed it on would rather be told the holder.
    pub refer: bool,
    /// The region of the daemon that took it from its caller; empty when it lies in none.
    pub region: Region,
    /// What the caller sent.
    pub parcel: Arc<Parcel>,
}

impl Ask {
    /// An ask as another daemon passed it on; none when the frame is something else.
    pub fn passed_on(now: Moment, frame: HopBody) -> Result<Self, Box<HopBody>> {
        match frame {
            HopBody::Ask {
                transaction,
                function,
                route,
                serial,
                budget_ms,
                hops,
                repeat,
                refer,
                region,
                parcel,
            } => Ok(Self {
                transaction,
                function,
                route: route.to_string(),
                serial,
                budget_end: now + Duration::from_millis(u64::from(budget_ms)),
                hops,
                repeat: repeat.0,
                refer: refer.0,
                region,
                parcel: Arc::new(parcel),
            }),
            other => Err(Box::new(other)),
        }
    }
}
