//! Discovery: the list of servers and the watch on its changes.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::error::Elapsed;
use tokio::time::{timeout_at, Instant};

use crate::list::{List, Refused};
use crate::task::{AbortOnDrop, Budget};

/// A watch sends at least an empty line every 2 s: one silent for this long is broken. What it misses counts
/// as told 6 s after it fell silent: by then a call that hangs has to be over too, and another one answered.
const SILENCE: Duration = Duration::from_millis(2_750);
/// Where lists are pushed the node's own agent answers at once. After SIGHUP what the new address has counts
/// as told in 4 s, with room for one call that hangs.
pub const AT_ONCE: Duration = Duration::from_millis(1_500);
/// Where they are asked for, calls wait for their turn.
pub const IN_TURN: Duration = Duration::from_millis(3_500);
/// Each byte of an item gives its watch so much more time: a list of 18,000 with long ids has three seconds more, one
/// of 200 a fiftieth of one.
const PER_BYTE: Duration = Duration::from_nanos(500);
/// A value from this length on takes its memory with it when it is taken out.
const LARGE: usize = 64 << 10;

/// What the watch brings.
#[derive(Debug)]
pub enum News {
    List(List),
    /// The call failed or the watch broke, or it was waited for in vain.
    Failed {
        silent: bool,
        /// What came was refused: it will be no better at once.
        refused: bool,
        why: String,
        /// When discovery was last called or heard.
        heard: Instant,
    },
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
struct Items {
    buffer: BytesMut,
    /// The longest value that is taken.
    most: usize,
    /// How far the buffer was looked at, and where in a value that is.
    seen: usize,
    depth: usize,
    quoted: bool,
    escaped: bool,
}

impl Items {
    fn new(most: usize) -> Items {
        Items {
            buffer: BytesMut::new(),
            most,
            seen: 0,
            depth: 0,
            quoted: false,
            escaped: false,
        }
    }

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
                _ => {
                    let why = "it is no object";
                    return Err(Refused::Foreign {
                        bytes: self.buffer.len(),
                        why,
                    }
                    .into());
                }
            }
        }
        if self.buffer.len() > self.most {
            return Err(Refused::TooLong { most: self.most }.into());
        }
        Ok(None)
    }

    fn take(&mut self) -> BytesMut {
        let end = std::mem::take(&mut self.seen);
        if end < LARGE {
            return self.buffer.split_to(end);
        }
        // Split off, the rest would keep all of the value's memory for as long as the watch lasts.
        let rest = BytesMut::from(&self.buffer[end..]);
        let mut value = std::mem::replace(&mut self.buffer, rest);
        value.truncate(end);
        value
    }
}

/// Watches from a revision on and hands on what comes until the watch ends; then says how. Its first item
/// must have come within `patience`, and none may be longer than `longest` bytes. Its socket is one of `sockets`, which
/// are there for watches alone.
pub async fn watch(
    addr: SocketAddr,
    revision: u64,
    (patience, longest): (Duration, usize),
    sockets: Rc<Budget>,
    mut tell: impl FnMut(News),
) {
    let mut heard = Instant::now();
    let ended = follow(
        addr,
        revision,
        (patience, longest),
        &sockets,
        &mut heard,
        &mut tell,
    )
    .await;
    let silent = ended.as_ref().is_err_and(|reason| reason.is::<Elapsed>());
    let refused = ended.as_ref().is_err_and(|reason| reason.is::<Refused>());
    let why = match ended {
        Err(reason) if silent => format!("{reason}: the watch is silent"),
        Err(reason) => reason.to_string(),
        Ok(never) => match never {},
    };
    tell(News::Failed {
        silent,
        refused,
        why,
        heard,
    });
}

type Fault = Box<dyn std::error::Error>;

async fn follow(
    addr: SocketAddr,
    revision: u64,
    (patience, longest): (Duration, usize),
    sockets: &Rc<Budget>,
    heard: &mut Instant,
    tell: &mut impl FnMut(News),
) -> Result<Infallible, Fault> {
    // One span for all that comes before an item: a call that hangs hangs once, wherever it does.
    let mut by = *heard + patience;
    // The watch that this one replaces gives its own back when its task is next run.
    let permit = timeout_at(by, sockets.wait()).await?;
    let stream = timeout_at(by, TcpStream::connect(addr)).await??;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let _connection = AbortOnDrop::spawn(async move {
        let _permit = permit;
        drop(connection.await);
    });
    let request = Request::get(format!("/api/targets?stream=1&index={revision}"))
        .header("host", addr.to_string())
        .body(Empty::<Bytes>::new())?;
    let response = timeout_at(by, sender.send_request(request)).await??;
    if response.status() != StatusCode::OK {
        return Err(format!("watch answered {}", response.status()).into());
    }
    let mut body = response.into_body();
    let mut items = Items::new(longest);
    let mut first = true;
    loop {
        let Some(frame) = timeout_at(by, body.frame()).await? else {
            return Err("watch ended".into());
        };
        let Ok(chunk) = frame?.into_data() else {
            continue;
        };
        // A long list takes its time; what only trickles gains none by this.
        by += PER_BYTE * chunk.len() as u32;
        items.push(&chunk);
        while let Some(item) = items.next()? {
            // Bytes alone are no sign of life: a part of a list may be all that ever comes.
            *heard = Instant::now();
            by = *heard + SILENCE;
            match item {
                // Even where nothing changed, the module is owed an answer to its call.
                Item::Beat if first => tell(News::List(List::default())),
                Item::Beat => {}
                Item::Value(text) => tell(News::List(List::read(&text)?)),
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
