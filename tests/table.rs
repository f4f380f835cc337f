//! The slot table: what all nodes must agree on, which keys may move when servers change, and how a node
//! replaces its table while requests continue.

mod common;

use std::collections::{HashMap, HashSet};

use common::*;
use fastrand::Rng;
use load_balancer::balancer::{slot_of_key, table_slots, TableBuilder, LAYER_SLOTS};
use load_balancer::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Numbers of servers, among them those on both sides of each point at which the table begins to grow, and
/// 18,000, the fleet size that operators plan for.
const FLEET_SIZES: [u32; 12] = [
    1, 10, 256, 1_000, 2_047, 2_048, 3_000, 8_190, 9_000, 18_000, 32_763, 40_000,
];
/// Maximum time to build a table for 18,000 servers under load, at 3 us per slot.
const MAX_BUILD_TIME: Micros = 790_000;
/// The number of the balancer's tick timer.
const TICK_TIMER: TimerId = TimerId(1);

fn servers_of_mixed_weights(n: u32) -> Vec<(ServerId, f64)> {
    (0..n)
        .map(|i| (ServerId(i * 7919 + 13), [1.0, 2.0, 0.5][i as usize % 3]))
        .collect()
}

fn servers_of_equal_weight(n: u32) -> Vec<(ServerId, f64)> {
    (0..n)
        .map(|i| (ServerId(i.wrapping_mul(0x9E37_79B1)), 1.0))
        .collect()
}

fn owners(servers: &[(ServerId, f64)]) -> Vec<ServerId> {
    let mut builder = TableBuilder::new(servers.to_vec());
    assert!(builder.claim(usize::MAX));
    builder.owners(|id| id)
}

fn slots_by_owner(table: &[ServerId]) -> HashMap<ServerId, usize> {
    let mut counts = HashMap::new();
    table
        .iter()
        .for_each(|owner| *counts.entry(*owner).or_default() += 1);
    counts
}

/// The percentage of keys whose owner differs between two tables.
fn percent_moved(one: &[ServerId], other: &[ServerId]) -> f64 {
    const KEYS: u64 = 100_000;
    let owner = |table: &[ServerId], key| table[slot_of_key(Key(key), table.len())];
    let differ = (0..KEYS)
        .map(|key| key.wrapping_mul(0x9E37_79B9_7F4A_7C15))
        .filter(|&key| owner(one, key) != owner(other, key));
    differ.count() as f64 * 100.0 / KEYS as f64
}

// Guards against nodes that disagree on owners because the order of their lists differs.
#[test]
fn the_table_does_not_depend_on_the_order_of_the_list() {
    for n in [40, 3_000, 18_000] {
        let servers = servers_of_mixed_weights(n);
        let table = owners(&servers);
        let mut reordered = servers.clone();
        reordered.reverse();
        assert_eq!(table, owners(&reordered), "{n} servers in reverse order");
        Rng::with_seed(u64::from(n)).shuffle(&mut reordered);
        assert_eq!(table, owners(&reordered), "{n} servers in random order");
    }
}

// Guards against a server whose part of the keys is not in proportion to its weight.
#[test]
fn each_server_owns_slots_in_proportion_to_its_weight() {
    for n in [3, 30, 200, 5_000, 18_000] {
        let servers = servers_of_mixed_weights(n);
        let table = owners(&servers);
        let counts = slots_by_owner(&table);
        let total: f64 = servers.iter().map(|s| s.1).sum();
        for (id, weight) in &servers {
            let expected = weight / total * table.len() as f64;
            let owned = counts[id] as f64;
            assert!(
                (owned - expected).abs() <= 0.02 * expected + 2.0,
                "{id:?} of {n} servers owns {owned} slots, expected {expected}"
            );
        }
    }
}

// Guards against the departure of one server that moves the keys of many others.
#[test]
fn when_one_server_leaves_few_slots_of_others_move() {
    let servers = servers_of_mixed_weights(60);
    let before = owners(&servers);
    let departed = servers[21].0;
    let after = owners(
        &servers
            .iter()
            .copied()
            .filter(|s| s.0 != departed)
            .collect::<Vec<_>>(),
    );
    let own = before.iter().filter(|o| **o == departed).count();
    let others = before
        .iter()
        .zip(&after)
        .filter(|(b, a)| **b != departed && b != a)
        .count();
    assert!(own > 0 && !after.contains(&departed));
    assert!(
        others < LAYER_SLOTS / 30,
        "{others} slots of other servers moved, besides the {own} of the server that left"
    );
}

