use super::*;

use foca::BroadcastHandler;

#[test]
fn accusers_are_passed_on_only_while_they_shorten_a_suspicion() {
    let mut board = Board::new(100, 4);
    let name = |n: u32| format!("n{n}").parse::<Name>().unwrap();
    let accusation = |incarnation: u16, by: u32| Accusation {
        of: name(0),
        generation: 7,
        incarnation,
        by: name(by),
    };
    let mut passed_on = |incarnation, by| {
        let bytes = Item::Accuse(accusation(incarnation, by)).encode();
        board.receive_item(&bytes, None).unwrap().is_some()
    };
    for by in 1..=4 {
        assert!(passed_on(0, by), "accuser {by}");
        assert!(!passed_on(0, by), "accuser {by} again");
    }
    assert!(!passed_on(0, 5), "the suspicion is as short as it gets");
    assert!(passed_on(1, 5), "another incarnation is another suspicion");
    assert_eq!(board.accusers(&(name(0), 7, 0)).len(), 4);
    assert_eq!(board.take_news().len(), 5);
}
