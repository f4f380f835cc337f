//! Discovery: the list of servers and the watch on its changes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::time::error::Elapsed;
use tokio::time::{timeout_at, Instant};
use woodgap::settings::server_state;
use woodgap::ServerState;

use crate::task::AbortOnDrop;

/// A watch sends at least an empty line every 2 s: one silent for this long is broken. What it misses counts
/// as told 6 s after it fell silent: by then a call that hangs has to be over too, and another one answered.
const SILENCE: Duration = Duration::from_millis(2_750);
/// Where lists are pushed the node's own agent answers at once. After SIGHUP what the new address has counts
/// as told in 4 s, with room for one call that hangs.
pub const AT_ONCE: Duration = Duration::from_millis(1_500);
/// Where they are asked for, calls wait for their turn.
pub const IN_TURN: Duration = Duration::from_millis(3_500);
/// The longest list that is read, of some ten thousand servers.
const LONGEST_VALUE: usize = 4 << 20;

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
}

/// What the watch brings.
#[derive(Debug)]
pub enum News {
    List(List),
    /// The call failed or the watch broke, or it was waited for in vain.
    Failed {
        silent: bool,
        /// When discovery was last called or heard.
        heard: Instant,
    },
}

impl List {
    /// Reads a list. An entry that can't be read is dropped, never the list: one odd entry must
    /// not blind the node to all others.
    pub fn from_value(value: &Value) -> Option<List> {
        let members = value.get("members")?.as_array()?;
        Some(List {
            revision: value.get("revision").and_then(Value::as_u64),
            complete: value.get("complete").and_then(Value::as_bool).unwrap_or(false),
            entries: members.iter().filter_map(entry).collect(),
        })
    }
}

fn entry(value: &Value) -> Option<Entry> {
    let text = |name: &str| value.get(name).and_then(Value::as_str);
    Some(Entry {
        id: text("id")?.to_owned(),
        addr: text("host_port")?.parse().ok()?,
        zone: text("locality").unwrap_or("").to_owned(),
        kind: text("flavor").unwrap_or("").to_owned(),
        cell: value.get("cell").and_then(Value::as_u64).unwrap_or(0),
        state: server_state(text("phase")?)?,
        size: value.get("size").and_then(Value::as_f64).unwrap_or(1.0),
        up_since_ms: value.get("up_since_ms").and_then(Value::as_u64).unwrap_or(0),
    })
}

/// What a watch sends.
#[derive(Debug, PartialEq)]
enum Item {
    /// An empty line.
    Beat,
    /// The text of a value, on one line or on several.
    Value(BytesMut),
}

/// The values of a chunked answer; one may be split over chunks and lines anywhere.
#[derive(Default)]
struct Items {
    buffer: BytesMut,
    /// How far the buffer was looked at, and where in a value that is.
    seen: usize,
    depth: usize,
    quoted: bool,
    escaped: bool,
}

impl Items {
    fn push(&mut self, chunk: &Bytes) {
        self.buffer.extend_from_slice(chunk);
    }

    fn next(&mut self) -> Result<Option<Item>, Fault> {
        while let Some(&byte) = self.buffer.get(self.seen) {
            self.seen += 1;
            if self.quoted {
                self.quoted = self.escaped || byte != b'"';
                self.escaped = !self.escaped && byte == b'\\';
                continue;
            }
            match byte {
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' if self.depth > 0 => {
                    self.depth -= 1;
                    if self.depth == 0 {
                        return Ok(Some(Item::Value(self.take())));
                    }
                }
                b'"' if self.depth > 0 => self.quoted = true,
                b'\n' if self.depth == 0 => {
                    self.take();
                    return Ok(Some(Item::Beat));
                }
                _ if self.depth > 0 || byte.is_ascii_whitespace() => {}
                _ => return Err("a line that is no list".into()),
            }
        }
        if self.buffer.len() > LONGEST_VALUE {
            return Err("a list is too long".into());
        }
        Ok(None)
    }

    fn take(&mut self) -> BytesMut {
        self.buffer.split_to(std::mem::take(&mut self.seen))
    }
}

/// Watches from a revision on and hands on what comes until the watch ends; then says how. Its first item
/// must have come within `patience`.
pub async fn watch(addr: SocketAddr, revision: u64, patience: Duration, mut tell: impl FnMut(News)) {
    let mut heard = Instant::now();
    let ended = follow(addr, revision, patience, &mut heard, &mut tell).await;
    let silent = ended.as_ref().is_err_and(|reason| reason.is::<Elapsed>());
    if let Err(reason) = ended {
        crate::log::line(format_args!(
            "discovery: {reason}{}",
            if silent { ": the watch is silent" } else { "" }
        ));
    }
    tell(News::Failed { silent, heard });
}

type Fault = Box<dyn std::error::Error>;

async fn follow(
    addr: SocketAddr,
    revision: u64,
    patience: Duration,
    heard: &mut Instant,
    tell: &mut impl FnMut(News),
) -> Result<(), Fault> {
    // One span for all that comes before an item: a call that hangs hangs once, wherever it does.
    let mut by = *heard + patience;
    let stream = timeout_at(by, TcpStream::connect(addr)).await??;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let _connection = AbortOnDrop::spawn(async move { drop(connection.await) });
    let request = Request::get(format!("/api/targets?stream=1&index={revision}"))
        .header("host", addr.to_string())
        .body(Empty::<Bytes>::new())?;
    let response = timeout_at(by, sender.send_request(request)).await??;
    if response.status() != StatusCode::OK {
        return Err(format!("watch answered {}", response.status()).into());
    }
    let mut body = response.into_body();
    let mut items = Items::default();
    let mut first = true;
    loop {
        let Some(frame) = timeout_at(by, body.frame()).await? else { return Err("watch ended".into()) };
        let Ok(chunk) = frame?.into_data() else { continue };
        items.push(&chunk);
        while let Some(item) = items.next()? {
            // Bytes alone are no sign of life: a part of a list may be all that ever comes.
            *heard = Instant::now();
            by = *heard + SILENCE;
            match item {
                // Even where nothing changed, the module is owed an answer to its call.
                Item::Beat if first => tell(News::List(List::default())),
                Item::Beat => {}
                Item::Value(text) => {
                    let value: Value = serde_json::from_slice(&text)?;
                    tell(News::List(List::from_value(&value).ok_or("a line that is no list")?));
                }
            }
            first = false;
        }
    }
}

/// The module's number for a server's id: made from the id alone, as nodes that number servers
/// differently build different tables, unless another server on the list has it.
pub fn server_number(id: &str, taken: &HashMap<u32, String>) -> u32 {
    let mut seed = 0;
    loop {
        let number = xxhash_rust::xxh3::xxh3_64_with_seed(id.as_bytes(), seed) as u32;
        match taken.get(&number) {
            Some(other) if other != id => seed += 1,
            _ => return number,
        }
    }
}

#[cfg(test)]
mod tests;
