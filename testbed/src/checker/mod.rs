//! Owns the judgement: every request is followed to its one final answer, and what a rule forbids is
//! named with request, node, server and time. Pure: a host tells it facts in the order of their times;
//! it reads no clock and touches no socket. The rules are those of BRIEF, PROTOCOL, TERMS and DAYS.

mod rules;
mod totals;

use std::collections::{BTreeMap, HashMap, HashSet};

use crate::scenario::{RetrySafety, Scenario};
use crate::world::{ClientRequest, Micros, NodeId, Phase, TryOutcome};

pub use rules::{Breach, Rule};
pub use totals::{latencies, ClassTotals, RunTotals, Second};

/// New work to a server that drains, is gone or withheld may continue for this long (BRIEF 7.1), and
/// on sockets for 50 ms more (PROTOCOL).
pub const DRAIN_GRACE: Micros = 800_000;
/// A request that has no answer this long after its time is lost (STANDING).
pub const LOST_AFTER: Micros = 500_000;
/// No attempt begins later than this after its client closed its connection: a tenth of a second, and on sockets
/// 50 ms more (PROTOCOL).
pub const GONE_AFTER: Micros = 150_000;
/// What discovery has to tell counts as told after this, whether it arrived or not (PROTOCOL).
pub const DISCOVERY_GRACE: Micros = 6_000_000;
/// A call to leave a server out binds after this at the latest (DAYS).
pub const OUT_ANYWAY: Micros = 1_000_000;
/// A node told to stand by must have let go of its clients after this (DAYS).
pub const DRAINED_AFTER: Micros = 4_000_000;
/// A cold server's fall counts against the nodes where they sent this part of the work knowingly.
pub const TOLD_PART: f64 = 2.0 / 3.0;

/// A client's try under an id of its own.
#[derive(Debug)]
struct TryRecord {
    ask: u64,
    node: NodeId,
    until: Micros,
    repeats: RetrySafety,
    /// Its final answer, as the client saw it.
    answered: Option<TryOutcome>,
    /// When its client closed its connection, before it had an answer.
    left: Option<Micros>,
    attempts: Vec<Attempt>,
}

#[derive(Debug)]
struct Attempt {
    server: String,
    at: Micros,
    /// It is proven that it never ran.
    never_ran: bool,
    /// It was answered 200.
    served: bool,
}

/// A server as a node was told of it.
#[derive(Clone, Copy, Debug)]
struct Told {
    phase: Phase,
    at: Micros,
}

/// Follows all requests and keeps the figures.
#[derive(Debug)]
pub struct InvariantChecker {
    tries: HashMap<String, TryRecord>,
    told: Vec<HashMap<String, Told>>,
    /// Servers that operators left out: from when it binds each node.
    out: BTreeMap<String, Vec<Option<Micros>>>,
    /// Nodes that were killed or crashed, and when last.
    died: Vec<Option<Micros>>,
    /// Breaches named once for each rule, node and server and not for each request.
    named: HashSet<(Rule, Option<NodeId>, Option<String>)>,
    breaches: Vec<Breach>,
    tally: RunTotals,
}

impl InvariantChecker {
    /// A referee for a scenario with so many nodes.
    pub fn new(scenario: &Scenario, nodes: usize) -> InvariantChecker {
        InvariantChecker {
            tries: HashMap::new(),
            told: vec![HashMap::new(); nodes],
            out: BTreeMap::new(),
            died: vec![None; nodes],
            named: HashSet::new(),
            breaches: Vec::new(),
            tally: RunTotals::new(scenario),
        }
    }

    /// The rules that were broken, in the order they were.
    pub fn breaches(&self) -> &[Breach] {
        &self.breaches
    }

    /// The figures so far.
    pub fn totals(&self) -> &RunTotals {
        &self.tally
    }

    /// A client's request is due.
    pub fn asked(&mut self, ask: &ClientRequest) {
        self.tally.asked(ask);
    }

    /// A try of it was written whole to a connection of a node.
    pub fn taken(&mut self, txn: &str, ask: &ClientRequest, node: NodeId, until: Micros) {
        self.tally.tries += 1;
        let record = TryRecord {
            ask: ask.serial,
            node,
            until,
            repeats: ask.retry_safety,
            answered: None,
            left: None,
            attempts: Vec::new(),
        };
        self.tries.insert(txn.to_owned(), record);
    }

