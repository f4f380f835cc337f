//! What the outcome of an attempt or a health check tells of servers and of the load.

use super::outlier::Reachability;
use super::request::{Attempt, AttemptState};
use super::server::ServerIndex;
use super::{load_state, slow_start, Balancer};
use crate::api::*;

/// Longest time of an answer that is recorded, as a multiple of the expected time.
const MAX_LATENCY_RATIO: f64 = 5.0;
/// An attempt in flight for this multiple of its expected time is a slow attempt: its server's latency
/// and the load state count it before it ends.
const SLOW_ATTEMPT_RATIO: f64 = 2.5;

/// The outcome of an attempt in relation to the server's other attempts.
struct Assessment {
    server: ServerIndex,
    class: ClassId,
    outcome: Outcome,
    /// Since the attempt was sent, in microseconds.
    elapsed: Micros,
    is_retry: bool,
    /// The server can take no more: it says so, or makes no connection and has attempts in flight.
    overloaded: bool,
    /// It timed out at a server that sends nothing, while the others do: no sign of load.
    hung: bool,
    /// It was answered after the latency objective, or given up after it, at a server that did not hang.
    late: bool,
}

impl Assessment {
    fn answered(&self) -> bool {
        self.outcome == Outcome::Ok
    }

    fn answered_or_timed_out(&self) -> bool {
        matches!(self.outcome, Outcome::Ok | Outcome::Timeout)
    }

    /// Errors, resets and timeouts: each is a failure only where it stands out of those of all servers.
    fn failed(&self) -> bool {
        matches!(
            self.outcome,
            Outcome::Error | Outcome::Reset | Outcome::Timeout
        )
    }

    /// No connection to a server that has nothing in flight: it is down.
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

/// Whether the server itself responded.
fn is_response(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Ok | Outcome::Overloaded | Outcome::Error)
}

impl Balancer {
    /// Takes what the end of an attempt for a request of this class and cost tells.
    ///
    /// The order matters: the class's latency learns first, the answer is judged by what was expected after
    /// that, and the limit is cut last, by the counts that include this attempt.
    pub(super) fn observe(
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
        // One overloaded server does not lower the limit; the server of a retry that is overloaded too does.
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
        // One that was given up before the objective might have been answered in time.
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

    /// Records how long the attempt took. One that timed out takes at least as long as it did.
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

    /// Whether servers have one attempt in flight or less each, if all nodes have as many as this one.
    fn servers_are_idle(&self) -> bool {
        let in_flight = self.limit.usual_in_flight() * f64::from(self.settings.node_count);
        in_flight <= self.servers.len() as f64
    }

    /// Records a measured time. Where the server is warming up or hangs, it says nothing of other servers.
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

    /// An overloaded answer cuts the server's share; like any other answer, it ends an ejection.
    fn record_capacity(&mut self, assessment: &Assessment) {
        let server = &mut self.servers[assessment.server];
        if assessment.overloaded {
            server.share.record_overload();
        }
        if assessment.answered() || assessment.overloaded {
            server.reinstate();
        }
    }

    /// Closes the server's idle connections after its last attempt in flight, where they are to be closed.
    fn close_idle_connections(&mut self, assessment: &Assessment, out: &mut Vec<Action>) {
        self.idle_connections
            .record(assessment.outcome == Outcome::ConnectFailed);
        let server = &self.servers[assessment.server];
        if server.in_flight == 0 && self.idle_connections.should_close(&self.settings) {
            out.push(Action::CloseIdleConnections(server.id()));
        }
    }

    /// Ejects the server, or the class at the server, if the outcome shows it to be an outlier.
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
        // At an ejected server every failure counts: of the trial, or of an attempt sent before.
        let is_outlier = self.pool.is_outlier(&server.ejection) || server.ejection.is_active();
        if assessment.answered() || assessment.outcome == Outcome::Error {
            self.judge_class(assessment);
        }
        if assessment.unreachable() || (failed && is_outlier) {
            self.eject(assessment.server);
        }
    }

    /// Ejects the class at the server if the server keeps failing it.
    fn judge_class(&mut self, assessment: &Assessment) {
        let ejection = &mut self.servers[assessment.server].class_ejections[assessment.class.0];
        // Drawn whether it is needed or not, so that a recorded event stream replays to the same actions.
        let until = ejection.next_end(self.now, self.tick, &mut self.rng);
        ejection.record_and_judge(!assessment.answered(), until);
    }

    /// Ejects a server, or ejects it once more, until a trial succeeds.
    pub(super) fn eject(&mut self, index: ServerIndex) {
        let ejection = &mut self.servers[index].ejection;
        let until = ejection.next_end(self.now, self.tick, &mut self.rng);
        ejection.eject(until);
    }

    /// The trial of an ejected server by a health check has ended.
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

    /// Records slow attempts before they end, and bounds the limit under congestion.
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

    /// Marks and returns the attempts that have become slow since the previous tick.
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
                // Of the attempts at a silent server only the first is a sign of load.
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

/// How long an attempt took, or is taking, in relation to the expected time.
struct LatencySample {
    server: ServerIndex,
    /// The measured time as a multiple of the expected one.
    ratio: f64,
    /// It was answered so soon, at servers so idle, that it cannot have waited for others.
    uncontended: bool,
    /// The server sends nothing, while the others do.
    hung: bool,
}

/// An attempt in flight that is recorded as slow.
struct SlowAttempt {
    server: ServerIndex,
    /// The server sends nothing, while the others do.
    hung: bool,
}

/// Whether an attempt is slow now and was not recorded as such before. It is not slow sooner than after
/// `min_time`, in microseconds.
fn becomes_slow(attempt: &Attempt, settings: &Settings, min_time: f64, now: Micros) -> bool {
    if attempt.state != AttemptState::InFlight || attempt.recorded_as_slow || !attempt.counted {
        return false;
    }
    // It may still be waiting for its connection.
    let connected = settings.connect_timeout as f64 + attempt.expected;
    let slow_after = (SLOW_ATTEMPT_RATIO * attempt.expected)
        .max(connected)
        .max(min_time);
    (now - attempt.sent_at) as f64 >= slow_after
}

/// An answer of this class within this time, in microseconds, did not wait if the servers are idle.
fn uncontended_time(settings: &Settings, class: ClassId) -> f64 {
    load_state::UNCONTENDED_FRACTION * settings.classes[class.0].latency_objective as f64
}
