use super::*;

use foca::BroadcastHandler;

/// Guards against notices that are passed on without end, or from more accusers than shorten a suspicion.
#[test]
fn suspicion_notices_are_passed_on_only_while_they_shorten_a_suspicion() {
    let mut broadcasts = BroadcastQueue::new(100, 4);
    let name = |n: u32| format!("n{n}").parse::<Name>().unwrap();
    let notice = |incarnation: u16, accuser: u32| SuspicionNotice {
        suspect: name(0),
        generation: 7,
        incarnation,
        accuser: name(accuser),
    };
    let mut passed_on = |incarnation, accuser| {
        let bytes = Broadcast::Suspicion(notice(incarnation, accuser)).encode();
        broadcasts.receive_item(&bytes, None).unwrap().is_some()
    };
    for accuser in 1..=4 {
        assert!(passed_on(0, accuser), "accuser {accuser}");
        assert!(!passed_on(0, accuser), "accuser {accuser} a second time");
    }
    assert!(!passed_on(0, 5), "the suspicion is as short as it gets");
    assert!(passed_on(1, 5), "another incarnation is another suspicion");
    assert_eq!(broadcasts.accusers(&notice(0, 1).key()).len(), 4);
    assert_eq!(broadcasts.take_received().len(), 5);
}
