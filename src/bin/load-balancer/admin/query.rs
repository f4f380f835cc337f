//! Parses the query string of an operator's call.

/// The server id in the parameter `member`; `None` unless the parameter occurs exactly once, with a valid value.
pub fn member(query: &str) -> Option<String> {
    let mut values = query
        .split('&')
        .filter_map(|pair| pair.strip_prefix("member="));
    let value = values.next()?;
    if values.next().is_some() {
        return None;
    }
    percent_decode(value)
}

/// Decodes a percent-encoded value; `None` if it is empty, malformed or not UTF-8.
fn percent_decode(value: &str) -> Option<String> {
    let mut decoded = Vec::with_capacity(value.len());
    let mut rest = value.bytes();
    while let Some(byte) = rest.next() {
        decoded.push(match byte {
            b'%' => {
                let high = hex_digit(rest.next())?;
                let low = hex_digit(rest.next())?;
                (high * 16 + low) as u8
            }
            b'+' => b' ',
            other => other,
        });
    }
    String::from_utf8(decoded)
        .ok()
        .filter(|text| !text.is_empty())
}

fn hex_digit(byte: Option<u8>) -> Option<u32> {
    char::from(byte?).to_digit(16)
}

#[cfg(test)]
mod tests;
