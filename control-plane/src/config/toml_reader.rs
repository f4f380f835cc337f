//! Reads typed values from a TOML file and collects all problems, each with its line and key. An unknown key is
//! reported with the most similar known key. The keys themselves are defined in [`parse`](super::parse).

use std::cell::RefCell;
use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use toml::de::{DeString, DeTable, DeValue};
use toml::Spanned;

/// Lowest similarity of a suggested key (Jaro-Winkler, 0 to 1).
const MIN_SIMILARITY: f64 = 0.8;

/// A key and the name that it had in earlier releases, which is still accepted.
struct RenamedKey {
    key: &'static str,
    former: &'static str,
}

const fn renamed(key: &'static str, former: &'static str) -> RenamedKey {
    RenamedKey { key, former }
}

/// All keys that had another name in earlier releases.
const RENAMED_KEYS: [RenamedKey; 11] = [
    renamed("convergence-timeout", "settle"),
    renamed("coordinator", "duties"),
    renamed("alarms", "watch"),
    renamed("rejected", "refused"),
    renamed("rejected-for", "refused-for"),
    renamed("forget-after", "hold"),
    renamed("max-members", "most-members"),
    renamed("max-backoff", "backoff-most"),
    renamed("ready-timeout", "ready-within"),
    renamed("drain-timeout", "drain-within"),
    renamed("unresponsive-timeout", "silent-limit"),
];

fn former_name(key: &str) -> Option<&'static str> {
    RENAMED_KEYS
        .iter()
        .find(|renamed| renamed.key == key)
        .map(|renamed| renamed.former)
}

/// A problem in a configuration file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The line, from 1; `None` if something is missing from the file.
    pub line: Option<usize>,
    /// The key with its table, such as `membership.listen`, as named in the file.
    pub key: String,
    /// What is wrong with the key or its value.
    pub reason: String,
}

impl Display for Problem {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.line {
            Some(line) => write!(f, "line {line}: {}: {}", self.key, self.reason),
            None => write!(f, "{}: {}", self.key, self.reason),
        }
    }
}

/// Collects the problems of a file while it is read.
pub struct ProblemCollector<'t> {
    text: &'t str,
    problems: RefCell<Vec<Problem>>,
}

impl<'t> ProblemCollector<'t> {
    /// Creates a collector for a file with this content.
    pub fn new(text: &'t str) -> ProblemCollector<'t> {
        ProblemCollector {
            text,
            problems: RefCell::default(),
        }
    }

    /// Adds a problem of a key; `position` is a byte offset in the file.
    pub fn add(&self, position: Option<usize>, key: &str, reason: impl Display) {
        let line = position.map(|position| {
            let before = &self.text[..position.min(self.text.len())];
            before.matches('\n').count() + 1
        });
        self.problems.borrow_mut().push(Problem {
            line,
            key: key.to_owned(),
            reason: reason.to_string(),
        });
    }

    /// Returns the problems, ordered by line.
    pub fn into_problems(self) -> Vec<Problem> {
        let mut problems = self.problems.into_inner();
        problems.sort_by_key(|problem| problem.line);
        problems
    }
}

/// A key and its value, with their positions in the file.
type Entry<'r, 't> = (&'r Spanned<DeString<'t>>, &'r Spanned<DeValue<'t>>);

/// A table that is being read. Every key that is read counts as known.
pub struct Section<'r, 't> {
    collector: &'r ProblemCollector<'t>,
    path: String,
    table: Option<&'r DeTable<'t>>,
    position: Option<usize>,
    known: RefCell<Vec<&'static str>>,
}

impl<'r, 't> Section<'r, 't> {
    /// The top-level table of a file.
    pub fn root(collector: &'r ProblemCollector<'t>, table: &'r DeTable<'t>) -> Section<'r, 't> {
        Section {
            collector,
            path: String::new(),
            table: Some(table),
            position: None,
            known: RefCell::default(),
        }
    }

    /// Whether the file has this table.
    pub fn exists(&self) -> bool {
        self.table.is_some()
    }

    /// Returns a table of this table. A missing one reads as empty.
    pub fn section(&self, key: &'static str) -> Section<'r, 't> {
        let value = self.value(key);
        let table = value.and_then(|value| match value.get_ref() {
            DeValue::Table(table) => Some(table),
            other => {
                let reason = format!("must be a table, not {}", other.type_str());
                self.add_problem(key, Some(value.span().start), reason);
                None
            }
        });
        Section {
            collector: self.collector,
            path: self.path_of(self.key_in_use(key)),
            table,
            position: value.map(|value| value.span().start),
            known: RefCell::default(),
        }
    }

    /// Reads a value that is written as a string.
    pub fn parsed<T: FromStr<Err: Display>>(&self, key: &'static str) -> Option<T> {
        let value = self.value(key)?;
        self.parse_one(key, value)
    }

