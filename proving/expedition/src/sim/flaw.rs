use std::fmt;

/// A safety rule broken on purpose, to see that the checks find it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Flaw {
    /// Nothing is broken.
    None,
    /// The platform confirms the leader's stops and does not stop anything.
    FenceDropped,
    /// The disk says that a write is synced before it is.
    SyncSkipped,
    /// Each surveyor counts itself as a majority.
    QuorumOfOne,
    /// A new leader waits neither for claims nor for old grants to end.
    ClaimsWaitSkipped,
    /// Stewards say that they noted a once-transaction, and did not.
    LedgerForgotten,
    /// Daemons keep their runners when their member grant ends.
    GrantIgnored,
}

impl Flaw {
    /// Every flaw, and none.
    pub const ALL: &[Flaw] = &[
        Flaw::None,
        Flaw::FenceDropped,
        Flaw::SyncSkipped,
        Flaw::QuorumOfOne,
        Flaw::ClaimsWaitSkipped,
        Flaw::LedgerForgotten,
        Flaw::GrantIgnored,
    ];
}

impl fmt::Display for Flaw {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::None => "none",
            Self::FenceDropped => "fence-dropped",
            Self::SyncSkipped => "sync-skipped",
            Self::QuorumOfOne => "quorum-of-one",
            Self::ClaimsWaitSkipped => "claims-wait-skipped",
            Self::LedgerForgotten => "ledger-forgotten",
            Self::GrantIgnored => "grant-ignored",
        })
    }
}
