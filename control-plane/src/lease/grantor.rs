//! The grantor's side of leases: when a role may be granted, and to whom.
//!
//! Invariant: only the Raft leader grants leases. By its own monotonic clock, it grants a held role no sooner than one
//! lease duration, extended by the drift of both clocks, after it applied the last renewal and after it became the
//! leader.

use std::collections::BTreeMap;

use super::{LeaseSettings, Operation, ReplicatedState, Role};
use crate::membership::Name;
use crate::Micros;

/// A process to which roles may be granted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The name of the agent.
    pub name: Name,
    /// Number of the agent's process, as in [`Identity::process`](crate::membership::Identity::process).
    pub process: u64,
    /// The agent's zone: roles are spread over zones where possible.
    pub zone: String,
}

/// A candidate with the number of roles that it holds.
struct RankedCandidate<'a> {
    candidate: &'a Candidate,
    roles: usize,
}

/// A lease as last seen in the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ObservedLease {
    token: u64,
    renewals: u64,
    /// When this voter applied the grant or renewal, by its own clock. It was proposed earlier.
    applied_at: Micros,
}

/// Decides which leases are granted, and to whom. Every voter has one, so that each new leader knows the leases.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseGrantor {
    roles: Vec<Role>,
    /// How long after the last renewal of its lease a role may be granted to another process.
    expiry_wait: Micros,
    retry_interval: Micros,
    observed: BTreeMap<Role, ObservedLease>,
    /// When this voter's present, uninterrupted leadership began; `None` while it is not the leader.
    leading_since: Option<Micros>,
    /// The earliest time at which grants are proposed again. Until then, those proposed last may still be committed.
    next_grant: Micros,
}

impl LeaseGrantor {
    /// Creates the grantor of a voter that is not the leader.
    pub fn new(lease: LeaseSettings, roles: &[Role]) -> LeaseGrantor {
        LeaseGrantor {
            roles: roles.to_vec(),
            expiry_wait: lease.grantor_wait(),
            retry_interval: lease.renewal_interval(),
            observed: BTreeMap::new(),
            leading_since: None,
            next_grant: 0,
        }
    }

    /// Records whether this voter is the leader at `now`.
    pub fn set_leading(&mut self, now: Micros, leading: bool) {
        self.leading_since = if leading {
            Some(self.leading_since.unwrap_or(now))
        } else {
            None
        };
    }

    /// Observes the state after an entry was applied. For each lease that changed, the wait starts at `now`.
    pub fn on_applied(&mut self, now: Micros, state: &ReplicatedState) {
        for (role, lease) in &state.leases {
            let unchanged = self.observed.get(role).is_some_and(|observed| {
                observed.token == lease.token && observed.renewals == lease.renewals
            });
            if !unchanged {
                let observed = ObservedLease {
                    token: lease.token,
                    renewals: lease.renewals,
                    applied_at: now,
                };
                self.observed.insert(*role, observed);
            }
        }
    }

    /// The earliest time at which a role may be granted, by the entries applied so far; `None` while this voter is not
    /// the leader.
    ///
    /// A lease may have been renewed just before this voter became the leader, so the wait starts no earlier than that.
    pub fn grantable_at(&self, role: Role, state: &ReplicatedState) -> Option<Micros> {
        let since = self.leading_since?;
        if !state.leases.contains_key(&role) {
            return Some(since);
        }
        let applied_at = self
            .observed
            .get(&role)
            .map_or(since, |observed| observed.applied_at);
        Some(since.max(applied_at) + self.expiry_wait)
    }

    /// Returns the grants to propose now, one for each role that may be granted. `at_ms` is the wall clock in
    /// milliseconds, for display.
    pub fn grant(
        &mut self,
        now: Micros,
        state: &ReplicatedState,
        candidates: &[Candidate],
        at_ms: u64,
    ) -> Vec<Operation> {
        if now < self.next_grant {
            return Vec::new();
        }
        let grantable = self.grantable(now, state);
        let mut ranked = rank(candidates, state, &grantable);
        let mut grants = Vec::new();
        for role in grantable {
            let Some(best) = best_candidate(role, &ranked, state) else {
                break;
            };
            ranked[best].roles += 1;
            let observed = state.lease_version(role);
            grants.push(Operation::GrantLease {
                role,
                to: ranked[best].candidate.name.clone(),
                process: ranked[best].candidate.process,
                observed_token: observed.token,
                observed_renewals: observed.renewals,
                at_ms,
            });
        }
        if !grants.is_empty() {
            // The proposals need time to be committed; one that is lost is retried after this interval.
            self.next_grant = now + self.retry_interval;
        }
        grants
    }

    fn grantable(&self, now: Micros, state: &ReplicatedState) -> Vec<Role> {
        let may_grant = |role: &Role| self.grantable_at(*role, state).is_some_and(|at| now >= at);
        self.roles.iter().copied().filter(may_grant).collect()
    }
}

/// Counts the roles that each candidate keeps: those that it holds and that are not about to be granted.
fn rank<'a>(
    candidates: &'a [Candidate],
    state: &ReplicatedState,
    grantable: &[Role],
) -> Vec<RankedCandidate<'a>> {
    let kept_roles = |candidate: &Candidate| {
        state
            .leases
            .iter()
            .filter(|(role, lease)| !grantable.contains(role) && lease.holder == candidate.name)
            .count()
    };
    candidates
        .iter()
        .map(|candidate| RankedCandidate {
            candidate,
            roles: kept_roles(candidate),
        })
        .collect()
}

/// The index of the candidate to which a role is granted. In this order, it prefers a candidate that was not the role's
/// last holder, the one with the fewest roles, the one in the zone with the fewest holders, and the first by name.
fn best_candidate(
    role: Role,
    ranked: &[RankedCandidate<'_>],
    state: &ReplicatedState,
) -> Option<usize> {
    let holders_in_zone = |zone: &str| {
        ranked
            .iter()
            .filter(|other| other.roles > 0 && other.candidate.zone == zone)
            .count()
    };
    // A holder whose lease expired may have failed without being detected; one that released the role did so on
    // purpose.
    let was_last_holder = |candidate: &Candidate| {
        let last = state.last_leases.get(&role);
        last.is_some_and(|lease| lease.process == candidate.process)
    };
    (0..ranked.len()).min_by_key(|&index| {
        let RankedCandidate { candidate, roles } = &ranked[index];
        (
            was_last_holder(candidate),
            *roles,
            holders_in_zone(&candidate.zone),
            candidate.name.clone(),
        )
    })
}

#[cfg(test)]
mod tests;
