//! Tests of one daemon's decisions under a test-controlled clock: checks before a send, spec versions, immediate
//! rejections.

mod bench;
mod changed_limits;
#[path = "../support/daemon_control.rs"]
mod daemon_control;
mod forwarding;
#[path = "../support/host.rs"]
mod host;
mod late_leases;
#[path = "../support/lease.rs"]
mod lease;
mod lost_requests;
mod renamed_routes;
mod runner_responses;
mod serving;
mod shutdown;
mod spec_versions;
