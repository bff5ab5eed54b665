//! What the control plane and the data plane of rudderstream share.
//!
//! - [`identity`]: newtypes for names and numbers.
//! - [`frames`]: what processes send each other, and its binary form.
//! - [`spec`]: the replicated document, the spec in it, and the table that requests are routed by.
//! - [`ring`]: the assignment of functions and watchers to daemons by hashing.
//! - [`readers`]: readers of JSON and settings that report the path of each error.
//! - [`adapter`]: the interfaces to callers, runners and the platform.
//! - [`http`]: HTTP calls, servers and helpers for headers on top of hyper.
//! - [`seal`]: the digest that binds a runner's response to its request.
//! - [`rules`] and [`invariants`]: the safety rules by name, and the checks that the running code makes.
//! - [`events`] and [`metrics`]: what processes report.
//! - [`clock`] and [`rng`]: time and random numbers that a simulation can replace.
//! - [`command_line`] and [`hangups`]: command lines, logging, runtimes and signals of programs.
//! - [`sockets`]: the options of TCP connections.
//!
//! The crate makes no decisions: those of the control plane are in the crate `controlplane`, those of the data plane in
//! `dataplane`. Its errors are enums that keep the cause as their source and include it in their message, so that one
//! log line shows both.

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