// Guards against a change of the hashes or of the building order: nodes of different versions would send the
// same key to different servers.
#[test]
fn owners_and_slots_are_the_recorded_ones() {
    let table = owners(&servers_of_mixed_weights(5));
    let seen: Vec<u32> = [0, 1, 100, 5_000, 16_380]
        .iter()
        .map(|&s: &usize| table[s].0)
        .collect();
    assert_eq!(seen, SMALL_TABLE_OWNERS);
    let large = owners(&servers_of_mixed_weights(18_000));
    let seen: Vec<u32> = [0, 1, 20_000, 100_000, 262_095]
        .iter()
        .map(|&s: &usize| large[s].0)
        .collect();
    assert_eq!(seen, LARGE_TABLE_OWNERS);
    let slots: Vec<usize> = [1, 2, 3, 4, 5]
        .map(|key| slot_of_key(Key(key), large.len()))
        .to_vec();
    assert_eq!(slots, LARGE_TABLE_KEY_SLOTS);
}

// What every version must compute: the owners of five slots of a table of 5 servers and of one of 18,000, and
// the slots of the keys 1 to 5 in the latter.
const SMALL_TABLE_OWNERS: [u32; 5] = [13, 13, 7932, 13, 31689];
const LARGE_TABLE_OWNERS: [u32; 5] = [26710800, 87742533, 42604233, 142359876, 110992717];
const LARGE_TABLE_KEY_SLOTS: [usize; 5] = [170_027, 58_550, 71_051, 228_881, 226_899];

#[test]
fn an_empty_fleet_has_no_table() {
    assert!(owners(&[]).is_empty());
}

// Guards against growth in large steps. Two nodes whose lists differ by one server on either side of such a
// step would agree on hardly any key.
#[test]
fn each_added_server_adds_at_most_48_slots() {
    assert!((0..=2_047).all(|n| table_slots(n) == LAYER_SLOTS));
    for n in 2_048..131_049 {
        let (slots, before) = (table_slots(n), table_slots(n - 1));
        assert!(slots >= 8 * n, "{n} servers have {slots} slots");
        assert!(
            (0..=48).contains(&(slots - before)),
            "server {n} adds {} slots",
            slots - before
        );
    }
    // There are at most 64 layers, as a block's layers are the bits of a 64-bit word.
    assert_eq!(table_slots(usize::MAX / 64), 64 * LAYER_SLOTS);
}

// Guards against a table that is too small for its fleet: with 16,381 slots, 1,619 of 18,000 servers owned
// none.
#[test]
fn every_server_owns_a_slot_whatever_its_weight() {
    type Weight = fn(usize) -> f64;
    let weights: [(&str, Weight); 4] = [
        ("equal weights", |_| 1.0),
        ("three weights", |i| [0.5, 1.0, 1.5][i % 3]),
        ("few tiny weights", |i| if i % 97 == 0 { 1e-6 } else { 1.0 }),
        ("few huge weights", |i| if i % 97 == 0 { 1e6 } else { 1.0 }),
    ];
    for n in FLEET_SIZES {
        for (name, weight) in weights {
            let servers: Vec<_> = servers_of_equal_weight(n)
                .iter()
                .enumerate()
                .map(|(i, s)| (s.0, weight(i)))
                .collect();
            let table = owners(&servers);
            assert_eq!(table.len(), table_slots(n as usize));
            let counts = slots_by_owner(&table);
            assert_eq!(counts.len(), n as usize, "{n} servers, {name}");
            if name == "equal weights" {
                let (least, most) = (counts.values().min(), counts.values().max());
                assert!(
                    most.unwrap() - least.unwrap() <= 1,
                    "{n} servers own {least:?} to {most:?} slots each"
                );
            }
        }
    }
}

// Guards against nodes that disagree on owners because they built their tables in different steps.
#[test]
fn a_table_built_in_steps_is_the_same() {
    let mut rng = Rng::with_seed(11);
    for n in [5, 2_500, 9_000] {
        let servers = servers_of_mixed_weights(n);
        let expected = owners(&servers);
        let mut builder = TableBuilder::new(servers);
        let mut claimed = 0;
        loop {
            let step = rng.usize(0..9_000);
            claimed += step;
            let done = builder.claim(step);
            assert_eq!(done, claimed >= expected.len());
            if done {
                break;
            }
        }
        assert_eq!(builder.owners(|id| id), expected, "{n}");
    }
}

