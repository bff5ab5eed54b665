//! Delivery of the configuration: the committed document is pushed to every member, as deltas where possible.

use super::members::MemberRecord;
use super::{EventDetail, LeaderOutput, LeaderState, StreamId, TraceStep};
use common::clock::MonotonicTime;
use common::events;
use common::frames::{Flag, LeaderToDaemon, compress};
use common::identity::{MemberName, Version};
use common::rules::Rule;
use common::spec::{DaemonView, Document, RoutingTable};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Number of recent views that are retained. A member that has installed one of them gets a delta.
pub const RETAINED_VIEWS: usize = 8;

/// Minimum interval between checks whether a version is in force, so that not every member's report triggers one.
const IN_FORCE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// A member that has not installed a version.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Laggard {
    /// The member.
    pub member: MemberName,
    /// The reason, as far as the leader can see.
    pub reason: LagReason,
}

/// Why a member has not installed a version.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum LagReason {
    /// Its session lease has ended.
    LeaseEnded,
    /// Its stream is closed.
    Disconnected,
    /// It has not acknowledged the version yet.
    NotAcknowledged,
}

impl LagReason {
    fn of(now: MonotonicTime, record: &MemberRecord) -> Self {
        if now >= record.lease_expiry_bound {
            Self::LeaseEnded
        } else if record.stream.is_none() {
            Self::Disconnected
        } else {
            Self::NotAcknowledged
        }
    }

    /// Returns the reason as it appears in response bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::LeaseEnded => "grant ended",
            Self::Disconnected => "cut off",
            Self::NotAcknowledged => "not acknowledged",
        }
    }
}

/// The committed document, and the views and frames for its delivery to the members.
pub(super) struct Configuration {
    pub document: Option<Document>,
    pub table: RoutingTable,
    /// The newest views, oldest first. A member that has installed one of them gets a delta.
    views: VecDeque<DaemonView>,
    /// Views from before the election, which are used only once a version is committed in this term.
    pub earlier_views: VecDeque<DaemonView>,
    /// The delta frames to the newest view, by their base version.
    delta_frames: BTreeMap<Version, LeaderToDaemon>,
    /// The frame with the complete newest view.
    full_frame: Option<LeaderToDaemon>,
    /// The longest timeout that a request may have had under any version of this term.
    pub longest_timeout: Duration,
    pub in_force: Version,
    in_force_checked_at: MonotonicTime,
}

impl Configuration {
    /// Creates the configuration of a term in which no document is committed yet.
    pub(super) fn new() -> Self {
        Self {
            document: None,
            table: RoutingTable::empty(),
            views: VecDeque::new(),
            earlier_views: VecDeque::new(),
            delta_frames: BTreeMap::new(),
            full_frame: None,
            longest_timeout: Duration::ZERO,
            in_force: Version(0),
            in_force_checked_at: MonotonicTime::ZERO,
        }
    }

    /// Whether a document evacuates a zone that the current one does not.
    fn evacuates_more(&self, document: &Document) -> bool {
        let present = self.document.as_ref();
        present.is_some_and(|present| !document.evacuated.is_subset(&present.evacuated))
    }

    /// Whether a document differs from the current one only in parts that are not sent to members.
    fn is_same_for_members(&self, document: &Document) -> bool {
        self.document.as_ref().is_some_and(|present| {
            document.hidden_versions > 0 && present.view_version() == document.view_version()
        })
    }

    /// Installs a document and its view, after its routing table was built.
    fn install(&mut self, document: Document, view: DaemonView) {
        self.longest_timeout = self.longest_timeout.max(self.table.longest_timeout());
        self.document = Some(document);
        let mut earlier_views = std::mem::take(&mut self.earlier_views);
        earlier_views.retain(|earlier| earlier.version < view.version);
        self.views.extend(earlier_views);
        if self
            .newest_version()
            .is_none_or(|newest| newest < view.version)
        {
            self.views.push_back(view);
            self.delta_frames.clear();
            self.full_frame = None;
        }
        let extra_count = self.views.len().saturating_sub(RETAINED_VIEWS);
        self.views.drain(..extra_count);
    }

    fn newest_version(&self) -> Option<Version> {
        self.views.back().map(|view| view.version)
    }

    /// Returns the frame that takes a member from a version to the newest one: a delta, or the complete view if the
    /// base is not retained. Each frame is compressed once for all members.
    fn frame_from(&mut self, base_version: Version) -> Option<LeaderToDaemon> {
        let newest_view = self.views.back()?;
        let mut retained_views = self.views.iter();
        let Some(base_view) = retained_views.find(|view| view.version == base_version) else {
            return self.full_frame();
        };
        let frame = self
            .delta_frames
            .entry(base_version)
            .or_insert_with(|| spec_delta_frame(base_view, newest_view));
        Some(frame.clone())
    }

    /// Returns the frame with the complete newest view.
    fn full_frame(&mut self) -> Option<LeaderToDaemon> {
        let newest_view = self.views.back()?;
        let frame = self
            .full_frame
            .get_or_insert_with(|| full_spec_frame(newest_view));
        Some(frame.clone())
    }
}

