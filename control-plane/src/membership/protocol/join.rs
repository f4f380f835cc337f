//! Joining a fleet: the agent claims its name from the previous process with it, if there is one, and becomes active
//! under a higher generation.

use super::calls::Purpose;
use super::view_exchange::Propagation;
use super::{Membership, MembershipAction, Phase};
use crate::membership::broadcast::Broadcast;
use crate::membership::message::{CallMessage, FullView, RowState};
use crate::membership::Change;
use crate::Micros;

/// The information with which an agent joins a fleet.
pub(super) struct JoinState {
    /// Full view of a seed.
    view: FullView,
    /// Generation of the previous process with this agent's name; 0 if there is none.
    previous_generation: u64,
}

impl Membership {
    /// Joins with the view of the first seed that answers. If another process has this agent's name in that view, claims
    /// the name from it first.
    pub(super) fn join(
        &mut self,
        now: Micros,
        view: FullView,
        actions: &mut Vec<MembershipAction>,
    ) {
        let is_join_claim = |purpose: &Purpose| {
            matches!(
                purpose,
                Purpose::Claim {
                    joining: Some(_),
                    ..
                }
            )
        };
        if self.calls.any(is_join_claim) {
            return;
        }
        let previous = view
            .rows
            .iter()
            .find(|row| row.identity.name == self.me.name)
            .filter(|row| row.identity.process != self.me.process);
        let Some(previous) = previous.cloned() else {
            return self.complete_join(now, view, 0, actions);
        };
        let rival = previous.identity;
        // No other process can be running at this agent's own address.
        if previous.state == RowState::Down || rival.addr == self.me.addr {
            return self.complete_join(now, view, rival.generation, actions);
        }
        let to = rival.addr;
        let claim = CallMessage::ClaimName(self.record.clone());
        let purpose = Purpose::Claim {
            rival: Box::new(rival),
            joining: Some(Box::new(view)),
        };
        self.call(to, purpose, &claim, actions);
    }

    /// Becomes active with a seed's view, under a generation above that of the previous process with the name.
    pub(super) fn complete_join(
        &mut self,
        now: Micros,
        view: FullView,
        previous_generation: u64,
        actions: &mut Vec<MembershipAction>,
    ) {
        let state = JoinState {
            view,
            previous_generation,
        };
        self.activate(now, Some(state), actions);
    }

    /// Becomes active: as a member of the seed's fleet, or alone if there is nothing to join with.
    pub(super) fn activate(
        &mut self,
        now: Micros,
        join: Option<JoinState>,
        actions: &mut Vec<MembershipAction>,
    ) {
        if self.phase != Phase::Joining {
            return;
        }
        let highest = join
            .as_ref()
            .map_or(0, |state| self.highest_generation(state));
        if highest >= self.me.generation {
            self.me.generation = highest.saturating_add(1);
            let _ = self
                .foca
                .change_identity(self.me.clone(), &mut self.effects);
        }
        self.record.generation = self.me.generation;
        self.phase = Phase::Active;
        self.view_is_stale = true;
        if let Some(state) = join {
            self.merge_view(now, &state.view, Propagation::Local);
            let seed = state.view.from.identity();
            let _ = self.foca.announce(seed, &mut self.effects);
            let members = self.foca.num_members() + 1;
            actions.push(MembershipAction::Report(Change::Joined { members }));
        }
        self.broadcast_record();
    }

    /// The highest known generation of this agent's name, from the seed's records and the previous process.
    fn highest_generation(&self, state: &JoinState) -> u64 {
        state
            .view
            .records
            .iter()
            .filter(|record| record.name == self.me.name)
            .map(|record| record.generation)
            .max()
            .unwrap_or(0)
            .max(state.previous_generation)
    }

    /// Writes a new version of this agent's record, and broadcasts it if the agent has joined.
    pub(super) fn publish_record(&mut self) {
        self.renew_record();
        if self.phase != Phase::Joining {
            self.broadcast_record();
        }
    }

    /// Writes a new version of this agent's record under its current generation. The caller makes it known to others.
    pub(super) fn renew_record(&mut self) {
        self.record.version = self.record.version.saturating_add(1);
        self.record.generation = self.me.generation;
        self.record = self.record.clone().truncated();
    }

    fn broadcast_record(&mut self) {
        let broadcast = Broadcast::Record(self.record.clone()).encode();
        let _ = self.foca.add_broadcast(&broadcast);
        self.view_is_stale = true;
    }
}
