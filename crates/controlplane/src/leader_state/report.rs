//! Reports on the leader's state for operators. The JSON keys are part of the operator interface and must not change.

use super::LeaderState;
use super::function_leases::LeaseRecord;
use super::members::MemberRecord;
use super::reservations::Reservation;
use crate::json_form;
use common::clock::MonotonicTime;
use common::frames::{KnownMember, SocketAddress};
use common::identity::{FencingToken, FunctionKey, Incarnation, InstanceId, MemberName, RunnerId};
use common::identity::{Version, WorkerName, Zone};
use serde::Serialize;
use std::collections::BTreeSet;

/// A report in the form that operators read.
#[derive(Clone, Debug, Serialize)]
#[serde(untagged)]
pub enum LeaderReport {
    /// The members.
    Members(MembersReport),
    /// The function leases.
    Holders(HoldersReport),
    /// The workers.
    Workers(WorkersReport),
    /// The runners.
    Runners(RunnersReport),
}

/// Report on the members.
#[derive(Clone, Debug, Serialize)]
pub struct MembersReport {
    /// One row for each incarnation, ordered by member name and incarnation.
    pub members: Vec<MemberRow>,
    /// Whether the claims quorum is reached, so that leases are granted.
    pub open: bool,
}

/// One incarnation of a member.
#[derive(Clone, Debug, Serialize)]
pub struct MemberRow {
    /// Its name.
    #[serde(serialize_with = "json_form::text")]
    pub member: MemberName,
    /// Its incarnation.
    #[serde(serialize_with = "json_form::number")]
    pub incarnation: Incarnation,
    /// Its zone.
    #[serde(rename = "locality", serialize_with = "json_form::text")]
    pub zone: Zone,
    /// Address at which other processes reach it.
    #[serde(rename = "place", serialize_with = "json_form::text")]
    pub address: SocketAddress,
    /// Address on which it listens for callers.
    #[serde(rename = "door", serialize_with = "json_form::text")]
    pub ingress: SocketAddress,
    /// Whether its stream is open.
    pub connected: bool,
    /// Whether function leases may be granted to it.
    pub eligible: bool,
    /// Whether it has a session lease.
    #[serde(rename = "granted")]
    pub has_lease: bool,
    /// Milliseconds until its session lease ends.
    #[serde(rename = "grant_left_ms")]
    pub lease_remaining_ms: u64,
    /// The newest version that it has installed.
    #[serde(serialize_with = "json_form::number")]
    pub installed: Version,
    /// Whether it has reported what it holds from earlier leaders.
    pub claimed: bool,
}

/// Report on the function leases.
#[derive(Clone, Debug, Serialize)]
pub struct HoldersReport {
    /// One row for each lease, ordered by function.
    pub holders: Vec<HolderRow>,
}

/// One function lease.
#[derive(Clone, Debug, Serialize)]
pub struct HolderRow {
    /// The function.
    #[serde(serialize_with = "json_form::text")]
    pub function: FunctionKey,
    /// The holder.
    #[serde(serialize_with = "json_form::text")]
    pub member: MemberName,
    /// The lease's fencing token.
    #[serde(rename = "grant", serialize_with = "json_form::number")]
    pub fencing_token: FencingToken,
    /// Whether the lease is being fenced: it is over, and its runners are being orphaned or stopped.
    pub fencing: bool,
    /// Whether the holder is handing the function over.
    pub handing_over: bool,
    /// The function's runners.
    #[serde(serialize_with = "json_form::texts")]
    pub runners: Vec<RunnerId>,
}

/// Report on the workers.
#[derive(Clone, Debug, Serialize)]
pub struct WorkersReport {
    /// One row for each worker, ordered by name.
    pub workers: Vec<WorkerRow>,
}

/// One worker.
#[derive(Clone, Debug, Serialize)]
pub struct WorkerRow {
    /// Its name.
    #[serde(serialize_with = "json_form::text")]
    pub worker: WorkerName,
    /// Its zone.
    #[serde(rename = "locality", serialize_with = "json_form::text")]
    pub zone: Zone,
    /// Its memory in MiB.
    pub memory_mb: u32,
    /// Its reserved memory in MiB.
    pub reserved_mb: u64,
    /// Whether the platform is draining it.
    pub draining: bool,
}

/// Report on the runners.
#[derive(Clone, Debug, Serialize)]
pub struct RunnersReport {
    /// One row for each runner.
    pub runners: Vec<RunnerRow>,
}

