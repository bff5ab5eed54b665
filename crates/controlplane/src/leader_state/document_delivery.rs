use super::events::{CapacityFields, InstallFailureFields, VersionFields};
use super::{LeaderOutput, LeaderState, StreamId, TraceStep};
use common::clock::MonotonicTime;
use common::events;
use common::frames::{Flag, LeaderToDaemon, compress};
use common::identity::{FunctionKey, MemberName, RunnerId, Version};
use common::rules::Rule;
use common::spec::{DaemonView, Document, RoutingTable};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// How many versions daemons may be behind and still be told the difference.
pub const RETAINED_VIEWS: usize = 8;

/// Whether a version is in force everywhere is looked at so often, not at each daemon's word.
const IN_FORCE_EVERY: Duration = Duration::from_millis(5);

/// The committed document, and what is needed to deliver it to the members.
pub(super) struct Configuration {
    pub document: Option<Document>,
    pub table: RoutingTable,
    /// The newest views, oldest first: a member that has one of them installed gets a delta.
    views: VecDeque<DaemonView>,
    /// Views from before the election. They are used only once a version is committed in this term.
    pub earlier_views: VecDeque<DaemonView>,
    /// The frames to the newest view, by the version that they start from.
    delta_frames: BTreeMap<Version, LeaderToDaemon>,
    /// The frame with the complete newest view.
    full_frame: Option<LeaderToDaemon>,
    /// The longest time-out that a request may have had under any version of this term.
    pub longest_timeout: Duration,
    pub in_force: Version,
    in_force_checked_at: MonotonicTime,
}

impl Configuration {
    pub fn new() -> Self {
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
}

impl LeaderState {
    /// Takes a committed document and pushes it to every daemon.
    pub fn committed(&mut self, document: Document) {
        let previously_evacuated = self
            .configuration
            .document
            .as_ref()
            .map(|held| held.evacuated.clone());
        let is_evacuation =
            previously_evacuated.is_some_and(|earlier| !document.evacuated.is_subset(&earlier));
        if self.configuration.document.is_none() {
            self.claims.inherited_version = document.document_version.version;
            self.claims.inherits_no_functions = document.generations.is_empty();
            self.claims.awaited_members = document.membership.clone();
        }
        self.membership_list.check_due = true;
        self.renewals.schedule_check();
        let is_unseen = self.configuration.document.as_ref().is_some_and(|held| {
            document.hidden_versions > 0 && held.view_version() == document.view_version()
        });
        if is_unseen {
            self.configuration.document = Some(document);
            return;
        }
        let view = document.view();
        match RoutingTable::build_after(&self.configuration.table, &view) {
            Ok(table) => self.configuration.table = table,
            Err(error) => {
                let fields = InstallFailureFields {
                    version: view.version,
                    error: &error,
                };
                self.record_event(events::SPEC_INSTALL_FAILED, fields);
            }
        }
        self.replica_assignment_due = true;
        self.acquisitions.check_due = true;
        self.configuration.longest_timeout = self
            .configuration
            .longest_timeout
            .max(self.configuration.table.longest_timeout());
        self.configuration.document = Some(document);
        let mut earlier_views = std::mem::take(&mut self.configuration.earlier_views);
        earlier_views.retain(|earlier| earlier.version < view.version);
        self.configuration.views.extend(earlier_views);
        if self
            .configuration
            .views
            .back()
            .is_none_or(|newest_view| newest_view.version < view.version)
        {
            self.configuration.views.push_back(view);
            self.configuration.delta_frames.clear();
            self.configuration.full_frame = None;
        }
        let extra_count = self
            .configuration
            .views
            .len()
            .saturating_sub(RETAINED_VIEWS);
        self.configuration.views.drain(..extra_count);
        let obeys_evacuation = self.rules.enforces(Rule::EvacuationObeyed);
        for record in self.members.records.values_mut() {
            let is_evacuated =
                self.configuration.table.is_evacuated(&record.host.zone) && obeys_evacuation;
            let eligible = Flag(record.is_self_eligible && !is_evacuated);
            if record.host.eligible != eligible {
                record.host.eligible = eligible;
                self.hosts.push_due = true;
            }
        }
        let open_streams: Vec<StreamId> = self.members.streams.keys().copied().collect();
        for open_stream in open_streams {
            self.push_newest(open_stream);
        }
        if is_evacuation {
            self.warn_of_low_capacity();
        }
        self.hand_over_evacuated();
    }

    /// Says loudly that what is placed now will hardly fit on the workers that are left.
    fn warn_of_low_capacity(&mut self) {
        let needed_mb: u64 = self.reserved_mb().values().sum();
        let remaining_mb: u64 = self
            .workers
            .records
            .iter()
            .filter(|(worker, _)| self.is_worker_usable(worker))
            .map(|(_, record)| u64::from(record.listed.memory_mb))
            .sum();
        if needed_mb * 10 > remaining_mb * 9 {
            let fields = CapacityFields {
                needed_mb,
                remaining_mb,
            };
            self.record_event(events::CAPACITY_LOW, fields);
        }
    }

    pub(super) fn push_newest(&mut self, stream: StreamId) {
        let Some(newest_view) = self.configuration.views.back() else {
            return;
        };
        let Some(known_member) = self.members.streams.get(&stream) else {
            return;
        };
        let Some(record) = self.members.records.get_mut(known_member) else {
            return;
        };
        if record.pushed >= newest_view.version {
            return;
        }
        let base_version = record.pushed;
        let base_view = self
            .configuration
            .views
            .iter()
            .find(|view| view.version == base_version);
        let frame = match base_view {
            Some(base) => {
                let cached_frame = self.configuration.delta_frames.entry(base_version);
                cached_frame.or_insert_with(|| spec_delta_frame(base, newest_view))
            }
            None => self
                .configuration
                .full_frame
                .get_or_insert_with(|| full_spec_frame(newest_view)),
        };
        let frame = frame.clone();
        record.pushed = newest_view.version;
        let version = newest_view.version;
        let member = known_member.member.clone();
        self.outputs.push(LeaderOutput::VersionProgress {
            version,
            member,
            step: TraceStep::Pushed,
        });
        self.send_frame(stream, frame);
    }

