//! What a checked spec consists of.

use crate::identity::FunctionName;
use hyper::Method;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// One function of the catalogue (`functions.NAME`).
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct FunctionSpec {
    /// `memory_mb`: the memory of one runner in megabytes, 1 to 1000000; required.
    pub memory_mb: u32,
    /// `boot_ms`: how long a runner takes to start, 0 to 600000 ms; required.
    pub startup: Duration,
    /// `slots`: how many requests one runner may run at once, 1 to 10000; required.
    pub slots: u32,
    /// `runners.min`: the fewest runners while the function is held, 0 to 1000; by default 0.
    pub min_runners: u32,
    /// `runners.max`: the most runners, 1 to 1000 and at least `runners.min`; by default 8.
    pub max_runners: u32,
    /// `connections`: how many connections one runner accepts, 1 to 100000; by default 1024.
    pub connections: u32,
}

/// One route (`routes.NAME`): which requests go to which function, and within which limits.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct RouteSpec {
    /// The route's name.
    pub name: String,
    /// `method` and `path`, or `host` and `prefix`: the requests that it matches; required.
    pub matching: RouteMatcher,
    /// `function`: the function that requests go to, or the first one of `functions`; one of the two is required.
    pub function: FunctionName,
    /// `functions`: several functions with their weights, 0 to 1000000 and not all 0; empty if all requests go to
    /// `function`.
    pub shares: Vec<(FunctionName, u32)>,
    /// `budget_ms`: the longest time-out that a caller may set, 1 to 60000 ms; required.
    pub timeout: Duration,
    /// `patience_ms`: how long a request may wait in the queue, 0 to 60000 ms; by default as `budget_ms`.
    pub queue_timeout: Duration,
    /// `target_ms`: within which time a response has its full value, 1 to 60000 ms; by default as `budget_ms`.
    pub target: Duration,
    /// `rank`: the priority in the queue, 0 (first) to 255; by default 0.
    pub rank: u8,
    /// `tries`: how many runners a request may be sent to, 1 to 100; by default 3.
    pub max_attempts: u32,
    /// `kind`: `once` if a request may be sent to a runner only once, else `repeatable`; required.
    pub once: bool,
    /// `identities`: `may_come_again` (the default) if callers may repeat an idempotency key, so that a request that
    /// may run only once is recorded by a ledger replica before it is sent; else `fresh`.
    pub recorded: bool,
}

/// The requests that a route matches.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum RouteMatcher {
    /// A method and a path that begins with `/`. In the path `{name}` matches one segment and `{*name}` the rest.
    Pattern(Method, String),
    /// A host in lower case, and a prefix of the path that begins and ends with `/`. The longest matching prefix wins.
    Prefix(String, String),
}

/// The limits for callers (`limits`): what they may send, and how long they may take.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct CallerLimits {
    /// `header_bytes`: the largest head of a request, 1 to 67108864 bytes; by default 64 KiB.
    pub header_bytes: usize,
    /// `body_bytes`: the largest body, 1 to 67108864 bytes; by default 1 MiB.
    pub body_bytes: usize,
    /// `header_ms`: how long a head may take to arrive, 1 to 600000 ms; by default 10 s.
    pub header: Duration,
    /// `idle_ms`: how long a connection may be idle, 1 to 600000 ms; by default 60 s.
    pub idle: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 64 << 10,
            body_bytes: 1 << 20,
            header: Duration::from_secs(10),
            idle: Duration::from_secs(60),
        }
    }
}

/// A spec without errors.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Spec {
    /// The functions by name.
    pub functions: BTreeMap<FunctionName, Arc<FunctionSpec>>,
    /// The routes in the order of their names.
    pub routes: Vec<Arc<RouteSpec>>,
    /// The limits for callers.
    pub limits: CallerLimits,
}
