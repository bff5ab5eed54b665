//! The controller's settings: a JSON file whose values flags may override, read and checked at start.
//!
//! The keys are part of the users' interface and keep their names; the fields are named in the terms of
//! the code. If there are several errors, only one is reported: the first wrong value found, else the
//! first missing one. Users therefore see the order of the reads below.

use crate::consensus::{ConsensusTiming, QuorumPolicy};
use crate::leader_state::LeaderTiming;
use common::frames::SocketAddress;
use common::identity::Zone;
use common::readers::{
    PathReader, SettingsError, SettingsSource, read_address, read_addresses, read_listen,
};
use std::path::PathBuf;
use std::time::Duration;

const DEFAULT_PLATFORM_POLL_INTERVAL: Duration = Duration::from_millis(400);

const ROOT_KEYS: &[&str] = &[
    "place",
    "listen",
    "operators",
    "locality",
    "seeds",
    "data",
    "found_first",
    "core_size",
    "core_losses",
    "core_zone_losses",
    "threads",
    "platform",
    "placing",
    "timing",
];

const PLACEMENT_KEYS: &[&str] = &["spread", "emptying"];

const TIMING_KEYS: &[&str] = &[
    "list_every_ms",
    "round_ms",
    "election_shortest_ms",
    "election_longest_ms",
    "grant_ms",
    "drift_ms",
    "strike_ms",
    "replace_ms",
    "hello_ms",
    "left_ms",
    "start_settle_ms",
    "list_lag_ms",
];

/// The settings of one controller.
#[derive(Clone, Debug)]
pub struct ControllerSettings {
    /// The source of the settings, for error messages: the path of the file, or `flags`.
    pub source: String,
    /// The address at which other processes reach the controller.
    pub address: SocketAddress,
    /// The address on which it listens for other processes; the same as `address` unless set.
    pub listen: SocketAddress,
    /// The address at which operators reach the controller.
    pub operators: SocketAddress,
    /// The controller's zone.
    pub zone: Zone,
    /// The addresses of one to three controllers.
    pub seeds: Vec<SocketAddress>,
    /// The data directory. A controller without one never votes and only forwards operators and daemons
    /// to the leader.
    pub data_directory: Option<PathBuf>,
    /// Whether this is the first start of the system, so that the seeds bootstrap the control quorum.
    pub bootstrap_on_first_start: bool,
    /// How many voters the control quorum should have and how they are spread over zones.
    pub quorum_policy: QuorumPolicy,
    /// The number of worker threads.
    pub threads: usize,
    /// The address of the platform's HTTP interface.
    pub platform: SocketAddress,
    /// The time between two reads of the platform's lists while this controller is the leader.
    pub platform_poll_interval: Duration,
    /// The time constants of the consensus.
    pub consensus_timing: ConsensusTiming,
    /// The time constants of the leader state.
    pub leader_state_timing: LeaderTiming,
}

impl ControllerSettings {
    /// Reads and checks the settings.
    ///
    /// # Errors
    ///
    /// [`SettingsError::InvalidKey`] with the first wrong or unknown key, or else the first missing one.
    pub fn read(settings_source: &SettingsSource) -> Result<Self, SettingsError> {
        settings_source.read(|root| Self::read_root(settings_source.name(), root))
    }

    fn read_root(source: &str, root: &PathReader<'_>) -> Option<Self> {
        root.allow_only(ROOT_KEYS);
        let placement = PlacementSettings::read(&root.field("placing"));
        let timing = root.field("timing");
        timing.allow_only(TIMING_KEYS);
        let address = read_address(&root.field("place"));
        let listen = read_listen(root, address);
        let operators = read_address(&root.field("operators"));
        let zone = root.field("locality").text();
        let seeds = read_addresses(&root.field("seeds"), 1..=3);
        let data_reader = root.field("data");
        let data_directory = if data_reader.is_present() {
            Some(PathBuf::from(data_reader.text()?))
        } else {
            None
        };
        let bootstrap_on_first_start = root.field("found_first").bool_or(false);
        let quorum_policy = read_quorum_policy(root);
        let threads = root.field("threads").number_or(1..=64, 2) as usize;
        let platform = read_address(&root.field("platform"));
        let election_timeouts = ElectionTimeouts::read(&timing);
        let lease_times = LeaseTimes::read(&timing);
        Some(Self {
            source: source.to_owned(),
            address: address?,
            listen: listen?,
            operators: operators?,
            zone: Zone::from(zone?),
            seeds: seeds?,
            data_directory,
            bootstrap_on_first_start,
            quorum_policy,
            threads,
            platform: platform?,
            platform_poll_interval: read_millis(
                &timing.field("list_every_ms"),
                DEFAULT_PLATFORM_POLL_INTERVAL,
            ),
            consensus_timing: read_consensus_timing(&timing, election_timeouts),
            leader_state_timing: read_leader_timing(&timing, lease_times, placement),
        })
    }
}

