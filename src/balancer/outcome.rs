//! Outcomes of attempts and health checks: what each shows of its server and of the load, and the state of
//! the other rules that is updated with it.

use super::outlier::Reachability;
use super::request::{Attempt, AttemptState};
use super::server::ServerIndex;
use super::{load_state, slow_start, Balancer};
use crate::api::*;

/// Longer answer times are recorded as this multiple of the expected time.
const MAX_LATENCY_RATIO: f64 = 5.0;
/// An attempt that is still in flight after this multiple of its expected time is a slow attempt: it counts
/// in its server's relative latency and in the load state before it ends (see `becomes_slow`).
const SLOW_ATTEMPT_RATIO: f64 = 2.5;

/// The outcome of an attempt, judged together with the state of its server.
struct Assessment {
    server: ServerIndex,
    class: ClassId,
    outcome: Outcome,
    /// Time since the attempt was sent, in microseconds.
    elapsed: Micros,
    is_retry: bool,
    /// The server is at its capacity: it answered so, or a connection to it failed while other attempts of
    /// this node are in flight at it.
    overloaded: bool,
    /// The attempt timed out at a server that has sent no response to any attempt since this one was sent,
    /// while few servers are ejected. That shows a fault of the server and is no sign of load.
    hung: bool,
    /// The attempt was answered after its latency objective or timed out after it, and `hung` is false.
    late: bool,
}

impl Assessment {
    fn answered(&self) -> bool {
        self.outcome == Outcome::Ok
    }

    fn answered_or_timed_out(&self) -> bool {
        matches!(self.outcome, Outcome::Ok | Outcome::Timeout)
    }

    /// An error, reset or timeout. Failures eject a server only if its failure rate stands out from that of
    /// all servers.
    fn failed(&self) -> bool {
        matches!(
            self.outcome,
            Outcome::Error | Outcome::Reset | Outcome::Timeout
        )
    }

    /// Whether the server is down: a connection to it failed while no other attempt of this node was in
    /// flight at it. With others in flight, a failed connection counts as `overloaded`.
    fn unreachable(&self) -> bool {
        self.outcome == Outcome::ConnectFailed && !self.overloaded
    }

    fn reachability(&self) -> Reachability {
        if is_response(self.outcome) {
            Reachability::Responded
        } else if self.unreachable() {
            Reachability::Unreachable
        } else {
            Reachability::Unknown
        }
    }
}

/// Whether the outcome is a response of the server itself.
fn is_response(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Ok | Outcome::Overloaded | Outcome::Error)
}

impl Balancer {
    /// Updates all rules with the end of an attempt for a request of this class and stated cost.
    ///
    /// The order matters. The answer time first enters the class's mean, so that the expected time to which
    /// the answer is compared includes it. The limit is cut last, by counts that include this attempt.
    pub(super) fn record_outcome(
        &mut self,
        class: ClassId,
        cost: Option<Micros>,
        result: &AttemptResult,
        out: &mut Vec<Action>,
    ) {
        let elapsed = result.elapsed as f64;
        if result.outcome == Outcome::Ok {
            let distorted = self.load.is_distorted();
            self.latencies.record(class, cost, elapsed, distorted);
        }
        let expected = self.latencies.expected(class, cost);
        let Some(index) = self.servers.index_of(result.server) else {
            return;
        };
        let server = &mut self.servers[index];
        server.ejection.end_trial();
        server.class_ejections[class.0].end_trial();
        if is_response(result.outcome) {
            server.silent_since = self.now;
        }
        let assessment = self.assess(index, class, result);
        self.record_times(&assessment, expected);
        self.record_capacity(&assessment);
        self.close_idle_connections(&assessment, out);
        self.eject_outlier(&assessment);
        // One overloaded server alone is no reason to lower the limit. If the server of a retry is overloaded
        // as well, the fleet probably is.
        let overload = assessment.overloaded && assessment.is_retry;
        if overload || (assessment.late && self.load.many_late()) {
            let attempts = self.traffic.attempts();
            self.limit.cut(attempts, self.traffic.window());
        }
    }

