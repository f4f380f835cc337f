//! Two processes with one name: the one that started first keeps it, and both sides come to the same result.

use super::calls::Purpose;
use super::{Membership, MembershipAction, Phase};
use crate::membership::message::CallMessage;
use crate::membership::{Change, Identity, Record};

/// Rejected processes remembered, so that each is reported once.
const MAX_REJECTED_PROCESSES: usize = 64;

impl Membership {
    /// Another identity of this agent's name was seen: asks its process, in case it is alive.
    pub(super) fn on_rival_seen(&mut self, rival: &Identity, actions: &mut Vec<MembershipAction>) {
        if rival.process == self.me.process
            || rival.addr == self.me.addr
            || self.phase == Phase::Joining
        {
            return;
        }
        if self.rejected_processes.contains(&rival.process) {
            // Until the rejected process ends, its identity may prevail over this one in SWIM.
            return self.rise_above(rival.generation, actions);
        }
        let is_same = |purpose: &Purpose| matches!(purpose, Purpose::Claim { rival: other, .. } if other.process == rival.process);
        if !self.calls.any(is_same) {
            let claim = CallMessage::ClaimName(self.record.clone());
            let purpose = Purpose::Claim {
                rival: Box::new(rival.clone()),
                joining: None,
            };
            self.call(rival.addr, purpose, &claim, actions);
        }
    }

    /// Another live process has this agent's name: the one that started first keeps it, the other one ends.
    pub(super) fn resolve_name_conflict(
        &mut self,
        rival: &Record,
        actions: &mut Vec<MembershipAction>,
    ) {
        if started_before(rival, &self.record) {
            self.phase = Phase::Ended;
            actions.push(MembershipAction::NameRejected(Box::new(rival.clone())));
            return;
        }
        if !self.rejected_processes.contains(&rival.process) {
            if self.rejected_processes.len() >= MAX_REJECTED_PROCESSES {
                self.rejected_processes.remove(0);
            }
            self.rejected_processes.push(rival.process);
            let change = Change::DuplicateNameRejected(Box::new(rival.clone()));
            actions.push(MembershipAction::Report(change));
        }
        self.rise_above(rival.generation, actions);
    }

    /// Continues under a higher generation, unless this agent's is above that one already.
    fn rise_above(&mut self, generation: u64, actions: &mut Vec<MembershipAction>) {
        if generation >= self.me.generation {
            self.renew_generation(generation, actions);
        }
    }

    /// Continues under a generation above both this agent's and that one.
    pub(super) fn renew_generation(&mut self, above: u64, actions: &mut Vec<MembershipAction>) {
        let generation = above.max(self.me.generation).saturating_add(1);
        let identity = Identity {
            generation,
            ..self.me.clone()
        };
        let changed = self
            .foca
            .change_identity(identity.clone(), &mut self.effects);
        if changed.is_ok() {
            self.on_identity_renewed(identity, actions);
        }
    }

    /// Adopts a renewed identity of this agent.
    pub(super) fn on_identity_renewed(
        &mut self,
        identity: Identity,
        actions: &mut Vec<MembershipAction>,
    ) {
        let generation = identity.generation;
        self.me = identity;
        self.incarnation = 0;
        if self.rejected_processes.is_empty() {
            // SWIM's own update tells others of the new generation, and their record of this agent remains valid. With a
            // broadcast, a region that returns from a partition would broadcast all its records.
            self.renew_record();
            self.broadcasts.merge(&self.record);
        } else {
            self.publish_record();
        }
        // A leaving agent is declared down by those that know it: nothing that operators need to see.
        if !matches!(self.phase, Phase::Leaving { .. }) {
            actions.push(MembershipAction::Report(Change::Rejoined(generation)));
        }
    }
}

/// Whether a process started before another one of its name; of two that started in the same millisecond, the one with the
/// smaller id counts as the earlier. Both sides compare the same values, so that exactly one of them gives way.
fn started_before(record: &Record, other: &Record) -> bool {
    (record.started_ms, record.process) < (other.started_ms, other.process)
}
