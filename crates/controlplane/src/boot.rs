//! The controller's boot settings.

use crate::core::{CoreTiming, QuorumShape};
use crate::leader_state::LeaderTiming;
use common::frames::Place;
use common::identity::Zone;
use common::readers::{BootFault, BootSource, PathReader, read_listen, read_place, read_places};
use std::path::PathBuf;
use std::time::Duration;

const LIST_EVERY: Duration = Duration::from_millis(400);

/// What a controller needs to know before it starts.
#[derive(Clone, Debug)]
pub struct ControllerBoot {
    /// Where the settings came from, for fault messages.
    pub source: String,
    /// Where other processes reach it.
    pub place: Place,
    /// Where it listens for them, if that is another port.
    pub listen: Place,
    /// Where operators reach it.
    pub operators: Place,
    /// Its zone.
    pub zone: Zone,
    /// The places of one to three controllers.
    pub seeds: Vec<Place>,
    /// The data folder; without one it never votes, and only passes operators and daemons on.
    pub data: Option<PathBuf>,
    /// Whether the whole system starts for the first time, so that the seeds found the core.
    pub found_first: bool,
    /// The voters that the control quorum is to have.
    pub quorum_shape: QuorumShape,
    /// How many threads it runs on.
    pub threads: usize,
    /// The platform.
    pub platform: Place,
    /// From one reading of the platform's lists to the next, while this controller leads.
    pub list_every: Duration,
    /// The core's times.
    pub core_timing: CoreTiming,
    /// The leader state's times.
    pub leader_state_timing: LeaderTiming,
}

fn read_millis(reader: &PathReader<'_>, default_span: Duration) -> Duration {
    Duration::from_millis(reader.number_or(1..=60_000, default_span.as_millis() as u64))
}

/// How many voters there are, said outright or by what may be lost at once.
fn read_quorum_shape(root: &PathReader<'_>) -> QuorumShape {
    let losses = root.field("core_losses").number_or(0..=4, 1) as usize;
    let zone_losses = root.field("core_zone_losses").number_or(0..=4, 1) as usize;
    let bearing = QuorumShape::bearing(losses, zone_losses);
    let size = root.field("core_size").number_or(1..=9, bearing.voters() as u64) as usize;
    QuorumShape::new(size, zone_losses)
}

impl ControllerBoot {
    /// Reads and checks the settings.
    pub fn read(boot_source: &BootSource) -> Result<Self, BootFault> {
        boot_source.read(|root| {
            root.only(&[
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
            let placing = root.field("placing");
            placing.only(&["spread", "emptying"]);
            let spread = placing.field("spread").flag_or(true);
            let emptying = placing.field("emptying").flag_or(true);
            let timing = root.field("timing");
            timing.only(&[
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
            let core_default = CoreTiming::builder().build();
            let leader_state_default = LeaderTiming::builder().build();
            let place = read_place(&root.field("place"));
            let listen = read_listen(root, place);
            let operators = read_place(&root.field("operators"));
            let zone = root.field("locality").text();
            let seeds = read_places(&root.field("seeds"), 1..=3);
            let data_reader = root.field("data");
            let data =
                if data_reader.is_there() { Some(data_reader.text()?.to_owned()) } else { None };
            let found_first = root.field("found_first").flag_or(false);
            let quorum_shape = read_quorum_shape(root);
            let threads = root.field("threads").number_or(1..=64, 2) as usize;
            let platform = read_place(&root.field("platform"));
            let shortest =
                read_millis(&timing.field("election_shortest_ms"), core_default.election_shortest);
            let longest =
                read_millis(&timing.field("election_longest_ms"), core_default.election_longest);
            let grant_length =
                read_millis(&timing.field("grant_ms"), leader_state_default.grant_length);
            let drift_margin =
                read_millis(&timing.field("drift_ms"), leader_state_default.drift_margin);
            Some(Self {
                source: boot_source.name().to_owned(),
                place: place?,
                listen: listen?,
                operators: operators?,
                zone: Zone::from(zone?),
                seeds: seeds?,
                data: data.map(PathBuf::from),
                found_first,
                quorum_shape,
                threads,
                platform: platform?,
                list_every: read_millis(&timing.field("list_every_ms"), LIST_EVERY),
                core_timing: CoreTiming::builder()
                    .round_every(read_millis(&timing.field("round_ms"), core_default.round_every))
                    .hello_every(read_millis(&timing.field("hello_ms"), core_default.hello_every))
                    .election_shortest(shortest)
                    .election_longest(longest.max(shortest))
                    .replace_after(read_millis(
                        &timing.field("replace_ms"),
                        core_default.replace_after,
                    ))
                    .build(),
                leader_state_timing: LeaderTiming::builder()
                    .grant_length(grant_length)
                    .drift_margin(drift_margin)
                    .claims_wait(grant_length + drift_margin)
                    .left_for(read_millis(&timing.field("left_ms"), leader_state_default.left_for))
                    .start_settle(read_millis(
                        &timing.field("start_settle_ms"),
                        leader_state_default.start_settle,
                    ))
                    .list_lag(read_millis(
                        &timing.field("list_lag_ms"),
                        leader_state_default.list_lag,
                    ))
                    .spread(spread)
                    .emptying(emptying)
                    .strike_after(read_millis(
                        &timing.field("strike_ms"),
                        leader_state_default.strike_after,
                    ))
                    .build(),
            })
        })
    }
}
