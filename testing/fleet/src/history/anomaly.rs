use super::OrderId;
use std::fmt;

/// What no order of events explains.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Anomaly {
    /// An invalid order was acknowledged.
    InvalidAcknowledged(OrderId),
    /// Two orders with one number were acknowledged.
    NumberTwice {
        /// The number.
        number: u64,
        /// The two orders.
        orders: (OrderId, OrderId),
    },
    /// Two orders built on one version were acknowledged.
    BaseTwice {
        /// The number of that version.
        base: u64,
        /// The two orders.
        orders: (OrderId, OrderId),
    },
    /// No orders that were sent lead from one version to another that was acknowledged or read.
    Unreachable {
        /// The newest version that is reached.
        from: u64,
        /// The one that is not.
        to: u64,
    },
    /// Something about a version happened before it can have been current, or after it can still
    /// have been: a reading went back, or an acknowledged change was not there.
    NotCurrent {
        /// The number of the version.
        number: u64,
    },
    /// An order was refused once it had been taken.
    AcceptedRefused(OrderId),
    /// An order was refused as built on an old version, and that version was current all the time.
    CurrentRefused(OrderId),
    /// A valid order above every number was refused as invalid.
    ValidRefused(OrderId),
    /// A reading gave a zone's state that no order explains.
    ZoneUnexplained {
        /// The zone.
        zone: String,
        /// Whether it was read as evacuated.
        evacuated: bool,
    },
}

impl fmt::Display for Anomaly {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidAcknowledged(order) => {
                write!(out, "order {} is invalid and was acknowledged", order.0)
            }
            Self::NumberTwice {
                number,
                orders: (left, right),
            } => {
                write!(
                    out,
                    "orders {} and {} were both accepted as {number}",
                    left.0, right.0
                )
            }
            Self::BaseTwice {
                base,
                orders: (left, right),
            } => {
                write!(
                    out,
                    "orders {} and {} were both accepted on {base}",
                    left.0, right.0
                )
            }
            Self::Unreachable { from, to } => {
                write!(
                    out,
                    "version {to} was acknowledged or read, and nothing leads to it from {from}"
                )
            }
            Self::NotCurrent { number } => {
                write!(
                    out,
                    "version {number} was read, acknowledged or named when it was not current"
                )
            }
            Self::AcceptedRefused(order) => {
                write!(out, "order {} was taken, then refused", order.0)
            }
            Self::CurrentRefused(order) => {
                write!(
                    out,
                    "order {} was refused as stale on the current version",
                    order.0
                )
            }
            Self::ValidRefused(order) => {
                write!(out, "order {} was refused as invalid and is valid", order.0)
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
