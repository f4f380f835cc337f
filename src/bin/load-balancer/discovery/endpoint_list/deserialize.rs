//! Deserializes an endpoint list entry by entry. One invalid entry does not reject the list, and the JSON tree of
//! only one entry is in memory at a time.

use std::fmt;

use load_balancer::settings::server_state;
use serde::de::{self, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::Value;

use super::{EndpointEntry, EndpointList, EndpointListError, SkippedEntries};

/// The result of parsing any JSON value where a list is expected.
#[derive(Default)]
pub struct ParsedList {
    is_object: bool,
    revision: Option<u64>,
    complete: bool,
    /// The entries; `None` unless the value has an array `members`.
    members: Option<ParsedEntries>,
}

impl ParsedList {
    /// Converts the value to a list; `bytes` is the length of its text, for the error message.
    ///
    /// # Errors
    ///
    /// The value is not an endpoint list, or the list has entries and none could be parsed.
    pub fn into_list(self, bytes: usize) -> Result<EndpointList, EndpointListError> {
        if !self.is_object {
            return Err(EndpointListError::not_an_object(bytes));
        }
        let Some(ParsedEntries { entries, skipped }) = self.members else {
            return Err(EndpointListError::WrongForm {
                bytes,
                reason: "it has no array 'members'",
            });
        };
        if entries.is_empty() && skipped.count > 0 {
            return Err(EndpointListError::NoValidEntry {
                entries: skipped.count,
                first_reason: skipped.first_reason,
            });
        }
        Ok(EndpointList {
            revision: self.revision,
            complete: self.complete,
            entries,
            skipped,
        })
    }
}

struct ParsedEntries {
    entries: Vec<EndpointEntry>,
    skipped: SkippedEntries,
}

/// Implements the visitor methods for all scalar values, with the same result for each.
macro_rules! visit_scalars_as {
    ($result:expr) => {
        fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
            f.write_str("any value")
        }

        fn visit_bool<E: de::Error>(self, _: bool) -> Result<Self::Value, E> {
            Ok($result)
        }

        fn visit_i64<E: de::Error>(self, _: i64) -> Result<Self::Value, E> {
            Ok($result)
        }

        fn visit_u64<E: de::Error>(self, _: u64) -> Result<Self::Value, E> {
            Ok($result)
        }

        fn visit_f64<E: de::Error>(self, _: f64) -> Result<Self::Value, E> {
            Ok($result)
        }

        fn visit_str<E: de::Error>(self, _: &str) -> Result<Self::Value, E> {
            Ok($result)
        }

        fn visit_unit<E: de::Error>(self) -> Result<Self::Value, E> {
            Ok($result)
        }
    };
}

impl<'de> Deserialize<'de> for ParsedList {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<ParsedList, D::Error> {
        deserializer.deserialize_any(ListVisitor)
    }
}

struct ListVisitor;

impl<'de> Visitor<'de> for ListVisitor {
    type Value = ParsedList;

    visit_scalars_as!(ParsedList::default());

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<ParsedList, A::Error> {
        while items.next_element::<IgnoredAny>()?.is_some() {}
        Ok(ParsedList::default())
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<ParsedList, A::Error> {
        let mut list = ParsedList {
            is_object: true,
            ..ParsedList::default()
        };
        while let Some(name) = fields.next_key::<String>()? {
            match name.as_str() {
                "revision" => list.revision = fields.next_value::<Value>()?.as_u64(),
                "complete" => {
                    list.complete = fields.next_value::<Value>()?.as_bool().unwrap_or(false);
                }
                "members" => list.members = fields.next_value::<Members>()?.0,
                _ => drop(fields.next_value::<IgnoredAny>()?),
            }
        }
        Ok(list)
    }
}

/// The value of the field `members`; `None` if it is not an array.
struct Members(Option<ParsedEntries>);

impl<'de> Deserialize<'de> for Members {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Members, D::Error> {
        deserializer.deserialize_any(MembersVisitor)
    }
}

struct MembersVisitor;

impl<'de> Visitor<'de> for MembersVisitor {
    type Value = Members;

    visit_scalars_as!(Members(None));

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<Members, A::Error> {
        while fields.next_entry::<IgnoredAny, IgnoredAny>()?.is_some() {}
        Ok(Members(None))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Members, A::Error> {
        let mut entries = Vec::new();
        let mut skipped = SkippedEntries::default();
        while let Some(value) = items.next_element::<Value>()? {
            match parse_entry(&value) {
                Ok(entry) => entries.push(entry),
                Err(reason) => skipped.add(&value, reason),
            }
        }
        Ok(Members(Some(ParsedEntries { entries, skipped })))
    }
}

/// Parses an entry. The field names are those of discovery's JSON format.
fn parse_entry(value: &Value) -> Result<EndpointEntry, &'static str> {
    let text = |name: &str| value.get(name).and_then(Value::as_str);
    let integer = |name: &str| value.get(name).and_then(Value::as_u64);
    Ok(EndpointEntry {
        id: text("id").ok_or("no 'id'")?.to_owned(),
        address: text("host_port")
            .and_then(|address| address.parse().ok())
            .ok_or("no address in 'host_port'")?,
        zone: text("locality").unwrap_or("").to_owned(),
        kind: text("flavor").unwrap_or("").to_owned(),
        cell: integer("cell").unwrap_or(0),
        state: text("phase")
            .and_then(server_state)
            .ok_or("no known 'phase'")?,
        weight: value.get("size").and_then(Value::as_f64).unwrap_or(1.0),
        started_at_ms: integer("up_since_ms").unwrap_or(0),
    })
}
