//! Owns what a scale run has found: figures with their sizes, laws and budgets, and the file that keeps them. Pure apart
//! from the file.

use std::fs;
use std::path::Path;

use serde::{Deserialize, Serialize};

use super::fit::Law;

/// What is lost where a figure is over its budget; the worst first.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Loss {
    /// No node works.
    Fleet,
    /// A part of the fleet, or of what it is told, has no effect.
    Part,
    /// Answers or news come too late.
    Time,
    /// More is used than there is room for.
    Room,
}

/// What of a role a figure is about.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Aspect {
    /// What it has to hold and decide by.
    State,
    /// What it sends and is sent.
    Messages,
    /// Time of a core.
    Processor,
    /// Memory.
    Memory,
    /// Time that somebody waits.
    Latency,
}

/// How a figure was come by.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Source {
    /// By real processes on loopback.
    Processes,
    /// By the pure module, in virtual time or timed alone.
    Module,
    /// By arithmetic on figures that were measured.
    Arithmetic,
}

/// One figure, as it grows with a size.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Measurement {
    /// Whose it is: node, agent, configuration.
    pub role: String,
    /// What of it.
    pub aspect: Aspect,
    /// Its name.
    pub name: String,
    /// What its values are in.
    pub unit: String,
    /// What its sizes count.
    pub of: String,
    /// How it was come by.
    pub source: Source,
    /// Where it was measured.
    pub sizes: Vec<f64>,
    /// What was measured there.
    pub values: Vec<f64>,
    /// Of the line through the values, per unit of size.
    pub slope: Option<f64>,
    /// Of the power through the values.
    pub exponent: Option<f64>,
    /// By how much the better of both misses, as a part of the values' mean.
    pub residual: Option<f64>,
    /// The size that is wanted.
    pub target: f64,
    /// The value there: measured where the target is one of the sizes, else by the law if it fits.
    pub at_target: Option<f64>,
    /// How many times beyond the largest measured size the target is; 1 where it was measured.
    pub beyond: f64,
    /// The most that it may be.
    pub budget: Option<f64>,
    /// Whether it is.
    pub within: Option<bool>,
    /// What is lost where it is not.
    pub loss: Loss,
    /// The mechanism that carries it.
    pub carried_by: String,
}

/// What a figure is, before it has values.
#[derive(Clone, Copy, Debug)]
pub struct About {
    /// See [`Figure`], as for all fields.
    pub role: &'static str,
    /// Its aspect.
    pub aspect: Aspect,
    /// Its name.
    pub name: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// What sizes count.
    pub of: &'static str,
    /// Its source.
    pub source: Source,
    /// The wanted size.
    pub target: f64,
    /// The budget.
    pub budget: Option<f64>,
    /// The loss.
    pub loss: Loss,
    /// The mechanism.
    pub carried_by: &'static str,
}

impl Measurement {
    /// A figure of what was measured: pairs of size and value.
    pub fn new(about: &About, measured: &[(f64, f64)]) -> Measurement {
        let (sizes, values): (Vec<f64>, Vec<f64>) = measured.iter().copied().unzip();
        let law = Law::of(&sizes, &values);
        let there = sizes
            .iter()
            .position(|size| *size == about.target)
            .map(|at| values[at]);
        let at_target = there.or_else(|| law.and_then(|law| law.at(about.target)));
        let largest = sizes.iter().copied().fold(f64::MIN_POSITIVE, f64::max);
        Measurement {
            role: about.role.into(),
            aspect: about.aspect,
            name: about.name.into(),
            unit: about.unit.into(),
            of: about.of.into(),
            source: about.source,
            slope: law.map(|law| law.slope),
            exponent: law.and_then(|law| law.exponent),
            residual: law.map(|law| law.residual),
            target: about.target,
            at_target,
            beyond: if there.is_some() {
                1.0
            } else {
                about.target / largest
            },
            budget: about.budget,
            within: at_target
                .zip(about.budget)
                .map(|(value, budget)| value <= budget),
            loss: about.loss,
            carried_by: about.carried_by.into(),
            sizes,
            values,
        }
    }

    /// Whether the other is the same role's figure of the same name.
    fn is_of(&self, other: &Measurement) -> bool {
        (&self.role, &self.name) == (&other.role, &other.name)
    }

    /// How far it is over its budget.
    pub fn over(&self) -> Option<Over> {
        let (value, budget) = self.at_target.zip(self.budget)?;
        Some(if budget > 0.0 {
            Over::Times(value / budget)
        } else {
            Over::Share(value / self.target)
        })
    }
}

/// How far a figure is over its budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Over {
    /// So many times the budget.
    Times(f64),
    /// None is allowed, and this part of all that is wanted is.
    Share(f64),
}

/// The machine at a run, as far as its figures depend on it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Machine {
    /// Cores.
    pub cores: usize,
    /// The load average of a minute before the run.
    pub load_before: f64,
    /// And after it.
    pub load_after: f64,
    /// Memory in all, in MB.
    pub memory_mb: f64,
}

/// All that a run has found.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Results {
    /// Whether it was the short run of CI: two sizes, short plays.
    pub quick: bool,
    /// When it began, in seconds since 1970.
    pub began_s: u64,
    /// How long it took, in seconds.
    pub took_s: f64,
    /// Where.
    pub machine: Machine,
    /// The figures.
    #[serde(rename = "figures")]
    pub measurements: Vec<Measurement>,
}

impl Results {
    /// Reads several files, each of a run of other roles, as one: the first says when and where.
    pub fn read_all(paths: &[impl AsRef<Path>]) -> Result<Results, String> {
        let (first, more) = paths.split_first().ok_or("no results are named")?;
        let mut all = Results::read(first.as_ref())?;
        for path in more {
            let other = Results::read(path.as_ref())?;
            let twice = other.measurements.iter().find(|other| {
                all.measurements
                    .iter()
                    .any(|measurement| measurement.is_of(other))
            });
            if let Some(twice) = twice {
                return Err(format!(
                    "{}: {} {} is there already",
                    path.as_ref().display(),
                    twice.role,
                    twice.name
                ));
            }
            all.quick |= other.quick;
            all.measurements.extend(other.measurements);
        }
        Ok(all)
    }

    /// Reads a file.
    pub fn read(path: &Path) -> Result<Results, String> {
        let text =
            fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
        serde_json::from_str(&text).map_err(|error| format!("{}: {error}", path.display()))
    }

    /// Writes a file.
    pub fn write(&self, path: &Path) -> Result<(), String> {
        let mut text = serde_json::to_string_pretty(self).map_err(|error| error.to_string())?;
        text.push('\n');
        fs::write(path, text).map_err(|error| format!("{}: {error}", path.display()))
    }

    /// The figures over their budgets: what loses most first, then by how far they are over.
    pub fn red_lines(&self) -> Vec<&Measurement> {
        let mut red: Vec<&Measurement> = self
            .measurements
            .iter()
            .filter(|f| f.within == Some(false))
            .collect();
        let over = |measurement: &Measurement| match measurement.over() {
            // Where none is allowed, any is worse than all that is only too much.
            Some(Over::Share(share)) => (true, share),
            Some(Over::Times(times)) => (false, times),
            None => (false, 0.0),
        };
        red.sort_by(|a, b| {
            let (a_over, b_over) = (over(a), over(b));
            a.loss
                .cmp(&b.loss)
                .then(b_over.0.cmp(&a_over.0))
                .then(b_over.1.total_cmp(&a_over.1))
        });
        red
    }
}