    fn assess(&self, index: ServerIndex, class: ClassId, result: &AttemptResult) -> Assessment {
        let server = &self.servers[index];
        let outcome = result.outcome;
        let has_others = server.in_flight > 0;
        let no_connection_while_busy = outcome == Outcome::ConnectFailed && has_others;
        let overloaded = outcome == Outcome::Overloaded || no_connection_while_busy;
        let timed_out = outcome == Outcome::Timeout;
        let silent = has_others && server.silent_since + result.elapsed <= self.now;
        let hung = timed_out && silent && self.pool.few_ejected();
        // An attempt that timed out before the objective might still have been answered in time.
        let past_objective = result.elapsed > self.settings.classes[class.0].latency_objective;
        let answered_or_timed_out = outcome == Outcome::Ok || timed_out;
        Assessment {
            server: index,
            class,
            outcome,
            elapsed: result.elapsed,
            is_retry: result.attempt > 0,
            overloaded,
            hung,
            late: answered_or_timed_out && past_objective && !hung,
        }
    }

    /// Records how long the attempt took. For an attempt that timed out, that is a lower bound.
    fn record_times(&mut self, assessment: &Assessment, expected: f64) {
        if assessment.answered_or_timed_out() {
            if !assessment.hung {
                self.load.record_late(assessment.late);
            }
            let elapsed = assessment.elapsed as f64;
            let within_uncontended_time =
                elapsed <= uncontended_time(&self.settings, assessment.class);
            self.record_latency(LatencySample {
                server: assessment.server,
                ratio: (elapsed / expected).min(MAX_LATENCY_RATIO),
                uncontended: self.servers_are_idle() && within_uncontended_time,
                hung: assessment.hung,
            });
        }
        if assessment.answered() {
            self.traffic.record_answer();
            self.limit.record_answer(expected);
        }
    }

    /// Whether the servers have at most one attempt in flight each on average, if every node has as many in
    /// flight as this one.
    fn servers_are_idle(&self) -> bool {
        let in_flight = self.limit.usual_in_flight() * f64::from(self.settings.node_count);
        in_flight <= self.servers.len() as f64
    }

    /// Records a measured time. The time at a server that is warming up or hangs says nothing about its kind
    /// of machine or about the load, so it only enters the server's own relative latency, and for a warming
    /// server in proportion to its present capacity.
    fn record_latency(&mut self, sample: LatencySample) {
        let server = &mut self.servers[sample.server];
        let warm_up = slow_start::warm_up_fraction(&self.settings, server, self.now);
        server.relative_latency.record(sample.ratio * warm_up);
        if !sample.hung && warm_up >= 1.0 {
            let kind = server.endpoint.kind;
            self.kind_latencies.record(kind, sample.ratio);
            self.load.record_latency(sample.ratio, sample.uncontended);
        }
    }

    /// Cuts the share of an overloaded server. Both an answer and an overload end an ejection, as the server
    /// responds again.
    fn record_capacity(&mut self, assessment: &Assessment) {
        let server = &mut self.servers[assessment.server];
        if assessment.overloaded {
            server.share.record_overload();
        }
        if assessment.answered() || assessment.overloaded {
            server.reinstate();
        }
    }

    /// Closes the server's idle connections if no attempt is in flight at it and `idle_connections` says so.
    fn close_idle_connections(&mut self, assessment: &Assessment, out: &mut Vec<Action>) {
        self.idle_connections
            .record(assessment.outcome == Outcome::ConnectFailed);
        let server = &self.servers[assessment.server];
        if server.in_flight == 0 && self.idle_connections.should_close(&self.settings) {
            out.push(Action::CloseIdleConnections(server.id()));
        }
    }

    /// Ejects the server, or the class at this server, if it is unreachable or an outlier by its failures.
    fn eject_outlier(&mut self, assessment: &Assessment) {
        let server = &mut self.servers[assessment.server];
        let failed = assessment.failed();
        if failed || assessment.answered() {
            server.ejection.record(failed);
            self.pool.record(failed);
        }
        let zone = server.endpoint.zone;
        let reachability = assessment.reachability();
        self.zones.record(zone, server.id(), reachability);
        // Every failure at an ejected server extends its ejection: that of the trial, and that of an attempt
        // that was sent before the ejection.
        let is_outlier = self.pool.is_outlier(&server.ejection) || server.ejection.is_active();
        if assessment.answered() || assessment.outcome == Outcome::Error {
            self.update_class_ejection(assessment);
        }
        if assessment.unreachable() || (failed && is_outlier) {
            self.eject(assessment.server);
        }
    }

