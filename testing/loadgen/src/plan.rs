//! The plan of a load: routes, rate, bursts and retries.

use common::frames::SocketAddress;
use common::readers::{PathErrorReason, PathReader, SettingsError, SettingsSource, read_address};
use common::rng::SeededRng;
use hyper::Method;
use serde_json::Value;
use std::path::PathBuf;
use std::time::Duration;

/// A route that clients send requests to.
#[derive(Clone, Debug)]
pub struct PlannedRoute {
    /// The HTTP method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The function that its requests should reach, or a prefix of its name.
    pub function: String,
    /// Whether its requests must run at most once.
    pub once: bool,
    /// The frequency of its requests relative to the other routes.
    pub weight: u64,
    /// The shortest and the longest timeout of its requests.
    pub timeout: (Duration, Duration),
    /// The duration of each run; if absent, the runner chooses it.
    pub run_duration: Option<Duration>,
}

/// How clients retry requests that were not answered.
#[derive(Clone, Debug)]
pub struct RetryBehaviour {
    /// The share of requests that are retried immediately, from 0 to 1.
    pub share: f64,
    /// The maximum number of retries per request.
    pub max_retries: u32,
}

/// Clients that each keep one connection open, until its daemon closes it or terminates.
#[derive(Clone, Copy, Debug)]
pub struct PersistentConnections {
    /// The number of connections. They are spread evenly over all ingresses, whether these are ready or not.
    pub count: usize,
    /// The longest pause between two requests on a connection.
    pub max_pause: Duration,
    /// The index of the only route that the single-route connections use.
    pub single_route: usize,
    /// The number of single-route connections: every second connection from the first, up to this number.
    pub single_route_count: usize,
    /// On average, one in this number of requests is abandoned: the client closes the connection before the response.
    /// Zero for none.
    pub abandon_one_in: u64,
    /// The longest time until a client abandons a request.
    pub max_abandon_delay: Duration,
}

/// Many requests in a short time.
#[derive(Clone, Debug)]
pub struct Burst {
    /// The time of its start, from the start of the load.
    pub start: Duration,
    /// The duration.
    pub duration: Duration,
    /// The number of requests.
    pub count: u64,
    /// The index of the first route that is used.
    pub first_route: usize,
    /// The number of consecutive routes that are used in turn.
    pub route_count: usize,
}

/// The plan of a load.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed of all random choices.
    pub seed: u64,
    /// The duration for which requests are sent at the rate; bursts may last longer.
    pub duration: Duration,
    /// The mean rate of requests per second; the gaps between them are exponentially distributed.
    pub rate: f64,
    /// The ingresses of the daemons.
    pub ingresses: Vec<SocketAddress>,
    /// The platform, which lists the ready ingresses. Without it, all ingresses are used.
    pub platform: Option<SocketAddress>,
    /// The routes.
    pub routes: Vec<PlannedRoute>,
    /// How requests are retried.
    pub retry_behaviour: RetryBehaviour,
    /// The bursts.
    pub bursts: Vec<Burst>,
    /// The clients with persistent connections, if any.
    pub persistent_connections: Option<PersistentConnections>,
    /// The path of the record file.
    pub records: PathBuf,
}

/// Why a plan could not be read.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct PlanError(#[from] SettingsError);

/// Reads a share from 0 to 1; zero if it is missing.
fn share(reader: &PathReader<'_>) -> f64 {
    let read_share = reader.value().and_then(Value::as_f64).unwrap_or(0.0);
    if !(0.0..=1.0).contains(&read_share) {
        reader.add_error(PathErrorReason::Malformed(
            "is not between 0 and 1".to_owned(),
        ));
    }
    read_share
}

/// Reads a duration in milliseconds, up to a day.
fn millis(reader: &PathReader<'_>) -> Option<Duration> {
    reader.number(0..=86_400_000).map(Duration::from_millis)
}

fn optional_millis(reader: &PathReader<'_>) -> Option<Duration> {
    reader.is_present().then(|| millis(reader)).flatten()
}

