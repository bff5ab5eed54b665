//! The catalogue of faults: their names, whether they are heavy, and the judge's checks that they exercise.

use crate::judge::checks;
use common::rng::SeededRng;
use std::fmt;

macro_rules! faults {
    ($($(#[$doc:meta])* $variant:ident = $name:literal,)+) => {
        /// A fault of the catalogue.
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
        pub enum FaultName {
            $($(#[$doc])* $variant,)+
        }

        impl FaultName {
            /// All faults.
            pub const ALL: &[FaultName] = &[$(FaultName::$variant),+];

            /// Returns the fault with this name, also if only records of earlier versions use it.
            pub fn by_name(given_name: &str) -> Option<FaultName> {
                let former = RENAMED_FAULTS.iter().find(|(former, _)| *former == given_name);
                former.map(|(_, fault)| *fault).or_else(|| {
                    Self::ALL.iter().copied().find(|fault| fault.as_str() == given_name)
                })
            }

            /// Returns the name on the command line and in records.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)+
                }
            }
        }
    };
}

faults! {
    /// The canary route is switched to its other function.
    SpecChange = "spec-change",
    /// Two changes with the same base version are sent concurrently.
    SpecRace = "spec-race",
    /// An invalid change and one with a stale base version are sent.
    SpecInvalid = "spec-invalid",
    /// Ten changes are sent as fast as they are accepted.
    SpecStorm = "spec-storm",
    /// A change adds a thousand routes.
    SpecGrow = "spec-grow",
    /// A daemon is killed and restarted.
    KillOne = "kill-one",
    /// A third of the daemons are killed simultaneously and restarted.
    KillGroup = "kill-group",
    /// The leader is killed and restarted.
    KillLeader = "kill-leader",
    /// The leader is killed right after it accepted a change, and restarted.
    KillAfterAck = "kill-after-ack",
    /// A follower is killed, loses its disk and is restarted.
    LoseDisk = "lose-disk",
    /// A follower is permanently lost and replaced by an empty controller with a new address.
    ReplaceVoter = "replace-core",
    /// The daemon with the most function leases is frozen for six seconds.
    FreezeHolder = "freeze-holder",
    /// The leader is frozen for four seconds.
    FreezeLeader = "freeze-leader",
    /// A daemon is stopped gracefully and restarted.
    StopOne = "stop-one",
    /// All daemons and controllers are killed simultaneously and restarted.
    RestartAll = "restart-all",
    /// A worker is drained and restored.
    DrainWorker = "drain-worker",
    /// A worker crashes with its runners and is restored.
    CrashWorker = "crash-worker",
    /// A zone is evacuated and restored.
    Evacuate = "evacuate",
    /// Runners lose one answer in twenty after running the request.
    LostAnswers = "lost-answers",
    /// Runners send wrong bodies, truncated ones, and answers to other requests.
    WrongBytes = "wrong-bytes",
    /// Runners refuse requests, and break off connections without running the requests.
    Refusals = "refusals",
    /// A route is added, changed and removed, and called through every ingress each time.
    SpecRoutes = "spec-routes",
    /// A third of the daemons and a follower are killed simultaneously and restarted; the follower loses its disk.
    GroupLosesDisk = "group-loses-disk",
    /// All daemons, controllers and workers of a zone are lost and restored.
    LoseZone = "lose-zone",
    /// A third of the daemons are frozen simultaneously for four seconds.
    FreezeGroup = "freeze-group",
    /// The daemon with the most function leases is stopped gracefully and restarted.
    StopHolder = "stop-holder",
    /// The leader and half of the daemons are partitioned from all other processes.
    PartitionQuorum = "cut-core",
    /// The daemon with the most function leases is partitioned from all other processes.
    IsolateHolder = "cut-holder",
    /// The outgoing or the incoming traffic of a daemon is blocked.
    BlockOneDirection = "cut-one-way",
    /// A zone is partitioned from the others.
    IsolateZone = "cut-zone",
    /// Connections between processes are delayed by 200 ms.
    SlowNetwork = "slow-network",
    /// The leader's disk is full for six seconds, while changes are sent.
    DiskFull = "disk-full",
    /// The leader's disk stalls for six seconds, while changes are sent.
    DiskStalls = "disk-stalls",
    /// A follower's disk fails every write for six seconds, while changes are sent.
    DiskFails = "disk-fails",
    /// All daemons and controllers are stopped gracefully and restarted, one after the other.
    RollingRestart = "rolling-restart",
    /// Every fourth runner announces that it leaves, and stops six seconds later.
    RunnerLeaves = "runner-leaves",
    /// Three thousand requests for a busy function are sent within three seconds.
    CallBurst = "crowd",
    /// A request for each rare function is sent within half a second.
    RareCallBurst = "rare-crowd",
}

/// Separates the random choice of a day's faults from other choices with the same seed.
const FAULTS_SEED_MASK: u64 = 0xc0b1;

/// The names under which earlier versions recorded some faults.
const RENAMED_FAULTS: [(&str, FaultName); 5] = [
    ("kill-herd", FaultName::KillGroup),
    ("herd-loses-disk", FaultName::GroupLosesDisk),
    ("freeze-herd", FaultName::FreezeGroup),
    ("lose-locality", FaultName::LoseZone),
    ("cut-locality", FaultName::IsolateZone),
];

impl fmt::Display for FaultName {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(self.as_str())
    }
}

/// Whether the fault may interrupt service. If so, the judge checks that service recovers.
pub(super) fn is_heavy(name: FaultName) -> bool {
    matches!(
        name,
        FaultName::KillOne
            | FaultName::KillGroup
            | FaultName::KillLeader
            | FaultName::KillAfterAck
            | FaultName::LoseDisk
            | FaultName::ReplaceVoter
            | FaultName::FreezeHolder
            | FaultName::FreezeLeader
            | FaultName::RestartAll
            | FaultName::GroupLosesDisk
            | FaultName::LoseZone
            | FaultName::FreezeGroup
            | FaultName::PartitionQuorum
            | FaultName::IsolateHolder
            | FaultName::IsolateZone
            | FaultName::CrashWorker
    )
}

impl FaultName {
    /// Whether the fault needs controllers with injectable disk faults.
    pub fn needs_faulty_disk(self) -> bool {
        matches!(self, Self::DiskFull | Self::DiskStalls | Self::DiskFails)
    }

    /// Returns seven faults chosen by a seed; the last one is heavy.
    pub fn random_faults(seed: u64) -> Vec<FaultName> {
        let mut rng = SeededRng::seeded(seed ^ FAULTS_SEED_MASK);
        let choose_one = |faults: &[FaultName], rng: &mut SeededRng| {
            faults[rng.below(faults.len() as u64) as usize]
        };
        let heavy: Vec<FaultName> = Self::ALL
            .iter()
            .copied()
            .filter(|fault| is_heavy(*fault))
            .collect();
        let mut chosen: Vec<FaultName> = (0..6).map(|_| choose_one(Self::ALL, &mut rng)).collect();
        chosen.push(choose_one(&heavy, &mut rng));
        chosen
    }

    /// Returns the checks that this fault should exercise. If one of them had no case, the day did not test what it was
    /// meant to, and fails.
    pub fn expected_checks(self) -> &'static [&'static str] {
        match self {
            Self::SpecChange => &[checks::SPEC_NOT_IN_FORCE],
            Self::SpecRace => &[
                checks::CONFLICTING_CHANGES,
                checks::SPEC_NOT_IN_FORCE,
                checks::REFUSED_CHANGE_IN_FORCE,
            ],
            Self::SpecInvalid => &[
                checks::REFUSED_CHANGE_IN_FORCE,
                checks::UNCONFIGURED_FUNCTION,
            ],
            Self::SpecStorm | Self::SpecGrow => {
                &[checks::SPEC_NOT_IN_FORCE, checks::CONFLICTING_CHANGES]
            }
            Self::SpecRoutes => &[checks::SPEC_NOT_IN_FORCE, checks::INGRESS_OUTDATED],
            Self::KillOne | Self::KillGroup | Self::LoseZone | Self::GroupLosesDisk => &[
                checks::AT_MOST_ONCE_VIOLATED,
                checks::REFUSED_REQUEST_RAN,
                checks::CONCURRENT_HOLDERS,
                checks::SERVICE_NOT_RECOVERED,
            ],
            Self::KillLeader
            | Self::KillAfterAck
            | Self::FreezeLeader
            | Self::LoseDisk
            | Self::ReplaceVoter => &[checks::SPEC_NOT_IN_FORCE, checks::SERVICE_NOT_RECOVERED],
            Self::FreezeHolder
            | Self::FreezeGroup
            | Self::PartitionQuorum
            | Self::IsolateHolder
            | Self::IsolateZone
            | Self::RestartAll => &[
                checks::AT_MOST_ONCE_VIOLATED,
                checks::CONCURRENT_HOLDERS,
                checks::SERVICE_NOT_RECOVERED,
            ],
            Self::BlockOneDirection | Self::SlowNetwork => {
                &[checks::AT_MOST_ONCE_VIOLATED, checks::CONCURRENT_HOLDERS]
            }
            Self::DiskFull | Self::DiskStalls | Self::DiskFails => {
                &[checks::SPEC_NOT_IN_FORCE, checks::CONFLICTING_CHANGES]
            }
            Self::StopOne | Self::StopHolder | Self::RollingRestart => &[checks::ANSWERS_DROPPED],
            Self::DrainWorker | Self::CrashWorker | Self::RunnerLeaves => {
                &[checks::DRAINING_WORKER_USED]
            }
            Self::Evacuate => &[checks::EVACUATED_ZONE_USED],
            Self::LostAnswers => &[checks::AT_MOST_ONCE_VIOLATED, checks::EXCESS_RETRIES],
            Self::WrongBytes => &[checks::UNSEALED_ANSWER, checks::EXCESS_RETRIES],
            Self::Refusals => &[checks::REFUSED_REQUEST_RAN],
            Self::CallBurst | Self::RareCallBurst => &[checks::RUNNER_OVERLOADED],
        }
    }
}
