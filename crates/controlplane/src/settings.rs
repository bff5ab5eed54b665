//! The controller's boot settings.

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

/// What a controller needs to know before it starts.
#[derive(Clone, Debug)]
pub struct ControllerSettings {
    /// Where the settings came from, for fault messages.
    pub source: String,
    /// Where other processes reach it.
    pub address: SocketAddress,
    /// Where it listens for them, if that is another port.
    pub listen: SocketAddress,
    /// Where operators reach it.
    pub operators: SocketAddress,
    /// Its zone.
    pub zone: Zone,
    /// The places of one to three controllers.
    pub seeds: Vec<SocketAddress>,
    /// The data folder; without one it never votes, and only passes operators and daemons on.
    pub data: Option<PathBuf>,
    /// Whether the whole system starts for the first time, so that the seeds found the core.
    pub bootstrap_on_first_start: bool,
    /// The voters that the control quorum is to have.
    pub quorum_policy: QuorumPolicy,
    /// How many threads it runs on.
    pub threads: usize,
    /// The platform.
    pub platform: SocketAddress,
    /// From one reading of the platform's lists to the next, while this controller leads.
    pub platform_poll_interval: Duration,
    /// The core's times.
    pub consensus_timing: ConsensusTiming,
    /// The leader state's times.
    pub leader_state_timing: LeaderTiming,
}

fn read_millis(reader: &PathReader<'_>, default_duration: Duration) -> Duration {
    Duration::from_millis(reader.number_or(1..=60_000, default_duration.as_millis() as u64))
}

/// How many voters there are, said outright or by what may be lost at once.
fn read_quorum_policy(root: &PathReader<'_>) -> QuorumPolicy {
    let losses = root.field("core_losses").number_or(0..=4, 1) as usize;
    let zone_losses = root.field("core_zone_losses").number_or(0..=4, 1) as usize;
    let tolerating = QuorumPolicy::tolerating(losses, zone_losses);
    let size = root
        .field("core_size")
        .number_or(1..=9, tolerating.voters() as u64) as usize;
    QuorumPolicy::new(size, zone_losses)
}

impl ControllerSettings {
    /// Reads and checks the settings.
    pub fn read(settings_source: &SettingsSource) -> Result<Self, SettingsError> {
        settings_source.read(|root| {
            root.allow_only(&[
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
            ]);
            let placement = root.field("placing");
            placement.allow_only(&["spread", "emptying"]);
            let spread_over_zones = placement.field("spread").bool_or(true);
            let worker_evacuation = placement.field("emptying").bool_or(true);
            let timing = root.field("timing");
            timing.allow_only(&[
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
            ]);
            let default_consensus_timing = ConsensusTiming::builder().build();
            let default_leader_timing = LeaderTiming::builder().build();
            let address = read_address(&root.field("place"));
            let listen = read_listen(root, address);
            let operators = read_address(&root.field("operators"));
            let zone = root.field("locality").text();
            let seeds = read_addresses(&root.field("seeds"), 1..=3);
            let data_reader = root.field("data");
            let data = if data_reader.is_present() {
                Some(data_reader.text()?.to_owned())
            } else {
                None
            };
            let bootstrap_on_first_start = root.field("found_first").bool_or(false);
            let quorum_policy = read_quorum_policy(root);
            let threads = root.field("threads").number_or(1..=64, 2) as usize;
            let platform = read_address(&root.field("platform"));
            let election_timeout_min = read_millis(
                &timing.field("election_shortest_ms"),
                default_consensus_timing.election_timeout_min,
            );
            let election_timeout_max = read_millis(
                &timing.field("election_longest_ms"),
                default_consensus_timing.election_timeout_max,
            );
            let lease_length = read_millis(
                &timing.field("grant_ms"),
                default_leader_timing.lease_length,
            );
            let drift_margin = read_millis(
                &timing.field("drift_ms"),
                default_leader_timing.drift_margin,
            );
            Some(Self {
                source: settings_source.name().to_owned(),
                address: address?,
                listen: listen?,
                operators: operators?,
                zone: Zone::from(zone?),
                seeds: seeds?,
                data: data.map(PathBuf::from),
                bootstrap_on_first_start,
                quorum_policy,
                threads,
                platform: platform?,
                platform_poll_interval: read_millis(
                    &timing.field("list_every_ms"),
                    DEFAULT_PLATFORM_POLL_INTERVAL,
                ),
                consensus_timing: ConsensusTiming::builder()
                    .heartbeat_interval(read_millis(
                        &timing.field("round_ms"),
                        default_consensus_timing.heartbeat_interval,
                    ))
                    .hello_interval(read_millis(
                        &timing.field("hello_ms"),
                        default_consensus_timing.hello_interval,
                    ))
                    .election_timeout_min(election_timeout_min)
                    .election_timeout_max(election_timeout_max.max(election_timeout_min))
                    .unreachable_voter_timeout(read_millis(
                        &timing.field("replace_ms"),
                        default_consensus_timing.unreachable_voter_timeout,
                    ))
                    .build(),
                leader_state_timing: LeaderTiming::builder()
                    .lease_length(lease_length)
                    .drift_margin(drift_margin)
                    .claims_wait(lease_length + drift_margin)
                    .orphan_timeout(read_millis(
                        &timing.field("left_ms"),
                        default_leader_timing.orphan_timeout,
                    ))
                    .start_settle(read_millis(
                        &timing.field("start_settle_ms"),
                        default_leader_timing.start_settle,
                    ))
                    .list_lag(read_millis(
                        &timing.field("list_lag_ms"),
                        default_leader_timing.list_lag,
                    ))
                    .spread_over_zones(spread_over_zones)
                    .worker_evacuation(worker_evacuation)
                    .drop_absent_after(read_millis(
                        &timing.field("strike_ms"),
                        default_leader_timing.drop_absent_after,
                    ))
                    .build(),
            })
        })
    }
}
