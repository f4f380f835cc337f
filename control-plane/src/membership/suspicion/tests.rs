use super::*;

const TIMEOUT: SuspicionTimeout = SuspicionTimeout {
    min: 1_000,
    max: 6_000,
};

/// Guards against one accuser that counts as several, and a suspect that has less than the shortest timeout to refute.
#[test]
fn each_confirmation_shortens_the_timeout_down_to_the_minimum() {
    let name = |n: u32| format!("n{n}").parse::<Name>().unwrap();
    let mut suspicion = Suspicion::new(100, TIMEOUT, 3, std::iter::empty());
    let mut last = suspicion.deadline();
    assert_eq!(last, 6_100);
    assert!(suspicion.add_accuser(name(1)));
    assert!(
        !suspicion.add_accuser(name(1)),
        "the same accuser counts once"
    );
    assert_eq!(
        suspicion.deadline(),
        last,
        "the first accuser leaves the longest timeout"
    );
    for accuser in 2..=4 {
        assert!(suspicion.add_accuser(name(accuser)));
        assert!(suspicion.deadline() < last);
        last = suspicion.deadline();
    }
    assert_eq!(last, 1_100);
    assert!(
        !suspicion.add_accuser(name(5)),
        "more accusers change nothing"
    );
    assert_eq!(
        Suspicion::new(0, TIMEOUT, 0, std::iter::empty()).deadline(),
        1_000
    );
}