    /// Reads a list of values that are written as strings.
    pub fn list<T: FromStr<Err: Display>>(&self, key: &'static str) -> Option<Vec<T>> {
        let value = self.value(key)?;
        let Some(items) = value.get_ref().as_array() else {
            self.add_problem(key, Some(value.span().start), "must be a list of strings");
            return None;
        };
        Some(
            items
                .iter()
                .filter_map(|item| self.parse_one(key, item))
                .collect(),
        )
    }

    /// Reads a duration that is written as a string with a unit.
    pub fn duration(&self, key: &'static str) -> Option<Duration> {
        self.parsed::<HumanDuration>(key).map(|duration| duration.0)
    }

    /// Reads a number.
    pub fn number<T: FromStr<Err: Display>>(&self, key: &'static str) -> Option<T> {
        let value = self.value(key)?;
        let text = match value.get_ref() {
            DeValue::Integer(number) => number.to_string(),
            DeValue::Float(number) => number.to_string(),
            other => {
                let reason = format!("must be a number, not {}", other.type_str());
                self.add_problem(key, Some(value.span().start), reason);
                return None;
            }
        };
        match text.parse() {
            Ok(number) => Some(number),
            Err(error) => {
                self.add_problem(key, Some(value.span().start), format!("{text}: {error}"));
                None
            }
        }
    }

    /// Adds a problem of a key. Without a `position`, the position of the key or of this table is used.
    pub fn add_problem(&self, key: &str, position: Option<usize>, reason: impl Display) {
        let key = self.key_in_use(key);
        let position = position
            .or_else(|| self.key_position(key))
            .or(self.position);
        self.collector.add(position, &self.path_of(key), reason);
    }

    /// Reads a value that is written as a string. Adds a problem if the key is missing.
    pub fn required<T: FromStr<Err: Display>>(&self, key: &'static str) -> Option<T> {
        self.check_presence(key);
        self.parsed(key)
    }

    /// Reads a list of values that are written as strings. Adds a problem if the key is missing.
    pub fn required_list<T: FromStr<Err: Display>>(&self, key: &'static str) -> Option<Vec<T>> {
        self.check_presence(key);
        self.list(key)
    }

    fn check_presence(&self, key: &'static str) {
        if self.key_position(key).is_none() {
            self.add_problem(key, None, "is missing");
        }
    }

    /// Adds a problem for each key that was not read.
    pub fn finish(self) {
        let known = self.known.borrow();
        for (key, _) in self.table.into_iter().flatten() {
            let name: &str = key.get_ref();
            if !known.contains(&name) {
                let hint = most_similar(&known, name)
                    .map(|known| format!(", did you mean '{known}'?"))
                    .unwrap_or_default();
                self.add_problem(name, Some(key.span().start), format!("no such key{hint}"));
            }
        }
    }

    fn parse_one<T: FromStr<Err: Display>>(
        &self,
        key: &str,
        value: &Spanned<DeValue<'t>>,
    ) -> Option<T> {
        let position = Some(value.span().start);
        let Some(text) = value.get_ref().as_str() else {
            let reason = format!("must be a string, not {}", value.get_ref().type_str());
            self.add_problem(key, position, reason);
            return None;
        };
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                let mut reason = error.to_string();
                if !reason.contains(&format!("'{text}'")) {
                    reason = format!("'{text}': {reason}");
                }
                self.add_problem(key, position, reason);
                None
            }
        }
    }

    fn value(&self, key: &'static str) -> Option<&'r Spanned<DeValue<'t>>> {
        let in_use = self.key_in_use(key);
        self.known.borrow_mut().push(in_use);
        self.entry(in_use).map(|(_, value)| value)
    }

    fn entry(&self, key: &str) -> Option<Entry<'r, 't>> {
        self.table?.iter().find(|(name, _)| name.get_ref() == key)
    }

    /// The name under which the file has a key: its former name if the file has only that, otherwise its current one.
    pub fn key_in_use<'k>(&self, key: &'k str) -> &'k str {
        match former_name(key) {
            Some(former) if self.entry(key).is_none() && self.entry(former).is_some() => former,
            _ => key,
        }
    }

    fn key_position(&self, key: &str) -> Option<usize> {
        self.entry(key).map(|(name, _)| name.span().start)
    }

    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }
}

/// The known key most similar to an unknown one, if it is similar enough.
fn most_similar<'k>(known: &[&'k str], unknown: &str) -> Option<&'k str> {
    let similarity = |key: &&str| strsim::jaro_winkler(key, unknown);
    known
        .iter()
        .copied()
        .max_by(|a, b| similarity(a).total_cmp(&similarity(b)))
        .filter(|key| similarity(key) >= MIN_SIMILARITY)
}

/// A duration that is written with a unit, such as `250ms`.
struct HumanDuration(Duration);

impl FromStr for HumanDuration {
    type Err = humantime::DurationError;

    fn from_str(text: &str) -> Result<HumanDuration, humantime::DurationError> {
        humantime::parse_duration(text).map(HumanDuration)
    }
}
