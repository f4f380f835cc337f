//! Parameters of operators' calls.

use super::*;

#[test]
fn values_of_a_query_are_decoded() {
    assert_eq!(member("a=b&member=s-1").as_deref(), Some("s-1"));
    for wrong in [
        "",
        "member",
        "member=",
        "Member=s-1",
        "member=s-1&member=s-1",
    ] {
        assert_eq!(member(wrong), None, "{wrong}");
    }
    assert_eq!(percent_decode("s-5be2a07c").as_deref(), Some("s-5be2a07c"));
    assert_eq!(
        percent_decode("a%2Fb%c3%A9+c").as_deref(),
        Some("a/b\u{e9} c")
    );
    for wrong in ["", "%", "%2", "%zz", "%ff", "%+1"] {
        assert_eq!(percent_decode(wrong), None, "{wrong}");
    }
}
