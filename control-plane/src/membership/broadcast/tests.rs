use super::*;

use foca::BroadcastHandler;

/// Guards against suspicion notices that are forwarded forever, or from more accusers than can shorten a suspicion.
#[test]
fn suspicion_notices_are_forwarded_only_while_they_shorten_a_suspicion() {
    let mut broadcasts = BroadcastQueue::new(100, 4);
    let name = |n: u32| format!("n{n}").parse::<Name>().unwrap();
    let notice = |incarnation: u16, accuser: u32| SuspicionNotice {
        suspect: name(0),
        generation: 7,
        incarnation,
        accuser: name(accuser),
    };
    let mut is_forwarded = |incarnation, accuser| {
        let bytes = Broadcast::Suspicion(notice(incarnation, accuser)).encode();
        broadcasts.receive_item(&bytes, None).unwrap().is_some()
    };
    for accuser in 1..=4 {
        assert!(is_forwarded(0, accuser), "accuser {accuser}");
        assert!(!is_forwarded(0, accuser), "accuser {accuser} a second time");
    }
    assert!(
        !is_forwarded(0, 5),
        "the suspicion timeout is at its minimum"
    );
    assert!(
        is_forwarded(1, 5),
        "a new incarnation has a suspicion of its own"
    );
    assert_eq!(broadcasts.accusers(&notice(0, 1).key()).len(), 4);
    assert_eq!(broadcasts.take_received().len(), 5);
}
