//! Tests of the leader's state: when it grants leases, whose claims it awaits, and from when on requests that must not
//! run twice may be sent.

mod delivery;
#[path = "../../../../testing/support/forms.rs"]
mod forms;
mod harness;
mod hosts;
mod leases;
mod membership;
mod narrow_links;
mod orphans;
mod placement;
mod recorded_forms;
mod samples;
