//! Single decisions of one node, each with the failure it guards against.

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

// Classes of `common::settings`.
const IDEMPOTENT: usize = 0;
const NON_IDEMPOTENT: usize = 1;
/// Deduplicated inside a cell, for a second.
const CELL_KEY: usize = 2;
/// Deduplicated by all servers, for a second.
const GLOBAL_KEY: usize = 3;

/// Sends `count` requests evenly over a second, each of which ends in `outcome` after `elapsed`.
/// Returns how many were rejected.
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
