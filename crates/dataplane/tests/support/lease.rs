//! A function lease as tests set it up.

use common::identity::{FencingToken, FunctionKey};
use common::spec::FunctionSpec;
use dataplane::holder::LeaseTerms;
use std::time::Duration;

/// The fencing token of the lease, and of the runners under it.
pub const FENCING_TOKEN: FencingToken = FencingToken(1);

/// A function with one slot a runner, whose holder keeps no runner without requests.
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

/// A lease that follows no other, without a replica.
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
