use super::*;

/// Guards against a message that brings in a name that the configuration would reject.
#[test]
fn names_outside_length_or_alphabet_are_rejected() {
    for wrong in ["", "n 1", "n/1", "né", &"x".repeat(49)] {
        assert!(wrong.parse::<Name>().is_err(), "{wrong}");
    }
    assert_eq!(
        "bilbao-3.a_b".parse::<Name>().unwrap().as_str(),
        "bilbao-3.a_b"
    );
    let bytes = postcard::to_stdvec("n 1").unwrap();
    assert!(
        postcard::from_bytes::<Name>(&bytes).is_err(),
        "a message with an invalid name is rejected too"
    );
}
