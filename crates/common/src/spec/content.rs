//! The types of a validated spec.

use crate::identity::FunctionName;
use hyper::Method;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// A function of the catalogue (`functions.NAME`). Each field begins with its key in the spec.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct FunctionSpec {
    /// `memory_mb`: the memory of one runner in megabytes, 1 to 1000000; required.
    pub memory_mb: u32,
    /// `boot_ms`: how long a runner takes to start, 0 to 600000 ms; required.
    pub startup: Duration,
    /// `slots`: the maximum number of concurrent requests per runner, 1 to 10000; required.
    pub slots: u32,
    /// `runners.min`: the minimum number of runners while a daemon holds the function, 0 to 1000; by default 0.
    pub min_runners: u32,
    /// `runners.max`: the maximum number of runners, 1 to 1000 and at least `runners.min`; by default 8.
    pub max_runners: u32,
    /// `connections`: the maximum number of connections that one runner accepts, 1 to 100000; by default 1024.
    pub connections: u32,
}

/// A route (`routes.NAME`): the requests that it matches, the functions that serve them, and their limits.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct RouteSpec {
    /// The route's name.
    pub name: String,
    /// `method` and `path`, or `host` and `prefix`: the requests that it matches; required.
    pub matching: RouteMatcher,
    /// `function`: the function that serves the requests, or the first one of `functions`; one of the two keys is
    /// required.
    pub function: FunctionName,
    /// `functions`: the functions that share the requests, with their weights, 0 to 1000000 and not all 0; empty if
    /// `function` serves all requests.
    pub shares: Vec<(FunctionName, u32)>,
    /// `budget_ms`: the longest timeout that a caller may set, 1 to 60000 ms; required.
    pub timeout: Duration,
    /// `patience_ms`: how long a request may wait in the queue, 0 to 60000 ms; by default the same as `budget_ms`.
    pub queue_timeout: Duration,
    /// `target_ms`: the target response time, which guides the order of the queue and the number of runners, 1 to 60000
    /// ms; by default the same as `budget_ms`.
    pub target: Duration,
    /// `rank`: the priority in the queue, 0 (highest) to 255; by default 0.
    pub rank: u8,
    /// `tries`: the maximum number of runners that a request may be sent to, 1 to 100; by default 3.
    pub max_attempts: u32,
    /// `kind`: `once` if a request may be sent to a runner only once, otherwise `repeatable`; required.
    pub once: bool,
    /// `identities`: `may_come_again` (the default) if callers may reuse an idempotency key, so that a ledger replica
    /// must record a request that may run only once before it is sent to a runner; otherwise `fresh`.
    pub recorded: bool,
}

/// The requests that a route matches.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum RouteMatcher {
    /// A method and a path that begins with `/`. In the path, `{name}` matches one segment and `{*name}` the rest.
    Pattern(Method, String),
    /// A host in lower case, and a path prefix that begins and ends with `/`. The longest matching prefix wins.
    Prefix(String, String),
}

/// The limits for callers (`limits`) on the size of requests and on time.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct CallerLimits {
    /// `header_bytes`: the maximum size of a request's head, 1 to 67108864 bytes; by default 64 KiB.
    pub header_bytes: usize,
    /// `body_bytes`: the maximum size of a request's body, 1 to 67108864 bytes; by default 1 MiB.
    pub body_bytes: usize,
    /// `header_ms`: how long the head of a request may take to arrive, 1 to 600000 ms; by default 10 s.
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

/// A spec that was validated and has no errors.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Spec {
    /// The functions by name.
    pub functions: BTreeMap<FunctionName, Arc<FunctionSpec>>,
    /// The routes, sorted by name.
    pub routes: Vec<Arc<RouteSpec>>,
    /// The limits for callers.
    pub limits: CallerLimits,
}
