//! Assignment of ledger replicas: which member keeps the replica of a holder's ledger.

use super::{LeaderState, StreamId};
use common::clock::MonotonicTime;
use common::frames::{Host, KnownMember, LeaderToDaemon, LengthPrefixed};
use common::identity::{FencingToken, FunctionKey, MemberName, Version};
use common::ring;

impl LeaderState {
    /// Chooses the member that keeps the replica of a holder's ledger: not the holder, and in another zone if possible.
    pub(super) fn choose_replica(
        &self,
        now: MonotonicTime,
        function: &FunctionKey,
        holder: &KnownMember,
        lost: Option<&MemberName>,
    ) -> Option<Host> {
        let holder_zone = self
            .members
            .get(holder)
            .map(|record| record.host.zone.clone());
        let candidate_hosts: Vec<&Host> = self
            .members
            .iter()
            .filter(|(known_member, _)| {
                known_member.member != holder.member
                    && Some(&known_member.member) != lost
                    && self.is_serving(known_member, now)
            })
            .map(|(_, record)| &record.host)
            .collect();
        let key = FunctionKey::new(format!("ledger of {}", function.name), Version(0));
        let elsewhere = candidate_hosts
            .iter()
            .copied()
            .filter(|host| Some(&host.zone) != holder_zone.as_ref());
        ring::hash_owner(&key, elsewhere)
            .or_else(|| ring::hash_owner(&key, candidate_hosts.iter().copied()))
            .cloned()
    }

    /// Assigns another replica to a holder that reports its replica as unreachable.
    pub(super) fn handle_replica_lost(
        &mut self,
        now: MonotonicTime,
        stream: StreamId,
        function: FunctionKey,
        fencing_token: FencingToken,
        lost: &MemberName,
    ) {
        let Some(holder) = self.members.on_stream(stream).cloned() else {
            return;
        };
        let replica = self.choose_replica(now, &function, &holder, Some(lost));
        let is_holder = self
            .lease_records
            .get(&function)
            .is_some_and(|entry| entry.holder == holder && entry.fencing_token == fencing_token);
        if is_holder {
            self.assign_replica(stream, function, replica);
        }
    }

    /// Assigns another replica, or none, to a leased function, and notifies its holder.
    fn assign_replica(&mut self, stream: StreamId, function: FunctionKey, replica: Option<Host>) {
        let Some(entry) = self.lease_records.get_mut(&function) else {
            return;
        };
        entry.replica = replica.clone();
        entry.complete = false;
        let fencing_token = entry.fencing_token;
        let replica = LengthPrefixed(replica.into_iter().collect());
        let frame = LeaderToDaemon::ReplicaAssigned {
            function,
            fencing_token,
            replica,
        };
        self.send_frame(stream, frame);
    }

    /// Records that the replica has the holder's complete ledger, so that it can answer for this lease after its end.
    pub(super) fn handle_replica_complete(
        &mut self,
        stream: StreamId,
        function: &FunctionKey,
        fencing_token: FencingToken,
        replica: &MemberName,
    ) {
        let Some(holder) = self.members.on_stream(stream) else {
            return;
        };
        let Some(entry) = self.lease_records.get_mut(function) else {
            return;
        };
        let is_named = entry
            .replica
            .as_ref()
            .is_some_and(|named| named.member == *replica);
        if entry.holder == *holder && entry.fencing_token == fencing_token && is_named {
            entry.complete = true;
        }
    }

    /// Whether the function's holder keeps a ledger of its requests, with a replica at another member.
    pub(super) fn is_recorded(&self, function: &FunctionKey) -> bool {
        self.configuration
            .table
            .index_of(function)
            .is_none_or(|index| self.configuration.table.is_recorded(index))
    }

    /// Assigns replicas to leased functions that require a ledger under the new specification but have no replica.
    pub(super) fn assign_replicas(&mut self, now: MonotonicTime) {
        if !std::mem::take(&mut self.replica_assignment_due) {
            return;
        }
        let functions_without_replica: Vec<(FunctionKey, KnownMember)> = self
            .lease_records
            .iter()
            .filter(|(_, entry)| entry.replica.is_none() && entry.fencing_since.is_none())
            .filter(|(function, _)| self.is_recorded(function))
            .map(|(function, entry)| (function.clone(), entry.holder.clone()))
            .collect();
        for (function, holder) in functions_without_replica {
            let stream = self.members.stream_of(&holder);
            let replica = self.choose_replica(now, &function, &holder, None);
            if let (Some(stream), Some(replica)) = (stream, replica) {
                self.assign_replica(stream, function, Some(replica));
            }
        }
    }
}
