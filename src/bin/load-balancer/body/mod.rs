//! Bodies of requests and responses: short ones are buffered, longer ones are streamed. A response is read from its server
//! only as far as its client takes it (backpressure). A request is read ahead of its server as far as memory allows, as
//! its time runs from its last byte.

use std::fmt;

mod arrival;
mod memory;
mod outgoing;
mod queue;
mod response;
mod upload;
mod upload_source;

pub use arrival::ArrivalClock;
pub use memory::BodyMemory;
pub use outgoing::{OutgoingBody, Payload};
pub use queue::BufferedBody;
pub use response::{receive_response_body, ReceivedBody, ResponseBody};
pub use upload::{discard, Upload};

/// Longest body that is buffered. The latency of a buffered response counts up to its last byte, that of a
/// streamed one up to its first bytes.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Longest body of a request; a longer one is rejected.
pub const MAX_BODY_BYTES: u64 = 32 << 20;

/// Why a body could not be received completely.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BodyError {
    TooLong,
    TooSlow,
    Broken,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BodyError::TooLong => "the body is longer than allowed",
            BodyError::TooSlow => "the body did not arrive in time",
            BodyError::Broken => "the body is malformed, or its connection broke",
        })
    }
}

impl std::error::Error for BodyError {}

#[cfg(test)]
mod tests;