    /// An attempt reaches a server: its first bytes came at `first`, its last at `at`. Gives the number
    /// by which [`InvariantChecker::ended`] names it; `None` for an id that no client sent.
    pub fn sent(
        &mut self,
        txn: Option<&str>,
        node: NodeId,
        server: &str,
        first: Micros,
        at: Micros,
    ) -> Option<usize> {
        self.tally.sends += 1;
        self.check_drain(txn, node, server, first);
        let Some(record) = txn.and_then(|txn| self.tries.get_mut(txn)) else {
            self.breach(
                Rule::UnknownRequest,
                txn,
                Some(node),
                Some(server),
                at,
                "no client sent it".into(),
            );
            return None;
        };
        let earlier = record.attempts.iter().find(|earlier| !earlier.never_ran);
        let twice = (record.repeats == RetrySafety::Unsafe)
            .then_some(earlier)
            .flatten();
        let twice =
            twice.map(|e| format!("sent to {} before, at {:.3} s", e.server, e.at as f64 / 1e6));
        let after = record
            .left
            .map(|left| first.saturating_sub(left))
            .filter(|&after| after > GONE_AFTER);
        record.attempts.push(Attempt {
            server: server.to_owned(),
            at,
            never_ran: false,
            served: false,
        });
        let number = record.attempts.len() - 1;
        if let Some(what) = twice {
            self.tally.duplicates += 1;
            self.breach(Rule::RunTwice, txn, Some(node), Some(server), at, what);
        }
        if let Some(after) = after {
            let what = format!("begun {:.0} ms after its client had left", ms(after));
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

    /// An attempt has an outcome: served, or proven never to have run, or neither.
    pub fn ended(&mut self, txn: &str, attempt: usize, served: bool, never_ran: bool) {
        if let Some(a) = self
            .tries
            .get_mut(txn)
            .and_then(|record| record.attempts.get_mut(attempt))
        {
            (a.served, a.never_ran) = (served, never_ran);
        }
    }

    /// Whether an attempt of a try has come to a server.
    pub fn reached_server(&self, txn: &str) -> bool {
        self.tries
            .get(txn)
            .is_some_and(|record| !record.attempts.is_empty())
    }

    /// A try has its final answer. `whole` is when its last byte came; `ours` tells that the body of a
    /// served one is one that a server made for it.
    pub fn answered(
        &mut self,
        txn: &str,
        ask: &ClientRequest,
        answer: TryOutcome,
        at: Micros,
        ours: bool,
    ) {
        let Some(record) = self.tries.get_mut(txn) else {
            return;
        };
        let node = Some(record.node);
        let again = record.answered.replace(answer);
        let ran = record
            .attempts
            .iter()
            .find(|attempt| !attempt.never_ran)
            .map(|a| a.server.clone());
        let served = record.attempts.iter().any(|attempt| attempt.served);
        let (late, repeats) = (at > record.until + LOST_AFTER, record.repeats);
        if let Some(first) = again {
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
                "{:.3} s after its time",
                (at - ask.first_try_at.min(at)) as f64 / 1e6
            );
            self.breach(Rule::Lost, Some(txn), node, None, at, what);
        }
        match answer {
            TryOutcome::Served if !(ours && served) => {
                let what = "the answer is none that a server gave to this request".into();
                self.breach(Rule::MadeUp, Some(txn), node, None, at, what);
            }
            TryOutcome::Served => self.tally.served(ask, at),
            TryOutcome::Refused(_) => {
                self.tally.refused(ask);
                if let Some(server) = ran.filter(|_| repeats == RetrySafety::Unsafe) {
                    let what = "refused as harmless to try again, but it may have run".into();
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
            TryOutcome::Failed => self.tally.failed(ask),
            TryOutcome::Unreachable | TryOutcome::TimedOut => {}
        }
    }

    /// A node ended the connection of a try it had taken. `first` tells that the try was the first on
    /// its connection: that one may end so and has failed (TERMS). Gives what the client sees.
    pub fn closed(
        &mut self,
        txn: &str,
        ask: &ClientRequest,
        first: bool,
        at: Micros,
    ) -> TryOutcome {
        let Some(record) = self.tries.get_mut(txn) else {
            return TryOutcome::Unreachable;
        };
        let node = record.node;
        record.answered = Some(TryOutcome::Failed);
        if self.died[node].is_some_and(|died| died <= at) {
            self.tally.died_with += 1;
            return TryOutcome::Unreachable;
        }
        self.tally.failed(ask);
        if !first {
            let what = "its connection was closed without an answer".into();
            self.breach(Rule::Lost, Some(txn), Some(node), None, at, what);
        }
        TryOutcome::Failed
    }

    /// The client waited for a try until well after its time and saw nothing.
    pub fn unanswered(&mut self, txn: &str, at: Micros) {
        let Some(record) = self.tries.get_mut(txn) else {
            return;
        };
        let node = record.node;
        if record.answered.replace(TryOutcome::TimedOut).is_none() {
            let what = "no answer".into();
            self.breach(Rule::Lost, Some(txn), Some(node), None, at, what);
        }
    }

    /// The client itself left before its time, at `at`: nothing more is owed, and nothing more is begun.
    pub fn left(&mut self, txn: &str, at: Micros) {
        self.tally.left += 1;
        if let Some(record) = self.tries.get_mut(txn) {
            record.left = Some(at);
            record.answered = Some(TryOutcome::TimedOut);
        }
    }

    /// Bytes came on a connection on which nothing was asked: a second answer.
    pub fn unsolicited_bytes(&mut self, node: NodeId, at: Micros) {
        let what = "bytes on a connection with no request open".into();
        self.breach(Rule::TwoAnswers, None, Some(node), None, at, what);
    }

    /// No node took a try.
    pub fn unreachable(&mut self) {
        self.tally.unreachable += 1;
    }

    /// A node has been told of a server's phase, or counts as told, at `at`.
    pub fn server_phase_known(&mut self, node: NodeId, server: &str, phase: Phase, at: Micros) {
        let old = self.told[node].get(server);
        // Told again, or told earlier than it counts as told: the first stands.
        if old.is_some_and(|old| old.phase == phase && old.at <= at) {
            return;
        }
        let at = match old {
            Some(old) if old.phase == phase => at.min(old.at),
            // From draining to gone nothing begins anew.
            Some(old) if old.phase != Phase::InService && phase != Phase::InService => {
                at.min(old.at)
            }
            _ => at,
        };
        self.told[node].insert(server.to_owned(), Told { phase, at });
    }

    /// Operators called a node to leave a server out: it binds from its yes, or a second after the call.
    pub fn cordoned(&mut self, node: NodeId, server: &str, called: Micros, yes: Option<Micros>) {
        let nodes = self.died.len();
        let at = yes.unwrap_or(called + OUT_ANYWAY).min(called + OUT_ANYWAY);
        self.out
            .entry(server.to_owned())
            .or_insert_with(|| vec![None; nodes])[node] = Some(at);
    }

    /// Operators called a node to put a server back.
    pub fn uncordoned(&mut self, node: NodeId, server: &str) {
        if let Some(out) = self.out.get_mut(server) {
            out[node] = None;
        }
    }

    /// A node's process was killed by the scenario, or crashed: what it held ended with it. A new
    /// process knows only the list that the agent has, at `at`.
    pub fn node_died(&mut self, node: NodeId, at: Micros) {
        self.died[node] = Some(at);
    }

    /// A node's process serves again.
    pub fn node_restarted(&mut self, node: NodeId) {
        self.died[node] = None;
    }

    /// A cold server fell over; `told` is the part of the work from nodes that knew of its start.
    pub fn cold_server_overloaded(&mut self, server: &str, told: f64, at: Micros) {
        self.tally.cold_overloads += 1;
        if told >= TOLD_PART {
            let what = format!(
                "cold and pushed over; {:.0} % of the work from nodes told of it",
                told * 100.0
            );
            self.breach(Rule::ColdToppled, None, None, Some(server), at, what);
        }
    }

    /// Well after a node was told to send its clients away, `at`: whether it still says that it is
    /// ready, and how many connections it holds idle.
    pub fn drained(&mut self, node: NodeId, ready: bool, idle: usize, at: Micros) {
        if ready || idle > 0 {
            let what = format!(
                "told to stand by, it says ready: {ready}; idle connections of clients: {idle}"
            );
            self.breach(Rule::NotDrained, None, Some(node), None, at, what);
        }
    }

    fn check_drain(&mut self, txn: Option<&str>, node: NodeId, server: &str, at: Micros) {
        let told = self.told[node]
            .get(server)
            .filter(|told| told.phase != Phase::InService);
        let out = self.out.get(server).and_then(|out| out[node]);
        let over = |since: Micros| at.saturating_sub(since + DRAIN_GRACE);
        if let Some(told) = told.filter(|told| over(told.at) > 0).copied() {
            self.tally.after_drain += 1;
            let what = format!(
                "{:.0} ms after the node was told {}",
                ms(at - told.at),
                told.phase.as_str()
            );
            self.breach(
                Rule::SentToDraining,
                txn,
                Some(node),
                Some(server),
                at,
                what,
            );
        } else if let Some(out) = out.filter(|&out| over(out) > 0) {
            self.tally.after_drain += 1;
            let what = format!("{:.0} ms after operators left it out", ms(at - out));
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
        self.tally.broken += 1;
        if self.named.insert((rule, node, server.map(str::to_owned))) {
            let ask = txn
                .and_then(|txn| self.tries.get(txn))
                .map(|record| record.ask);
            self.breaches.push(Breach {
                rule,
                request: txn.map(str::to_owned),
                ask,
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