// Guards against choosing a key's slot by the remainder of its hash: growth of the table by one server then
// moves 99.96 % of the keys.
#[test]
fn keys_spread_evenly_over_slots_and_move_only_to_added_ones() {
    let mut rng = Rng::with_seed(5);
    let keys: Vec<Key> = (0..100_000).map(|_| Key(rng.u64(..))).collect();
    for (slots, more) in [
        (LAYER_SLOTS, 16_500),
        (20_000, 30_000),
        (65_524, 65_572),
        (150_001, 262_096),
    ] {
        let mut keys_in_part = [0_u32; 50];
        let mut moved = 0;
        for key in &keys {
            let (slot, later) = (slot_of_key(*key, slots), slot_of_key(*key, more));
            assert!(
                slot < slots && (later == slot || (slots..more).contains(&later)),
                "a key moved from slot {slot} to {later}"
            );
            moved += u32::from(later != slot);
            keys_in_part[slot * keys_in_part.len() / slots] += 1;
        }
        // The mean is 2,000 keys in each part, with a standard deviation of 45.
        assert!(
            keys_in_part
                .iter()
                .all(|keys| (1_800..2_200).contains(keys)),
            "{slots} slots: {keys_in_part:?}"
        );
        let expected = (1.0 - slots as f64 / more as f64) * keys.len() as f64;
        assert!(
            (f64::from(moved) - expected).abs() < 5.0 * expected.sqrt(),
            "{slots} to {more} slots: {moved} keys moved, expected {expected}"
        );
    }
    // In a table of one layer, the slot is the remainder of the hash, as in the versions before there were
    // layers.
    for Key(key) in keys {
        let hash = xxh3_64_with_seed(&key.to_le_bytes(), 0x006b_6579);
        assert_eq!(
            slot_of_key(Key(key), LAYER_SLOTS) as u64,
            hash % LAYER_SLOTS as u64
        );
    }
}

// Guards against the departure of one server that moves far more keys than its own because the table shrinks
// with it.
#[test]
fn when_one_server_leaves_few_keys_move_even_if_the_table_shrinks() {
    // Numbers of servers and the maximum percentage of keys that move: first sizes between which the table
    // does not grow, then those at which it begins to grow or is growing.
    for (n, most) in [
        (4_000, 0.4),
        (18_000, 0.2),
        (30_000, 0.1),
        (2_048, 3.0),
        (2_500, 2.5),
        (8_191, 1.2),
        (10_000, 1.0),
    ] {
        let servers = servers_of_equal_weight(n);
        let moved = percent_moved(&owners(&servers), &owners(&servers[1..]));
        assert!(
            moved > 0.0 && moved <= most,
            "{n} servers: {moved:.3} % of the keys moved"
        );
    }
}

// Guards against the loss of one of 16 zones that moves the cached keys of most servers in other zones as
// well.
#[test]
fn when_one_of_16_zones_leaves_most_other_keys_stay() {
    let servers = servers_of_equal_weight(18_000);
    let left: Vec<_> = servers
        .iter()
        .copied()
        .enumerate()
        .filter(|(i, _)| i % 16 != 0)
        .map(|s| s.1)
        .collect();
    let moved = percent_moved(&owners(&servers), &owners(&left));
    assert!(
        (6.0..28.0).contains(&moved),
        "{moved:.1} % of the keys moved"
    );
}

// Guards against a probe sequence of a first attempt that has too few servers to choose from.
#[test]
fn a_probe_sequence_finds_at_least_64_servers_in_a_large_table() {
    let table = owners(&servers_of_equal_weight(18_000));
    let mut rng = Rng::with_seed(3);
    for _ in 0..300 {
        let first = rng.usize(0..table.len());
        let found: HashSet<ServerId> = (0..1_024)
            .map(|step| table[(first + step) % table.len()])
            .collect();
        assert!(
            found.len() >= 64,
            "{} servers from slot {first} on",
            found.len()
        );
    }
}

/// One node of a large fleet, under load. Each request has a new key, as a repeated one would soon count as
/// hot in a large fleet.
struct LoadedNode {
    node: Node,
    /// Number of requests so far.
    requests: u64,
}

impl LoadedNode {
    fn new(servers: u32) -> LoadedNode {
        let endpoints = (0..servers).map(listed).collect();
        let settings = Settings {
            node_count: 1_900,
            weight_source: WeightSource::Off,
            ..settings()
        };
        let mut loaded = LoadedNode {
            node: Node::new(settings, endpoints),
            requests: 0,
        };
        loaded.send_request();
        loaded.node.advance(SECOND);
        loaded
    }

    /// Sends a request and its answer; returns the key and the server.
    fn send_request(&mut self) -> (Key, ServerId) {
        self.requests += 1;
        let key = self.requests.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let server = self.node.route(self.requests, 0, key);
        // This is the expected answer time before the first answer, so that no server counts as slow.
        self.node
            .end_attempt_after(self.requests, 0, server, Outcome::Ok, 125_000);
        (Key(key), server)
    }

