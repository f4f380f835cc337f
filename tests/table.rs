//! The slot table: what nodes must agree on, which keys a change of the fleet may move, and how the table follows the
//! fleet while requests continue.

mod common;

use std::collections::{HashMap, HashSet};

use common::*;
use fastrand::Rng;
use load_balancer::balancer::{slot_of_key, table_slots, TableBuilder, LAYER_SLOTS};
use load_balancer::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Numbers of servers on both sides of each growth of the table, and the size that operators plan for.
const FLEETS: [u32; 12] = [
    1, 10, 256, 1_000, 2_047, 2_048, 3_000, 8_190, 9_000, 18_000, 32_763, 40_000,
];
/// The longest that a build for 18,000 servers takes under load, by 3 us a slot.
const LONGEST_BUILD: Micros = 790_000;
/// The timer of the tick.
const TICK_TIMER: TimerId = TimerId(1);

fn fleet(n: u32) -> Vec<(ServerId, f64)> {
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

fn counts(table: &[ServerId]) -> HashMap<ServerId, usize> {
    let mut counts = HashMap::new();
    table
        .iter()
        .for_each(|owner| *counts.entry(*owner).or_default() += 1);
    counts
}

/// The fraction of all keys whose owner differs between two tables, in per cent.
fn moved(one: &[ServerId], other: &[ServerId]) -> f64 {
    const KEYS: u64 = 100_000;
    let owner = |table: &[ServerId], key| table[slot_of_key(Key(key), table.len())];
    let differ = (0..KEYS)
        .map(|key| key.wrapping_mul(0x9E37_79B9_7F4A_7C15))
        .filter(|&key| owner(one, key) != owner(other, key));
    differ.count() as f64 * 100.0 / KEYS as f64
}

// Guards against nodes that disagree on owners because their lists are in another order.
#[test]
fn does_not_depend_on_list_order() {
    for n in [40, 3_000, 18_000] {
        let servers = fleet(n);
        let table = owners(&servers);
        let mut reordered = servers.clone();
        reordered.reverse();
        assert_eq!(table, owners(&reordered), "{n} turned round");
        Rng::with_seed(u64::from(n)).shuffle(&mut reordered);
        assert_eq!(table, owners(&reordered), "{n} shuffled");
    }
}

// Guards against a server whose share of the keys is not that of its weight.
#[test]
fn fills_evenly_by_weight() {
    for n in [3, 30, 200, 5_000, 18_000] {
        let servers = fleet(n);
        let table = owners(&servers);
        let counts = counts(&table);
        let total: f64 = servers.iter().map(|s| s.1).sum();
        for (id, size) in &servers {
            let expected = size / total * table.len() as f64;
            let owned = counts[id] as f64;
            assert!(
                (owned - expected).abs() <= 0.02 * expected + 2.0,
                "{id:?} of {n}: {owned}, expected {expected}"
            );
        }
    }
}

// Guards against one departure that moves the keys of other servers.
#[test]
fn one_server_less_moves_its_slots_and_few_others() {
    let servers = fleet(60);
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
        "{others} slots of others moved, {own} had to"
    );
}

#[test]
fn golden_values_pin_the_hashes() {
    let table = owners(&fleet(5));
    let seen: Vec<u32> = [0, 1, 100, 5_000, 16_380]
        .iter()
        .map(|&s: &usize| table[s].0)
        .collect();
    assert_eq!(seen, GOLDEN);
    let large = owners(&fleet(18_000));
    let seen: Vec<u32> = [0, 1, 20_000, 100_000, 262_095]
        .iter()
        .map(|&s: &usize| large[s].0)
        .collect();
    assert_eq!(seen, GOLDEN_LARGE);
    let slots: Vec<usize> = [1, 2, 3, 4, 5]
        .map(|key| slot_of_key(Key(key), large.len()))
        .to_vec();
    assert_eq!(slots, GOLDEN_SLOTS);
}

/// Nodes on different builds must agree: a change here splits keys between them.
const GOLDEN: [u32; 5] = [13, 13, 7932, 13, 31689];
const GOLDEN_LARGE: [u32; 5] = [26710800, 87742533, 42604233, 142359876, 110992717];
const GOLDEN_SLOTS: [usize; 5] = [170_027, 58_550, 71_051, 228_881, 226_899];

#[test]
fn an_empty_fleet_has_no_table() {
    assert!(owners(&[]).is_empty());
}

