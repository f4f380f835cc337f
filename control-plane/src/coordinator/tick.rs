//! The periodic work of a coordinator: it renews and grants leases, ends cordons, updates alarms, and hands over its
//! roles and leadership during a shutdown.

use std::collections::BTreeSet;

use super::{Coordinator, CoordinatorAction, Member, Stopping};
use crate::consensus::ConsensusEvent;
use crate::lease::{Candidate, Command, HandoverReason, Operation, Role};
use crate::membership::Name;
use crate::Micros;

/// The interval of the periodic work, in microseconds.
pub(super) const TICK_INTERVAL: Micros = 50_000;
/// Interval between proposals of the same release or of changes of alarms, in microseconds.
const PROPOSAL_RETRY_INTERVAL: Micros = 300_000;
/// How long an agent that shuts down waits until it has handed over its roles and leadership, in microseconds.
const HANDOVER_TIMEOUT: Micros = 2_000_000;

/// A release that is proposed again until the replicated state shows it.
pub(super) struct PendingRelease {
    command: Command,
    next_attempt: Micros,
}

impl Coordinator {
    pub(super) fn on_wake(
        &mut self,
        now: Micros,
        wall_ms: u64,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        self.wall_ms = wall_ms;
        let voter = self.voter.as_ref();
        if voter.is_some_and(|local| now >= local.voter.next_wake()) {
            self.step_voter(now, ConsensusEvent::Wake, actions);
        }
        if now >= self.next_tick {
            self.next_tick = now + TICK_INTERVAL;
            self.tick(now, actions);
        }
    }

    /// The order matters: `hand_over` adds releases that `retry_releases` proposes in the same tick.
    fn tick(&mut self, now: Micros, actions: &mut Vec<CoordinatorAction>) {
        let leads = self.leads();
        self.grantor.set_leading(now, leads);
        self.renew_leases(now, actions);
        if leads {
            self.grant_leases(now, actions);
            self.promote_learner(now, actions);
        }
        self.expire_cordon(now, actions);
        self.update_alarms(now, actions);
        self.check_membership(now, actions);
        self.hand_over(now, actions);
        self.retry_releases(now, actions);
        self.retry_pending(now, actions);
        self.send_updates(now, actions);
    }

    fn renew_leases(&mut self, now: Micros, actions: &mut Vec<CoordinatorAction>) {
        if now < self.holder.next_renewal() {
            return;
        }
        // `command` assigns this sequence number to the renewal below.
        let sequence = self.last_sequence + 1;
        if let Some(renewal) = self.holder.renew(now, &self.state, sequence) {
            let command = self.command(renewal);
            self.propose(now, &command, actions);
        }
    }

    fn grant_leases(&mut self, now: Micros, actions: &mut Vec<CoordinatorAction>) {
        let candidates = self.candidates();
        let grants = self
            .grantor
            .grant(now, &self.state, &candidates, self.wall_ms);
        for grant in grants {
            let command = self.command(grant);
            self.propose(now, &command, actions);
        }
    }

    /// The voters that are present, to which roles may be granted; without this agent while it shuts down.
    fn candidates(&self) -> Vec<Candidate> {
        let voters: BTreeSet<&Name> = self.state.voters.values().collect();
        let is_stopping_self =
            |member: &Member| self.stopping.is_some() && member.process == self.me.process;
        self.members
            .iter()
            .filter(|member| voters.contains(&member.name) && !is_stopping_self(member))
            .map(|member| Candidate {
                name: member.name.clone(),
                process: member.process,
                zone: member.zone.clone(),
            })
            .collect()
    }

    /// If this agent holds the maintenance role: uncordons a server whose cordon has expired, one in each tick.
    fn expire_cordon(&mut self, now: Micros, actions: &mut Vec<CoordinatorAction>) {
        if self.holder.active_token(now, Role::Maintenance).is_none() {
            return;
        }
        let expired = self
            .state
            .cordoned
            .iter()
            .find(|(_, cordon)| cordon.until_ms.is_some_and(|until| self.wall_ms >= until))
            .map(|(server, _)| server.clone());
        if let Some(server) = expired {
            let command = self.command(Operation::Uncordon { server });
            self.propose(now, &command, actions);
        }
    }

    /// If this agent holds the alerting role: proposes the difference between the observed and the recorded alarms.
    fn update_alarms(&mut self, now: Micros, actions: &mut Vec<CoordinatorAction>) {
        if now < self.next_alarm_update || self.holder.active_token(now, Role::Alerting).is_none() {
            return;
        }
        let changes = self.alarm_changes();
        if !changes.is_empty() {
            self.next_alarm_update = now + PROPOSAL_RETRY_INTERVAL;
        }
        for change in changes {
            let command = self.command(change);
            self.propose(now, &command, actions);
        }
    }

    fn alarm_changes(&self) -> Vec<Operation> {
        let (observed, recorded) = (&self.observed_alarms, &self.state.alarms);
        let raised = observed
            .iter()
            .filter(|(alarm, _)| !recorded.contains_key(alarm))
            .map(|(alarm, raised)| Operation::UpdateAlarm {
                alarm: alarm.clone(),
                raised: Some(raised.clone()),
            });
        let cleared = recorded
            .keys()
            .filter(|alarm| !observed.contains_key(alarm))
            .map(|alarm| Operation::UpdateAlarm {
                alarm: alarm.clone(),
                raised: None,
            });
        raised.chain(cleared).collect()
    }

    /// Releases a role of this agent, which stops acting in the role at once. The release is proposed until the
    /// replicated state shows it.
    pub(super) fn release(&mut self, now: Micros, role: Role, reason: HandoverReason) {
        let release = self.holder.release(role, &self.state, reason, self.wall_ms);
        if let Some(operation) = release {
            let command = self.command(operation);
            self.releases.push(PendingRelease {
                command,
                next_attempt: now,
            });
        }
    }

    fn retry_releases(&mut self, now: Micros, actions: &mut Vec<CoordinatorAction>) {
        let state = &self.state;
        self.releases
            .retain(|release| match &release.command.operation {
                Operation::ReleaseLease { role, token, .. } => state.has_lease(*role, *token),
                _ => false,
            });
        let mut to_propose = Vec::new();
        for release in &mut self.releases {
            if now >= release.next_attempt {
                release.next_attempt = now + PROPOSAL_RETRY_INTERVAL;
                to_propose.push(release.command.clone());
            }
        }
        for command in &to_propose {
            self.propose(now, command, actions);
        }
    }

    /// During a shutdown: releases the roles, then transfers leadership, and then reports that this agent may exit.
    fn hand_over(&mut self, now: Micros, actions: &mut Vec<CoordinatorAction>) {
        let Some(Stopping {
            since,
            handed_over: false,
        }) = self.stopping
        else {
            return;
        };
        let roles: Vec<Role> = self
            .state
            .roles_of(self.me.process)
            .map(|lease| lease.role)
            .collect();
        let has_no_successor = self.voter.is_none() || self.state.voters.len() < 2;
        let is_complete = has_no_successor || (roles.is_empty() && !self.leads());
        let is_timed_out = now >= since + HANDOVER_TIMEOUT;
        if is_complete || is_timed_out {
            self.stopping = Some(Stopping {
                since,
                handed_over: true,
            });
            return actions.push(CoordinatorAction::HandoverComplete);
        }
        for role in &roles {
            self.release(now, *role, HandoverReason::Shutdown);
        }
        if roles.is_empty() {
            self.step_voter(now, ConsensusEvent::TransferLeadership, actions);
        }
    }
}
