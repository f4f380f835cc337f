//! Records the events and actions of one process in the format of the wire protocol, each batch followed by its reply,
//! so that an external program can be compared with it.

use std::fmt::Write;

use load_balancer::{Action, Event, Settings};

use super::{action_line, event_lines, settings_line, WireError};

/// A recorded stream of one instance.
#[derive(Debug, Default)]
pub struct Recorder {
    class_names: Vec<String>,
    text: String,
    batch: u64,
}

impl Recorder {
    /// A stream that begins with the `SPAWN` line of an instance.
    pub fn new(settings: &Settings, class_names: Vec<String>, seed: u64, now: u64) -> Recorder {
        let mut recorder = Recorder {
            class_names,
            text: String::new(),
            batch: 0,
        };
        let spawn = format!(
            "SPAWN {seed} {}\n",
            settings_line(settings, &recorder.class_names)
        );
        recorder.add(now, &spawn, &[]);
        recorder
    }

    fn add(&mut self, now: u64, lines: &str, actions: &[Action]) {
        self.batch += 1;
        let batch = self.batch;
        let _ = write!(
            self.text,
            "BEGIN_BATCH {now} {batch}\nCONTEXT 0\n{lines}EOF_BATCH\n"
        );
        if !actions.is_empty() {
            self.text.push_str("ON_BEHALF 0\n");
        }
        actions.iter().for_each(|action| {
            let _ = writeln!(self.text, "{}", action_line(action));
        });
        let _ = writeln!(self.text, "END {batch}");
    }

    /// Adds an event and the actions that it led to.
    pub fn record(&mut self, now: u64, event: &Event, actions: &[Action]) -> Result<(), WireError> {
        let mut lines = String::new();
        event_lines(event, &self.class_names, &mut lines)?;
        self.add(now, &lines, actions);
        Ok(())
    }

    /// The text of the stream.
    pub fn into_text(self) -> String {
        self.text
    }
}