// Guards against growth in large steps, across which nodes one server apart agree on hardly a key.
#[test]
fn the_table_grows_with_the_fleet_and_each_server_adds_little() {
    assert!((0..=2_047).all(|n| table_slots(n) == LAYER_SLOTS));
    for n in 2_048..131_049 {
        let (slots, before) = (table_slots(n), table_slots(n - 1));
        assert!(slots >= 8 * n, "{n} servers have {slots} slots");
        assert!(
            (0..=48).contains(&(slots - before)),
            "{n} adds {}",
            slots - before
        );
    }
    // A block's layers are the bits of a word.
    assert_eq!(table_slots(usize::MAX / 64), 64 * LAYER_SLOTS);
}

// Guards against a table too small for its fleet: of 18,000 servers 1,619 owned none of 16,381 slots.
#[test]
fn every_server_owns_a_slot_whatever_its_weight() {
    type Size = fn(usize) -> f64;
    let sizes: [(&str, Size); 4] = [
        ("servers_of_equal_weight", |_| 1.0),
        ("in thirds", |i| [0.5, 1.0, 1.5][i % 3]),
        ("few are tiny", |i| if i % 97 == 0 { 1e-6 } else { 1.0 }),
        ("few are huge", |i| if i % 97 == 0 { 1e6 } else { 1.0 }),
    ];
    for n in FLEETS {
        for (name, size) in sizes {
            let servers: Vec<_> = servers_of_equal_weight(n)
                .iter()
                .enumerate()
                .map(|(i, s)| (s.0, size(i)))
                .collect();
            let table = owners(&servers);
            assert_eq!(table.len(), table_slots(n as usize));
            let counts = counts(&table);
            assert_eq!(counts.len(), n as usize, "{n} servers, {name}");
            if name == "servers_of_equal_weight" {
                let (least, most) = (counts.values().min(), counts.values().max());
                assert!(
                    most.unwrap() - least.unwrap() <= 1,
                    "{n}: {least:?} to {most:?}"
                );
            }
        }
    }
}

// Guards against nodes that disagree on owners because they built their tables in other steps.
#[test]
fn a_table_built_in_steps_is_the_same() {
    let mut rng = Rng::with_seed(11);
    for n in [5, 2_500, 9_000] {
        let servers = fleet(n);
        let expected = owners(&servers);
        let mut builder = TableBuilder::new(servers);
        let mut claimed = 0;
        loop {
            let part = rng.usize(0..9_000);
            claimed += part;
            let done = builder.claim(part);
            assert_eq!(done, claimed >= expected.len());
            if done {
                break;
            }
        }
        assert_eq!(builder.owners(|id| id), expected, "{n}");
    }
}

// Guards against slots by the remainder of the size: growth by one server moved 99.96 % of the keys in a trial.
#[test]
fn keys_spread_evenly_over_slots_and_move_only_to_new_ones() {
    let mut rng = Rng::with_seed(5);
    let keys: Vec<Key> = (0..100_000).map(|_| Key(rng.u64(..))).collect();
    for (slots, more) in [
        (LAYER_SLOTS, 16_500),
        (20_000, 30_000),
        (65_524, 65_572),
        (150_001, 262_096),
    ] {
        let mut parts = [0_u32; 50];
        let mut went = 0;
        for key in &keys {
            let (slot, later) = (slot_of_key(*key, slots), slot_of_key(*key, more));
            assert!(
                slot < slots && (later == slot || (slots..more).contains(&later)),
                "{slot} to {later}"
            );
            went += u32::from(later != slot);
            parts[slot * parts.len() / slots] += 1;
        }
        // 2,000 in each, so 45 is the mean error.
        assert!(
            parts.iter().all(|keys| (1_800..2_200).contains(keys)),
            "{slots}: {parts:?}"
        );
        let expected = (1.0 - slots as f64 / more as f64) * keys.len() as f64;
        assert!(
            (f64::from(went) - expected).abs() < 5.0 * expected.sqrt(),
            "{slots} to {more}: {went}, expected {expected}"
        );
    }
    // One layer is as it always was: today's sites keep their slots.
    for Key(key) in keys {
        let hash = xxh3_64_with_seed(&key.to_le_bytes(), 0x006b_6579);
        assert_eq!(
            slot_of_key(Key(key), LAYER_SLOTS) as u64,
            hash % LAYER_SLOTS as u64
        );
    }
}

