//! Invariant checker: follows every request to its one final answer and reports each broken rule with the
//! request, node, server and time. The runtimes report facts to it in order of their times; it reads no clock
//! and does no I/O. The rules are those of BRIEF, PROTOCOL, TERMS and DAYS.

mod rules;
mod totals;

use std::collections::{BTreeMap, HashMap, HashSet};

use crate::scenario::{RetrySafety, Scenario};
use crate::world::{ClientRequest, Micros, NodeId, Phase, TryOutcome};

pub use rules::{Breach, Rule};
pub use totals::{latencies, ClassTotals, RunTotals, Second};

/// A node may start new work on a draining, gone or cordoned server for this long after it learned of that
/// (BRIEF 7.1), and on sockets for 50 ms more (PROTOCOL).
pub const DRAIN_GRACE: Micros = 800_000;
/// A request without an answer this long after its deadline is lost (STANDING).
pub const LOST_AFTER: Micros = 500_000;
/// A node may start an attempt for this long after the client closed its connection: 100 ms, and on sockets
/// 50 ms more (PROTOCOL).
pub const CLIENT_GONE_GRACE: Micros = 150_000;
/// A node counts as informed of a change in discovery after this, whether or not the update arrived
/// (PROTOCOL).
pub const DISCOVERY_GRACE: Micros = 6_000_000;
/// A cordon binds a node this long after the operator's call at the latest (DAYS).
pub const CORDON_GRACE: Micros = 1_000_000;
/// A node on standby must have closed its clients' idle connections after this (DAYS).
pub const DRAINED_AFTER: Micros = 4_000_000;
/// The overload of a cold server counts against the nodes if at least this share of its work came from nodes
/// that knew of its start.
pub const INFORMED_SHARE: f64 = 2.0 / 3.0;

/// A client's try, which has a transaction id of its own.
#[derive(Debug)]
struct TryRecord {
    request: u64,
    node: NodeId,
    ends_at: Micros,
    retry_safety: RetrySafety,
    /// Final answer as the client saw it.
    answered: Option<TryOutcome>,
    /// When the client closed its connection without having an answer.
    left: Option<Micros>,
    attempts: Vec<Attempt>,
}

#[derive(Debug)]
struct Attempt {
    server: String,
    at: Micros,
    /// The attempt is proven never to have run.
    never_ran: bool,
    /// The server answered 200.
    served: bool,
}

/// A server's phase as a node knows it, and since when.
#[derive(Clone, Copy, Debug)]
struct KnownPhase {
    phase: Phase,
    at: Micros,
}

/// Follows all requests, records broken rules and counts totals.
#[derive(Debug)]
pub struct InvariantChecker {
    tries: HashMap<String, TryRecord>,
    known: Vec<HashMap<String, KnownPhase>>,
    /// Per server that operators cordoned: for each node, the time from which the cordon binds it.
    cordons: BTreeMap<String, Vec<Option<Micros>>>,
    /// Per node that is down: when it was last killed or crashed.
    died: Vec<Option<Micros>>,
    /// Breaches already reported; each is reported once per rule, node and server, not per request.
    reported: HashSet<(Rule, Option<NodeId>, Option<String>)>,
    breaches: Vec<Breach>,
    totals: RunTotals,
}

impl InvariantChecker {
    /// A checker for a scenario with `nodes` nodes.
    pub fn new(scenario: &Scenario, nodes: usize) -> InvariantChecker {
        InvariantChecker {
            tries: HashMap::new(),
            known: vec![HashMap::new(); nodes],
            cordons: BTreeMap::new(),
            died: vec![None; nodes],
            reported: HashSet::new(),
            breaches: Vec::new(),
            totals: RunTotals::new(scenario),
        }
    }

    /// Breaches in the order in which they happened.
    pub fn breaches(&self) -> &[Breach] {
        &self.breaches
    }

    /// Totals so far.
    pub fn totals(&self) -> &RunTotals {
        &self.totals
    }

