//! Limits of buffered bodies: the shared memory and the longest body.

use super::*;

#[test]
fn buffered_bodies_share_one_memory_limit_and_return_it_when_dropped() {
    let memory = BodyMemory::new(100);
    let part = |n: usize| Bytes::from(vec![7; n]);
    let mut first = PartialBody::new(&memory);
    assert!(first.add(part(60)) && first.add(part(10)));
    let mut second = PartialBody::new(&memory);
    assert!(!second.add(part(40)), "over the shared limit");
    drop(second);
    let body = first.complete();
    assert_eq!((body.bytes.len(), memory.left.get()), (70, 30));
    drop(body);
    assert_eq!(memory.left.get(), 100);
    let memory = BodyMemory::new(10 * MAX_BUFFERED_BYTES);
    let mut long = PartialBody::new(&memory);
    assert!(
        long.add(part(MAX_BUFFERED_BYTES)) && !long.add(part(1)),
        "too long to be buffered"
    );
}
