//! The list of servers as discovery writes it, read entry by entry: its text and the entries are all that is held.

use std::fmt;
use std::net::SocketAddr;

use load_balancer::settings::server_state;
use load_balancer::ServerState;
use serde::de::{self, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::Value;

/// The part of the memory limit that the text of one list may take. What is read from it is no longer than that, and
/// both go once the list is taken over; what is held of it and the bodies have the other half.
const TEXT_PART: usize = 4;
/// Of an odd entry, so much is shown.
const SHOWN: usize = 60;

/// An entry of the list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub cell: u64,
    pub state: ServerState,
    pub size: f64,
    /// Unix time in milliseconds; 0 is long ago.
    pub up_since_ms: u64,
}

/// A list, whole or only what changed.
#[derive(Clone, Debug, Default)]
pub struct List {
    pub revision: Option<u64>,
    pub complete: bool,
    pub entries: Vec<Entry>,
    pub unread: Unread,
}

/// The entries that could not be read.
#[derive(Clone, Debug, Default)]
pub struct Unread {
    pub count: usize,
    /// Those of them that name a server: what was known of it before stands.
    pub ids: Vec<String>,
    /// What is odd about the first.
    first: String,
}

/// A list that is refused as a whole.
#[derive(Debug, PartialEq)]
pub enum Refused {
    TooLong { most: usize },
    Damaged { bytes: usize, why: String },
    Foreign { bytes: usize, why: &'static str },
    NoneRead { entries: usize, first: String },
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::TooLong { most } => {
                write!(
                    f,
                    "a list of over {most} bytes is refused: limits.memory_mb / {TEXT_PART} is the most"
                )
            }
            Refused::Damaged { bytes, why } => {
                write!(
                    f,
                    "a list of {bytes} bytes is refused, it is damaged: {why}"
                )
            }
            Refused::Foreign { bytes, why } => {
                write!(f, "a list of {bytes} bytes is refused, {why}")
            }
            Refused::NoneRead { entries, first } => {
                write!(
                    f,
                    "a list is refused, none of its {entries} entries can be read: {first}"
                )
            }
        }
    }
}

impl std::error::Error for Refused {}

/// The most bytes that the text of one list may have in a process of this memory.
pub fn longest(memory: usize) -> usize {
    memory / TEXT_PART
}

impl List {
    /// Reads a list. An entry that can't be read is dropped, never the list: one odd entry must not blind the
    /// node to all others. Where none can, the list is another program's.
    pub fn read(text: &[u8]) -> Result<List, Refused> {
        let bytes = text.len();
        let form: Form = serde_json::from_slice(text).map_err(|error| Refused::Damaged {
            bytes,
            why: error.to_string(),
        })?;
        form.list(bytes)
    }

    /// What a log tells of entries that were dropped.
    pub fn complaint(&self) -> Option<String> {
        let Unread { count, first, .. } = &self.unread;
        (*count > 0).then(|| {
            format!(
                "{count} of {} entries are dropped, the first: {first}",
                self.entries.len() + count
            )
        })
    }
}

/// Any value where a list may stand.
#[derive(Default)]
pub struct Form {
    /// There was an object.
    object: bool,
    revision: Option<u64>,
    complete: bool,
    members: Option<Members>,
}

impl Form {
    /// The list; `bytes` is the length of its text.
    pub fn list(self, bytes: usize) -> Result<List, Refused> {
        if !self.object {
            return Err(Refused::Foreign {
                bytes,
                why: "it is no object",
            });
        }
        let Some(Members(entries, unread)) = self.members else {
            return Err(Refused::Foreign {
                bytes,
                why: "it has no array 'members'",
            });
        };
        if entries.is_empty() && unread.count > 0 {
            return Err(Refused::NoneRead {
                entries: unread.count,
                first: unread.first,
            });
        }
        Ok(List {
            revision: self.revision,
            complete: self.complete,
            entries,
            unread,
        })
    }
}

/// The entries that could be read, and the others.
struct Members(Vec<Entry>, Unread);

/// What a value of any kind other than the one that is looked for comes to.
macro_rules! other_values {
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

impl<'de> Deserialize<'de> for Form {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Form, D::Error> {
        struct Reads;
        impl<'de> Visitor<'de> for Reads {
            type Value = Form;

            other_values!(Form::default());

            fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Form, A::Error> {
                while items.next_element::<IgnoredAny>()?.is_some() {}
                Ok(Form::default())
            }

            fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<Form, A::Error> {
                let mut form = Form {
                    object: true,
                    ..Form::default()
                };
                while let Some(name) = fields.next_key::<String>()? {
                    match name.as_str() {
                        "revision" => form.revision = fields.next_value::<Value>()?.as_u64(),
                        "complete" => {
                            form.complete = fields.next_value::<Value>()?.as_bool().unwrap_or(false)
                        }
                        "members" => form.members = fields.next_value::<Array>()?.0,
                        _ => drop(fields.next_value::<IgnoredAny>()?),
                    }
                }
                Ok(form)
            }
        }
        deserializer.deserialize_any(Reads)
    }
}

/// The entries, where there is an array.
struct Array(Option<Members>);

impl<'de> Deserialize<'de> for Array {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Array, D::Error> {
        struct Reads;
        impl<'de> Visitor<'de> for Reads {
            type Value = Array;

            other_values!(Array(None));

            fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<Array, A::Error> {
                while fields.next_entry::<IgnoredAny, IgnoredAny>()?.is_some() {}
                Ok(Array(None))
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Array, A::Error> {
                let (mut entries, mut unread) = (Vec::new(), Unread::default());
                // One entry's tree at a time.
                while let Some(value) = items.next_element::<Value>()? {
                    match entry(&value) {
                        Ok(entry) => entries.push(entry),
                        Err(why) => unread.add(&value, why),
                    }
                }
                Ok(Array(Some(Members(entries, unread))))
            }
        }
        deserializer.deserialize_any(Reads)
    }
}

impl Unread {
    fn add(&mut self, value: &Value, why: &str) {
        self.count += 1;
        if self.count == 1 {
            let text: String = value.to_string().chars().take(SHOWN).collect();
            self.first = format!("{why} in {text}");
        }
        self.ids
            .extend(value.get("id").and_then(Value::as_str).map(str::to_owned));
    }
}

fn entry(value: &Value) -> Result<Entry, &'static str> {
    let text = |name: &str| value.get(name).and_then(Value::as_str);
    Ok(Entry {
        id: text("id").ok_or("no 'id'")?.to_owned(),
        addr: text("host_port")
            .and_then(|addr| addr.parse().ok())
            .ok_or("no address in 'host_port'")?,
        zone: text("locality").unwrap_or("").to_owned(),
        kind: text("flavor").unwrap_or("").to_owned(),
        cell: value.get("cell").and_then(Value::as_u64).unwrap_or(0),
        state: text("phase")
            .and_then(server_state)
            .ok_or("no known 'phase'")?,
        size: value.get("size").and_then(Value::as_f64).unwrap_or(1.0),
        up_since_ms: value
            .get("up_since_ms")
            .and_then(Value::as_u64)
            .unwrap_or(0),
    })
}

#[cfg(test)]
mod tests;
