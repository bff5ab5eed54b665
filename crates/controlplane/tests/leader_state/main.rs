//! The leader's state: when it issues leases, whose claims it awaits, and from when on a request may be sent that
//! must not run twice.

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
