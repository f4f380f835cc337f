//! Owns the scenario files: their form ([`model`]), their values ([`values`]), those that ship, and the
//! messages for files that are wrong. Plays nothing.

pub mod discovery;
pub mod model;
pub mod values;

use std::path::Path;

use strsim::jaro_winkler;

pub use discovery::{Discovery, Mode, Outage};
pub use model::*;
pub use values::Span;

/// The scenarios that ship, by name.
pub const SHIPPED: &[(&str, &str)] = &[
    ("quiet", include_str!("../../scenarios/quiet.toml")),
    ("brisk", include_str!("../../scenarios/brisk.toml")),
    ("overload", include_str!("../../scenarios/overload.toml")),
    ("release", include_str!("../../scenarios/release.toml")),
    ("lost-zone", include_str!("../../scenarios/lost-zone.toml")),
    (
        "bad-servers",
        include_str!("../../scenarios/bad-servers.toml"),
    ),
    (
        "discovery-away",
        include_str!("../../scenarios/discovery-away.toml"),
    ),
    (
        "discovery-asked",
        include_str!("../../scenarios/discovery-asked.toml"),
    ),
    (
        "node-crash",
        include_str!("../../scenarios/node-crash.toml"),
    ),
    ("upgrade", include_str!("../../scenarios/upgrade.toml")),
    (
        "hand-and-drain",
        include_str!("../../scenarios/hand-and-drain.toml"),
    ),
    (
        "big-bodies",
        include_str!("../../scenarios/big-bodies.toml"),
    ),
];

/// Names that are alike by less than this are no suggestion.
const ALIKE: f64 = 0.75;

/// What is wrong with a scenario.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// Neither a shipped name nor a file.
    #[error("no scenario '{name}'{}; `balancer-testbed scenarios` lists them, and a path names a file", meant(.near))]
    Unknown {
        /// What was asked for.
        name: String,
        /// The nearest shipped name.
        near: Option<String>,
    },
    /// The file can't be read.
    #[error("{path}: {error}")]
    Unreadable {
        /// Which file.
        path: String,
        /// Why.
        error: std::io::Error,
    },
    /// The file holds something wrong.
    #[error("{file}:{line}: {key}{what}{}", meant(.near))]
    Wrong {
        /// Which file.
        file: String,
        /// The line, from 1.
        line: usize,
        /// The text at fault and a colon, or nothing.
        key: String,
        /// What was expected.
        what: String,
        /// The nearest known key or word.
        near: Option<String>,
    },
}

fn meant(near: &Option<String>) -> String {
    near.as_ref()
        .map(|near| format!("; did you mean '{near}'?"))
        .unwrap_or_default()
}

impl Scenario {
    /// The shipped scenario of this name, or the file at this path.
    pub fn find(name: &str) -> Result<Scenario, ScenarioError> {
        Scenario::read(name, &Scenario::text(name)?)
    }

    /// The text of the shipped scenario of this name, or of the file at this path.
    pub fn text(name: &str) -> Result<String, ScenarioError> {
        if let Some((_, text)) = SHIPPED.iter().find(|(shipped, _)| *shipped == name) {
            return Ok((*text).to_owned());
        }
        if !Path::new(name).is_file() {
            let near = nearest(name, SHIPPED.iter().map(|(shipped, _)| *shipped));
            return Err(ScenarioError::Unknown {
                name: name.to_owned(),
                near,
            });
        }
        std::fs::read_to_string(name).map_err(|error| ScenarioError::Unreadable {
            path: name.to_owned(),
            error,
        })
    }

    /// Reads a file's text; `file` is its name in messages.
    pub fn read(file: &str, text: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario = toml::from_str(text).map_err(|error| wrong(file, text, &error))?;
        scenario.validate(file, text)?;
        Ok(scenario)
    }

    /// The names of the classes, in their order.
    pub fn class_names(&self) -> Vec<String> {
        self.load
            .class
            .iter()
            .map(|class| class.name.clone())
            .collect()
    }

