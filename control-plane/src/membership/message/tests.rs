use super::*;

/// Guards against accepting a message that is damaged or truncated, belongs to another fleet, or has an unsupported
/// format.
#[test]
fn only_intact_messages_of_this_fleet_and_format_are_decoded() {
    let fleet = fleet_id("a");
    let sent = Datagram {
        digest: 7,
        payload: b"swim",
        broadcast: b"news",
        message: PiggybackedMessage::Suspected {
            generation: 5,
            incarnation: 2,
            reply_to: None,
        },
    };
    let bytes = sent.encode(2, fleet);
    assert_eq!(
        Datagram::decode(&bytes, fleet, SUPPORTED_FORMATS),
        Ok(sent.clone())
    );
    let in_format_1 = Datagram::decode(&sent.encode(1, fleet), fleet, SUPPORTED_FORMATS)
        .map(|datagram| datagram.message);
    assert_eq!(
        in_format_1,
        Ok(PiggybackedMessage::None),
        "the older format carries no piggybacked message"
    );
    let format_1_only = FormatRange {
        oldest: 1,
        newest: 1,
    };
    assert_eq!(
        Datagram::decode(&bytes, fleet, format_1_only),
        Err(MessageError::UnsupportedFormat)
    );
    assert_eq!(
        Datagram::decode(&bytes, fleet_id("b"), SUPPORTED_FORMATS),
        Err(MessageError::ForeignFleet)
    );
    assert_eq!(
        Datagram::decode(&[0; MAX_DATAGRAM_BYTES + 1], fleet, SUPPORTED_FORMATS),
        Err(MessageError::Oversized)
    );
    for bit in 0..bytes.len() * 8 {
        let mut flipped = bytes.clone();
        flipped[bit / 8] ^= 1 << (bit % 8);
        assert_eq!(
            Datagram::decode(&flipped, fleet, SUPPORTED_FORMATS),
            Err(MessageError::Corrupt),
            "bit {bit}"
        );
    }
    for end in 0..bytes.len() {
        assert_eq!(
            Datagram::decode(&bytes[..end], fleet, SUPPORTED_FORMATS),
            Err(MessageError::Corrupt)
        );
    }
}
