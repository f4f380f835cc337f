//! Tests of single decisions of one node. A comment above each test names the failure it guards against.

mod admission;
#[path = "../common/mod.rs"]
mod common;
mod cordon;
mod invalid_events;
mod latency;
mod ordering;
mod outliers;
mod retries;
mod routing;
mod slow_start;

use common::*;
use load_balancer::*;

// Indices of the classes in `common::settings`.
const IDEMPOTENT: usize = 0;
const NON_IDEMPOTENT: usize = 1;
/// Requests with an idempotency key that the servers of one cell deduplicate for a second.
const CELL_KEY: usize = 2;
/// Requests with an idempotency key that all servers deduplicate for a second.
const GLOBAL_KEY: usize = 3;

/// Sends `count` requests of the class `NON_IDEMPOTENT`, numbered from `base`, evenly over a second. The
/// attempt of each ends at once in `outcome`, reported as having taken `elapsed`. Returns how many were
/// rejected.
fn answer_requests(
    node: &mut Node,
    base: u64,
    count: u64,
    outcome: Outcome,
    elapsed: Micros,
) -> u64 {
    let mut rejections = 0;
    for n in base..base + count {
        node.now += SECOND / count;
        match sent_to(&node.send_request(n, NON_IDEMPOTENT, n)) {
            Some(server) => {
                node.end_attempt_after(n, 0, server, outcome, elapsed);
            }
            None => rejections += 1,
        }
    }
    rejections
}
