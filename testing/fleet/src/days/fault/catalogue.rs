//! The catalogue of faults: their names, which are heavy, and which lines of the judge they try.

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
            /// Every fault there is.
            pub const ALL: &[FaultName] = &[$(FaultName::$variant),+];

            /// The fault of a name; records of earlier versions have some under a former one.
            pub fn by_name(given_name: &str) -> Option<FaultName> {
                let former = RENAMED_FAULTS.iter().find(|(former, _)| *former == given_name);
                former.map(|(_, fault)| *fault).or_else(|| {
                    Self::ALL.iter().copied().find(|fault| fault.as_str() == given_name)
                })
            }

            /// The name on the command line.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)+
                }
            }
        }
    };
}

faults! {
    /// Turns the canary's route to the other function.
    SpecChange = "spec-change",
    /// Two changes on one version, at the same time.
    SpecRace = "spec-race",
    /// A change that does not check, and one on a stale version.
    SpecInvalid = "spec-invalid",
    /// Ten changes as fast as they are accepted.
    SpecStorm = "spec-storm",
    /// A change that adds a thousand routes.
    SpecGrow = "spec-grow",
    /// A daemon is killed and returns.
    KillOne = "kill-one",
    /// A third of the daemons are killed at once and return.
    KillGroup = "kill-group",
    /// The leading controller is killed and returns.
    KillLeader = "kill-leader",
    /// The leader is killed right after it accepted a change.
    KillAfterAck = "kill-after-ack",
    /// A following controller is killed, loses its disk and returns.
    LoseDisk = "lose-disk",
    /// A following controller is lost for good, and an empty one at a new address takes its place.
    ReplaceVoter = "replace-core",
    /// The daemon that holds most is frozen for six seconds.
    FreezeHolder = "freeze-holder",
    /// The leading controller is frozen for four seconds.
    FreezeLeader = "freeze-leader",
    /// A daemon is warned, given its grace, and returns.
    StopOne = "stop-one",
    /// Every daemon and controller is killed and returns.
    RestartAll = "restart-all",
    /// A worker is emptied.
    DrainWorker = "drain-worker",
    /// A worker crashes with its runners and returns.
    CrashWorker = "crash-worker",
    /// A zone is evacuated and brought back.
    Evacuate = "evacuate",
    /// Runners lose one answer in twenty.
    LostAnswers = "lost-answers",
    /// Runners send wrong, short and foreign bodies.
    WrongBytes = "wrong-bytes",
    /// Runners refuse and break off.
    Refusals = "refusals",
    /// A route is added, turned and removed, and called through every door each time.
    SpecRoutes = "spec-routes",
    /// A third of the daemons and a controller are killed at once; the controller loses its disk.
    GroupLosesDisk = "group-loses-disk",
    /// A zone is lost whole, daemons, controller and workers, and returns.
    LoseZone = "lose-zone",
    /// A third of the daemons freeze at once for four seconds.
    FreezeGroup = "freeze-group",
    /// The daemon that holds most is warned, given its grace, and returns.
    StopHolder = "stop-holder",
    /// The leader is cut off from the other controllers, with half of the daemons on its side.
    PartitionQuorum = "cut-core",
    /// The daemon that holds most is cut off from all other processes.
    IsolateHolder = "cut-holder",
    /// A daemon is heard by nobody, or hears nobody.
    BlockOneDirection = "cut-one-way",
    /// A zone is cut off from the others.
    IsolateZone = "cut-zone",
    /// Everything between the processes takes a fifth of a second longer.
    SlowNetwork = "slow-network",
    /// The leader's disk is full for six seconds, while changes are sent.
    DiskFull = "disk-full",
    /// The leader's disk stalls for six seconds, while changes are sent.
    DiskStalls = "disk-stalls",
    /// A follower's disk fails every write for six seconds, while changes are sent.
    DiskFails = "disk-fails",
    /// Every daemon and controller is stopped in order and started again, one after the other.
    RollingRestart = "rolling-restart",
    /// Runners say that they leave, and stop six seconds later.
    RunnerLeaves = "runner-leaves",
    /// A crowd on one busy function.
    CallBurst = "crowd",
    /// All rare functions are called at once.
    RareCallBurst = "rare-crowd",
}

/// Names under which earlier versions recorded a fault.
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

/// Whether callers may feel it; the judge looks at how service recovers after it.
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
    /// Whether it needs controllers whose disks can be made to ail.
    pub fn is_of_disk(self) -> bool {
        matches!(self, Self::DiskFull | Self::DiskStalls | Self::DiskFails)
    }

    /// A seeded combination: some faults by chance, the last one heavy.
    pub fn random_faults(seed: u64) -> Vec<FaultName> {
        let mut rng = SeededRng::seeded(seed ^ 0xc0b1);
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

    /// The lines of the judge that this fault is meant to try; a day in which one of them looked at
    /// no case has not proved what it was run for.
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
            Self::SpecRoutes => &[checks::SPEC_NOT_IN_FORCE, checks::INGRESS_BEHIND],
            Self::KillOne | Self::KillGroup | Self::LoseZone | Self::GroupLosesDisk => &[
                checks::ONCE_RUNS_TWICE,
                checks::REFUSED_RUNS,
                checks::TWO_HOLDERS,
                checks::SERVICE_DOWN,
            ],
            Self::KillLeader | Self::KillAfterAck | Self::FreezeLeader => {
                &[checks::SPEC_NOT_IN_FORCE, checks::SERVICE_DOWN]
            }
            Self::LoseDisk | Self::ReplaceVoter => {
                &[checks::SPEC_NOT_IN_FORCE, checks::SERVICE_DOWN]
            }
            Self::FreezeHolder | Self::FreezeGroup => &[
                checks::ONCE_RUNS_TWICE,
                checks::TWO_HOLDERS,
                checks::SERVICE_DOWN,
            ],
            Self::PartitionQuorum | Self::IsolateHolder | Self::IsolateZone => &[
                checks::ONCE_RUNS_TWICE,
                checks::TWO_HOLDERS,
                checks::SERVICE_DOWN,
            ],
            Self::BlockOneDirection | Self::SlowNetwork => {
                &[checks::ONCE_RUNS_TWICE, checks::TWO_HOLDERS]
            }
            Self::DiskFull | Self::DiskStalls | Self::DiskFails => {
                &[checks::SPEC_NOT_IN_FORCE, checks::CONFLICTING_CHANGES]
            }
            Self::StopOne | Self::StopHolder | Self::RollingRestart => &[checks::ANSWERS_DROPPED],
            Self::RestartAll => &[
                checks::ONCE_RUNS_TWICE,
                checks::TWO_HOLDERS,
                checks::SERVICE_DOWN,
            ],
            Self::DrainWorker | Self::CrashWorker | Self::RunnerLeaves => &[checks::DRAINING_USED],
            Self::Evacuate => &[checks::EVACUATED_USED],
            Self::LostAnswers => &[checks::ONCE_RUNS_TWICE, checks::EXTRA_TRIES],
            Self::WrongBytes => &[checks::UNSEALED_ANSWER, checks::EXTRA_TRIES],
            Self::Refusals => &[checks::REFUSED_RUNS],
            Self::CallBurst | Self::RareCallBurst => &[checks::RUNNER_OVERLOADED],
        }
    }
}
