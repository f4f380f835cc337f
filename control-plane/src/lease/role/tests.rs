use super::*;

/// Guards against a name in the log file or on the command line that differs from the one in JSON.
#[test]
fn names_are_read_back_and_equal_the_serialized_ones() {
    for role in Role::ALL {
        assert_eq!(role.name().parse(), Ok(role));
        let serialized = serde_json::to_value(role).unwrap();
        assert_eq!(serialized, role.name());
    }
    let unknown = "other".parse::<Role>().unwrap_err();
    assert_eq!(
        unknown.to_string(),
        "'other' is no duty: maintenance, census or watch"
    );
}
