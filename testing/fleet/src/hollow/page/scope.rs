use super::Run;
use super::figure::{Figure, Unit};
use super::fit::{Fit, Term};

/// What a daemon may spend on control: bytes a second, microseconds of a core a second, megabytes.
const BYTES_BUDGET: f64 = 5_000.0;
const BUSY_BUDGET: f64 = 50_000.0;
const MEMORY_BUDGET: f64 = 256.0;
/// The largest datagram that no network breaks up, without headers.
const DATAGRAM_BUDGET: f64 = 1_472.0;
/// A controller's state machine runs in one task: one core.
const CONTROLLER_BUDGET: f64 = 1.0;
const CORE_MICROS: f64 = 1e-6;
const FORCE_BUDGET_MS: f64 = 5_000.0;
const START_BUDGET_MS: f64 = 500.0;
/// Door to hash owner, there to the leader and back, the reservation there and back, and the answer: six
/// ways of 35 ms, 5 ms at the platform and 2 ms to the first probe.
const START_WAY_MS: f64 = 217.0;
const LONGEST_BOOT_MS: f64 = 1_400.0;
const PLATFORM_CALLS_BUDGET: f64 = 26.0;
const PLATFORM_PAGE: f64 = 200.0;
/// Machines in a rack, in a zone, and in a region.
const RACK: f64 = 20.0;
const ZONE: f64 = 74.0;
const REGION: f64 = 247.0;

const DAEMONS: f64 = 740.0;
const INSTANCES: f64 = 40_000.0;
const CALLS_AT_ONE: f64 = 97_000.0 / 740.0;
const CHANGES_A_SECOND: f64 = 1_800.0 / 86_400.0;
/// Each daemon that fails or is replaced leaves and joins: two lists to every daemon.
const HOSTS_A_SECOND: f64 = 2.0 * 143.0 / 86_400.0;
const RENEWALS_A_SECOND: f64 = DAEMONS / 0.3;
const POLLS_A_SECOND: f64 = 2.5;
const MEGABYTE: f64 = 1e6;

const DOOR_STREAM: [&str; 2] = ["door renewals", "door others"];
const LEADING_STREAM: [&str; 2] = ["leading renewals", "leading idle"];

/// Every line that the page's figures are worked out from.
pub struct Scope {
    /// Heartbeat bytes that a daemon sends and hears a second.
    pub beat_bytes: Fit,
    /// One renewal at the leader, in microseconds.
    pub renewal_each: Fit,
    /// One daemon's word of idle functions at the leader, in microseconds.
    pub idle_each: Fit,
    /// The leader's ticks, a second.
    pub leading_ticks: Fit,
    /// The leader's talk with the core, a second.
    pub leading_core: Fit,
    /// The network's part of a change, in milliseconds.
    pub force_network: Fit,
    /// The leader's own part of a change, in milliseconds.
    pub force_leader: Fit,
    /// One daemon's word of a spec installed, at the leader, in microseconds.
    pub installed_each: Fit,
    /// The slowest daemon's install, in milliseconds.
    pub install: Fit,
}

fn seconds_of(run: &Run) -> f64 {
    run.number("measured_s")
}

fn stream_rate(run: &Run, works: &[&str]) -> f64 {
    works.iter().map(|work| run.rate(work, "sent_bytes") + run.rate(work, "heard_bytes")).sum()
}

const LOADED: [Term; 3] = [Term::One, Term::Daemons, Term::Held];
const LOADED_AND_CHANGED: [Term; 5] =
    [Term::One, Term::Daemons, Term::Held, Term::Changes, Term::ChangedFunctions];

impl Scope {
    /// Fits the lines to whole runs without calls.
    pub fn of(runs: &[Run]) -> Self {
        let calm: Vec<&Run> = runs.iter().filter(|run| run.is_calm()).collect();
        Self {
            beat_bytes: Fit::of(&[Term::One, Term::Daemons], &calm, |run| {
                let sent_and_heard =
                    run.rate("door beats", "sent_bytes") + run.rate("door beats", "heard_bytes");
                Some(sent_and_heard / run.daemons())
            }),
            renewal_each: Fit::of(&LOADED, &calm, |run| run.each("leading renewals")),
            idle_each: Fit::of(&LOADED, &calm, |run| run.each("leading idle")),
            leading_ticks: Fit::of(&LOADED_AND_CHANGED, &calm, |run| {
                Some(run.busy("leading ticks"))
            }),
            leading_core: Fit::of(&LOADED_AND_CHANGED, &calm, |run| Some(run.busy("leading core"))),
            force_network: Fit::of(&[Term::One], &calm, |run| {
                run.in_force().map(|(network_ms, _, _)| network_ms)
            }),
            force_leader: Fit::of(
                &[Term::One, Term::Daemons, Term::DaemonsSquared, Term::Functions, Term::Held],
                &calm,
                |run| run.in_force().map(|(_, leader_ms, _)| leader_ms),
            ),
            installed_each: Fit::of(&LOADED, &calm, |run| run.each("leading spec")),
            install: Fit::of(&[Term::One, Term::Functions], &calm, |run| {
                run.in_force().map(|(_, _, install_ms)| install_ms)
            }),
        }
    }

