use super::{LeaderState, StreamId};
use common::clock::MonotonicTime;
use common::frames::{Host, KnownMember, LeaderToDaemon, LengthPrefixed};
use common::identity::{FencingToken, FunctionKey, MemberName, Version};
use common::ring;

impl LeaderState {
    /// Who is to keep the copy of a holder's ledger: another daemon, in another zone if there is one.
    pub(super) fn choose_replica(
        &self,
        now: MonotonicTime,
        function: &FunctionKey,
        holder: &KnownMember,
        lost: Option<&MemberName>,
    ) -> Option<Host> {
        let holder_zone = self
            .members
            .records
            .get(holder)
            .map(|record| record.host.zone.clone());
        let candidate_hosts: Vec<&Host> = self
            .members
            .records
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

    pub(super) fn handle_replica_lost(
        &mut self,
        now: MonotonicTime,
        stream: StreamId,
        function: FunctionKey,
        fencing_token: FencingToken,
        lost: &MemberName,
    ) {
        let Some(holder) = self.members.streams.get(&stream).cloned() else {
            return;
        };
        let replica = self.choose_replica(now, &function, &holder, Some(lost));
        let Some(entry) = self.lease_records.get_mut(&function) else {
            return;
        };
        if entry.holder != holder || entry.fencing_token != fencing_token {
            return;
        }
        entry.replica = replica.clone();
        entry.complete = false;
        let replica = LengthPrefixed(replica.into_iter().collect());
        self.send_frame(
            stream,
            LeaderToDaemon::ReplicaAssigned {
                function,
                fencing_token,
                replica,
            },
        );
    }

    pub(super) fn handle_replica_complete(
        &mut self,
        stream: StreamId,
        function: &FunctionKey,
        fencing_token: FencingToken,
        replica: &MemberName,
    ) {
        let Some(holder) = self.members.streams.get(&stream) else {
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
}
