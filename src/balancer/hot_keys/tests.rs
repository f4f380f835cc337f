//! Unit tests of `hot_keys`.

use super::*;

#[test]
fn a_key_requested_once_has_no_share() {
    let mut keys = HotKeys::default();
    keys.record(Key(1));
    assert_eq!(keys.traffic_share(Some(Key(1)), 1.0), 0.0);
    assert_eq!(keys.traffic_share(Some(Key(2)), 1.0), 0.0);
    assert_eq!(keys.traffic_share(None, 1.0), 0.0);
}

#[test]
fn a_frequent_key_is_found_among_more_keys_than_counters() {
    let mut keys = HotKeys::default();
    for n in 0..3_000 {
        keys.record(if n % 3 == 0 { Key(0) } else { Key(n) });
    }
    assert!(keys.counts.len() <= MAX_KEYS);
    let share = keys.traffic_share(Some(Key(0)), 3_000.0);
    assert!((0.28..0.34).contains(&share), "{share}");
    // A key that took over another key's counter does not inherit that key's share.
    assert_eq!(keys.traffic_share(Some(Key(2_999)), 3_000.0), 0.0);
}

#[test]
fn counters_of_keys_without_traffic_are_removed() {
    let mut keys = HotKeys::default();
    keys.record(Key(1));
    for _ in 0..100 {
        keys.decay();
    }
    assert!(keys.counts.is_empty());
}
