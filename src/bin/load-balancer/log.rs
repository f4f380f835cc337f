//! The log: lines on standard error, limited per second.
//!
//! Lines about single requests have limits of their own, so that many of one kind can't crowd out the others.

use std::fmt::Arguments;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Length of the window in which lines are counted.
const WINDOW_LENGTH: Duration = Duration::from_secs(1);

/// Lines about the node.
static NODE_LINES: Mutex<LineLimit> = Mutex::new(LineLimit::new("log lines", 20));
/// Lines about requests that were not served.
static REQUEST_LINES: Mutex<LineLimit> = Mutex::new(LineLimit::new("lines about requests", 5));
/// Lines about rejected requests: an overloaded node has so many of them that they would crowd out those about requests
/// that failed.
static REJECTION_LINES: Mutex<LineLimit> =
    Mutex::new(LineLimit::new("lines about rejected requests", 5));

/// Counts the lines of one kind in the current window.
struct LineLimit {
    /// What the lines are, for the line that says how many were dropped.
    kind: &'static str,
    /// Most lines per window; further ones are dropped and counted.
    max_lines: u32,
    /// When the window began; `None` before the first line.
    started_at: Option<Instant>,
    /// Number of lines in the window, including dropped ones.
    lines: u32,
}

impl LineLimit {
    const fn new(kind: &'static str, max_lines: u32) -> LineLimit {
        LineLimit {
            kind,
            max_lines,
            started_at: None,
            lines: 0,
        }
    }

    /// Counts a line and returns whether it is within the limit. Begins a new window when the current one is over.
    fn admit(&mut self) -> bool {
        let now = Instant::now();
        let is_over = |started_at| now - started_at >= WINDOW_LENGTH;
        if self.started_at.is_none_or(is_over) {
            self.report_dropped();
            self.started_at = Some(now);
            self.lines = 0;
        }
        self.lines += 1;
        self.lines <= self.max_lines
    }

    fn report_dropped(&self) {
        let LineLimit {
            kind, max_lines, ..
        } = self;
        let dropped = self.lines.saturating_sub(*max_lines);
        if dropped > 0 {
            eprintln!("{dropped} {kind} dropped, over the limit of {max_lines} per second");
        }
    }
}

/// Writes a line about the node, or drops it if the limit is reached, so that an error that repeats with every request
/// does not slow the node down.
pub fn line(text: Arguments<'_>) {
    write_within(&NODE_LINES, text);
}

/// Writes a line about a request, or drops it if the limit of such lines is reached.
pub fn request_line(text: Arguments<'_>) {
    write_within(&REQUEST_LINES, text);
}

/// Writes a line about a rejected request, or drops it if the limit of such lines is reached.
pub fn rejection_line(text: Arguments<'_>) {
    write_within(&REJECTION_LINES, text);
}

fn write_within(limit: &Mutex<LineLimit>, text: Arguments<'_>) {
    let Ok(mut limit) = limit.lock() else {
        return;
    };
    if limit.admit() {
        eprintln!("{text}");
    }
}
