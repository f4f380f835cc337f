//! Why a client's connection ended.

/// The reason for the end of a client's connection. Each has a counter of its own.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CloseReason {
    /// The last response announced the end, or the client closed between requests.
    Finished,
    /// The client left while a request was pending, or in the middle of one.
    ClientLeft,
    /// No complete head of a request came in time.
    HeadTimeout,
    /// The client sent what can't be parsed, or the connection broke.
    Broken,
    /// Its descriptor was needed for another connection.
    Evicted,
    /// The node drains.
    Draining,
    /// A response broke off at its server after it had begun to be passed on.
    ResponseBroken,
}

impl CloseReason {
    /// All reasons, in the order of the metrics.
    pub const ALL: [CloseReason; 7] = [
        CloseReason::Finished,
        CloseReason::ClientLeft,
        CloseReason::HeadTimeout,
        CloseReason::Broken,
        CloseReason::Evicted,
        CloseReason::Draining,
        CloseReason::ResponseBroken,
    ];

    /// The reason's label in the metrics and its name in the log.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::Finished => "finished",
            CloseReason::ClientLeft => "client-left",
            CloseReason::HeadTimeout => "head-timeout",
            CloseReason::Broken => "broken",
            CloseReason::Evicted => "evicted",
            CloseReason::Draining => "draining",
            CloseReason::ResponseBroken => "response-broken",
        }
    }

    /// The index of the reason's counter.
    pub(super) fn index(self) -> usize {
        self as usize
    }
}
