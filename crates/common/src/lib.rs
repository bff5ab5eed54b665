//! What the control plane and the data plane of rudderstream share.
//!
//! - [`identity`]: newtypes for names and numbers.
//! - [`frames`]: what processes send each other, and its binary form.
//! - [`spec`]: the replicated document, the spec in it, and the table that requests are routed by.
//! - [`ring`]: which daemon asks for a function, and which daemons watch another.
//! - [`readers`]: JSON readers that report each error with its path; settings.
//! - [`adapter`]: the interfaces to callers, runners and the platform.
//! - [`http`]: calls, servers and heads on top of hyper.
//! - [`seal`]: the digest by which a runner's response is recognized.
//! - [`rules`] and [`invariants`]: the safety rules by name, and the checks that the running code makes.
//! - [`events`] and [`metrics`]: what processes report.
//! - [`clock`] and [`rng`]: time and random numbers that a simulation can replace.
//! - [`command_line`] and [`sockets`]: what every program needs.
//!
//! The crate decides nothing by itself: the control plane's decisions are in the crate `controlplane`, the data plane's
//! in `dataplane`. Its errors are enums with the cause as their source, and each prints that cause too, so that one
//! line of a log is enough.

#![deny(missing_docs, unreachable_pub)]

pub mod adapter;
pub mod clock;
pub mod command_line;
pub mod events;
pub mod frames;
pub mod hangups;
pub mod http;
pub mod identity;
pub mod invariants;
pub mod metrics;
pub mod readers;
pub mod ring;
pub mod rng;
pub mod rules;
pub mod seal;
pub mod sockets;
pub mod spec;