    /// Ejects the class at this server if the server keeps answering requests of the class with errors.
    fn update_class_ejection(&mut self, assessment: &Assessment) {
        let ejection = &mut self.servers[assessment.server].class_ejections[assessment.class.0];
        // This always draws a random number, needed or not, so that recorded event streams replay unchanged.
        let until = ejection.next_end(self.now, self.tick, &mut self.rng);
        ejection.record_and_update(!assessment.answered(), until);
    }

    /// Ejects a server, or ejects it anew for a longer time if it is ejected.
    pub(super) fn eject(&mut self, index: ServerIndex) {
        let ejection = &mut self.servers[index].ejection;
        let until = ejection.next_end(self.now, self.tick, &mut self.rng);
        ejection.eject(until);
    }

    /// Handles the end of a health check, which is the trial of an ejected server.
    pub(super) fn on_health_check_ended(&mut self, id: ServerId, outcome: Outcome) {
        let Some(index) = self.servers.index_of(id) else {
            return;
        };
        if outcome != Outcome::Ok {
            return self.eject(index);
        }
        let server = &mut self.servers[index];
        server.reinstate();
        let zone = server.endpoint.zone;
        self.zones.record(zone, id, Reachability::Responded);
    }

    /// Records slow attempts before they end, so that congestion shows early, and lowers the limit while the
    /// servers are congested. Runs in each tick.
    pub(super) fn record_slow_attempts(&mut self) {
        for attempt in self.mark_slow_attempts() {
            self.record_latency(LatencySample {
                server: attempt.server,
                ratio: SLOW_ATTEMPT_RATIO,
                uncontended: false,
                hung: attempt.hung,
            });
        }
        if self.load.is_congested() {
            self.limit.follow_flow();
        }
    }

    /// Marks the attempts that have become slow since the previous tick, and returns them.
    fn mark_slow_attempts(&mut self) -> Vec<SlowAttempt> {
        let few_ejected = self.pool.few_ejected();
        let mut slow_attempts = Vec::new();
        for request in self.requests.values_mut() {
            let min_time = uncontended_time(&self.settings, request.class);
            for attempt in &mut request.attempts {
                if !becomes_slow(attempt, &self.settings, min_time, self.now) {
                    continue;
                }
                attempt.recorded_as_slow = true;
                let Some(index) = self.servers.index_of(attempt.endpoint.server) else {
                    continue;
                };
                let server = &self.servers[index];
                // Whether the server has sent no response since it got the attempt, and has others in
                // flight. An attempt that was sent to an idle server set `silent_since` to its own time, so
                // it never counts as hung here: if it is slow, that is a sign of load.
                let silent = server.in_flight > 1 && server.silent_since < attempt.sent_at;
                slow_attempts.push(SlowAttempt {
                    server: index,
                    hung: silent && few_ejected,
                });
            }
        }
        slow_attempts
    }
}

/// The time that an attempt took, or has so far taken, relative to its expected time.
struct LatencySample {
    server: ServerIndex,
    /// The measured time as a multiple of the expected one.
    ratio: f64,
    /// The answer came so soon, while the servers were so idle, that it cannot have waited behind others.
    uncontended: bool,
    /// The server sends no response while most other servers do.
    hung: bool,
}

/// An attempt in flight that has become slow.
struct SlowAttempt {
    server: ServerIndex,
    /// The server sends no response while most other servers do.
    hung: bool,
}

/// Whether an attempt in flight is slow and has not yet been recorded as such. No attempt is slow before
/// `min_time` microseconds have passed.
fn becomes_slow(attempt: &Attempt, settings: &Settings, min_time: f64, now: Micros) -> bool {
    if attempt.state != AttemptState::InFlight || attempt.recorded_as_slow || !attempt.counted {
        return false;
    }
    // The attempt may still be waiting for its connection.
    let connected = settings.connect_timeout as f64 + attempt.expected;
    let slow_after = (SLOW_ATTEMPT_RATIO * attempt.expected)
        .max(connected)
        .max(min_time);
    (now - attempt.sent_at) as f64 >= slow_after
}

/// Time in microseconds within which an answer of this class is uncontended if the servers are idle.
fn uncontended_time(settings: &Settings, class: ClassId) -> f64 {
    load_state::UNCONTENDED_FRACTION * settings.classes[class.0].latency_objective as f64
}