    /// Records that a client's request is due.
    pub fn asked(&mut self, request: &ClientRequest) {
        self.totals.asked(request);
    }

    /// Records that a try was written completely to a connection of a node. Its client gives up at `ends_at`.
    pub fn taken(&mut self, txn: &str, request: &ClientRequest, node: NodeId, ends_at: Micros) {
        self.totals.tries += 1;
        let record = TryRecord {
            request: request.serial,
            node,
            ends_at,
            retry_safety: request.retry_safety,
            answered: None,
            left: None,
            attempts: Vec::new(),
        };
        self.tries.insert(txn.to_owned(), record);
    }

    /// Records that an attempt reached a server: its first byte came at `first`, its last one at `at`.
    /// Returns the attempt's number for [`InvariantChecker::ended`]; `None` for an id that no client sent.
    pub fn sent(
        &mut self,
        txn: Option<&str>,
        node: NodeId,
        server: &str,
        first: Micros,
        at: Micros,
    ) -> Option<usize> {
        self.totals.sends += 1;
        self.check_drain(txn, node, server, first);
        let Some(record) = txn.and_then(|txn| self.tries.get_mut(txn)) else {
            self.breach(
                Rule::UnknownRequest,
                txn,
                Some(node),
                Some(server),
                at,
                "no client sent a request with this id".into(),
            );
            return None;
        };
        let earlier = record.attempts.iter().find(|earlier| !earlier.never_ran);
        let earlier_run = (record.retry_safety == RetrySafety::Unsafe)
            .then_some(earlier)
            .flatten();
        let run_twice = earlier_run.map(|e| {
            format!(
                "already sent to {} at {:.3} s; a second run is not safe",
                e.server,
                e.at as f64 / 1e6
            )
        });
        let after_leaving = record
            .left
            .map(|left| first.saturating_sub(left))
            .filter(|&after| after > CLIENT_GONE_GRACE);
        record.attempts.push(Attempt {
            server: server.to_owned(),
            at,
            never_ran: false,
            served: false,
        });
        let number = record.attempts.len() - 1;
        if let Some(what) = run_twice {
            self.totals.duplicates += 1;
            self.breach(Rule::RunTwice, txn, Some(node), Some(server), at, what);
        }
        if let Some(after) = after_leaving {
            let what = format!(
                "started {:.0} ms after its client had closed the connection",
                ms(after)
            );
            self.breach(
                Rule::SentAfterLeaving,
                txn,
                Some(node),
                Some(server),
                first,
                what,
            );
        }
        Some(number)
    }

    /// Records the outcome of an attempt: served, proven never to have run, or neither.
    pub fn ended(&mut self, txn: &str, attempt: usize, served: bool, never_ran: bool) {
        if let Some(a) = self
            .tries
            .get_mut(txn)
            .and_then(|record| record.attempts.get_mut(attempt))
        {
            (a.served, a.never_ran) = (served, never_ran);
        }
    }

    /// Whether any attempt of a try reached a server.
    pub fn reached_server(&self, txn: &str) -> bool {
        self.tries
            .get(txn)
            .is_some_and(|record| !record.attempts.is_empty())
    }

