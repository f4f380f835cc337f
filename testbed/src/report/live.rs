//! The progress line of a run: redrawn in place on a terminal, otherwise one plain line a second.

use std::io::{stderr, IsTerminal};
use std::time::Duration;

use indicatif::{ProgressBar, ProgressStyle};

use crate::runtime::RunState;
use crate::world::{Micros, SECOND};

/// The progress line of one run.
pub struct Live {
    bar: Option<ProgressBar>,
    seconds: f64,
    next_line_at: Micros,
}

impl Live {
    /// Creates the line for a run with `seconds` of load.
    pub fn new(seconds: f64) -> Live {
        let bar = stderr().is_terminal().then(|| {
            let bar = ProgressBar::new((seconds * 10.0) as u64);
            let style = ProgressStyle::with_template("{spinner} [{bar:30}] {msg}");
            bar.set_style(
                style
                    .unwrap_or_else(|_| ProgressStyle::default_bar())
                    .progress_chars("=> "),
            );
            bar.enable_steady_tick(Duration::from_millis(120));
            bar
        });
        Live {
            bar,
            seconds,
            next_line_at: SECOND,
        }
    }

    /// Shows the current progress.
    pub fn show(&mut self, run_state: &RunState) {
        let now = run_state.now();
        if self.bar.is_none() && now < self.next_line_at {
            return;
        }
        self.next_line_at = (now / SECOND + 1) * SECOND;
        let line = run_state.with_checker(|checker| {
            let totals = checker.totals();
            let sum = |count: fn(&crate::checker::ClassTotals) -> u64| totals.classes.iter().map(count).sum::<u64>();
            format!(
                "{:>4.0} of {:.0} s  {} requests, worth served {:.1} %, refused {}, failed {}, rules broken {}",
                now as f64 / 1e6,
                self.seconds,
                totals.requests(),
                totals.served_share() * 100.0,
                sum(|class| class.refused),
                sum(|class| class.failed),
                totals.broken,
            )
        });
        match &self.bar {
            Some(bar) => {
                bar.set_position(now / (SECOND / 10));
                bar.set_message(line);
            }
            None => eprintln!("{line}"),
        }
    }

    /// Clears the line from the terminal.
    pub fn finish(self) {
        if let Some(bar) = self.bar {
            bar.finish_and_clear();
        }
    }
}