    fn update(&mut self, endpoints: Vec<Endpoint>) {
        self.node.update_endpoints(UpdateKind::Delta, endpoints);
    }

    /// Sends one request per millisecond and checks that none goes to a server of `departed`. Returns how
    /// many times the building of a table began.
    fn run(&mut self, span: Micros, departed: &HashSet<ServerId>) -> usize {
        let (end, mut builds) = (self.node.now + span, 0);
        let mut left = self.node.balancer.unassigned_slots();
        while self.node.now < end {
            self.node.now += 1_000;
            let (_, server) = self.send_request();
            assert!(!departed.contains(&server), "{server:?} has left");
            let was = std::mem::replace(&mut left, self.node.balancer.unassigned_slots());
            builds += usize::from(left > was);
        }
        builds
    }

    /// Sends 2,000 requests. Returns how many do not go to the owner of their slot in `table`, and for how
    /// many that owner is in `departed`. Checks that none goes to a server of `departed`.
    fn count_rerouted(
        &mut self,
        table: &[ServerId],
        departed: &HashSet<ServerId>,
    ) -> (usize, usize) {
        let (mut rerouted, mut affected) = (0, 0);
        for _ in 0..2_000 {
            let (key, server) = self.send_request();
            let owner = table[slot_of_key(key, table.len())];
            assert!(!departed.contains(&server), "{server:?} has left");
            rerouted += usize::from(server != owner);
            affected += usize::from(departed.contains(&owner));
        }
        (rerouted, affected)
    }

    /// Whether the node uses the table of exactly these servers and is building no other.
    fn uses_table_of(&mut self, servers: impl Iterator<Item = u32>) -> bool {
        let list: Vec<_> = servers.map(|server| (listed(server).server, 1.0)).collect();
        self.count_rerouted(&owners(&list), &HashSet::new()) == (0, 0)
            && self.node.balancer.unassigned_slots() == 0
    }
}

fn listed(server: u32) -> Endpoint {
    Endpoint {
        server: ServerId(server.wrapping_mul(0x9E37_79B1)),
        zone: ZoneId(server % 16),
        ..endpoint(server)
    }
}

fn removed(server: u32) -> Endpoint {
    Endpoint {
        state: ServerState::Removed,
        ..listed(server)
    }
}

fn ids(servers: impl Iterator<Item = u32>) -> HashSet<ServerId> {
    servers.map(|server| listed(server).server).collect()
}

// Guards against sending requests to servers that have left, while the next table without them is being
// built.
#[test]
fn servers_that_left_get_no_requests_and_get_their_keys_back_when_they_return() {
    let mut loaded = LoadedNode::new(4_000);
    assert!(loaded.uses_table_of(0..4_000));
    let list: Vec<_> = (0..4_000)
        .map(|server| (listed(server).server, 1.0))
        .collect();
    let (before, departed) = (owners(&list), ids(0..100));
    loaded.update((0..100).map(removed).collect());
    let (rerouted, affected) = loaded.count_rerouted(&before, &departed);
    assert!(
        loaded.node.balancer.unassigned_slots() > 0,
        "the next table was complete at once"
    );
    assert!(
        affected > 10 && rerouted == affected,
        "{rerouted} requests went to another server than the owner, {affected} had to"
    );
    loaded.run(MAX_BUILD_TIME, &departed);
    assert!(loaded.uses_table_of(100..4_000));
    loaded.update((0..100).map(listed).collect());
    loaded.run(MAX_BUILD_TIME, &HashSet::new());
    assert!(loaded.uses_table_of(0..4_000));
}

// Guards against servers that return while the next table is being built and get no keys until it is
// complete.
#[test]
fn servers_that_return_before_the_next_table_get_their_keys_at_once() {
    let mut loaded = LoadedNode::new(4_000);
    loaded.update((0..100).map(removed).collect());
    loaded.run(5_000, &ids(0..100));
    assert!(loaded.node.balancer.unassigned_slots() > 0);
    loaded.update((0..100).map(listed).collect());
    let list: Vec<_> = (0..4_000)
        .map(|server| (listed(server).server, 1.0))
        .collect();
    assert_eq!(
        loaded.count_rerouted(&owners(&list), &HashSet::new()),
        (0, 0)
    );
    loaded.run(2 * MAX_BUILD_TIME, &HashSet::new());
    assert!(
        loaded.uses_table_of(0..4_000),
        "the next table but one contains them"
    );
}