    pub(super) fn push_full_document(&mut self, stream: StreamId) {
        if let Some(newest_view) = self.configuration.views.back() {
            let frame = self
                .configuration
                .full_frame
                .get_or_insert_with(|| full_spec_frame(newest_view))
                .clone();
            self.send_frame(stream, frame);
        }
    }

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
            || now.since(self.configuration.in_force_checked_at) < IN_FORCE_EVERY
        {
            return;
        }
        self.configuration.in_force_checked_at = now;
        let are_old_leases_over =
            self.claims.all_claimed || now >= self.elected_at + self.timing.full_lease_wait();
        let is_installed_everywhere = self
            .members
            .records
            .values()
            .all(|record| record.installed >= version || now >= record.lease_expiry_bound);
        if are_old_leases_over && is_installed_everywhere {
            self.configuration.in_force = version;
            self.record_event(events::VERSION_IN_FORCE, VersionFields { version });
        }
    }

    /// Asks holders in evacuated zones for their functions, and drains runners there.
    pub(super) fn hand_over_evacuated(&mut self) {
        let held_functions = self
            .lease_records
            .iter()
            .map(|(function, _)| function.clone())
            .collect();
        self.hand_over_if_evacuated(held_functions);
        self.drain_from_unusable_workers();
    }

    /// Asks for those of these functions back whose holders stand in evacuated zones.
    pub(super) fn hand_over_if_evacuated(&mut self, functions: Vec<FunctionKey>) {
        if !self.rules.enforces(Rule::EvacuationObeyed) || !self.configuration.table.has_evacuated()
        {
            return;
        }
        for function in functions {
            let Some(entry) = self.lease_records.get_mut(&function) else {
                continue;
            };
            if entry.handing_over || entry.fencing_since.is_some() {
                continue;
            }
            let Some(record) = self.members.records.get(&entry.holder) else {
                continue;
            };
            let Some(stream) = record.stream else {
                continue;
            };
            if !self.configuration.table.is_evacuated(&record.host.zone) {
                continue;
            }
            entry.handing_over = true;
            let fencing_token = entry.fencing_token;
            self.send_frame(
                stream,
                LeaderToDaemon::HandOver {
                    function,
                    fencing_token,
                },
            );
        }
    }

    /// Tells holders to drain runners whose worker is draining, gone or evacuated.
    pub(super) fn drain_from_unusable_workers(&mut self) {
        let runners = self
            .reservations
            .iter()
            .map(|(runner, _)| *runner)
            .collect();
        self.drain_if_worker_unusable(runners);
    }

    /// The same for these runners.
    pub(super) fn drain_if_worker_unusable(&mut self, runners: Vec<RunnerId>) {
        if !self.workers.are_listed {
            return;
        }
        for runner in runners {
            let Some(held) = self.reservations.get(runner) else {
                continue;
            };
            if !held.draining && !self.is_worker_usable(&held.worker) {
                let function = held.function.clone();
                self.drain(function, runner);
            }
        }
    }

    /// Tells the holder to drain a runner that the platform says is about to leave.
    pub(super) fn drain_leaving(&mut self, runner: RunnerId) {
        let Some(held) = self.reservations.get(runner) else {
            return;
        };
        if !held.draining && self.rules.enforces(Rule::DrainObeyed) {
            let function = held.function.clone();
            self.drain(function, runner);
        }
    }

    pub(super) fn drain(&mut self, function: FunctionKey, runner: RunnerId) {
        if self
            .reservations
            .get(runner)
            .is_some_and(|held| held.is_orphaned())
        {
            self.reservations.want_stop(runner);
            return;
        }
        let Some(entry) = self.lease_records.get(&function) else {
            return;
        };
        if entry.fencing_token != runner.fencing_token {
            return;
        }
        let holder_record = self.members.records.get(&entry.holder);
        let Some(stream) = holder_record.and_then(|record| record.stream) else {
            return;
        };
        self.reservations
            .update(runner, |held| held.draining = true);
        self.send_frame(stream, LeaderToDaemon::Drain { function, runner });
    }

    /// The committed document.
    pub fn document(&self) -> Option<&Document> {
        self.configuration.document.as_ref()
    }

    /// The daemons that have not installed a serial, and why as far as can be seen from here.
    pub fn laggards(
        &self,
        now: MonotonicTime,
        version: Version,
    ) -> Vec<(MemberName, &'static str)> {
        self.members
            .records
            .iter()
            .filter(|(_, record)| record.installed < version)
            .map(|(known_member, record)| {
                let reason = if now >= record.lease_expiry_bound {
                    "grant ended"
                } else if record.stream.is_none() {
                    "cut off"
                } else {
                    "not acknowledged"
                };
                (known_member.member.clone(), reason)
            })
            .collect()
    }
}

fn spec_delta_frame(base_view: &DaemonView, newest_view: &DaemonView) -> LeaderToDaemon {
    LeaderToDaemon::Change {
        base: base_view.version,
        version: newest_view.version,
        patch: compress(&base_view.delta_to(newest_view)),
        digest: newest_view.digest().to_vec().into(),
    }
}

fn full_spec_frame(view: &DaemonView) -> LeaderToDaemon {
    LeaderToDaemon::Spec {
        version: view.version,
        document: compress(&view.to_bytes()),
    }
}