// Guards against one departure that moves far more than its own keys where the table shrinks with it.
#[test]
fn one_server_moves_few_keys_also_where_the_table_grows() {
    // Where the table stays as large, where it begins to grow, and half-way there: per cent of all keys.
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
        let moved = moved(&owners(&servers), &owners(&servers[1..]));
        assert!(moved > 0.0 && moved <= most, "{n}: {moved:.3} %");
    }
}

// Guards against one zone of 16 that takes the warm keys of most other servers with it.
#[test]
fn a_lost_zone_moves_its_keys_and_not_most_of_the_others() {
    let servers = servers_of_equal_weight(18_000);
    let left: Vec<_> = servers
        .iter()
        .copied()
        .enumerate()
        .filter(|(i, _)| i % 16 != 0)
        .map(|s| s.1)
        .collect();
    let moved = moved(&owners(&servers), &owners(&left));
    assert!((6.0..28.0).contains(&moved), "{moved:.1} %");
}

// Guards against a first attempt that finds too few servers to choose from.
#[test]
fn a_probe_sequence_meets_enough_owners_in_a_large_table() {
    let table = owners(&servers_of_equal_weight(18_000));
    let mut rng = Rng::with_seed(3);
    for _ in 0..300 {
        let first = rng.usize(0..table.len());
        let met: HashSet<ServerId> = (0..1_024)
            .map(|step| table[(first + step) % table.len()])
            .collect();
        assert!(met.len() >= 64, "{} from {first}", met.len());
    }
}

/// One node of many, under load. No key comes twice: one that does counts as hot in a large fleet.
struct Loaded {
    node: Node,
    number: u64,
}

impl Loaded {
    fn new(servers: u32) -> Loaded {
        let endpoints = (0..servers).map(listed).collect();
        let settings = Settings {
            node_count: 1_900,
            weight_source: WeightSource::Off,
            ..settings()
        };
        let mut loaded = Loaded {
            node: Node::new(settings, endpoints),
            number: 0,
        };
        loaded.send_request();
        loaded.node.advance(SECOND);
        loaded
    }

    /// Sends a request and its answer; returns its key and its server.
    fn send_request(&mut self) -> (Key, ServerId) {
        self.number += 1;
        let key = self.number.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let server = self.node.route(self.number, 0, key);
        // The expected time before the first answers, so that no server is taken for slow.
        self.node
            .end_attempt_after(self.number, 0, server, Outcome::Ok, 125_000);
        (Key(key), server)
    }

    fn update(&mut self, endpoints: Vec<Endpoint>) {
        self.node.update_endpoints(UpdateKind::Delta, endpoints);
    }

    /// Sends a request each millisecond, none of which may go to a server of `departed`; returns how many builds began.
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

    /// Of many keys, how many do not go to the owner of their slot in `table`, and the owner of how many is in
    /// `departed`.
    fn elsewhere(&mut self, table: &[ServerId], departed: &HashSet<ServerId>) -> (usize, usize) {
        let (mut elsewhere, mut affected) = (0, 0);
        for _ in 0..2_000 {
            let (key, server) = self.send_request();
            let owner = table[slot_of_key(key, table.len())];
            assert!(!departed.contains(&server), "{server:?} has left");
            elsewhere += usize::from(server != owner);
            affected += usize::from(departed.contains(&owner));
        }
        (elsewhere, affected)
    }