impl LeaderState {
    /// Installs a committed document and pushes it to every member.
    pub fn handle_committed(&mut self, document: Document) {
        let is_evacuation = self.configuration.evacuates_more(&document);
        if self.configuration.document.is_none() {
            self.claims.inherit(&document);
        }
        self.membership_list.check_due = true;
        self.renewals.schedule_check();
        if self.configuration.is_same_for_members(&document) {
            self.configuration.document = Some(document);
            return;
        }
        let view = document.view();
        match RoutingTable::build_after(&self.configuration.table, &view) {
            Ok(table) => self.configuration.table = table,
            Err(error) => {
                let detail = EventDetail::InstallFailure {
                    version: view.version,
                    error: error.to_string(),
                };
                self.record_event(events::SPEC_INSTALL_FAILED, detail);
            }
        }
        self.replica_assignment_due = true;
        self.acquisitions.check_due = true;
        self.configuration.install(document, view);
        self.update_eligibility();
        for open_stream in self.members.open_streams() {
            self.push_newest(open_stream);
        }
        if is_evacuation {
            self.warn_of_low_capacity();
        }
        self.hand_over_evacuated();
    }

    /// Updates the eligibility of members. Members in evacuated zones are not eligible for functions.
    fn update_eligibility(&mut self) {
        let obeys_evacuation = self.rules.enforces(Rule::EvacuationObeyed);
        for record in self.members.records_mut() {
            let is_evacuated =
                self.configuration.table.is_evacuated(&record.host.zone) && obeys_evacuation;
            let eligible = Flag(record.is_self_eligible && !is_evacuated);
            if record.host.eligible != eligible {
                record.host.eligible = eligible;
                self.hosts.push_due = true;
            }
        }
    }

    /// Warns operators when the reserved memory exceeds nine tenths of the memory of the workers that remain usable.
    fn warn_of_low_capacity(&mut self) {
        let needed_mb: u64 = self.reserved_mb().values().sum();
        let remaining_mb: u64 = self
            .workers
            .iter()
            .filter(|listed| self.is_worker_usable(&listed.worker))
            .map(|listed| u64::from(listed.memory_mb))
            .sum();
        if needed_mb * 10 > remaining_mb * 9 {
            let detail = EventDetail::Capacity {
                needed_mb,
                remaining_mb,
            };
            self.record_event(events::CAPACITY_LOW, detail);
        }
    }

    /// Pushes the newest version to a member, as a delta if the member has one of the retained versions.
    pub(super) fn push_newest(&mut self, stream: StreamId) {
        let Some(version) = self.configuration.newest_version() else {
            return;
        };
        let Some((known_member, record)) = self.members.on_stream_mut(stream) else {
            return;
        };
        if record.pushed >= version {
            return;
        }
        let base_version = std::mem::replace(&mut record.pushed, version);
        let member = known_member.member.clone();
        let Some(frame) = self.configuration.frame_from(base_version) else {
            return;
        };
        self.outputs.push(LeaderOutput::VersionProgress {
            version,
            member,
            step: TraceStep::Pushed,
        });
        self.send_frame(stream, frame);
    }

    /// Sends the complete document to a member that could not apply a delta.
    pub(super) fn push_full_document(&mut self, stream: StreamId) {
        if let Some(frame) = self.configuration.full_frame() {
            self.send_frame(stream, frame);
        }
    }

    /// Records when the newest version is in force: every member that may still use a session lease has installed it.
    pub(super) fn update_in_force(&mut self, now: MonotonicTime) {
        let Some(version) = self
            .configuration
            .document
            .as_ref()
            .map(Document::view_version)
        else {
            return;
        };
        if self.configuration.in_force >= version
            || now.since(self.configuration.in_force_checked_at) < IN_FORCE_CHECK_INTERVAL
        {
            return;
        }
        self.configuration.in_force_checked_at = now;
        let are_old_leases_over =
            self.claims.all_claimed || now >= self.elected_at + self.timing.full_lease_wait();
        let is_installed_everywhere = self
            .members
            .records()
            .all(|record| record.installed >= version || now >= record.lease_expiry_bound);
        if are_old_leases_over && is_installed_everywhere {
            self.configuration.in_force = version;
            self.record_event(events::VERSION_IN_FORCE, EventDetail::Version { version });
        }
    }

    /// Returns the committed document.
    pub fn document(&self) -> Option<&Document> {
        self.configuration.document.as_ref()
    }

    /// Returns the members that have not installed a version, and why, as far as the leader can see.
    pub fn laggards(&self, now: MonotonicTime, version: Version) -> Vec<Laggard> {
        self.members
            .iter()
            .filter(|(_, record)| record.installed < version)
            .map(|(known_member, record)| Laggard {
                member: known_member.member.clone(),
                reason: LagReason::of(now, record),
            })
            .collect()
    }
}

fn spec_delta_frame(base_view: &DaemonView, newest_view: &DaemonView) -> LeaderToDaemon {
    LeaderToDaemon::SpecDelta {
        base: base_view.version,
        version: newest_view.version,
        delta: compress(&base_view.delta_to(newest_view)),
        digest: newest_view.digest().to_vec().into(),
    }
}

fn full_spec_frame(view: &DaemonView) -> LeaderToDaemon {
    LeaderToDaemon::Spec {
        version: view.version,
        document: compress(&view.to_bytes()),
    }
}
