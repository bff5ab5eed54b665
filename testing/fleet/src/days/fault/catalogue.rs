//! The catalogue of faults: their names, which are heavy, and which lines of the judge they try.

use crate::judge::lines;
use common::chance::Chance;
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
            pub fn named(given_name: &str) -> Option<FaultName> {
                let former = FORMER_NAMES.iter().find(|(former, _)| *former == given_name);
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
    ReplaceCore = "replace-core",
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
    CutCore = "cut-core",
    /// The daemon that holds most is cut off from all other processes.
    CutHolder = "cut-holder",
    /// A daemon is heard by nobody, or hears nobody.
    CutOneWay = "cut-one-way",
    /// A zone is cut off from the others.
    CutZone = "cut-zone",
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
    Crowd = "crowd",
    /// All rare functions are called at once.
    RareCrowd = "rare-crowd",
}

/// Names under which earlier versions recorded a fault.
const FORMER_NAMES: [(&str, FaultName); 5] = [
    ("kill-herd", FaultName::KillGroup),
    ("herd-loses-disk", FaultName::GroupLosesDisk),
    ("freeze-herd", FaultName::FreezeGroup),
    ("lose-locality", FaultName::LoseZone),
    ("cut-locality", FaultName::CutZone),
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
            | FaultName::ReplaceCore
            | FaultName::FreezeHolder
            | FaultName::FreezeLeader
            | FaultName::RestartAll
            | FaultName::GroupLosesDisk
            | FaultName::LoseZone
            | FaultName::FreezeGroup
            | FaultName::CutCore
            | FaultName::CutHolder
            | FaultName::CutZone
            | FaultName::CrashWorker
    )
}

impl FaultName {
    /// Whether it needs controllers whose disks can be made to ail.
    pub fn is_of_disk(self) -> bool {
        matches!(self, Self::DiskFull | Self::DiskStalls | Self::DiskFails)
    }

    /// A seeded combination: some faults by chance, the last one heavy.
    pub fn by_chance(seed: u64) -> Vec<FaultName> {
        let mut chance = Chance::seeded(seed ^ 0xc0b1);
        let one_of = |faults: &[FaultName], chance: &mut Chance| {
            faults[chance.below(faults.len() as u64) as usize]
        };
        let heavy: Vec<FaultName> =
            Self::ALL.iter().copied().filter(|fault| is_heavy(*fault)).collect();
        let mut chosen: Vec<FaultName> = (0..6).map(|_| one_of(Self::ALL, &mut chance)).collect();
        chosen.push(one_of(&heavy, &mut chance));
        chosen
    }

    /// The lines of the judge that this fault is meant to try; a day in which one of them looked at
    /// no case has not proved what it was run for.
    pub fn tries(self) -> &'static [&'static str] {
        match self {
            Self::SpecChange => &[lines::FORCE],
            Self::SpecRace => &[lines::LOSING, lines::FORCE, lines::REFUSED_CHANGE],
            Self::SpecInvalid => &[lines::REFUSED_CHANGE, lines::NEVER],
            Self::SpecStorm | Self::SpecGrow => &[lines::FORCE, lines::LOSING],
            Self::SpecRoutes => &[lines::FORCE, lines::DOORS],
            Self::KillOne | Self::KillGroup | Self::LoseZone | Self::GroupLosesDisk => {
                &[lines::TWICE, lines::REFUSED, lines::TWO_HOLDERS, lines::DOWN]
            }
            Self::KillLeader | Self::KillAfterAck | Self::FreezeLeader => {
                &[lines::FORCE, lines::DOWN]
            }
            Self::LoseDisk | Self::ReplaceCore => &[lines::FORCE, lines::DOWN],
            Self::FreezeHolder | Self::FreezeGroup => {
                &[lines::TWICE, lines::TWO_HOLDERS, lines::DOWN]
            }
            Self::CutCore | Self::CutHolder | Self::CutZone => {
                &[lines::TWICE, lines::TWO_HOLDERS, lines::DOWN]
            }
            Self::CutOneWay | Self::SlowNetwork => &[lines::TWICE, lines::TWO_HOLDERS],
            Self::DiskFull | Self::DiskStalls | Self::DiskFails => &[lines::FORCE, lines::LOSING],
            Self::StopOne | Self::StopHolder | Self::RollingRestart => &[lines::DROPPED],
            Self::RestartAll => &[lines::TWICE, lines::TWO_HOLDERS, lines::DOWN],
            Self::DrainWorker | Self::CrashWorker | Self::RunnerLeaves => &[lines::DRAINING],
            Self::Evacuate => &[lines::EVACUATED],
            Self::LostAnswers => &[lines::TWICE, lines::EXTRA],
            Self::WrongBytes => &[lines::UNSEALED, lines::EXTRA],
            Self::Refusals => &[lines::REFUSED],
            Self::Crowd | Self::RareCrowd => &[lines::FLOODED],
        }
    }
}
