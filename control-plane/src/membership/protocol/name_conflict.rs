//! Conflicts between two processes with one name: the one that started first keeps it, and both decide alike.

use super::calls::Purpose;
use super::{Membership, MembershipAction, Phase};
use crate::membership::message::CallMessage;
use crate::membership::{Change, Identity, Record};

/// Most rejected processes remembered, so that each is reported once.
const MAX_REJECTED_PROCESSES: usize = 64;

impl Membership {
    /// Handles a message or record from another identity with this agent's name. Unless its process has been rejected
    /// already, this agent calls it to claim the name: the process may be running, and only one of the two can keep it.
    pub(super) fn on_rival_seen(&mut self, rival: &Identity, actions: &mut Vec<MembershipAction>) {
        if rival.process == self.me.process
            || rival.addr == self.me.addr
            || self.phase == Phase::Joining
        {
            return;
        }
        if self.rejected_processes.contains(&rival.process) {
            // Until the rejected process ends, its identity would prevail in SWIM if its generation were higher.
            return self.ensure_generation_above(rival.generation, actions);
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

    /// Decides between this process and another live one with this agent's name: the one that started first keeps the name,
    /// the other one ends.
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
        self.ensure_generation_above(rival.generation, actions);
    }

    /// Renews this agent's generation, unless it is above `generation` already.
    fn ensure_generation_above(&mut self, generation: u64, actions: &mut Vec<MembershipAction>) {
        if generation >= self.me.generation {
            self.renew_generation(generation, actions);
        }
    }

    /// Continues under a generation above this agent's current one and `above`.
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
            // SWIM's own update disseminates the new generation, and the record that others have of this agent remains valid.
            // With a broadcast, all agents of a region that returns from a partition would broadcast their records.
            self.renew_record();
            self.broadcasts.merge(&self.record);
        } else {
            self.publish_record();
        }
        // Members that know of an agent's leave declare it down. Its new identity is then of no interest to operators.
        if !matches!(self.phase, Phase::Leaving { .. }) {
            actions.push(MembershipAction::Report(Change::Rejoined(generation)));
        }
    }
}

/// Whether a process started before another one with its name; of two that started in the same millisecond, the one
/// with the smaller process number counts as the earlier. Both compare the same values, so exactly one of them ends.
fn started_before(record: &Record, other: &Record) -> bool {
    (record.started_ms, record.process) < (other.started_ms, other.process)
}
