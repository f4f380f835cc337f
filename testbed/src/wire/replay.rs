//! Replays a recorded stream: sends each batch to a program and compares each line of its reply with the recorded one.
//! This shows that a refactoring has not changed the decisions.

use super::{Child, WireError};

/// The result of a replay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replayed {
    /// Number of batches with the recorded reply.
    pub batches: usize,
    /// Number of actions in these batches.
    pub actions: usize,
    /// The first difference, if there is one: line number in the file, recorded line and received line.
    pub differs: Option<(usize, String, String)>,
}

/// Replays a stream to a program until the first difference. `file` is its path in error messages.
pub fn replay(file: &str, text: &str, child: &mut Child) -> Result<Replayed, WireError> {
    let invalid = |line: usize, problem| WireError::Stream {
        file: file.to_owned(),
        line: line + 1,
        problem,
    };
    let lines: Vec<&str> = text.lines().collect();
    let mut replayed = Replayed {
        batches: 0,
        actions: 0,
        differs: None,
    };
    let mut at = 0;
    while at < lines.len() {
        let clock = lines[at]
            .strip_prefix("BEGIN_BATCH ")
            .and_then(|rest| rest.split(' ').next());
        let clock = clock.and_then(|clock| clock.parse().ok());
        let now: u64 = clock.ok_or_else(|| invalid(at, "expected 'BEGIN_BATCH time batch'"))?;
        let end = (at..lines.len()).find(|&n| lines[n] == "EOF_BATCH");
        let end = end.ok_or_else(|| invalid(at, "a batch without its EOF_BATCH"))?;
        let reply_end = (end..lines.len()).find(|&n| lines[n].starts_with("END "));
        let reply_end =
            reply_end.ok_or_else(|| invalid(end, "a batch without the END of its reply"))?;
        let batch: String = lines[at + 1..end]
            .iter()
            .flat_map(|line| [*line, "\n"])
            .collect();
        let received = child.exchange(now, &batch)?;
        let recorded = &lines[end + 1..reply_end];
        for nth in 0..recorded.len().max(received.len()) {
            let (expected, actual) = (
                recorded.get(nth).copied(),
                received.get(nth).map(String::as_str),
            );
            if expected != actual {
                let none = "nothing".to_owned();
                let (expected, actual) = (
                    expected.map_or(none.clone(), str::to_owned),
                    actual.map_or(none, str::to_owned),
                );
                replayed.differs = Some((end + 2 + nth, expected, actual));
                return Ok(replayed);
            }
        }
        replayed.batches += 1;
        replayed.actions += received
            .iter()
            .filter(|line| !line.starts_with("ON_BEHALF"))
            .count();
        at = reply_end + 1;
    }
    Ok(replayed)
}
