//! The log: lines on standard error, with a limit per second.

use std::fmt::Arguments;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Most lines a second; the rest are dropped and counted.
const MAX_LINES_PER_SECOND: u32 = 20;
/// Length of a window in which lines are counted.
const WINDOW_LENGTH: Duration = Duration::from_secs(1);

/// The current window.
struct Window {
    /// When it began; `None` before the first line.
    started_at: Option<Instant>,
    /// Lines in it, dropped ones included.
    lines: u32,
}

static WINDOW: Mutex<Window> = Mutex::new(Window {
    started_at: None,
    lines: 0,
});

/// Writes a line, or drops it if the limit is reached: an error that repeats with every request must
/// not slow the node down.
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
            eprintln!("{} lines dropped", window.lines - MAX_LINES_PER_SECOND);
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
