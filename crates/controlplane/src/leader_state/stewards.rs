use super::{LeaderState, StreamId};
use common::clock::Moment;
use common::frames::{Host, KnownMember, Many, StreamDown};
use common::identity::{FunctionKey, GrantSerial, MemberName, Serial};
use common::ring;

impl LeaderState {
    /// Who is to keep the copy of a holder's ledger: another daemon, in another zone if there is one.
    pub(super) fn choose_steward(
        &self,
        now: Moment,
        function: &FunctionKey,
        holder: &KnownMember,
        lost: Option<&MemberName>,
    ) -> Option<Host> {
        let holder_zone = self.members.get(holder).map(|record| record.host.zone.clone());
        let fitting_hosts: Vec<&Host> = self
            .members
            .iter()
            .filter(|(known_member, _)| {
                known_member.member != holder.member
                    && Some(&known_member.member) != lost
                    && self.is_serving(known_member, now)
            })
            .map(|(_, record)| &record.host)
            .collect();
        let key = FunctionKey::new(format!("ledger of {}", function.name), Serial(0));
        let elsewhere =
            fitting_hosts.iter().copied().filter(|host| Some(&host.zone) != holder_zone.as_ref());
        ring::hash_owner(&key, elsewhere)
            .or_else(|| ring::hash_owner(&key, fitting_hosts.iter().copied()))
            .cloned()
    }

    pub(super) fn hear_steward_lost(
        &mut self,
        now: Moment,
        stream: StreamId,
        function: FunctionKey,
        grant: GrantSerial,
        lost: &MemberName,
    ) {
        let Some(holder) = self.streams.get(&stream).cloned() else { return };
        let steward = self.choose_steward(now, &function, &holder, Some(lost));
        let Some(entry) = self.entries.get_mut(&function) else { return };
        if entry.holder != holder || entry.grant != grant {
            return;
        }
        entry.steward = steward.clone();
        entry.whole = false;
        let steward = Many(steward.into_iter().collect());
        self.down(stream, StreamDown::Steward { function, grant, steward });
    }

    pub(super) fn hear_steward_whole(
        &mut self,
        stream: StreamId,
        function: &FunctionKey,
        grant: GrantSerial,
        steward: &MemberName,
    ) {
        let Some(holder) = self.streams.get(&stream) else { return };
        let Some(entry) = self.entries.get_mut(function) else { return };
        let is_named = entry.steward.as_ref().is_some_and(|named| named.member == *steward);
        if entry.holder == *holder && entry.grant == grant && is_named {
            entry.whole = true;
        }
    }
}