    /// Records the final answer of a try, whose last byte came at `at`. `own_body` says that the body of a
    /// served answer is one that a server made for this try.
    pub fn answered(
        &mut self,
        txn: &str,
        request: &ClientRequest,
        answer: TryOutcome,
        at: Micros,
        own_body: bool,
    ) {
        let Some(record) = self.tries.get_mut(txn) else {
            return;
        };
        let node = Some(record.node);
        let previous = record.answered.replace(answer);
        let ran = record
            .attempts
            .iter()
            .find(|attempt| !attempt.never_ran)
            .map(|a| a.server.clone());
        let served = record.attempts.iter().any(|attempt| attempt.served);
        let (late, retry_safety) = (at > record.ends_at + LOST_AFTER, record.retry_safety);
        if let Some(first) = previous {
            self.breach(
                Rule::TwoAnswers,
                Some(txn),
                node,
                None,
                at,
                format!("{first:?}, then {answer:?}"),
            );
            return;
        }
        if late {
            let what = format!(
                "answered {:.3} s after it was due, past its deadline and the grace period",
                (at - request.first_try_at.min(at)) as f64 / 1e6
            );
            self.breach(Rule::Lost, Some(txn), node, None, at, what);
        }
        match answer {
            TryOutcome::Served if !(own_body && served) => {
                let what = "the answer is not one that a server gave to this request".into();
                self.breach(Rule::MadeUp, Some(txn), node, None, at, what);
            }
            TryOutcome::Served => self.totals.served(request, at),
            TryOutcome::Refused(_) => {
                self.totals.refused(request);
                if let Some(server) = ran.filter(|_| retry_safety == RetrySafety::Unsafe) {
                    let what = "refused as safe to retry, but it may have run".into();
                    self.breach(
                        Rule::RefusedAfterRun,
                        Some(txn),
                        node,
                        Some(&server),
                        at,
                        what,
                    );
                }
            }
            TryOutcome::Failed => self.totals.failed(request),
            TryOutcome::Unreachable | TryOutcome::TimedOut => {}
        }
    }

    /// Records that a node closed the connection of a try that it had accepted. A node may close the
    /// connection on its first try (`first`), which has failed then (TERMS). Returns what the client sees.
    pub fn closed(
        &mut self,
        txn: &str,
        request: &ClientRequest,
        first: bool,
        at: Micros,
    ) -> TryOutcome {
        let Some(record) = self.tries.get_mut(txn) else {
            return TryOutcome::Unreachable;
        };
        let node = record.node;
        record.answered = Some(TryOutcome::Failed);
        if self.died[node].is_some_and(|died| died <= at) {
            self.totals.died_with += 1;
            return TryOutcome::Unreachable;
        }
        self.totals.failed(request);
        if !first {
            let what = "the node closed its connection without an answer".into();
            self.breach(Rule::Lost, Some(txn), Some(node), None, at, what);
        }
        TryOutcome::Failed
    }

    /// Records that the client waited until well after its deadline and got no answer.
    pub fn unanswered(&mut self, txn: &str, at: Micros) {
        let Some(record) = self.tries.get_mut(txn) else {
            return;
        };
        let node = record.node;
        if record.answered.replace(TryOutcome::TimedOut).is_none() {
            let what = "no answer until well after its deadline".into();
            self.breach(Rule::Lost, Some(txn), Some(node), None, at, what);
        }
    }

    /// Records that the client gave up early, at `at`: it is owed no answer, and no attempt may start for it
    /// any more.
    pub fn left(&mut self, txn: &str, at: Micros) {
        self.totals.left += 1;
        if let Some(record) = self.tries.get_mut(txn) {
            record.left = Some(at);
            record.answered = Some(TryOutcome::TimedOut);
        }
    }

    /// Records bytes on a connection without an open request: a second answer.
    pub fn unsolicited_bytes(&mut self, node: NodeId, at: Micros) {
        let what = "the node sent bytes on a connection without an open request".into();
        self.breach(Rule::TwoAnswers, None, Some(node), None, at, what);
    }

    /// Records a try that no node accepted.
    pub fn unreachable(&mut self) {
        self.totals.unreachable += 1;
    }

    /// Records that a node knows a server's phase, or counts as informed of it, from `at` on.
    pub fn server_phase_known(&mut self, node: NodeId, server: &str, phase: Phase, at: Micros) {
        let old = self.known[node].get(server);
        // A repeated update, or one that arrives before the node would count as informed: the earlier time
        // stands.
        if old.is_some_and(|old| old.phase == phase && old.at <= at) {
            return;
        }
        let at = match old {
            Some(old) if old.phase == phase => at.min(old.at),
            // From draining to gone, the grace period does not start again.
            Some(old) if old.phase != Phase::InService && phase != Phase::InService => {
                at.min(old.at)
            }
            _ => at,
        };
        self.known[node].insert(server.to_owned(), KnownPhase { phase, at });
    }

