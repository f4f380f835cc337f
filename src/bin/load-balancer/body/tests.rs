//! The memory that buffered bodies share.

use super::*;

#[test]
fn kept_bytes_have_one_budget() {
    let memory = BodyMemory::new(100);
    let part = |n: usize| Bytes::from(vec![7; n]);
    let mut one = Parts::new(&memory);
    assert!(one.add(part(60)) && one.add(part(10)));
    let mut two = Parts::new(&memory);
    assert!(!two.add(part(40)), "over the budget");
    drop(two);
    let kept = one.complete();
    assert_eq!((kept.bytes.len(), memory.0.get()), (70, 30));
    drop(kept);
    assert_eq!(memory.0.get(), 100);
    let memory = BodyMemory::new(10 * MAX_BUFFERED_BYTES);
    let mut long = Parts::new(&memory);
    assert!(
        long.add(part(MAX_BUFFERED_BYTES)) && !long.add(part(1)),
        "too long to keep"
    );
}