fn read_persistent_connections(reader: &PathReader<'_>) -> Option<PersistentConnections> {
    if !reader.is_present() {
        return None;
    }
    Some(PersistentConnections {
        count: reader.field("count").number(1..=10_000)? as usize,
        max_pause: millis(&reader.field("longest_pause_ms"))?,
        single_route: reader.field("patient_route").number(0..=100_000)? as usize,
        single_route_count: reader.field("patient_count").number(0..=10_000)? as usize,
        abandon_one_in: reader.field("leaves_one_of").number_or(0..=1_000_000, 0),
        max_abandon_delay: optional_millis(&reader.field("longest_stay_ms")).unwrap_or_default(),
    })
}

fn read_route(reader: &PathReader<'_>) -> Option<PlannedRoute> {
    let timeouts = reader.field("budget_ms").items();
    let method = Method::from_bytes(reader.field("method").text()?.as_bytes()).ok()?;
    Some(PlannedRoute {
        method,
        path: reader.field("path").text()?.to_owned(),
        function: reader.field("function").text()?.to_owned(),
        once: reader.field("once").bool_or(false),
        weight: reader.field("weight").number_or(0..=1_000_000, 1),
        timeout: (millis(timeouts.first()?)?, millis(timeouts.last()?)?),
        run_duration: optional_millis(&reader.field("work_ms")),
    })
}

fn read_burst(reader: &PathReader<'_>) -> Option<Burst> {
    Some(Burst {
        start: millis(&reader.field("at_ms"))?,
        duration: millis(&reader.field("lasts_ms"))?,
        count: reader.field("count").number(1..=1_000_000)?,
        first_route: reader.field("first_route").number_or(0..=100_000, 0) as usize,
        route_count: reader.field("route_count").number_or(1..=100_000, 1) as usize,
    })
}

fn read_items<T>(
    reader: &PathReader<'_>,
    read_item: impl Fn(&PathReader<'_>) -> Option<T>,
) -> Vec<T> {
    reader.items().iter().filter_map(read_item).collect()
}

const FIELDS: [&str; 10] = [
    "seed",
    "lasts_ms",
    "rate",
    "doors",
    "platform",
    "routes",
    "impatience",
    "bursts",
    "kept",
    "records",
];

impl Plan {
    /// Draws the index of a route by weight.
    pub(super) fn random_route(&self, rng: &mut SeededRng) -> usize {
        let weight_sum: u64 = self.routes.iter().map(|route| route.weight).sum();
        let mut point = rng.below(weight_sum.max(1));
        let chosen_index = self.routes.iter().position(|route| {
            let is_chosen = point < route.weight;
            point = point.saturating_sub(route.weight);
            is_chosen
        });
        chosen_index.unwrap_or(0)
    }

    /// Reads a plan.
    ///
    /// # Errors
    /// Fails with one error: the first field that is unknown or malformed, or else the first that is missing.
    pub fn read(source: &SettingsSource) -> Result<Self, PlanError> {
        Ok(source.read(Self::read_root)?)
    }

    fn read_root(root: &PathReader<'_>) -> Option<Self> {
        root.allow_only(&FIELDS);
        let retry_reader = root.field("impatience");
        let platform_reader = root.field("platform");
        let ingresses = read_items(&root.field("doors"), read_address);
        let routes = read_items(&root.field("routes"), read_route);
        if ingresses.is_empty() || routes.is_empty() {
            root.field("doors").add_error(PathErrorReason::Malformed(
                "and routes must not be empty".to_owned(),
            ));
        }
        let bursts = read_items(&root.field("bursts"), read_burst);
        Some(Self {
            seed: root.field("seed").number_or(0..=u64::MAX, 1),
            duration: millis(&root.field("lasts_ms"))?,
            rate: root.field("rate").value().and_then(Value::as_f64)?,
            ingresses,
            platform: if platform_reader.is_present() {
                read_address(&platform_reader)
            } else {
                None
            },
            routes,
            retry_behaviour: RetryBehaviour {
                share: share(&retry_reader.field("share")),
                max_retries: retry_reader.field("most").number_or(0..=100, 0) as u32,
            },
            bursts,
            persistent_connections: read_persistent_connections(&root.field("kept")),
            records: PathBuf::from(root.field("records").text()?),
        })
    }
}
