//! The findings of the linearizability check.

use super::OrderId;
use std::fmt;

/// An observation in a history that no sequence of events explains.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Anomaly {
    /// An invalid order was acknowledged.
    InvalidAcknowledged(OrderId),
    /// Two orders with the same number were acknowledged.
    DuplicateNumber {
        /// The number.
        number: u64,
        /// The two orders.
        orders: (OrderId, OrderId),
    },
    /// Two orders with the same base version were acknowledged.
    DuplicateBase {
        /// The number of the base version.
        base: u64,
        /// The two orders.
        orders: (OrderId, OrderId),
    },
    /// A version was acknowledged or read that no chain of sent orders reaches.
    Unreachable {
        /// The highest version number that is reached.
        from: u64,
        /// The number of the version that is not reached.
        to: u64,
    },
    /// The bounds on when a version became current contradict each other: a reading returned an older version than one
    /// before, or an acknowledged change was missing.
    NotCurrent {
        /// The number of the version.
        number: u64,
    },
    /// An order was refused after it had taken effect.
    AcceptedRefused(OrderId),
    /// An order was refused as stale although its base version was current during the entire attempt.
    CurrentRefused(OrderId),
    /// A valid order with a number above the current one was refused as invalid.
    ValidRefused(OrderId),
    /// A reading returned a state of a zone that no order explains.
    ZoneUnexplained {
        /// The zone.
        zone: String,
        /// Whether the reading returned it as evacuated.
        evacuated: bool,
    },
}

impl fmt::Display for Anomaly {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidAcknowledged(OrderId(order)) => {
                write!(out, "order {order} was acknowledged although it is invalid")
            }
            Self::DuplicateNumber { number, orders } => {
                let (OrderId(left), OrderId(right)) = orders;
                write!(
                    out,
                    "orders {left} and {right} were both accepted as {number}"
                )
            }
            Self::DuplicateBase { base, orders } => {
                let (OrderId(left), OrderId(right)) = orders;
                write!(
                    out,
                    "orders {left} and {right} were both accepted on {base}"
                )
            }
            Self::Unreachable { from, to } => write!(
                out,
                "version {to} was acknowledged or read, but no sent order leads to it from {from}"
            ),
            Self::NotCurrent { number } => write!(
                out,
                "version {number} was read, acknowledged or reported as current when it was not current"
            ),
            Self::AcceptedRefused(OrderId(order)) => {
                write!(out, "order {order} was accepted, then refused")
            }
            Self::CurrentRefused(OrderId(order)) => write!(
                out,
                "order {order} was refused as stale although its base was the current version"
            ),
            Self::ValidRefused(OrderId(order)) => {
                write!(
                    out,
                    "order {order} was refused as invalid although it is valid"
                )
            }
            Self::ZoneUnexplained { zone, evacuated } => {
                let state = if *evacuated { "evacuated" } else { "in use" };
                write!(
                    out,
                    "zone {zone} was read as {state}, which no order explains"
                )
            }
        }
    }
}
