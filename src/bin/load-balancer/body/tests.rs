//! Limits of buffered bodies: the shared memory, and what a queue of parts holds.

use super::memory::Purpose;
use super::queue::BodyQueue;
use super::*;

#[test]
fn buffered_bodies_share_one_memory_limit_and_return_it_when_dropped() {
    let memory = BodyMemory::new(100);
    let part = |n: usize| vec![7; n];
    let mut first = BodyQueue::new(&memory);
    first.push(&part(60), Purpose::ShortBody);
    first.push(&part(10), Purpose::ShortBody);
    assert!(first.may_be_buffered());
    let mut second = BodyQueue::new(&memory);
    second.push(&part(40), Purpose::ShortBody);
    assert!(!second.may_be_buffered(), "over the shared limit");
    drop(second);
    let body = first.take_buffered();
    assert_eq!((body.bytes.len(), memory.used()), (70, 70));
    drop(body);
    assert_eq!(memory.used(), 0);
    let memory = BodyMemory::new(10 * MAX_BUFFERED_BYTES);
    let mut long = BodyQueue::new(&memory);
    long.push(&part(MAX_BUFFERED_BYTES), Purpose::ShortBody);
    assert!(long.may_be_buffered());
    long.push(&part(1), Purpose::ShortBody);
    assert!(!long.may_be_buffered(), "too long to be buffered");
}

// Guards against bodies received ahead of their servers that leave no memory to short ones.
#[test]
fn what_is_received_ahead_leaves_memory_to_short_bodies() {
    let memory = BodyMemory::new(100);
    let mut ahead = BodyQueue::new(&memory);
    ahead.push(&[7; 75], Purpose::ReceivedAhead);
    assert!(ahead.is_reserved());
    let mut further = BodyQueue::new(&memory);
    further.push(&[7; 1], Purpose::ReceivedAhead);
    assert!(!further.is_reserved());
    let mut short = BodyQueue::new(&memory);
    short.push(&[7; 25], Purpose::ShortBody);
    assert!(short.is_reserved());
}

// Guards against memory that grows with the number of parts, not of bytes.
#[test]
fn many_small_parts_reserve_at_most_twice_their_length() {
    let memory = BodyMemory::new(10 * MAX_BUFFERED_BYTES);
    let mut queue = BodyQueue::new(&memory);
    for n in 0..MAX_BUFFERED_BYTES {
        queue.push(&[(n % 251) as u8], Purpose::ShortBody);
    }
    assert!(queue.is_reserved() && memory.used() <= 2 * MAX_BUFFERED_BYTES);
    let body = queue.take_buffered();
    let expected = (0..MAX_BUFFERED_BYTES).map(|n| (n % 251) as u8);
    assert!(expected.eq(body.bytes.iter().copied()));
}

// Guards against parts that are passed on in another order, or with memory that is returned twice or never.
#[test]
fn parts_are_taken_in_their_order_and_return_their_memory() {
    let memory = BodyMemory::new(64);
    let mut queue = BodyQueue::new(&memory);
    let mut taken = Vec::new();
    for n in 0..100u8 {
        queue.push(&[n; 9], Purpose::ReceivedAhead);
        if n % 4 == 3 {
            taken.extend(queue.pop().unwrap());
        }
    }
    while let Some(part) = queue.pop() {
        taken.extend(part);
    }
    let expected: Vec<u8> = (0..100).flat_map(|n| [n; 9]).collect();
    assert_eq!(taken, expected);
    assert!(queue.is_empty() && queue.is_reserved());
    assert_eq!(memory.used(), 0);
    queue.push(&[7; 9], Purpose::ReceivedAhead);
    queue.clear();
    assert!(queue.is_empty() && queue.pop().is_none());
    assert_eq!(memory.used(), 0);
}

// Guards against a body of known length whose blocks are joined, which takes twice its memory.
#[test]
fn a_body_of_known_length_is_kept_in_one_block() {
    let memory = BodyMemory::new(10_000);
    let mut queue = BodyQueue::with_length(&memory, 6_000);
    (0..6).for_each(|_| queue.push(&[7; 1_000], Purpose::ShortBody));
    assert_eq!(memory.used(), 6_000);
    assert_eq!(queue.pop().unwrap().len(), 6_000);
    assert!(queue.is_empty());
}