// Guards against using an outdated table where the next one is cheap: a single layer is built at once.
#[test]
fn a_table_of_one_layer_is_replaced_with_the_next_request() {
    let mut loaded = LoadedNode::new(2_000);
    loaded.update(vec![removed(3)]);
    assert!(loaded.uses_table_of((0..2_000).filter(|server| *server != 3)));
    loaded.update(vec![listed(3)]);
    assert!(loaded.uses_table_of(0..2_000));
}

// Guards against a node without traffic that never completes its next table.
#[test]
fn without_requests_the_ticks_build_the_table() {
    let mut loaded = LoadedNode::new(4_000);
    loaded.update(vec![removed(5)]);
    for _ in 0..=table_slots(4_000).div_ceil(LAYER_SLOTS) {
        loaded.node.now += 100_000;
        loaded.node.event(Event::Timer(TICK_TIMER));
    }
    assert!(loaded.uses_table_of((0..4_000).filter(|server| *server != 5)));
}

// Guards against building a table for each departure: the loss of a zone of 1,125 servers caused 1,125
// builds.
#[test]
fn a_zone_that_leaves_server_by_server_causes_few_builds() {
    let mut loaded = LoadedNode::new(18_000);
    let (mut departed, mut builds) = (HashSet::new(), 0);
    let zone: Vec<u32> = (0..18_000).filter(|server| server % 16 == 0).collect();
    assert_eq!(zone.len(), 1_125);
    let began = loaded.node.now;
    for server in &zone {
        departed.insert(listed(*server).server);
        loaded.update(vec![removed(*server)]);
        builds += loaded.run(6 * SECOND / zone.len() as u64, &departed);
    }
    let took = loaded.node.now - began;
    assert!(
        (6 * SECOND..7 * SECOND).contains(&took),
        "the departures took {took} us instead of 6 to 7 s"
    );
    let most = (took / MAX_BUILD_TIME + 1) as usize;
    assert!(
        (2..=most).contains(&builds),
        "{builds} builds in {took} us, expected 2 to {most}"
    );
    loaded.run(2 * MAX_BUILD_TIME, &departed);
    assert!(loaded.uses_table_of((0..18_000).filter(|server| server % 16 != 0)));
}

// Guards against overloading the few servers that remain when a full list replaces most servers: they would
// get all requests until the next table is built.
#[test]
fn after_a_list_of_other_servers_the_table_is_replaced_with_the_next_request() {
    let mut loaded = LoadedNode::new(4_000);
    // A table is being built when the first such list comes.
    loaded.update(vec![removed(1)]);
    loaded.run(10_000, &ids(1..2));
    assert!(loaded.node.balancer.unassigned_slots() > 0);
    for others in [10_000..10_020, 20_000..26_000, 30_000..36_000] {
        loaded
            .node
            .update_endpoints(UpdateKind::Full, others.clone().map(listed).collect());
        assert!(loaded.uses_table_of(others));
    }
}

fn warming(server: u32) -> Endpoint {
    Endpoint {
        started_at: 100 * SECOND,
        ..listed(server)
    }
}

// Guards against sending overdue attempts to a warming server that has left: they are routed without the
// table.
#[test]
fn a_warming_server_that_left_gets_no_overdue_attempt() {
    let warming: Vec<Endpoint> = (0..400).map(warming).collect();
    let endpoints = warming
        .iter()
        .cloned()
        .chain((400..4_000).map(listed))
        .collect();
    let settings = Settings {
        cold_capacity: 0.9,
        slow_start_time: 1_000 * SECOND,
        cold_overload_window: 3 * SECOND,
        ..settings()
    };
    let mut loaded = LoadedNode {
        node: Node::new(settings, endpoints),
        requests: 0,
    };
    let ids = ids(0..400);
    let mut sent_to_warming = 0;
    for round in 0..60 {
        // The tick finds the overdue attempts. In every second round, all warming servers leave right after
        // it.
        loaded.node.advance(100_000);
        let leave = round % 2 == 1;
        if leave {
            let departed = |endpoint: &Endpoint| Endpoint {
                state: ServerState::Removed,
                ..endpoint.clone()
            };
            loaded.update(warming.iter().map(departed).collect());
        }
        for _ in 0..100 {
            let (_, server) = loaded.send_request();
            assert!(
                !leave || !ids.contains(&server),
                "{server:?} has left in round {round}"
            );
            sent_to_warming += usize::from(ids.contains(&server));
        }
        if leave {
            loaded.update(warming.clone());
        }
    }
    assert!(
        sent_to_warming > 0,
        "warming servers got no request while they were listed"
    );
}
