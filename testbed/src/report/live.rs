//! Owns the line that shows a play while it runs: redrawn on a terminal, a plain line a second elsewhere.

use std::io::{stderr, IsTerminal};
use std::time::Duration;

use indicatif::{ProgressBar, ProgressStyle};

use crate::runtime::Stage;
use crate::world::{Micros, SECOND};

/// The line of one play.
pub struct Live {
    bar: Option<ProgressBar>,
    seconds: f64,
    next: Micros,
}

impl Live {
    /// A line for a play of so many seconds.
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
            next: SECOND,
        }
    }

    /// Shows how far the play is.
    pub fn show(&mut self, stage: &Stage) {
        let now = stage.now();
        if self.bar.is_none() && now < self.next {
            return;
        }
        self.next = (now / SECOND + 1) * SECOND;
        let line = stage.referee(|referee| {
            let tally = referee.totals();
            let sum = |of: fn(&crate::checker::ClassTotals) -> u64| tally.classes.iter().map(of).sum::<u64>();
            format!(
                "{:>4.0} of {:.0} s  {} requests, worth served {:.1} %, refused {}, failed {}, rules broken {}",
                now as f64 / 1e6,
                self.seconds,
                tally.requests(),
                tally.served_share() * 100.0,
                sum(|class| class.refused),
                sum(|class| class.failed),
                tally.broken,
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

    /// Takes the line away.
    pub fn finish(self) {
        if let Some(bar) = self.bar {
            bar.finish_and_clear();
        }
    }
}