    /// A daemon as door.
    pub fn door(&self, runs: &[Run]) -> Vec<Figure> {
        let calm: Vec<&Run> = runs.iter().filter(|run| run.is_calm()).collect();
        let called: Vec<&Run> = runs.iter().filter(|run| run.is_called()).collect();
        let by_daemon = |terms: &[Term], read: &dyn Fn(&Run) -> f64| {
            Fit::of(terms, &calm, |run| Some(read(run) / run.daemons()))
        };
        let of_change = |terms: &[Term], read: &dyn Fn(&Run) -> f64| {
            Fit::of(terms, &calm, |run| Some(read(run) / run.number("changes") / run.daemons()))
        };
        let beats =
            Figure::of("heartbeats sent and heard", Unit::BytesASecond, &self.beat_bytes, 1.0);
        let renewals = by_daemon(&[Term::One], &|run| stream_rate(run, &DOOR_STREAM));
        let renewals = Figure::of("renewals sent and heard", Unit::BytesASecond, &renewals, 1.0);
        let hosts =
            Fit::of(&[Term::One, Term::Daemons], &calm, |run| Some(run.number("hosts_bytes")));
        let hosts = Figure::of(
            "lists of daemons, 143 leaving and joining a day",
            Unit::BytesASecond,
            &hosts,
            HOSTS_A_SECOND,
        );
        let spec_bytes = of_change(&[Term::One, Term::Functions], &|run| {
            run.work("door spec", "heard_bytes") + run.work("door spec", "sent_bytes")
        });
        let spec_bytes =
            Figure::of("changes of the spec", Unit::BytesASecond, &spec_bytes, CHANGES_A_SECOND);
        let all_bytes = Figure::sum(
            "**control bytes**",
            Unit::BytesASecond,
            &[&beats, &renewals, &hosts, &spec_bytes],
        );
        let beat_count = by_daemon(&[Term::One], &|run| {
            run.rate("door beats", "sent") + run.rate("door beats", "heard")
        });
        let messages =
            Figure::of("heartbeats sent and heard", Unit::MessagesASecond, &beat_count, 1.0);
        let beat_size =
            Fit::of(&[Term::One, Term::Daemons], &calm, |run| Some(run.number("heartbeat_bytes")));
        let beat_size = Figure::of("one heartbeat", Unit::Bytes, &beat_size, 1.0);
        let unseen = Fit::of(&[Term::One], &calm, |run| {
            (run.daemons() == DAEMONS).then(|| DAEMONS / run.number("alive_seen"))
        });
        let unseen = Figure::of(
            "daemons there are for each that a daemon counts as alive, measured at 740",
            Unit::Times,
            &unseen,
            1.0,
        );
        let ticks = self.door_ticks(runs);
        let ticks = Figure::of(
            "ticks, without held functions",
            Unit::BusyASecond,
            &ticks.without(Term::HeldByOne),
            1.0,
        );
        let beats_busy = by_daemon(&[Term::One, Term::Daemons], &|run| run.busy("door beats"));
        let beats_busy = Figure::of("heartbeats", Unit::BusyASecond, &beats_busy, 1.0);
        let renewals_busy = by_daemon(&[Term::One], &|run| run.busy("door renewals"));
        let renewals_busy = Figure::of("renewals", Unit::BusyASecond, &renewals_busy, 1.0);
        let spec_busy = of_change(&[Term::One, Term::Functions], &|run| {
            run.work("door spec", "think_us") + run.work("door spec", "wire_us")
        });
        let spec_busy =
            Figure::of("changes of the spec", Unit::BusyASecond, &spec_busy, CHANGES_A_SECOND);
        let all_busy = Figure::sum(
            "**control processor time**",
            Unit::BusyASecond,
            &[&ticks, &beats_busy, &renewals_busy, &spec_busy],
        );
        let memory = Fit::of(&[Term::One, Term::Daemons, Term::Functions], &calm, |run| {
            Some(run.number("door_bytes") / MEGABYTE)
        });
        let memory = Figure::of("memory kept", Unit::Megabytes, &memory, 1.0);
        let swell = Fit::of(&[Term::One, Term::Functions], &calm, |run| {
            Some(run.work("door spec", "swell_bytes") / MEGABYTE)
        });
        let swell =
            Figure::of("memory on top while a change is installed", Unit::Megabytes, &swell, 1.0);
        let all_memory = Figure::sum("**memory**", Unit::Megabytes, &[&memory, &swell]);
        let install =
            Figure::of("the slowest install of a change", Unit::Millis, &self.install, 1.0);
        let call = Fit::of(&[Term::One], &called, |run| {
            Some(run.busy("door calls") * seconds_of(run) / run.number("called"))
        });
        let call =
            Figure::of("calls on their way (not control)", Unit::BusyASecond, &call, CALLS_AT_ONE);
        vec![
            beats,
            renewals,
            hosts,
            spec_bytes,
            all_bytes.within(BYTES_BUDGET),
            messages,
            beat_size.within(DATAGRAM_BUDGET),
            unseen.within(1.0),
            ticks,
            beats_busy,
            renewals_busy,
            spec_busy,
            all_busy.within(BUSY_BUDGET),
            memory,
            swell,
            all_memory.within(MEMORY_BUDGET),
            install,
            call,
        ]
    }