    /// Records that an operator cordoned a server at a node: it binds from the node's confirmation, and at
    /// the latest one second after the call.
    pub fn cordoned(
        &mut self,
        node: NodeId,
        server: &str,
        called: Micros,
        confirmed: Option<Micros>,
    ) {
        let nodes = self.died.len();
        let at = confirmed
            .unwrap_or(called + CORDON_GRACE)
            .min(called + CORDON_GRACE);
        self.cordons
            .entry(server.to_owned())
            .or_insert_with(|| vec![None; nodes])[node] = Some(at);
    }

    /// Records that an operator removed a cordon at a node.
    pub fn uncordoned(&mut self, node: NodeId, server: &str) {
        if let Some(nodes) = self.cordons.get_mut(server) {
            nodes[node] = None;
        }
    }

    /// Records that a node's process was killed by the scenario or crashed at `at`, which ends the requests
    /// that it held.
    pub fn node_died(&mut self, node: NodeId, at: Micros) {
        self.died[node] = Some(at);
    }

    /// Records that a node's process serves again.
    pub fn node_restarted(&mut self, node: NodeId) {
        self.died[node] = None;
    }

    /// Records that a cold server was overloaded. `informed_share` is the share of its work that came from
    /// nodes that knew of its start.
    pub fn cold_server_overloaded(&mut self, server: &str, informed_share: f64, at: Micros) {
        self.totals.cold_overloads += 1;
        if informed_share >= INFORMED_SHARE {
            let what = format!(
                "cold and overloaded; {:.0} % of the work came from nodes that knew of its start",
                informed_share * 100.0
            );
            self.breach(Rule::ColdToppled, None, None, Some(server), at, what);
        }
    }

    /// Checks a node some time after it was put on standby: whether it still reports itself ready, and how
    /// many idle client connections it holds.
    pub fn drained(&mut self, node: NodeId, ready: bool, idle: usize, at: Micros) {
        if ready || idle > 0 {
            let what =
                format!("on standby, it reports ready: {ready}; idle client connections: {idle}");
            self.breach(Rule::NotDrained, None, Some(node), None, at, what);
        }
    }

    fn check_drain(&mut self, txn: Option<&str>, node: NodeId, server: &str, at: Micros) {
        let known = self.known[node]
            .get(server)
            .filter(|known| known.phase != Phase::InService);
        let cordoned_at = self.cordons.get(server).and_then(|nodes| nodes[node]);
        let over = |since: Micros| at.saturating_sub(since + DRAIN_GRACE);
        if let Some(known) = known.filter(|known| over(known.at) > 0).copied() {
            self.totals.after_drain += 1;
            let what = format!(
                "{:.0} ms after the node learned that it is {}",
                ms(at - known.at),
                known.phase.as_str()
            );
            self.breach(
                Rule::SentToDraining,
                txn,
                Some(node),
                Some(server),
                at,
                what,
            );
        } else if let Some(cordoned_at) = cordoned_at.filter(|&at| over(at) > 0) {
            self.totals.after_drain += 1;
            let what = format!("{:.0} ms after operators cordoned it", ms(at - cordoned_at));
            self.breach(
                Rule::SentToWithheld,
                txn,
                Some(node),
                Some(server),
                at,
                what,
            );
        }
    }

    fn breach(
        &mut self,
        rule: Rule,
        txn: Option<&str>,
        node: Option<NodeId>,
        server: Option<&str>,
        at: Micros,
        what: String,
    ) {
        self.totals.broken += 1;
        if self
            .reported
            .insert((rule, node, server.map(str::to_owned)))
        {
            let request = txn
                .and_then(|txn| self.tries.get(txn))
                .map(|record| record.request);
            self.breaches.push(Breach {
                rule,
                request: txn.map(str::to_owned),
                ask: request,
                node,
                server: server.map(str::to_owned),
                at,
                what,
            });
        }
    }
}

fn ms(span: Micros) -> f64 {
    span as f64 / 1e3
}

#[cfg(test)]
mod tests;