    /// Whether it uses the table of exactly these servers.
    fn uses_table_of(&mut self, servers: impl Iterator<Item = u32>) -> bool {
        let list: Vec<_> = servers.map(|server| (listed(server).server, 1.0)).collect();
        self.elsewhere(&owners(&list), &HashSet::new()) == (0, 0)
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

fn left(server: u32) -> Endpoint {
    Endpoint {
        state: ServerState::Removed,
        ..listed(server)
    }
}

fn ids(servers: impl Iterator<Item = u32>) -> HashSet<ServerId> {
    servers.map(|server| listed(server).server).collect()
}

// Guards against requests to servers that have left while the next table is being built.
#[test]
fn servers_that_left_get_nothing_before_the_next_table_and_their_keys_once_they_return() {
    let mut loaded = Loaded::new(4_000);
    assert!(loaded.uses_table_of(0..4_000));
    let list: Vec<_> = (0..4_000)
        .map(|server| (listed(server).server, 1.0))
        .collect();
    let (before, departed) = (owners(&list), ids(0..100));
    loaded.update((0..100).map(left).collect());
    let (elsewhere, affected) = loaded.elsewhere(&before, &departed);
    assert!(
        loaded.node.balancer.unassigned_slots() > 0,
        "no time has passed"
    );
    assert!(
        affected > 10 && elsewhere == affected,
        "{elsewhere} went to another server, {affected} had to"
    );
    loaded.run(LONGEST_BUILD, &departed);
    assert!(loaded.uses_table_of(100..4_000));
    loaded.update((0..100).map(listed).collect());
    loaded.run(LONGEST_BUILD, &HashSet::new());
    assert!(loaded.uses_table_of(0..4_000));
}

// Guards against a returned server that gets no keys until the next table is complete.
#[test]
fn a_server_that_returns_before_the_next_table_has_its_keys_at_once() {
    let mut loaded = Loaded::new(4_000);
    loaded.update((0..100).map(left).collect());
    loaded.run(5_000, &ids(0..100));
    assert!(loaded.node.balancer.unassigned_slots() > 0);
    loaded.update((0..100).map(listed).collect());
    let list: Vec<_> = (0..4_000)
        .map(|server| (listed(server).server, 1.0))
        .collect();
    assert_eq!(loaded.elsewhere(&owners(&list), &HashSet::new()), (0, 0));
    loaded.run(2 * LONGEST_BUILD, &HashSet::new());
    assert!(
        loaded.uses_table_of(0..4_000),
        "the next but one table has them too"
    );
}

// Guards against an outdated table where the next one is cheap: a single layer is built at once.
#[test]
fn a_small_fleet_has_its_table_with_the_next_request() {
    let mut loaded = Loaded::new(2_000);
    loaded.update(vec![left(3)]);
    assert!(loaded.uses_table_of((0..2_000).filter(|server| *server != 3)));
    loaded.update(vec![listed(3)]);
    assert!(loaded.uses_table_of(0..2_000));
}

// Guards against a node without traffic that never completes its next table.
#[test]
fn without_requests_the_ticks_build_the_table() {
    let mut loaded = Loaded::new(4_000);
    loaded.update(vec![left(5)]);
    for _ in 0..=table_slots(4_000).div_ceil(LAYER_SLOTS) {
        loaded.node.now += 100_000;
        loaded.node.event(Event::Timer(TICK_TIMER));
    }
    assert!(loaded.uses_table_of((0..4_000).filter(|server| *server != 5)));
}

// Guards against a build for each departure: a zone of 1,125 servers had the table built 1,125 times.
#[test]
fn a_zone_that_leaves_server_by_server_causes_few_builds() {
    let mut loaded = Loaded::new(18_000);
    let (mut departed, mut builds) = (HashSet::new(), 0);
    let zone: Vec<u32> = (0..18_000).filter(|server| server % 16 == 0).collect();
    assert_eq!(zone.len(), 1_125);
    let began = loaded.node.now;
    for server in &zone {
        departed.insert(listed(*server).server);
        loaded.update(vec![left(*server)]);
        builds += loaded.run(6 * SECOND / zone.len() as u64, &departed);
    }
    let took = loaded.node.now - began;
    assert!(
        (6 * SECOND..7 * SECOND).contains(&took),
        "each request comes on a whole millisecond"
    );
    let most = (took / LONGEST_BUILD + 1) as usize;
    assert!(
        (2..=most).contains(&builds),
        "{builds} builds in {took} us, {most} at most"
    );
    loaded.run(2 * LONGEST_BUILD, &departed);
    assert!(loaded.uses_table_of((0..18_000).filter(|server| server % 16 != 0)));
}

// Guards against a replaced list that leaves a few servers with all requests until the next table is built.
#[test]
fn a_different_list_is_used_with_the_next_request() {
    let mut loaded = Loaded::new(4_000);
    // A build is under way when it comes.
    loaded.update(vec![left(1)]);
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

// Guards against sending to a server that left: overdue attempts of warming servers do not use the table.
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
    let mut loaded = Loaded {
        node: Node::new(settings, endpoints),
        number: 0,
    };
    let ids = ids(0..400);
    let mut sent_to_warming = 0;
    for round in 0..60 {
        // A tick finds the overdue attempts; in each second round all warming servers leave right after it.
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
        "they are sent something while they are listed"
    );
}