    fn door_ticks(&self, runs: &[Run]) -> Fit {
        let calm: Vec<&Run> = runs.iter().filter(|run| run.is_calm()).collect();
        let terms = [Term::One, Term::Daemons, Term::HeldByOne];
        Fit::of(&terms, &calm, |run| Some(run.busy("door ticks") / run.daemons()))
    }

    /// A daemon as holder.
    pub fn holder(&self, runs: &[Run]) -> Vec<Figure> {
        let calm: Vec<&Run> = runs.iter().filter(|run| run.is_calm()).collect();
        let called: Vec<&Run> = runs.iter().filter(|run| run.is_called()).collect();
        let terms = [Term::One, Term::HeldByOne];
        let by_daemon = |read: &dyn Fn(&Run) -> f64| {
            Fit::of(&terms, &calm, |run| Some(read(run) / run.daemons()))
        };
        let by_call = |read: &dyn Fn(&Run) -> f64| {
            Fit::of(&[Term::One], &called, |run| {
                Some(read(run) * seconds_of(run) / run.number("called"))
            })
        };
        let idle_bytes = by_daemon(&|run| run.rate("holder idle", "sent_bytes"));
        let idle_bytes = Figure::of(
            "word of functions that are not called",
            Unit::BytesASecond,
            &idle_bytes,
            1.0,
        );
        let idle_count = by_daemon(&|run| run.rate("holder idle", "sent"));
        let idle_count = Figure::of(
            "word of functions that are not called",
            Unit::MessagesASecond,
            &idle_count,
            1.0,
        );
        let idle_busy = by_daemon(&|run| run.busy("holder idle"));
        let idle_busy =
            Figure::of("word of functions that are not called", Unit::BusyASecond, &idle_busy, 1.0);
        let ticks = self.door_ticks(runs).only(Term::HeldByOne);
        let ticks = Figure::of("ticks of held functions", Unit::BusyASecond, &ticks, 1.0);
        let all_busy =
            Figure::sum("**control processor time**", Unit::BusyASecond, &[&idle_busy, &ticks]);
        let memory = Fit::of(&terms, &calm, |run| Some(run.number("holder_bytes") / MEGABYTE));
        let memory = Figure::of("**memory** of held functions", Unit::Megabytes, &memory, 1.0);
        let runs_busy = by_call(&|run| run.busy("holder runs"));
        let runs_busy = Figure::of(
            "calls at their holder (not control)",
            Unit::BusyASecond,
            &runs_busy,
            CALLS_AT_ONE,
        );
        let ledger_busy = by_call(&|run| run.busy("holder stewards"));
        let ledger_busy = Figure::of(
            "ledgers and stewards, one call in four once (not control)",
            Unit::BusyASecond,
            &ledger_busy,
            CALLS_AT_ONE,
        );
        let ledger_bytes = by_call(&|run| run.rate("holder stewards", "sent_bytes"));
        let ledger_bytes = Figure::of(
            "ledgers and stewards, one call in four once (not control)",
            Unit::BytesASecond,
            &ledger_bytes,
            CALLS_AT_ONE,
        );
        let cold_start = Fit::fixed(START_WAY_MS + LONGEST_BOOT_MS);
        let cold_start = Figure::of(
            "a start across regions: 217 ms of ways, and the longest boot of 1.4 s",
            Unit::Millis,
            &cold_start,
            1.0,
        );
        vec![
            idle_bytes.within(BYTES_BUDGET),
            idle_count,
            idle_busy,
            ticks,
            all_busy.within(BUSY_BUDGET),
            memory.within(MEMORY_BUDGET),
            runs_busy,
            ledger_busy,
            ledger_bytes,
            cold_start.within(START_BUDGET_MS),
        ]
    }

