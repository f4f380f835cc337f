//! A watch on the endpoint list: opens it, enforces its timeouts and reports what it delivers.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use super::endpoint_list::EndpointList;
use super::error::WatchError;
use super::json_splitter::{JsonSplitter, WatchItem};
use super::stream::WatchStream;
use crate::task::Budget;

/// Longest silence on an open watch. Discovery sends a heartbeat at least every 2 s, and the bound
/// on the node's reaction to a change, 6 s, has to cover a silent watch and one hung reconnect.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_750);
/// Longest time to a watch's first item where lists are pushed: the node's local agent answers at
/// once. Within the 4 s allowed after a change of address, one hung call may be replaced.
pub const PUSH_FIRST_ITEM_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest time to a watch's first item where lists are polled: calls are queued.
pub const POLL_FIRST_ITEM_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Extra time for each byte received of an item, so that a long list may take longer.
const EXTRA_TIME_PER_BYTE: Duration = Duration::from_nanos(500);

/// What to watch, and its limits.
pub struct WatchOptions {
    /// Discovery's address.
    pub address: SocketAddr,
    /// Only changes after this revision are requested.
    pub revision: u64,
    /// Longest time from the call to the first item.
    pub first_item_timeout: Duration,
    /// Longest text of a list, in bytes.
    pub max_list_bytes: usize,
}

/// What a watch reports.
#[derive(Debug)]
pub enum WatchEvent {
    /// A list, or an empty one where nothing changed.
    List(EndpointList),
    /// The watch ended; the last event of each watch.
    Failed(WatchFailure),
}

/// The end of a watch.
#[derive(Debug)]
pub struct WatchFailure {
    /// Why it ended.
    pub error: WatchError,
    /// When discovery was called or last sent an item.
    pub last_heard: Instant,
}

/// Opens a watch and passes what it delivers to `report` until it fails.
///
/// Its socket is one of `sockets`, which are reserved for watches.
pub async fn watch(options: WatchOptions, sockets: Rc<Budget>, mut report: impl FnMut(WatchEvent)) {
    let mut last_heard = Instant::now();
    let error = match follow(&options, &sockets, &mut last_heard, &mut report).await {
        Err(error) => error,
        Ok(never) => match never {},
    };
    report(WatchEvent::Failed(WatchFailure { error, last_heard }));
}

/// Reports the items of a watch until it fails; `last_heard` is then when the last of them came.
async fn follow(
    options: &WatchOptions,
    sockets: &Rc<Budget>,
    last_heard: &mut Instant,
    report: &mut impl FnMut(WatchEvent),
) -> Result<Infallible, WatchError> {
    // One deadline for all steps before the first item: a call may hang in any of them (test
    // `discovery::a_call_that_hangs_after_sighup_is_replaced_before_its_news_count`).
    let mut deadline = *last_heard + options.first_item_timeout;
    let mut stream =
        WatchStream::open(options.address, options.revision, sockets, deadline).await?;
    let mut items = JsonSplitter::new(options.max_list_bytes);
    let mut is_first = true;
    loop {
        let chunk = stream.next_chunk(deadline).await?;
        deadline += EXTRA_TIME_PER_BYTE * chunk.len() as u32;
        items.push(&chunk);
        while let Some(item) = items.next_item()? {
            // Only complete items extend the deadline: a partial list may never be completed (test
            // `discovery::a_watch_that_falls_silent_anywhere_is_replaced_before_its_news_count`).
            *last_heard = Instant::now();
            deadline = *last_heard + SILENCE_TIMEOUT;
            match item {
                // The first item answers the balancer's poll, even if nothing changed.
                WatchItem::Heartbeat if is_first => {
                    report(WatchEvent::List(EndpointList::default()));
                }
                WatchItem::Heartbeat => {}
                WatchItem::Value(text) => {
                    report(WatchEvent::List(EndpointList::parse(&text)?));
                }
            }
            is_first = false;
        }
    }
}
