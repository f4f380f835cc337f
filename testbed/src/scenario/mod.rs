//! Scenario files: their fields ([`model`]), the types of their values ([`values`]), the built-in scenarios, and
//! the errors for invalid files.

pub mod discovery;
pub mod model;
pub mod values;

use std::path::Path;

use strsim::jaro_winkler;

pub use discovery::{Discovery, Mode, Outage};
pub use model::*;
pub use values::ValueRange;

/// The built-in scenarios: name and text.
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

/// Jaro-Winkler similarity that a name needs to be suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.75;

/// Why a scenario cannot be loaded.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The name is neither that of a built-in scenario nor a path of a file.
    #[error("no scenario '{name}'{}; `balancer-testbed scenarios` lists them, and a path names a file", did_you_mean(.suggestion))]
    Unknown {
        /// The name or path given.
        name: String,
        /// The most similar name of a built-in scenario.
        suggestion: Option<String>,
    },
    /// The file cannot be read.
    #[error("cannot read scenario file {path}: {error}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// Error of the read.
        error: std::io::Error,
    },
    /// The file is not a valid scenario.
    #[error("{file}:{line}: {key}{problem}{}", did_you_mean(.suggestion))]
    Invalid {
        /// Name or path of the file.
        file: String,
        /// Line number, from 1.
        line: usize,
        /// The key and a colon, or nothing where the key is not known.
        key: String,
        /// What is wrong and what was expected.
        problem: String,
        /// The most similar known key or value.
        suggestion: Option<String>,
    },
}

fn did_you_mean(suggestion: &Option<String>) -> String {
    suggestion
        .as_ref()
        .map(|name| format!("; did you mean '{name}'?"))
        .unwrap_or_default()
}

impl Scenario {
    /// Loads the built-in scenario of this name, or the file at this path.
    pub fn find(name: &str) -> Result<Scenario, ScenarioError> {
        Scenario::read(name, &Scenario::text(name)?)
    }

    /// The text of the built-in scenario of this name, or of the file at this path.
    pub fn text(name: &str) -> Result<String, ScenarioError> {
        if let Some((_, text)) = SHIPPED.iter().find(|(shipped, _)| *shipped == name) {
            return Ok((*text).to_owned());
        }
        if !Path::new(name).is_file() {
            let suggestion = most_similar(name, SHIPPED.iter().map(|(shipped, _)| *shipped));
            return Err(ScenarioError::Unknown {
                name: name.to_owned(),
                suggestion,
            });
        }
        std::fs::read_to_string(name).map_err(|error| ScenarioError::Unreadable {
            path: name.to_owned(),
            error,
        })
    }

    /// Parses and validates the text of a scenario file. `file` is its name in error messages.
    pub fn read(file: &str, text: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario =
            toml::from_str(text).map_err(|error| parse_error(file, text, &error))?;
        scenario.validate(file, text)?;
        Ok(scenario)
    }

    /// Names of the classes, in the order of [`Load::class`].
    pub fn class_names(&self) -> Vec<String> {
        self.load
            .class
            .iter()
            .map(|class| class.name.clone())
            .collect()
    }

    /// Checks what the types of the single values cannot: sizes, empty lists, and the keys of each fault.
    fn validate(&self, file: &str, text: &str) -> Result<(), ScenarioError> {
        let invalid = |at: usize, key: &str, problem: String, suggestion| {
            let (file, line) = (file.to_owned(), line_of(text, at));
            Err(ScenarioError::Invalid {
                file,
                line,
                key: format!("{key}: "),
                problem,
                suggestion,
            })
        };
        let offset_of = |key: &str| text.find(key).unwrap_or(0);
        for (key, empty) in [
            ("zones", self.fleet.zones.is_empty()),
            ("kind", self.fleet.kind.is_empty()),
            ("class", self.load.class.is_empty()),
        ] {
            if empty {
                return invalid(offset_of(key), key, "expected at least one".into(), None);
            }
        }
        if !(1..=100).contains(&self.run.nodes) {
            return invalid(
                offset_of("nodes"),
                "nodes",
                "expected 1 to 100".into(),
                None,
            );
        }
        if !(1..=250).contains(&self.run.servers) {
            return invalid(
                offset_of("servers"),
                "servers",
                "expected 1 to 250".into(),
                None,
            );
        }
        for fault in &self.faults {
            let (at, fault) = (fault.span().start, fault.get_ref());
            let given = [
                ("for_s", fault.for_s.is_some()),
                ("part", fault.share.is_some()),
                ("size", fault.magnitude.is_some()),
                ("zone", fault.zone.is_some()),
                ("step_s", fault.stagger_s.is_some()),
            ];
            let required = fault.kind.required_keys();
            for (key, given) in given {
                if given != required.contains(&key) {
                    let required = required.join(", ");
                    let mismatch = if given {
                        "is not used by"
                    } else {
                        "is missing for"
                    };
                    let problem = format!(
                        "{mismatch} a fault of kind '{}', which takes: at_s, {required}",
                        fault.kind.name()
                    );
                    return invalid(at, key, problem, None);
                }
            }
            if let Some(zone) = fault
                .zone
                .as_ref()
                .filter(|zone| !self.fleet.zones.contains(zone))
            {
                let suggestion = most_similar(zone, self.fleet.zones.iter().map(String::as_str));
                let problem = format!(
                    "'{zone}' is none of the zones {}",
                    self.fleet.zones.join(", ")
                );
                return invalid(at, "zone", problem, suggestion);
            }
        }
        Ok(())
    }
}

/// Line number, from 1, of a byte offset.
fn line_of(text: &str, offset: usize) -> usize {
    text[..offset.min(text.len())].matches('\n').count() + 1
}

/// Turns an error of the TOML parser into one with file, line, key and suggestion.
fn parse_error(file: &str, text: &str, error: &toml::de::Error) -> ScenarioError {
    let span = error.span().unwrap_or(0..0);
    let source = text.get(span.clone()).unwrap_or("");
    let shown = source.lines().next().unwrap_or("").trim();
    // The message of serde has the unknown name and then the expected ones, each between backticks.
    let mut names = error.message().split('`').skip(1).step_by(2);
    let unknown = names.next().unwrap_or("");
    let suggestion = if error.message().starts_with("unknown") {
        most_similar(unknown, names)
    } else {
        None
    };
    let key = key_at(text, span.start);
    ScenarioError::Invalid {
        file: file.to_owned(),
        line: line_of(text, span.start),
        key: if key.is_empty() || key == shown {
            String::new()
        } else {
            format!("{key}: ")
        },
        problem: error.message().trim().replace('\n', " "),
        suggestion,
    }
}

/// The key on the line of this byte offset, or an empty string.
fn key_at(text: &str, offset: usize) -> &str {
    let start = text[..offset.min(text.len())]
        .rfind('\n')
        .map_or(0, |end| end + 1);
    let line = text[start..].lines().next().unwrap_or("");
    line.split_once('=').map_or("", |(key, _)| key.trim())
}

/// The known name that is most similar to this one, if one is similar enough.
fn most_similar<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<String> {
    known
        .map(|known| (jaro_winkler(name, known), known))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, known)| known.to_owned())
}

#[cfg(test)]
mod tests;