    /// A controller that follows.
    pub fn following(&self, runs: &[Run]) -> Vec<Figure> {
        let calm: Vec<&Run> = runs.iter().filter(|run| run.is_calm()).collect();
        let terms = [Term::One, Term::Daemons, Term::Changes, Term::ChangedFunctions];
        let by_one =
            |read: &dyn Fn(&Run) -> f64| Fit::of(&terms, &calm, |run| Some(read(run) / 2.0));
        let bytes = by_one(&|run| {
            run.rate("following core", "heard_bytes") + run.rate("following core", "sent_bytes")
        });
        let disk = by_one(&|run| run.rate("following disk", "sent_bytes"));
        let busy = by_one(&|run| {
            run.busy("following core") + run.busy("following disk") + run.busy("following ticks")
        });
        let memory = Fit::of(&[Term::One, Term::Daemons, Term::Functions], &calm, |run| {
            Some(run.number("following_bytes") / MEGABYTE)
        });
        let count = Fit::of(&[Term::One], &calm, |run| {
            Some((run.rate("following core", "heard") + run.rate("following core", "sent")) / 2.0)
        });
        vec![
            Figure::of("the core's talk", Unit::BytesASecond, &bytes, 1.0),
            Figure::of("the core's talk", Unit::MessagesASecond, &count, 1.0),
            Figure::of("documents to disk", Unit::BytesASecond, &disk, 1.0),
            Figure::of("**processor time**", Unit::Cores, &busy, CORE_MICROS)
                .within(CONTROLLER_BUDGET),
            Figure::of("**memory kept**", Unit::Megabytes, &memory, 1.0),
        ]
    }

    /// The leader's processor time a second at any size, in microseconds.
    pub fn leader_busy(&self, value_of: &dyn Fn(Term) -> f64) -> f64 {
        let daemons = value_of(Term::Daemons);
        self.renewal_each.line.at(value_of) * daemons / 0.3
            + self.idle_each.line.at(value_of) * daemons
            + self.leading_ticks.line.at(value_of)
            + self.leading_core.line.at(value_of)
    }

    /// The time of a change to in force at any size, in milliseconds.
    pub fn force_ms(&self, value_of: &dyn Fn(Term) -> f64) -> f64 {
        self.force_network.line.at(value_of)
            + self.force_leader.line.at(value_of)
            + self.install.line.at(value_of)
    }

