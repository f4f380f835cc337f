//! A transcript has a line for each message that was sent and each record that was stored, in order. Its fixture has
//! the first lines in full, and a hash for each block of later lines, which keeps fixtures small.

use std::fmt::Write;

use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of bytes that a line shows; its hash covers all of them.
const SHOWN_BYTES: usize = 24;
/// Number of lines that a fixture has in full.
const FULL_LINES: usize = 150;
/// Number of further lines per hash.
const BLOCK_LINES: usize = 20;

/// The lines recorded so far.
#[derive(Default)]
pub struct Transcript(Vec<String>);

impl Transcript {
    /// Adds a line: the time in microseconds, the number of the agent, the kind of the action and its bytes.
    pub fn record(&mut self, now: u64, agent: usize, kind: &str, bytes: &[u8]) {
        let shown = &bytes[..bytes.len().min(SHOWN_BYTES)];
        let hexadecimal: String = shown.iter().map(|byte| format!("{byte:02x}")).collect();
        let (length, hash) = (bytes.len(), xxh3_64(bytes));
        self.0.push(format!(
            "{now} {agent} {kind} {length} {hash:016x} {hexadecimal}"
        ));
    }

    /// The transcript in the format of a fixture.
    pub fn to_fixture(&self) -> String {
        let (full, rest) = self.0.split_at(self.0.len().min(FULL_LINES));
        let mut text = String::new();
        for line in full {
            writeln!(text, "{line}").unwrap();
        }
        for block in rest.chunks(BLOCK_LINES) {
            writeln!(text, "{:016x}", xxh3_64(block.join("\n").as_bytes())).unwrap();
        }
        text
    }

    /// Asserts that the transcript equals a fixture, and shows the first line or block of lines that differs.
    #[track_caller]
    pub fn assert_same_as(&self, fixture: &str) {
        let actual = self.to_fixture();
        for (index, (actual, expected)) in actual.lines().zip(fixture.lines()).enumerate() {
            let block_start = index.saturating_sub(FULL_LINES) * BLOCK_LINES + FULL_LINES;
            let block = self.0.iter().skip(block_start).take(BLOCK_LINES);
            let shown: Vec<&String> = block.collect();
            assert_eq!(actual, expected, "line {}; {shown:#?}", index + 1);
        }
        assert_eq!(actual.lines().count(), fixture.lines().count());
    }
}
