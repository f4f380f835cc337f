//! Owns the replay of a recorded stream: each batch goes to a program again, and each line of its reply
//! is held against the recorded one. A refactoring of the decisions is proven by that.

use super::{Child, WireError};

/// What a replay found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replayed {
    /// Batches that were replied to alike.
    pub batches: usize,
    /// Actions in these.
    pub actions: usize,
    /// The first difference, if there is one: the line of the file, what stands there, and what came.
    pub differs: Option<(usize, String, String)>,
}

/// Plays a stream to a program.
pub fn replay(file: &str, text: &str, child: &mut Child) -> Result<Replayed, WireError> {
    let fault = |line: usize, what| WireError::Stream {
        file: file.to_owned(),
        line: line + 1,
        what,
    };
    let lines: Vec<&str> = text.lines().collect();
    let mut done = Replayed {
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
        let now: u64 = clock.ok_or_else(|| fault(at, "expected 'BEGIN_BATCH time batch'"))?;
        let end = (at..lines.len()).find(|&n| lines[n] == "EOF_BATCH");
        let end = end.ok_or_else(|| fault(at, "a batch without its EOF_BATCH"))?;
        let last = (end..lines.len()).find(|&n| lines[n].starts_with("END "));
        let last = last.ok_or_else(|| fault(end, "a batch without its reply"))?;
        let batch: String = lines[at + 1..end]
            .iter()
            .flat_map(|line| [*line, "\n"])
            .collect();
        let came = child.exchange(now, &batch)?;
        let kept = &lines[end + 1..last];
        for nth in 0..kept.len().max(came.len()) {
            let (was, is) = (kept.get(nth).copied(), came.get(nth).map(String::as_str));
            if was != is {
                let none = "nothing".to_owned();
                let (was, is) = (
                    was.map_or(none.clone(), str::to_owned),
                    is.map_or(none, str::to_owned),
                );
                done.differs = Some((end + 2 + nth, was, is));
                return Ok(done);
            }
        }
        done.batches += 1;
        done.actions += came
            .iter()
            .filter(|line| !line.starts_with("ON_BEHALF"))
            .count();
        at = last + 1;
    }
    Ok(done)
}
