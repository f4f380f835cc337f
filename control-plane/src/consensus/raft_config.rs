//! The configuration of the crate `raft`.

use raft::Config;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use super::ConsensusSettings;

/// Maximum size of the entries in a message, in bytes: one entry of the maximum size, with its message, fits into a
/// datagram.
const MAX_ENTRY_BYTES_PER_MESSAGE: u64 = 1_000;
/// Maximum number of unacknowledged append messages to a follower.
const MAX_INFLIGHT_MESSAGES: usize = 64;
/// Maximum size of the uncommitted entries at the leader, in bytes; further proposals are rejected.
const MAX_UNCOMMITTED_BYTES: u64 = 1 << 20;
/// Lower bound that is applied to [`ConsensusSettings::election_ticks`].
const MIN_ELECTION_TICKS: usize = 3;

/// The configuration of a voter whose state machine includes the entries up to `applied`. `seed` determines the voter's
/// election timeout.
pub(super) fn raft_config(settings: &ConsensusSettings, applied: u64, seed: u64) -> Config {
    let mut rng = Pcg64::seed_from_u64(seed ^ settings.me);
    let election_ticks = settings.election_ticks.max(MIN_ELECTION_TICKS);
    let election_timeout = election_ticks + (rng.next_u64() % election_ticks as u64) as usize;
    Config {
        id: settings.me,
        election_tick: election_ticks,
        heartbeat_tick: 1,
        applied,
        max_size_per_msg: MAX_ENTRY_BYTES_PER_MESSAGE,
        max_inflight_msgs: MAX_INFLIGHT_MESSAGES,
        check_quorum: true,
        pre_vote: true,
        // The crate draws the election timeout from this range with the thread's random number generator. The range has
        // a single value, so that runs are reproducible.
        min_election_tick: election_timeout,
        max_election_tick: election_timeout + 1,
        max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
        ..Config::default()
    }
}
