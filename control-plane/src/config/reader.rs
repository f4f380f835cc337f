//! Owns how a TOML file is read: every fault at once, each with its line and key, unknown keys with the nearest known
//! one. What the keys are is the model's.

use std::cell::RefCell;
use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// A suggestion shares at least this much with what was written (Jaro-Winkler, 0 to 1).
const LIKE: f64 = 0.8;

/// Something in the file that can't be right.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The line, from 1; `None` where the file as a whole lacks something.
    pub line: Option<usize>,
    /// The key with its tables, as `membership.listen`.
    pub key: String,
    /// What is wrong.
    pub reason: String,
}

impl Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.line {
            Some(line) => write!(f, "line {line}: {}: {}", self.key, self.reason),
            None => write!(f, "{}: {}", self.key, self.reason),
        }
    }
}

/// Collects the faults of a file.
pub struct Reader<'t> {
    text: &'t str,
    faults: RefCell<Vec<Fault>>,
}

impl<'t> Reader<'t> {
    /// A reader of that text.
    pub fn new(text: &'t str) -> Reader<'t> {
        Reader {
            text,
            faults: RefCell::default(),
        }
    }

    /// Notes a fault of a key; the line is found by a span.
    pub fn fault(&self, at: Option<usize>, key: &str, reason: impl Display) {
        let line = at.map(|at| self.text[..at.min(self.text.len())].matches('\n').count() + 1);
        self.faults.borrow_mut().push(Fault {
            line,
            key: key.to_owned(),
            reason: reason.to_string(),
        });
    }

    /// The faults, by line.
    pub fn into_faults(self) -> Vec<Fault> {
        let mut faults = self.faults.into_inner();
        faults.sort_by_key(|fault| fault.line);
        faults
    }
}

/// A table that is being read: what is asked of it is what it may hold.
pub struct Section<'r, 't> {
    reader: &'r Reader<'t>,
    path: String,
    table: Option<&'r DeTable<'t>>,
    at: Option<usize>,
    known: RefCell<Vec<&'static str>>,
}

impl<'r, 't> Section<'r, 't> {
    /// The whole file.
    pub fn root(reader: &'r Reader<'t>, table: &'r DeTable<'t>) -> Section<'r, 't> {
        Section {
            reader,
            path: String::new(),
            table: Some(table),
            at: None,
            known: RefCell::default(),
        }
    }

    /// Whether the file has this table.
    pub fn is_there(&self) -> bool {
        self.table.is_some()
    }

    /// A table in this one; one that is missing reads as empty.
    pub fn section(&self, key: &'static str) -> Section<'r, 't> {
        let value = self.value(key);
        let table = value.and_then(|value| match value.get_ref() {
            DeValue::Table(table) => Some(table),
            other => {
                self.wrong(
                    key,
                    Some(value.span().start),
                    format!("must be a table, is a {}", other.type_str()),
                );
                None
            }
        });
        let at = value.map(|value| value.span().start);
        Section {
            reader: self.reader,
            path: self.name(key),
            table,
            at,
            known: RefCell::default(),
        }
    }

    /// A text, by the type that it names.
    pub fn parsed<T: FromStr<Err: Display>>(&self, key: &'static str) -> Option<T> {
        let value = self.value(key)?;
        self.parse_one(key, value)
    }

    /// A list of texts.
    pub fn list<T: FromStr<Err: Display>>(&self, key: &'static str) -> Option<Vec<T>> {
        let value = self.value(key)?;
        let Some(items) = value.get_ref().as_array() else {
            self.wrong(key, Some(value.span().start), "must be a list of texts");
            return None;
        };
        Some(
            items
                .iter()
                .filter_map(|item| self.parse_one(key, item))
                .collect(),
        )
    }

    /// A span of time, with its unit.
    pub fn span(&self, key: &'static str) -> Option<Duration> {
        self.parsed::<Span>(key).map(|span| span.0)
    }

    /// A number without a unit.
    pub fn number<T: FromStr<Err: Display>>(&self, key: &'static str) -> Option<T> {
        let value = self.value(key)?;
        let text = match value.get_ref() {
            DeValue::Integer(number) => number.to_string(),
            DeValue::Float(number) => number.to_string(),
            other => {
                self.wrong(
                    key,
                    Some(value.span().start),
                    format!("must be a number, is a {}", other.type_str()),
                );
                return None;
            }
        };
        match text.parse() {
            Ok(number) => Some(number),
            Err(error) => {
                self.wrong(key, Some(value.span().start), format!("{text}: {error}"));
                None
            }
        }
    }

    /// A fault of a key, or of what is said by it.
    pub fn wrong(&self, key: &str, at: Option<usize>, reason: impl Display) {
        let spot = at.or_else(|| self.spot(key)).or(self.at);
        self.reader.fault(spot, &self.name(key), reason);
    }

    /// A key that has to be there.
    pub fn required<T>(&self, key: &'static str, value: Option<T>) -> Option<T> {
        let missing = value.is_none() && self.spot(key).is_none();
        if missing {
            self.wrong(key, None, "is missing");
        }
        value
    }

    /// Refuses the keys that nobody asked for.
    pub fn finish(self) {
        let known = self.known.borrow();
        for (key, _) in self.table.into_iter().flatten() {
            let name: &str = key.get_ref();
            if !known.contains(&name) {
                let like = |known: &&&str| strsim::jaro_winkler(known, name);
                let nearest = known.iter().max_by(|a, b| like(a).total_cmp(&like(b)));
                let hint = nearest.filter(|known| like(known) >= LIKE);
                let hint = hint
                    .map(|known| format!(", did you mean '{known}'?"))
                    .unwrap_or_default();
                self.wrong(name, Some(key.span().start), format!("no such key{hint}"));
            }
        }
    }

    fn parse_one<T: FromStr<Err: Display>>(
        &self,
        key: &str,
        value: &Spanned<DeValue<'t>>,
    ) -> Option<T> {
        let at = Some(value.span().start);
        let Some(text) = value.get_ref().as_str() else {
            self.wrong(
                key,
                at,
                format!("must be a text, is a {}", value.get_ref().type_str()),
            );
            return None;
        };
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                let error = error.to_string();
                let named = error.contains(&format!("'{text}'"));
                self.wrong(
                    key,
                    at,
                    if named {
                        error
                    } else {
                        format!("'{text}': {error}")
                    },
                );
                None
            }
        }
    }

    fn value(&self, key: &'static str) -> Option<&'r Spanned<DeValue<'t>>> {
        self.known.borrow_mut().push(key);
        self.table?
            .iter()
            .find(|(name, _)| name.get_ref() == key)
            .map(|(_, value)| value)
    }

    fn spot(&self, key: &str) -> Option<usize> {
        self.table?
            .iter()
            .find(|(name, _)| name.get_ref() == key)
            .map(|(name, _)| name.span().start)
    }

    fn name(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }
}

struct Span(Duration);

impl FromStr for Span {
    type Err = humantime::DurationError;

    fn from_str(text: &str) -> Result<Span, humantime::DurationError> {
        humantime::parse_duration(text).map(Span)
    }
}