/// The settings for the placement of runners by the leader.
struct PlacementSettings {
    spread_over_zones: bool,
    worker_evacuation: bool,
}

impl PlacementSettings {
    fn read(placement: &PathReader<'_>) -> Self {
        placement.allow_only(PLACEMENT_KEYS);
        Self {
            spread_over_zones: placement.field("spread").bool_or(true),
            worker_evacuation: placement.field("emptying").bool_or(true),
        }
    }
}

/// Reads the number of voters, which is either set directly or derived from the losses to tolerate.
fn read_quorum_policy(root: &PathReader<'_>) -> QuorumPolicy {
    let machine_losses = root.field("core_losses").number_or(0..=4, 1) as usize;
    let zone_losses = root.field("core_zone_losses").number_or(0..=4, 1) as usize;
    let tolerating = QuorumPolicy::tolerating(machine_losses, zone_losses);
    let voters = root
        .field("core_size")
        .number_or(1..=9, tolerating.voters() as u64) as usize;
    QuorumPolicy::new(voters, zone_losses)
}

/// The bounds of the random election timeouts.
struct ElectionTimeouts {
    min: Duration,
    max: Duration,
}

impl ElectionTimeouts {
    /// Reads the bounds. If the longest timeout is below the shortest, it is raised to the shortest.
    fn read(timing: &PathReader<'_>) -> Self {
        let defaults = ConsensusTiming::builder().build();
        let min = read_millis(
            &timing.field("election_shortest_ms"),
            defaults.election_timeout_min,
        );
        let max = read_millis(
            &timing.field("election_longest_ms"),
            defaults.election_timeout_max,
        );
        Self {
            min,
            max: max.max(min),
        }
    }
}

/// The length of session leases and the margin for drifting clocks.
struct LeaseTimes {
    lease_length: Duration,
    drift_margin: Duration,
}

impl LeaseTimes {
    fn read(timing: &PathReader<'_>) -> Self {
        let defaults = LeaderTiming::builder().build();
        Self {
            lease_length: read_millis(&timing.field("grant_ms"), defaults.lease_length),
            drift_margin: read_millis(&timing.field("drift_ms"), defaults.drift_margin),
        }
    }
}

fn read_consensus_timing(
    timing: &PathReader<'_>,
    election_timeouts: ElectionTimeouts,
) -> ConsensusTiming {
    let defaults = ConsensusTiming::builder().build();
    ConsensusTiming::builder()
        .heartbeat_interval(read_millis(
            &timing.field("round_ms"),
            defaults.heartbeat_interval,
        ))
        .hello_interval(read_millis(
            &timing.field("hello_ms"),
            defaults.hello_interval,
        ))
        .election_timeout_min(election_timeouts.min)
        .election_timeout_max(election_timeouts.max)
        .unreachable_voter_timeout(read_millis(
            &timing.field("replace_ms"),
            defaults.unreachable_voter_timeout,
        ))
        .build()
}

fn read_leader_timing(
    timing: &PathReader<'_>,
    lease_times: LeaseTimes,
    placement: PlacementSettings,
) -> LeaderTiming {
    let defaults = LeaderTiming::builder().build();
    let LeaseTimes {
        lease_length,
        drift_margin,
    } = lease_times;
    LeaderTiming::builder()
        .lease_length(lease_length)
        .drift_margin(drift_margin)
        .claims_wait(lease_length + drift_margin)
        .orphan_timeout(read_millis(
            &timing.field("left_ms"),
            defaults.orphan_timeout,
        ))
        .start_request_lag(read_millis(
            &timing.field("start_settle_ms"),
            defaults.start_request_lag,
        ))
        .list_lag(read_millis(&timing.field("list_lag_ms"), defaults.list_lag))
        .spread_over_zones(placement.spread_over_zones)
        .worker_evacuation(placement.worker_evacuation)
        .drop_absent_after(read_millis(
            &timing.field("strike_ms"),
            defaults.drop_absent_after,
        ))
        .build()
}

/// Reads a duration in milliseconds, from 1 to 60,000.
fn read_millis(reader: &PathReader<'_>, default_duration: Duration) -> Duration {
    Duration::from_millis(reader.number_or(1..=60_000, default_duration.as_millis() as u64))
}
