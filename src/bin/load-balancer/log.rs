//! The log: lines on standard error, limited per second.

use std::fmt::Arguments;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Most lines per window of one second; further ones are dropped and counted.
const MAX_LINES_PER_SECOND: u32 = 20;
/// Length of the window in which lines are counted.
const WINDOW_LENGTH: Duration = Duration::from_secs(1);

/// The current window.
struct Window {
    /// When the window began; `None` before the first line.
    started_at: Option<Instant>,
    /// Number of lines in the window, including dropped ones.
    lines: u32,
}

static WINDOW: Mutex<Window> = Mutex::new(Window {
    started_at: None,
    lines: 0,
});

/// Writes a line, or drops it if the limit is reached, so that an error that repeats with every request does not
/// slow the node down.
pub fn line(text: Arguments<'_>) {
    let Ok(mut window) = WINDOW.lock() else {
        return;
    };
    let now = Instant::now();
    if window
        .started_at
        .is_none_or(|started_at| now - started_at >= WINDOW_LENGTH)
    {
        if window.lines > MAX_LINES_PER_SECOND {
            eprintln!(
                "{} log lines dropped, over the limit of {MAX_LINES_PER_SECOND} per second",
                window.lines - MAX_LINES_PER_SECOND
            );
        }
        *window = Window {
            started_at: Some(now),
            lines: 0,
        };
    }
    window.lines += 1;
    if window.lines <= MAX_LINES_PER_SECOND {
        eprintln!("{text}");
    }
}
