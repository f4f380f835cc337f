//! Unit tests of `ordering`.

use super::*;

const KEY: Key = Key(7);

fn id(n: u8) -> RequestId {
    RequestId([n; 36])
}

#[test]
fn requests_of_a_key_keep_their_order() {
    let mut queues = RequestQueues::default();
    queues.push(KEY, id(1));
    queues.push(KEY, id(2));
    queues.push(KEY, id(3));
    assert_eq!(queues.head(KEY, 0), QueueHead::Request(id(1)));
    assert_eq!(queues.position(KEY, id(3), 0).unwrap().ahead, 2);
    queues.remove(KEY, id(2));
    assert_eq!(queues.position(KEY, id(3), 0).unwrap().ahead, 1);
    queues.remove(KEY, id(1));
    assert_eq!(queues.head(KEY, 0), QueueHead::Request(id(3)));
    assert_eq!(queues.requests(), [id(3)]);
}

#[test]
fn the_state_of_a_key_is_kept_until_its_quarantine_ends() {
    let mut queues = RequestQueues::default();
    queues.quarantine(KEY, 100);
    assert_eq!(queues.head(KEY, 99), QueueHead::Quarantined);
    queues.push(KEY, id(1));
    assert_eq!(queues.position(KEY, id(1), 40).unwrap().quarantine_left, 60);
    queues.remove(KEY, id(1));
    assert_eq!(queues.head(KEY, 100), QueueHead::Idle);
    assert!(queues.position(KEY, id(1), 100).is_none());
}
