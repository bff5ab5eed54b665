//! Test support: the terms of a function lease.

use common::identity::{FencingToken, FunctionKey};
use common::spec::FunctionSpec;
use dataplane::holder::LeaseTerms;
use std::time::Duration;

/// The fencing token of the lease, and of the runners under it.
pub const FENCING_TOKEN: FencingToken = FencingToken(1);

/// Returns the spec of a function with one slot per runner and no minimum number of runners.
pub fn function_spec() -> FunctionSpec {
    FunctionSpec {
        connections: 100,
        memory_mb: 100,
        startup: Duration::from_millis(100),
        slots: 1,
        min_runners: 0,
        max_runners: 8,
    }
}

/// Returns the terms of a lease without a previous lease and without a replica.
pub fn lease_terms(function: FunctionKey, spec: FunctionSpec) -> LeaseTerms {
    LeaseTerms {
        function,
        fencing_token: FENCING_TOKEN,
        spec,
        once_wait: Duration::ZERO,
        replica: None,
        previous_lease: None,
        adopted: Vec::new(),
    }
}
