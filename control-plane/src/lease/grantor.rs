//! The grantor's side of leases: when a role may be granted, and to whom.
//!
//! Only the leader of the log grants, by its own monotonic clock: never sooner than a lease, with the clocks' drift,
//! after the last renewal that it applied and after it became the leader.

use std::collections::BTreeMap;

use super::{LeaseSettings, Operation, ReplicatedState, Role};
use crate::membership::Name;
use crate::Micros;

/// A process to which roles may be granted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its name.
    pub name: Name,
    /// The process that runs under the name.
    pub process: u64,
    /// Its zone: roles are spread over zones where possible.
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
    /// When this voter applied the grant or renewal, by its own clock. The holder proposed it earlier.
    applied_at: Micros,
}

/// The grantor of leases.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseGrantor {
    roles: Vec<Role>,
    /// How long after its last renewal a role may be granted to another process.
    wait: Micros,
    retry_interval: Micros,
    observed: BTreeMap<Role, ObservedLease>,
    /// Since when this voter leads without a break; `None` while it does not.
    leading_since: Option<Micros>,
    /// Before this, grants that were proposed may still be committed.
    next_grant: Micros,
}

impl LeaseGrantor {
    /// A grantor that does not lead yet.
    pub fn new(lease: LeaseSettings, roles: &[Role]) -> LeaseGrantor {
        LeaseGrantor {
            roles: roles.to_vec(),
            wait: lease.grantor_wait(),
            retry_interval: lease.renewal_interval(),
            observed: BTreeMap::new(),
            leading_since: None,
            next_grant: 0,
        }
    }

    /// Whether this voter leads the log at `now`.
    pub fn set_leading(&mut self, now: Micros, leading: bool) {
        self.leading_since = if leading {
            Some(self.leading_since.unwrap_or(now))
        } else {
            None
        };
    }

    /// Follows an applied entry: the wait for a lease that it changed begins now.
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

    /// When a role may be granted, as far as known; `None` while this voter does not lead.
    ///
    /// A lease that this voter has not seen change may have been renewed just before it became the leader: it waits from
    /// then on.
    pub fn grantable_at(&self, role: Role, state: &ReplicatedState) -> Option<Micros> {
        let since = self.leading_since?;
        if !state.leases.contains_key(&role) {
            return Some(since);
        }
        let applied_at = self
            .observed
            .get(&role)
            .map_or(since, |observed| observed.applied_at);
        Some(since.max(applied_at) + self.wait)
    }

    /// The grants to propose now, of all roles that may be granted. `at_ms` is the wall clock in milliseconds, for
    /// display.
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
            // A proposal takes time to commit, or is lost and has to be retried.
            self.next_grant = now + self.retry_interval;
        }
        grants
    }

    fn grantable(&self, now: Micros, state: &ReplicatedState) -> Vec<Role> {
        let may_grant = |role: &Role| self.grantable_at(*role, state).is_some_and(|at| now >= at);
        self.roles.iter().copied().filter(may_grant).collect()
    }
}

/// The candidates with the roles that they keep: those that are not granted anew.
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

/// The index of the candidate to which a role is granted: not its last holder, then the one with the fewest roles, then
/// the one in the zone with the fewest holders, then the first by [`Name`]'s order.
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
    // A holder whose lease expired may have failed undetected, and one that released the role did so on purpose.
    let was_last_holder = |candidate: &Candidate| {
        let last = state.last_leases.get(&role);
        last.is_some_and(|lease| lease.process == candidate.process)
    };
    (0..ranked.len()).min_by_key(|&at| {
        let RankedCandidate { candidate, roles } = &ranked[at];
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
