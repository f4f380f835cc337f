//! Items of a watch are found wherever the chunks are split.

use super::*;

// Guards against an indented list that ends the watch at its first line, and a value that is cut off at the end of a
// chunk.
#[test]
fn values_may_be_split_and_indented_anywhere() {
    let texts = [
        "{\"a\":[{\"b\":1},\r\n\n  {\"}\": \"\\\"{\\\\\"}]\n}",
        "{\"b\":2}",
    ];
    let sent = format!("{}\r\n\n{}\n", texts[0], texts[1]);
    for size in 1..sent.len() {
        let (mut items, mut seen) = (JsonSplitter::new(1 << 20), Vec::new());
        for part in sent.as_bytes().chunks(size) {
            items.push(&Bytes::copy_from_slice(part));
            while let Some(item) = items.next_item().unwrap() {
                seen.push(match item {
                    WatchItem::Heartbeat => String::new(),
                    WatchItem::Value(text) => {
                        String::from_utf8(text.to_vec()).unwrap().trim().to_owned()
                    }
                });
            }
        }
        assert_eq!(seen, [texts[0], "", "", texts[1], ""], "in parts of {size}");
    }
    for invalid in ["7\n", "}", "nonsense"] {
        let mut items = JsonSplitter::new(1 << 20);
        items.push(&Bytes::from_static(invalid.as_bytes()));
        assert!(items.next_item().is_err(), "{invalid}");
    }
}

// Guards against a list that exceeds the memory limit, and a large buffer that is kept for as long as the watch is
// open.
#[test]
fn a_value_that_is_too_long_is_rejected_and_a_large_one_frees_its_buffer() {
    let value = format!("{{\"a\": \"{}\"}}", "x".repeat(LARGE_VALUE_BYTES));
    let mut items = JsonSplitter::new(value.len());
    items.push(&Bytes::from(value.clone() + "\n{\"b\""));
    assert_eq!(
        items.next_item().unwrap(),
        Some(WatchItem::Value(BytesMut::from(value.as_str())))
    );
    assert_eq!(items.next_item().unwrap(), Some(WatchItem::Heartbeat));
    assert!(items.next_item().unwrap().is_none() && items.buffer.capacity() < LARGE_VALUE_BYTES);
    let mut items = JsonSplitter::new(value.len() - 2);
    items.push(&Bytes::from(value[..value.len() - 1].to_owned()));
    assert_eq!(
        items.next_item().unwrap_err(),
        EndpointListError::TooLong {
            max_bytes: value.len() - 2
        }
    );
}
