//! How server ids are mapped to numbers.

use super::*;

// Guards against two servers with the same number: one would receive the other's requests and connections.
#[test]
fn server_numbers_do_not_collide() {
    let number = server_number("s-1", &HashMap::new());
    let taken = HashMap::from([(number, "s-2".to_owned())]);
    assert_ne!(server_number("s-1", &taken), number);
    assert_eq!(
        server_number("s-1", &HashMap::from([(number, "s-1".to_owned())])),
        number
    );
}
