//! Overload detection of an almost idle node: it rejects nothing because of a few responses that are slow only in
//! comparison with an idle machine, while queues are still limited by the latency objective. The tests run in virtual
//! time, with servers that process their requests one at a time.

mod common;

use std::collections::BTreeMap;

use common::*;
use load_balancer::*;

/// Response time of an idle server.
const FAST_RESPONSE: Micros = 300;

enum Scheduled {
    Request(u64),
    Response(u64, ServerId, Micros),
    Timer(TimerId),
}

/// A node and its servers. Requests arrive at an even rate; `work` returns the processing time of each.
struct Simulation {
    node: Node,
    queue: BTreeMap<(Micros, u64), Scheduled>,
    /// Number of items scheduled so far, which orders items of the same time.
    scheduled: u64,
    /// The time at which each server has processed its queue.
    free_at: BTreeMap<ServerId, Micros>,
    /// The load summary of the balancer at each rejection.
    rejected: Vec<String>,
    /// Response time of each served request.
    elapsed: Vec<Micros>,
}

impl Simulation {
    fn new(servers: u32, nodes: u32) -> Self {
        let settings = Settings {
            node_count: nodes,
            classes: vec![class(Idempotency::Idempotent)],
            connect_timeout: 200_000,
            max_attempts: 1,
            ..settings()
        };
        let node = Node {
            balancer: Balancer::new(settings, 1),
            now: 100 * SECOND,
        };
        let (queue, free_at) = (BTreeMap::new(), BTreeMap::new());
        let mut simulation = Simulation {
            node,
            queue,
            scheduled: 0,
            free_at,
            rejected: vec![],
            elapsed: vec![],
        };
        let endpoints = (0..servers).map(endpoint).collect();
        let actions = simulation
            .node
            .update_endpoints(UpdateKind::Cached, endpoints);
        simulation.apply_actions(actions, &|_| FAST_RESPONSE);
        simulation
    }

    fn schedule(&mut self, at: Micros, item: Scheduled) {
        self.scheduled += 1;
        self.queue.insert((at, self.scheduled), item);
    }

    fn apply_actions(&mut self, actions: Vec<Action>, work: &dyn Fn(u64) -> Micros) {
        let now = self.node.now;
        for action in actions {
            match action {
                Action::SetTimer { delay, timer } => {
                    self.schedule(now + delay, Scheduled::Timer(timer))
                }
                Action::Send { id, server, .. } => {
                    let n = String::from_utf8_lossy(&id.0[..20])
                        .parse()
                        .expect("request ids are numbers");
                    let free = self.free_at.entry(server).or_default();
                    *free = now.max(*free) + work(n);
                    let at = *free;
                    self.schedule(at, Scheduled::Response(n, server, at - now));
                }
                Action::Reject { .. } => self.rejected.push(self.node.balancer.load_summary()),
                _ => {}
            }
        }
    }

    /// Sends `count` requests at `rate` per second, `bunch` at a time, numbered from `first`.
    fn send_requests(
        &mut self,
        first: u64,
        count: u64,
        rate: u64,
        bunch: u64,
        work: &dyn Fn(u64) -> Micros,
    ) {
        let start = self.node.now;
        for n in 0..count {
            self.schedule(
                start + n / bunch * bunch * SECOND / rate,
                Scheduled::Request(first + n),
            );
        }
        self.run_until(start + count * SECOND / rate, work);
    }

    fn run_until(&mut self, end: Micros, work: &dyn Fn(u64) -> Micros) {
        while let Some(((at, order), item)) = self.queue.pop_first() {
            if at > end {
                self.queue.insert((at, order), item);
                break;
            }
            self.node.now = at;
            let actions = match item {
                Scheduled::Request(n) => self.node.send_request(n, 0, n),
                Scheduled::Response(n, server, elapsed) => {
                    self.elapsed.push(elapsed);
                    self.node
                        .end_attempt_after(n, 0, server, Outcome::Ok, elapsed)
                }
                Scheduled::Timer(timer) => self.node.event(Event::Timer(timer)),
            };
            self.apply_actions(actions, work);
        }
        self.node.now = end;
    }
}

