//! Anti-entropy: exchanges of full views. Builds this agent's view, merges another agent's, and compares the two.

use foca::{Member, State};

use super::{Membership, MembershipAction, Phase, MAX_DIFFERENCES};
use crate::membership::broadcast::BroadcastQueue;
use crate::membership::message::{FullView, MemberRow, RowState};
use crate::membership::view::SwimMember;
use crate::membership::{Change, Identity, Name, View};
use crate::{micros, Micros};

/// Whether the updates found in a merged view are broadcast.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Propagation {
    /// Updates that are new to this agent are broadcast, as they may be new to others.
    Broadcast,
    /// Nothing is broadcast: an agent that joins learns nothing that the fleet does not know.
    Local,
}

impl Membership {
    /// This agent's full view. It includes the agent itself only while the agent is active.
    pub(super) fn full_view(&self) -> FullView {
        let mut rows: Vec<MemberRow> = self
            .foca
            .iter_membership_state()
            .filter(|member| member.id().name != self.me.name)
            .map(|member| MemberRow {
                identity: member.id().clone(),
                incarnation: member.incarnation(),
                state: row_state(member.state()),
            })
            .collect();
        if self.phase == Phase::Active {
            rows.push(MemberRow {
                identity: self.me.clone(),
                incarnation: self.incarnation,
                state: RowState::Alive,
            });
        }
        FullView {
            from: self.record.clone(),
            digest: self.view.digest(),
            rows,
            records: self.broadcasts.records(),
        }
    }

    /// Merges another agent's view.
    pub(super) fn merge_view(&mut self, now: Micros, view: &FullView, propagation: Propagation) {
        if view.from.name == self.me.name {
            return;
        }
        let limit = self.settings.max_members;
        for record in view.records.iter().take(limit) {
            // This agent alone writes its own record.
            if record.process != self.me.process {
                self.broadcasts.merge(record);
            }
        }
        let members: Vec<Member<Identity>> = view
            .rows
            .iter()
            .filter(|row| row.identity.addr.port() != 0)
            .take(limit)
            .filter_map(|row| self.member_to_merge(view, row))
            .collect();
        let broadcast = propagation == Propagation::Broadcast;
        let _ = self
            .foca
            .apply_many(members.into_iter(), broadcast, &mut self.effects);
        self.quorum.record_contact(now);
        if self.view.is_present(&view.from.name) {
            self.peer_digests.record(now, &view.from.name, view.digest);
        }
        self.view_is_stale = true;
    }

    /// The update to apply for a row of another agent's view, if any. A present member that has failed in that view becomes
    /// a suspect here, so that it can refute; one that has left is down at once.
    fn member_to_merge(&self, view: &FullView, row: &MemberRow) -> Option<Member<Identity>> {
        let identity = &row.identity;
        let has_left = || {
            view.records
                .iter()
                .any(|record| record.describes(identity) && record.left)
        };
        let state = match row.state {
            RowState::Down if *identity == self.me => State::Down,
            _ if identity.name == self.me.name => return None,
            RowState::Alive => State::Alive,
            RowState::Suspect => State::Suspect,
            RowState::Down if !has_left() && self.view.is_present(&identity.name) => State::Suspect,
            RowState::Down => State::Down,
        };
        Some(Member::new(identity.clone(), row.incarnation, state))
    }

    /// Compares a peer's view with this agent's as it was before the merge, then merges it.
    pub(super) fn compare_and_merge(
        &mut self,
        now: Micros,
        peer: &Name,
        view: &FullView,
        actions: &mut Vec<MembershipAction>,
    ) {
        let peer_view = self.build_view(now, view);
        let differences = self.view.differences(&peer_view, MAX_DIFFERENCES);
        let convergence_timeout = micros(self.settings.convergence_timeout);
        let differs_lastingly = self
            .peer_digests
            .differing(now, convergence_timeout)
            .any(|differing| differing.peer == peer);
        if differs_lastingly && !differences.is_empty() {
            actions.push(MembershipAction::Report(Change::ViewsDiffer {
                peer: peer.clone(),
                differences: differences.clone(),
            }));
        }
        self.merge_view(now, view, Propagation::Broadcast);
        self.peer_digests.set_differences(peer, differences);
    }

    /// The view of the other agent, built from its full view.
    fn build_view(&self, now: Micros, view: &FullView) -> View {
        let broadcasts = BroadcastQueue::new(self.settings.max_members, 0);
        broadcasts.merge(&view.from);
        for record in &view.records {
            broadcasts.merge(record);
        }
        let members = view.rows.iter().map(|row| SwimMember {
            identity: row.identity.clone(),
            incarnation: row.incarnation,
            state: match row.state {
                RowState::Alive => State::Alive,
                RowState::Suspect => State::Suspect,
                RowState::Down => State::Down,
            },
        });
        let mut peer_view = View::default();
        peer_view.refresh(now, members, &broadcasts, &mut Vec::new());
        peer_view
    }
}

fn row_state(state: State) -> RowState {
    match state {
        State::Alive => RowState::Alive,
        State::Suspect => RowState::Suspect,
        State::Down => RowState::Down,
    }
}
