//! The form of a recorded conversation: a line for each thing that was sent or stored, in order. The first lines stand
//! as they are, the later ones as a hash for each block of them, to keep fixtures small.

use std::fmt::Write;

use xxhash_rust::xxh3::xxh3_64;

/// Bytes that a line shows; the hash beside them is of all.
const SHOWN_BYTES: usize = 24;
/// Lines that a fixture has in full.
const FULL_LINES: usize = 150;
/// Lines in a block of those that follow.
const BLOCK_LINES: usize = 20;

/// The lines so far.
#[derive(Default)]
pub struct Transcript(Vec<String>);

impl Transcript {
    /// Adds a line: when in microseconds, who, what, and the bytes.
    pub fn record(&mut self, now: u64, who: usize, what: &str, bytes: &[u8]) {
        let shown = &bytes[..bytes.len().min(SHOWN_BYTES)];
        let hexadecimal: String = shown.iter().map(|byte| format!("{byte:02x}")).collect();
        let (length, hash) = (bytes.len(), xxh3_64(bytes));
        self.0.push(format!(
            "{now} {who} {what} {length} {hash:016x} {hexadecimal}"
        ));
    }

    /// The form of a fixture.
    pub fn fixture(&self) -> String {
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

    /// Compares with a fixture and shows the first line, or the first block of lines, that differs.
    #[track_caller]
    pub fn assert_same_as(&self, fixture: &str) {
        let now = self.fixture();
        for (at, (now, before)) in now.lines().zip(fixture.lines()).enumerate() {
            let block = at.saturating_sub(FULL_LINES) * BLOCK_LINES + FULL_LINES;
            let block = self.0.iter().skip(block).take(BLOCK_LINES);
            let shown: Vec<&String> = block.collect();
            assert_eq!(now, before, "line {}; {shown:#?}", at + 1);
        }
        assert_eq!(now.lines().count(), fixture.lines().count());
    }
}