    /// What no single value can show.
    fn validate(&self, file: &str, text: &str) -> Result<(), ScenarioError> {
        let fault = |at: usize, key: &str, what: String, near| {
            let (file, line) = (file.to_owned(), line_of(text, at));
            Err(ScenarioError::Wrong {
                file,
                line,
                key: format!("{key}: "),
                what,
                near,
            })
        };
        let place = |key: &str| text.find(key).unwrap_or(0);
        for (key, empty) in [
            ("zones", self.fleet.zones.is_empty()),
            ("kind", self.fleet.kind.is_empty()),
            ("class", self.load.class.is_empty()),
        ] {
            if empty {
                return fault(place(key), key, "expected at least one".into(), None);
            }
        }
        if !(1..=100).contains(&self.run.nodes) {
            return fault(place("nodes"), "nodes", "expected 1 to 100".into(), None);
        }
        if !(1..=250).contains(&self.run.servers) {
            return fault(
                place("servers"),
                "servers",
                "expected 1 to 250".into(),
                None,
            );
        }
        for trouble in &self.faults {
            let (at, trouble) = (trouble.span().start, trouble.get_ref());
            let given = [
                ("for_s", trouble.for_s.is_some()),
                ("part", trouble.part.is_some()),
                ("size", trouble.size.is_some()),
                ("zone", trouble.zone.is_some()),
                ("step_s", trouble.step_s.is_some()),
            ];
            let needs = trouble.kind.needs();
            for (key, given) in given {
                if given != needs.contains(&key) {
                    let needs = needs.join(", ");
                    let word = if given {
                        "is not used by"
                    } else {
                        "is missing for"
                    };
                    let what = format!(
                        "{word} a trouble of kind {:?}, which takes: at_s, {needs}",
                        trouble.kind
                    );
                    return fault(at, key, what, None);
                }
            }
            if let Some(zone) = trouble
                .zone
                .as_ref()
                .filter(|zone| !self.fleet.zones.contains(zone))
            {
                let near = nearest(zone, self.fleet.zones.iter().map(String::as_str));
                let what = format!(
                    "'{zone}' is none of the zones {}",
                    self.fleet.zones.join(", ")
                );
                return fault(at, "zone", what, near);
            }
        }
        Ok(())
    }
}

fn line_of(text: &str, at: usize) -> usize {
    text[..at.min(text.len())].matches('\n').count() + 1
}

fn wrong(file: &str, text: &str, error: &toml::de::Error) -> ScenarioError {
    let span = error.span().unwrap_or(0..0);
    let source = text.get(span.clone()).unwrap_or("");
    let shown = source.lines().next().unwrap_or("").trim();
    // The words that serde offers stand between backticks, after the one that it did not know.
    let mut words = error.message().split('`').skip(1).step_by(2);
    let unknown = words.next().unwrap_or("");
    let near = if error.message().starts_with("unknown") {
        nearest(unknown, words)
    } else {
        None
    };
    let key = key_at(text, span.start);
    ScenarioError::Wrong {
        file: file.to_owned(),
        line: line_of(text, span.start),
        key: if key.is_empty() || key == shown {
            String::new()
        } else {
            format!("{key}: ")
        },
        what: error.message().trim().replace('\n', " "),
        near,
    }
}

/// The key on the line of this place.
fn key_at(text: &str, at: usize) -> &str {
    let start = text[..at.min(text.len())]
        .rfind('\n')
        .map_or(0, |end| end + 1);
    let line = text[start..].lines().next().unwrap_or("");
    line.split_once('=').map_or("", |(key, _)| key.trim())
}

/// The known word that is most like this one, if any is.
fn nearest<'a>(word: &str, known: impl Iterator<Item = &'a str>) -> Option<String> {
    known
        .map(|known| (jaro_winkler(word, known), known))
        .filter(|(alike, _)| *alike >= ALIKE)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, known)| known.to_owned())
}

#[cfg(test)]
mod tests;
