//! The holder's side of a lease: until when this process may act, by its own monotonic clock.
//!
//! Invariant: a lease lasts from the time at which its renewal was proposed, and the grantor waits from the time at
//! which it applied that renewal, which is later. The lease therefore ends here before the role may be granted to
//! another process.

use std::collections::BTreeMap;

use super::{
    Command, HandoverReason, LeaseSettings, Operation, Outcome, ReplicatedState, Role, RoleToken,
};
use crate::membership::Name;
use crate::Micros;

/// A lease under which this process may act.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ActiveLease {
    token: u64,
    expires_at: Micros,
}

/// The leases of this agent process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    me: Name,
    process: u64,
    lease_duration: Micros,
    renewal_interval: Micros,
    /// When each renewal in flight was proposed, by the sequence number of its command.
    proposed_renewals: BTreeMap<u64, Micros>,
    active: BTreeMap<Role, ActiveLease>,
    /// The token that this process released last, by role: no renewal in flight extends its lease.
    released: BTreeMap<Role, u64>,
    next_renewal: Micros,
}

impl LeaseHolder {
    /// Creates a process that holds no lease.
    pub fn new(me: Name, process: u64, lease: LeaseSettings) -> LeaseHolder {
        LeaseHolder {
            me,
            process,
            lease_duration: lease.holder_duration(),
            renewal_interval: lease.renewal_interval(),
            proposed_renewals: BTreeMap::new(),
            active: BTreeMap::new(),
            released: BTreeMap::new(),
            next_renewal: 0,
        }
    }

    /// The fencing token under which this process may act now; `None` if it may not.
    pub fn active_token(&self, now: Micros, role: Role) -> Option<u64> {
        let lease = self.active.get(&role)?;
        (now < lease.expires_at).then_some(lease.token)
    }

    /// How much longer this process may act in a role, in microseconds; 0 if it may not.
    pub fn remaining(&self, now: Micros, role: Role) -> Micros {
        self.active
            .get(&role)
            .map_or(0, |lease| lease.expires_at.saturating_sub(now))
    }

    /// The time of the next call of [`LeaseHolder::renew`].
    pub fn next_renewal(&self) -> Micros {
        self.next_renewal
    }

    /// Returns the renewal to propose now, of all roles that this process holds by the replicated state; `None` if it
    /// holds none. The caller proposes it with the sequence number `sequence`.
    pub fn renew(
        &mut self,
        now: Micros,
        state: &ReplicatedState,
        sequence: u64,
    ) -> Option<Operation> {
        self.next_renewal = now + self.renewal_interval;
        let tokens: Vec<RoleToken> = state
            .roles_of(self.process)
            .filter(|lease| !self.has_released(lease.role, lease.token))
            .collect();
        if tokens.is_empty() {
            return None;
        }
        // A renewal that was proposed a lease duration ago can't extend a lease any more.
        let duration = self.lease_duration;
        self.proposed_renewals
            .retain(|_, proposed_at| now < *proposed_at + duration);
        self.proposed_renewals.insert(sequence, now);
        Some(Operation::RenewLeases(tokens))
    }

    /// Observes a command that was applied to `state`. After a grant, this process may act only once a renewal is
    /// applied.
    pub fn on_applied(&mut self, command: &Command, outcome: &Outcome, state: &ReplicatedState) {
        let applied = *outcome == Outcome::Applied;
        match &command.operation {
            Operation::RenewLeases(tokens) if command.id.process == self.process => {
                self.on_renewed(command.id.sequence, tokens, state);
            }
            Operation::GrantLease {
                role, to, process, ..
            } if applied => {
                if *to == self.me && *process == self.process {
                    // The lease begins with its first renewal, which is due at once.
                    self.next_renewal = 0;
                } else {
                    self.active.remove(role);
                }
            }
            Operation::ReleaseLease { role, .. } if applied => {
                self.active.remove(role);
            }
            _ => {}
        }
    }

    fn on_renewed(&mut self, sequence: u64, tokens: &[RoleToken], state: &ReplicatedState) {
        let Some(proposed_at) = self.proposed_renewals.remove(&sequence) else {
            return;
        };
        let expires_at = proposed_at + self.lease_duration;
        for RoleToken { role, token } in tokens {
            if state.has_lease(*role, *token) && !self.has_released(*role, *token) {
                self.extend(*role, *token, expires_at);
            }
        }
    }

    /// Begins or extends the lease under a token. A renewal that is applied late never shortens the lease.
    fn extend(&mut self, role: Role, token: u64, expires_at: Micros) {
        let expires_at = match self.active.get(&role) {
            Some(lease) if lease.token == token => expires_at.max(lease.expires_at),
            _ => expires_at,
        };
        self.active.insert(role, ActiveLease { token, expires_at });
    }

    fn has_released(&self, role: Role, token: u64) -> bool {
        self.released.get(&role) == Some(&token)
    }

    /// Releases a role: this process no longer acts under the token of its lease, even if a renewal in flight is
    /// applied. Returns the operation to propose; `None` if this process does not hold the role or has released it
    /// before.
    pub fn release(
        &mut self,
        role: Role,
        state: &ReplicatedState,
        reason: HandoverReason,
        at_ms: u64,
    ) -> Option<Operation> {
        let token = state
            .roles_of(self.process)
            .find(|lease| lease.role == role)?
            .token;
        self.active.remove(&role);
        let previous = self.released.insert(role, token);
        (previous != Some(token)).then_some(Operation::ReleaseLease {
            role,
            token,
            reason,
            at_ms,
        })
    }
}

#[cfg(test)]
mod tests;
