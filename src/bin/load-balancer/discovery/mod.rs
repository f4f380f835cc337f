//! Service discovery: the endpoint list and the watch that delivers its changes.

use std::collections::HashMap;

pub mod endpoint_list;
mod error;
mod json_splitter;
mod stream;
mod watch;

pub use error::WatchError;
pub use watch::{
    watch, WatchEvent, WatchFailure, WatchOptions, POLL_FIRST_ITEM_TIMEOUT, PUSH_FIRST_ITEM_TIMEOUT,
};

/// The number of the server with this id: a hash of the id, so that nodes that learn of servers in different
/// orders assign the same numbers. If another server in `taken` has that number, the next seed of the hash is
/// tried.
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