    /// The controller that leads.
    pub fn leading(&self, runs: &[Run]) -> Vec<Figure> {
        let calm: Vec<&Run> = runs.iter().filter(|run| run.is_calm()).collect();
        let loaded = |name: &str, fit: &Fit, factor: f64| {
            Figure::of(name, Unit::Cores, fit, factor * CORE_MICROS)
        };
        let renewals = loaded("renewals", &self.renewal_each, RENEWALS_A_SECOND);
        let idle = loaded("word of idle functions", &self.idle_each, DAEMONS);
        let ticks = loaded("ticks and commits", &self.leading_ticks, 1.0);
        let core = loaded("the core's talk", &self.leading_core, 1.0);
        let installed = loaded("specs installed", &self.installed_each, DAEMONS * CHANGES_A_SECOND);
        let lists =
            Fit::of(&[Term::One, Term::Instances], &calm, |run| Some(run.busy("leading lists")));
        let lists = loaded("the platform's lists taken in", &lists, 1.0);
        let rows = [&renewals, &idle, &ticks, &core, &installed, &lists];
        let all_busy = Figure::sum("**processor time**", Unit::Cores, &rows);
        let stream = Fit::of(&[Term::Daemons, Term::Held], &calm, |run| {
            Some(stream_rate(run, &LEADING_STREAM))
        });
        let stream_count = Fit::of(&[Term::Daemons], &calm, |run| {
            let counted =
                LEADING_STREAM.iter().map(|work| run.rate(work, "sent") + run.rate(work, "heard"));
            Some(counted.sum())
        });
        let core_terms = [Term::One, Term::Daemons, Term::Changes, Term::ChangedFunctions];
        let core_bytes = Fit::of(&core_terms, &calm, |run| {
            Some(run.rate("leading core", "sent_bytes") + run.rate("leading core", "heard_bytes"))
        });
        let memory_terms = [Term::One, Term::Daemons, Term::Functions, Term::Held];
        let memory =
            Fit::of(&memory_terms, &calm, |run| Some(run.number("leading_bytes") / MEGABYTE));
        let swell = Fit::of(&[Term::One, Term::Functions], &calm, |run| {
            let works = ["leading changes", "leading core", "leading ticks", "leading disk"];
            let swells = works.iter().map(|work| run.work(work, "swell_bytes"));
            Some(swells.fold(0.0, f64::max) / MEGABYTE)
        });
        let memory = Figure::of("memory kept", Unit::Megabytes, &memory, 1.0);
        let swell =
            Figure::of("memory on top while a change is made", Unit::Megabytes, &swell, 1.0);
        let all_memory = Figure::sum("**memory**", Unit::Megabytes, &[&memory, &swell]);
        let network = Figure::of("a change: the network", Unit::Millis, &self.force_network, 1.0);
        let own = Figure::of("a change: the leader", Unit::Millis, &self.force_leader, 1.0);
        let install = Figure::of("a change: the slowest daemon", Unit::Millis, &self.install, 1.0);
        let in_force =
            Figure::sum("**a change in force**", Unit::Millis, &[&network, &own, &install]);
        let join = Fit::of(&[Term::One, Term::Daemons, Term::DaemonsSquared], &calm, |run| {
            (run.number("functions") == 200.0).then(|| run.number("join_ms"))
        });
        let join =
            Figure::of("every daemon joins at once, 200 functions", Unit::Millis, &join, 1.0);
        vec![
            Figure::of("streams of all daemons", Unit::BytesASecond, &stream, 1.0),
            Figure::of("streams of all daemons", Unit::MessagesASecond, &stream_count, 1.0),
            Figure::of("the core's talk", Unit::BytesASecond, &core_bytes, 1.0),
            renewals,
            idle,
            ticks,
            core,
            installed,
            lists,
            all_busy.within(CONTROLLER_BUDGET),
            memory,
            swell,
            all_memory,
            network,
            own,
            install,
            in_force.within(FORCE_BUDGET_MS),
            join,
        ]
    }

    /// Whoever calls the platform.
    pub fn platform(&self, runs: &[Run]) -> Vec<Figure> {
        let calm: Vec<&Run> = runs.iter().filter(|run| run.is_calm()).collect();
        let terms = [Term::One, Term::Daemons, Term::Instances];
        let by_poll = |key: &'static str| {
            Fit::of(&terms, &calm, move |run| {
                let polls = run.work("platform lists", "sent") / 2.0;
                (polls > 0.0).then(|| run.work("platform lists", key) / polls)
            })
        };
        let list_calls =
            Fit::of(&[Term::One], &calm, |run| Some(run.rate("platform lists", "sent")));
        let pages = (INSTANCES / PLATFORM_PAGE).ceil() + (DAEMONS / PLATFORM_PAGE).ceil();
        let paged = Fit::fixed(pages * POLLS_A_SECOND);
        let sweep = Fit::fixed(pages / PLATFORM_CALLS_BUDGET);
        let after_loss = |name: &str, machines: f64| {
            let lost_instances = machines * INSTANCES / DAEMONS;
            let calls = Fit::fixed(2.0 * lost_instances / PLATFORM_CALLS_BUDGET);
            Figure::of(name, Unit::Seconds, &calls, 1.0)
        };
        vec![
            Figure::of("lists, whole", Unit::BytesASecond, &by_poll("heard_bytes"), POLLS_A_SECOND),
            Figure::of("reading them", Unit::BusyASecond, &by_poll("wire_us"), POLLS_A_SECOND),
            Figure::of("calls for whole lists, as it stands", Unit::CallsASecond, &list_calls, 1.0)
                .within(PLATFORM_CALLS_BUDGET),
            Figure::of("calls for pages of 200, every 0.4 s", Unit::CallsASecond, &paged, 1.0)
                .within(PLATFORM_CALLS_BUDGET),
            Figure::of("one sweep of all pages at 26 calls/s", Unit::Seconds, &sweep, 1.0)
                .within(1.0 / POLLS_A_SECOND),
            after_loss("a rack of 20 lost: its stops and starts at 26 calls/s", RACK),
            after_loss("a zone of 74 lost: its stops and starts at 26 calls/s", ZONE),
            after_loss("a region of 247 lost: its stops and starts at 26 calls/s", REGION),
        ]
    }
}
