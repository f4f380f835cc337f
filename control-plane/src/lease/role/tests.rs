use super::*;

/// Guards against names in the log file or on the command line that differ from those in JSON.
#[test]
fn role_names_parse_back_and_equal_the_serialized_names() {
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