/// Response time of a server on a busy machine.
fn slow_response(n: u64) -> Micros {
    5_000 + n * 7_919 % 25_000
}

// Guards against overload inferred from responses slower than the mean of an idle period: 179 of 2,838 requests were
// rejected.
#[test]
fn slow_responses_after_an_idle_period_cause_no_rejection_in_a_large_fleet() {
    for part in [1, 2, 3] {
        let mut simulation = Simulation::new(18_000, 1_900);
        simulation.send_requests(0, 1_290, 258, 1, &|_| FAST_RESPONSE);
        let quiet = simulation.node.now + 5 * SECOND;
        simulation.run_until(quiet, &|_| FAST_RESPONSE);
        simulation.send_requests(2_000, 258, 258, 1, &|n| {
            if n % part == 0 {
                slow_response(n)
            } else {
                FAST_RESPONSE
            }
        });
        simulation.send_requests(3_000, 1_290, 258, 1, &|_| FAST_RESPONSE);
        assert_eq!(simulation.elapsed.len() + simulation.rejected.len(), 2_838);
        assert!(
            simulation.rejected.is_empty(),
            "{} rejections with 1 in {part} responses slow: {}",
            simulation.rejected.len(),
            simulation.rejected[0]
        );
    }
}

// Guards against overload inferred from slow responses, with few servers and requests in bunches: 14 of 132 requests
// were rejected.
#[test]
fn a_few_slow_responses_cause_no_rejection_in_a_small_fleet() {
    for (servers, nodes) in [(2, 1), (3, 1), (4, 1), (4, 4)] {
        let mut simulation = Simulation::new(servers, nodes);
        simulation.send_requests(0, 60, 6, 3, &|_| FAST_RESPONSE);
        simulation.send_requests(100, 12, 6, 3, &slow_response);
        simulation.send_requests(200, 60, 6, 3, &|_| FAST_RESPONSE);
        assert_eq!(simulation.elapsed.len() + simulation.rejected.len(), 132);
        assert!(
            simulation.rejected.is_empty(),
            "{} rejections with {servers} servers: {}",
            simulation.rejected.len(),
            simulation.rejected[0]
        );
    }
}

/// Sends the servers half of their capacity for a while, then 1.5 times their capacity. Returns, for the second period,
/// their capacity in requests, the number of requests served, and the number served within the latency objective.
fn overload(servers: u32, work: Micros) -> (u64, usize, usize) {
    let mut simulation = Simulation::new(servers, 1);
    let capacity = u64::from(servers) * SECOND / work;
    simulation.send_requests(0, capacity, capacity / 2, 1, &|_| work);
    assert!(simulation.rejected.is_empty(), "{}", simulation.rejected[0]);
    simulation.elapsed.clear();
    simulation.send_requests(capacity, 15 * capacity, 3 * capacity / 2, 1, &|_| work);
    let in_time = simulation
        .elapsed
        .iter()
        .filter(|&&elapsed| elapsed <= 500_000)
        .count();
    (10 * capacity, simulation.elapsed.len(), in_time)
}

// Guards against queues that grow past the latency objective because responses that are fast in absolute terms do not
// count as a sign of overload.
#[test]
fn queues_are_limited_to_responses_within_the_latency_objective() {
    let (capacity, served, in_time) = overload(4, 20_000);
    assert!(
        served as u64 * 10 > capacity * 7,
        "served {served} of a capacity of {capacity}"
    );
    assert!(
        in_time * 10 > served * 9,
        "{in_time} of {served} served requests were in time"
    );
}

#[test]
fn queues_of_fast_servers_are_limited() {
    // The mean response time rises with the congestion, so only late responses lower the limit. Without a limit, a
    // tenth of the responses would be in time.
    let (capacity, served, in_time) = overload(2, 2 * FAST_RESPONSE);
    assert!(
        in_time as u64 * 2 > capacity,
        "{in_time} of {served} served requests were in time, capacity {capacity}"
    );
}
