//! A watch on the endpoint list: opens it, enforces its timeouts, and reports the lists it delivers.

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

/// Longest time without a complete item on an open watch. Discovery sends a heartbeat at least every 2 s. The node
/// must react to a change within 6 s, also if the watch falls silent and one reconnect hangs.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_750);
/// Longest time from the call to a watch's first item if lists are pushed, as the node's local agent responds at
/// once. Short enough to replace one hung call within the 4 s allowed after a change of address.
pub const PUSH_FIRST_ITEM_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest time from the call to a watch's first item if lists are polled, as discovery queues calls.
pub const POLL_FIRST_ITEM_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Extension of the timeout for each byte received of an item, so that a long list may take longer.
const TIMEOUT_EXTENSION_PER_BYTE: Duration = Duration::from_nanos(500);

/// The parameters of a watch.
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

/// An event of a watch.
#[derive(Debug)]
pub enum WatchEvent {
    /// A list. An empty one reports that the watch is open and nothing has changed.
    List(EndpointList),
    /// The watch has ended. This is the last event of each watch.
    Failed(WatchFailure),
}

/// The end of a watch.
#[derive(Debug)]
pub struct WatchFailure {
    /// Why the watch ended.
    pub error: WatchError,
    /// When discovery last sent an item; without one, when it was called.
    pub last_heard: Instant,
}

/// Opens a watch and passes its events to `report` until it ends.
///
/// The watch takes one of `sockets`, which are reserved for watches.
pub async fn watch(options: WatchOptions, sockets: Rc<Budget>, mut report: impl FnMut(WatchEvent)) {
    let mut last_heard = Instant::now();
    let error = match follow(&options, &sockets, &mut last_heard, &mut report).await {
        Err(error) => error,
        Ok(never) => match never {},
    };
    report(WatchEvent::Failed(WatchFailure { error, last_heard }));
}

/// Reports the items of a watch until it ends, and sets `last_heard` to when each of them arrived.
async fn follow(
    options: &WatchOptions,
    sockets: &Rc<Budget>,
    last_heard: &mut Instant,
    report: &mut impl FnMut(WatchEvent),
) -> Result<Infallible, WatchError> {
    // One deadline covers all steps up to the first item, as a call may hang in any of them (test
    // `discovery::a_call_that_hangs_after_sighup_is_replaced_within_the_update_deadline`).
    let mut deadline = *last_heard + options.first_item_timeout;
    let mut stream =
        WatchStream::open(options.address, options.revision, sockets, deadline).await?;
    let mut items = JsonSplitter::new(options.max_list_bytes);
    let mut is_first = true;
    loop {
        let chunk = stream.next_chunk(deadline).await?;
        deadline += TIMEOUT_EXTENSION_PER_BYTE * chunk.len() as u32;
        items.push(&chunk);
        while let Some(item) = items.next_item()? {
            // Only complete items reset the deadline: a partial list may never be completed (test
            // `discovery::a_watch_that_falls_silent_is_replaced_within_the_update_deadline`).
            *last_heard = Instant::now();
            deadline = *last_heard + SILENCE_TIMEOUT;
            match item {
                // The first item is reported even if nothing changed, as it answers the balancer's poll.
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
