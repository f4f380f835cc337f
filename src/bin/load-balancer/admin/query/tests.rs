//! Query parameters of operators' calls.

use super::*;

#[test]
fn one_member_parameter_is_required_and_its_value_is_decoded() {
    assert_eq!(member("a=b&member=s-1").as_deref(), Some("s-1"));
    for invalid in [
        "",
        "member",
        "member=",
        "Member=s-1",
        "member=s-1&member=s-1",
    ] {
        assert_eq!(member(invalid), None, "{invalid}");
    }
    assert_eq!(percent_decode("s-5be2a07c").as_deref(), Some("s-5be2a07c"));
    assert_eq!(
        percent_decode("a%2Fb%c3%A9+c").as_deref(),
        Some("a/b\u{e9} c")
    );
    for invalid in ["", "%", "%2", "%zz", "%ff", "%+1"] {
        assert_eq!(percent_decode(invalid), None, "{invalid}");
    }
}