/// One runner.
#[derive(Clone, Debug, Serialize)]
pub struct RunnerRow {
    /// The runner.
    #[serde(serialize_with = "json_form::text")]
    pub runner: RunnerId,
    /// Its function.
    #[serde(serialize_with = "json_form::text")]
    pub function: FunctionKey,
    /// Its worker.
    #[serde(serialize_with = "json_form::text")]
    pub worker: WorkerName,
    /// Its memory in MiB.
    pub memory_mb: u32,
    /// Whether it accepts requests.
    pub ready: bool,
    /// Whether it is being drained.
    pub draining: bool,
    /// Whether it has lost its holder and waits for adoption.
    #[serde(rename = "left")]
    pub is_orphaned: bool,
    /// The platform's name for it, once known.
    #[serde(rename = "life", serialize_with = "json_form::optional_text")]
    pub instance: Option<InstanceId>,
}

impl MemberRow {
    fn new(now: MonotonicTime, known_member: &KnownMember, record: &MemberRecord) -> Self {
        Self {
            member: known_member.member.clone(),
            incarnation: known_member.incarnation,
            zone: record.host.zone.clone(),
            address: record.host.address,
            ingress: record.ingress,
            connected: record.stream.is_some(),
            eligible: record.host.eligible.0,
            has_lease: record.lease_expires_at > now,
            lease_remaining_ms: record.lease_expires_at.since(now).as_millis() as u64,
            installed: record.installed,
            claimed: record.claimed,
        }
    }
}

impl RunnerRow {
    fn new(runner: RunnerId, reservation: &Reservation) -> Self {
        Self {
            runner,
            function: reservation.function.clone(),
            worker: reservation.worker.clone(),
            memory_mb: reservation.memory_mb,
            ready: reservation.ready,
            draining: reservation.draining,
            is_orphaned: reservation.is_orphaned(),
            instance: reservation
                .instance
                .as_ref()
                .map(|instance| instance.name.clone()),
        }
    }
}

impl LeaderState {
    /// Returns the report on members.
    pub fn report_members(&self, now: MonotonicTime) -> MembersReport {
        let members = self
            .members
            .iter()
            .map(|(known_member, record)| MemberRow::new(now, known_member, record))
            .collect();
        MembersReport {
            members,
            open: self.claims.is_reached,
        }
    }

    /// Returns the report on function leases.
    pub fn report_holders(&self) -> HoldersReport {
        let holders = self
            .lease_records
            .iter()
            .map(|(function, entry)| self.holder_row(function, entry))
            .collect();
        HoldersReport { holders }
    }

    fn holder_row(&self, function: &FunctionKey, entry: &LeaseRecord) -> HolderRow {
        let runners = self.reservations.all_of(function);
        HolderRow {
            function: function.clone(),
            member: entry.holder.member.clone(),
            fencing_token: entry.fencing_token,
            fencing: entry.fencing_since.is_some(),
            handing_over: entry.handing_over,
            runners: runners.map(|(runner, _)| runner).collect(),
        }
    }

    /// Returns the report on workers.
    pub fn report_workers(&self) -> WorkersReport {
        let reserved_mb_sums = self.reserved_mb();
        let workers = self
            .workers
            .iter()
            .map(|listed| WorkerRow {
                worker: listed.worker.clone(),
                zone: listed.zone.clone(),
                memory_mb: listed.memory_mb,
                reserved_mb: reserved_mb_sums.get(&listed.worker).copied().unwrap_or(0),
                draining: listed.draining,
            })
            .collect();
        WorkersReport { workers }
    }

    /// Returns the report on runners.
    pub fn report_runners(&self) -> RunnersReport {
        let runners = self
            .reservations
            .iter()
            .map(|(runner, reservation)| RunnerRow::new(*runner, reservation))
            .collect();
        RunnersReport { runners }
    }

    /// Returns the counts for the metrics: open streams, function leases, runners and workers in use.
    pub fn counts(&self) -> [(&'static str, u64); 4] {
        [
            ("members", self.members.open_stream_count() as u64),
            ("holders", self.lease_records.len() as u64),
            ("runners", self.reservations.len() as u64),
            ("workers_used", self.reserved_mb().len() as u64),
        ]
    }

    /// Returns every zone that has a member or a worker.
    pub fn known_zones(&self) -> BTreeSet<Zone> {
        let member_zones = self
            .members
            .records()
            .map(|record| record.host.zone.clone());
        let worker_zones = self.workers.iter().map(|listed| listed.zone.clone());
        member_zones.chain(worker_zones).collect()
    }
}
