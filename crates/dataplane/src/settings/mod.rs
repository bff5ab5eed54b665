//! The settings of a daemon, read once when the process starts.

use crate::holder::{IdleCost, Tuning};
use common::frames::SocketAddress;
use common::identity::{MemberName, Region, Zone};
use common::readers::{
    PathReader, SettingsError, SettingsSource, read_address, read_addresses, read_listen,
};
use common::ring::Regions;
use std::time::Duration;

/// The valid keys of the settings. Any other key is an error.
const SETTINGS_KEYS: [&str; 27] = [
    "member",
    "locality",
    "place",
    "listen",
    "door",
    "seeds",
    "platform",
    "largest_body",
    "grace_ms",
    "threads",
    "ready",
    "beat_ms",
    "link_mbps",
    "warm",
    "regions",
    "tries_percent",
    "tries_allowance",
    "tries_allowance_at_once",
    "idle_boots",
    "idle_rare_ms",
    "idle_stop",
    "start_mb_s",
    "late_mb_s",
    "rise_ms",
    "margin_percent",
    "fall_ms",
    "drain_every_ms",
];

/// The settings of a daemon.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// The source of the settings, for error messages.
    pub source: String,
    /// The daemon's member name.
    pub member: MemberName,
    /// The daemon's zone.
    pub zone: Zone,
    /// The address at which other processes reach the daemon, over TCP and UDP.
    pub address: SocketAddress,
    /// The address on which the daemon listens for other processes; `address` unless set otherwise.
    pub listen: SocketAddress,
    /// The address on which the daemon accepts callers.
    pub ingress: SocketAddress,
    /// The addresses of up to three controllers.
    pub seeds: Vec<SocketAddress>,
    /// The address of the platform.
    pub platform: SocketAddress,
    /// The maximum size in bytes of a body from a caller or a runner.
    pub max_body_bytes: usize,
    /// How long a graceful shutdown may take.
    pub grace: Duration,
    /// The number of worker threads: zero for the default, one for a single-threaded runtime.
    pub threads: usize,
    /// The address that serves readiness and metrics; `None` if the callers' listener does.
    pub ready: Option<SocketAddress>,
    /// The interval between two heartbeats.
    pub heartbeat_interval: Duration,
    /// The bandwidth of the machine's network link in megabits per second; zero if unknown.
    pub link_mbps: u32,
    /// Whether functions whose startup takes longer than callers should wait are acquired before the first call.
    pub warm: bool,
    /// The region of each zone.
    pub regions: Regions,
    /// The tuning parameters of held functions.
    pub tuning: Tuning,
}

impl DaemonSettings {
    /// Reads and validates the settings. The error lists every invalid one.
    pub fn read(settings_source: &SettingsSource) -> Result<Self, SettingsError> {
        settings_source.read(|root| {
            root.allow_only(&SETTINGS_KEYS);
            let member = root.field("member").text();
            let zone = root.field("locality").text();
            let address = read_address(&root.field("place"));
            let listen = read_listen(root, address);
            let ingress = read_address(&root.field("door"));
            let seeds = read_addresses(&root.field("seeds"), 1..=3);
            let platform = read_address(&root.field("platform"));
            let max_body_bytes = root.field("largest_body").number_or(1..=64 << 20, 1 << 20);
            let grace_ms = root.field("grace_ms").number_or(500..=60_000, 5_600);
            let threads = root.field("threads").number_or(0..=256, 0);
            let ready_reader = root.field("ready");
            let ready = if ready_reader.is_present() {
                Some(read_address(&ready_reader)?)
            } else {
                None
            };
            let heartbeat_ms = root.field("beat_ms").number_or(20..=10_000, 250);
            let link_mbps = root.field("link_mbps").number_or(0..=1_000_000, 0) as u32;
            let warm = root.field("warm").bool_or(false);
            let regions = read_regions(&root.field("regions"));
            let tuning = read_tuning(root);
            Some(Self {
                source: settings_source.name().to_owned(),
                member: MemberName::from(member?),
                zone: Zone::from(zone?),
                address: address?,
                listen: listen?,
                ingress: ingress?,
                seeds: seeds?,
                platform: platform?,
                max_body_bytes: max_body_bytes as usize,
                grace: Duration::from_millis(grace_ms),
                threads: threads as usize,
                ready,
                heartbeat_interval: Duration::from_millis(heartbeat_ms),
                link_mbps,
                warm,
                regions,
                tuning,
            })
        })
    }
}

/// Reads the regions: an object that maps the name of each zone to the name of its region.
fn read_regions(reader: &PathReader<'_>) -> Regions {
    let zones = reader.fields().into_iter();
    let region_by_zone =
        zones.filter_map(|(zone, region)| Some((Zone::from(zone), Region::from(region.text()?))));
    Regions::new(region_by_zone.collect())
}

/// Placeholder for an invalid `idle_rare_ms`. It never takes effect: the error is reported, and the process does not
/// start.
const IDLE_RARE_PLACEHOLDER: Duration = Duration::from_secs(1);

fn read_idle_cost(root: &PathReader<'_>) -> IdleCost {
    let default = IdleCost::default();
    let megabyte_seconds = |key: &str, default_value: u32| {
        root.field(key)
            .number_or(0..=100_000_000, u64::from(default_value)) as u32
    };
    IdleCost {
        start_cost_mb_s: megabyte_seconds("start_mb_s", default.start_cost_mb_s),
        late_cost_mb_s: megabyte_seconds("late_mb_s", default.late_cost_mb_s),
    }
}

fn read_tuning(root: &PathReader<'_>) -> Tuning {
    let default = Tuning::default();
    let duration = |key: &str, default_duration: Duration| {
        let millis = root
            .field(key)
            .number_or(1..=600_000, default_duration.as_millis() as u64);
        Duration::from_millis(millis)
    };
    let count = |key: &str, limit: u64, default_count: u64| {
        root.field(key).number_or(0..=limit, default_count)
    };
    Tuning {
        retry_percent: count("tries_percent", 1000, default.retry_percent),
        retry_allowance: count("tries_allowance", 1_000_000, default.retry_allowance),
        retry_allowance_immediate: root.field("tries_allowance_at_once").bool_or(false),
        idle_startups: count("idle_boots", 1_000_000, u64::from(default.idle_startups)) as u32,
        lists_running: default.lists_running,
        rare_idle_limit: root
            .field("idle_rare_ms")
            .is_present()
            .then(|| duration("idle_rare_ms", IDLE_RARE_PLACEHOLDER)),
        idle_cost: root
            .field("idle_stop")
            .bool_or(false)
            .then(|| read_idle_cost(root)),
        rate_window: duration("rise_ms", default.rate_window),
        margin_percent: count("margin_percent", 10_000, u64::from(default.margin_percent)) as u32,
        decay: root
            .field("fall_ms")
            .is_present()
            .then(|| duration("fall_ms", Duration::ZERO)),
        drain_interval: root
            .field("drain_every_ms")
            .is_present()
            .then(|| duration("drain_every_ms", Duration::ZERO)),
    }
}
