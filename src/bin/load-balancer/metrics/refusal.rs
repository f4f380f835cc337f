//! Why the node itself refused a request, without asking the balancer.

/// The reason for a refusal. Each has a counter of its own.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Refusal {
    /// The connection is past the descriptor budget of clients.
    NoConnection,
    /// As many requests are pending as the settings allow.
    TooManyRequests,
    /// The body has to be streamed, and as many bodies are being streamed as the node has room for.
    TooManyUploads,
    /// The memory for requests is used up.
    NoMemory,
}

impl Refusal {
    /// All reasons, in the order of the metrics.
    pub const ALL: [Refusal; 4] = [
        Refusal::NoConnection,
        Refusal::TooManyRequests,
        Refusal::TooManyUploads,
        Refusal::NoMemory,
    ];

    /// The reason's label in the metrics and its name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Refusal::NoConnection => "no-connection",
            Refusal::TooManyRequests => "too-many-requests",
            Refusal::TooManyUploads => "too-many-uploads",
            Refusal::NoMemory => "no-memory",
        }
    }

    /// The index of the reason's counter.
    pub(super) fn index(self) -> usize {
        self as usize
    }
}
