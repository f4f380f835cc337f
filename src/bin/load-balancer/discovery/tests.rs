//! Lists and their watch, value by value.

use super::*;

#[test]
fn values_may_be_split_and_indented_anywhere() {
    let texts = [
        "{\"a\":[{\"b\":1},\r\n\n  {\"}\": \"\\\"{\\\\\"}]\n}",
        "{\"b\":2}",
    ];
    let sent = format!("{}\r\n\n{}\n", texts[0], texts[1]);
    for size in 1..sent.len() {
        let (mut items, mut seen) = (Items::new(1 << 20), Vec::new());
        for part in sent.as_bytes().chunks(size) {
            items.push(&Bytes::copy_from_slice(part));
            while let Some(item) = items.next().unwrap() {
                seen.push(match item {
                    Item::Beat => String::new(),
                    Item::Value(text) => {
                        String::from_utf8(text.to_vec()).unwrap().trim().to_owned()
                    }
                });
            }
        }
        assert_eq!(seen, [texts[0], "", "", texts[1], ""], "in parts of {size}");
    }
    for odd in ["7\n", "}", "nonsense"] {
        let mut items = Items::new(1 << 20);
        items.push(&Bytes::from_static(odd.as_bytes()));
        assert!(items.next().is_err(), "{odd}");
    }
}

#[test]
fn a_value_that_is_too_long_is_refused_and_a_large_one_keeps_no_memory() {
    let value = format!("{{\"a\": \"{}\"}}", "x".repeat(LARGE));
    let mut items = Items::new(value.len());
    items.push(&Bytes::from(value.clone() + "\n{\"b\""));
    assert_eq!(
        items.next().unwrap(),
        Some(Item::Value(BytesMut::from(value.as_str())))
    );
    assert_eq!(items.next().unwrap(), Some(Item::Beat));
    assert!(items.next().unwrap().is_none() && items.buffer.capacity() < LARGE);
    let mut items = Items::new(value.len() - 2);
    items.push(&Bytes::from(value[..value.len() - 1].to_owned()));
    let error = items.next().unwrap_err();
    assert_eq!(
        error.downcast_ref(),
        Some(&Refused::TooLong {
            most: value.len() - 2
        })
    );
}

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
