//! Results of a capacity run: measurements with their sizes, fits and budgets, and the JSON file that stores them.

use std::fs;
use std::path::Path;

use serde::{Deserialize, Serialize};

use super::fit::Fit;

/// Impact of a measurement over its budget, the worst first.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Impact {
    /// No node works.
    #[serde(rename = "fleet")]
    Outage,
    /// Part of the fleet, or of the configuration and commands sent to it, has no effect.
    #[serde(rename = "part")]
    Partial,
    /// Responses or updates arrive too late.
    #[serde(rename = "time")]
    Delay,
    /// More memory, processor time or bandwidth is used than is available.
    #[serde(rename = "room")]
    Resources,
}

/// Property of a role that a measurement describes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Aspect {
    /// State that it holds and decides by.
    State,
    /// Messages that it sends and receives.
    Messages,
    /// Processor time.
    Processor,
    /// Memory in use.
    Memory,
    /// Time that a client, operator or node waits.
    Latency,
}

/// Origin of a measurement.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Source {
    /// Real processes on loopback.
    Processes,
    /// The decision code alone, in virtual time or timed in-process.
    Module,
    /// Computed from other measurements.
    Arithmetic,
}

/// One measured quantity as a function of a size, with its fit and budget.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Measurement {
    /// Role that it belongs to: node, agent, configuration or control.
    pub role: String,
    /// Property of the role that it describes.
    pub aspect: Aspect,
    /// Key, unique within its role.
    pub name: String,
    /// Unit of the values, with a short description.
    pub unit: String,
    /// Unit of the sizes, such as servers or voters.
    #[serde(rename = "of")]
    pub size_unit: String,
    /// Origin of the values.
    pub source: Source,
    /// Sizes at which it was measured.
    pub sizes: Vec<f64>,
    /// Measured values, one for each size.
    pub values: Vec<f64>,
    /// Slope of the linear fit, per unit of size.
    pub slope: Option<f64>,
    /// Exponent of the power-law fit.
    pub exponent: Option<f64>,
    /// Root mean square error of the better fit, as a fraction of the values' mean.
    pub residual: Option<f64>,
    /// Size of the target fleet.
    pub target: f64,
    /// Value at the target size: measured if the target is one of the sizes, else extrapolated if the fit is good enough.
    pub at_target: Option<f64>,
    /// Target size divided by the largest measured size; 1 if the target was measured.
    #[serde(rename = "beyond")]
    pub extrapolation_factor: f64,
    /// Largest acceptable value; `None` where there is no limit.
    pub budget: Option<f64>,
    /// Whether the value at the target is within the budget; `None` without a budget or a value at the target.
    #[serde(rename = "within")]
    pub within_budget: Option<bool>,
    /// Impact if it is over the budget.
    #[serde(rename = "loss")]
    pub impact: Impact,
    /// Mechanism of the system that determines the value.
    #[serde(rename = "carried_by")]
    pub mechanism: String,
}

/// Description of a measurement, without its values.
#[derive(Clone, Copy, Debug)]
pub struct MeasurementSpec {
    /// See [`Measurement`] for this and the other fields.
    pub role: &'static str,
    /// Property of the role that it describes.
    pub aspect: Aspect,
    /// Key, unique within its role.
    pub name: &'static str,
    /// Unit of the values, with a short description.
    pub unit: &'static str,
    /// Unit of the sizes.
    pub size_unit: &'static str,
    /// Origin of the values.
    pub source: Source,
    /// Size of the target fleet.
    pub target: f64,
    /// Largest acceptable value.
    pub budget: Option<f64>,
    /// Impact if it is over the budget.
    pub impact: Impact,
    /// Mechanism of the system that determines the value.
    pub mechanism: &'static str,
}

impl Measurement {
    /// Builds a measurement from pairs of size and value.
    pub fn new(spec: &MeasurementSpec, measured: &[(f64, f64)]) -> Measurement {
        let (sizes, values): (Vec<f64>, Vec<f64>) = measured.iter().copied().unzip();
        let fit = Fit::new(&sizes, &values);
        let measured_at_target = sizes
            .iter()
            .position(|size| *size == spec.target)
            .map(|at| values[at]);
        let at_target = measured_at_target.or_else(|| fit.and_then(|fit| fit.predict(spec.target)));
        let largest = sizes.iter().copied().fold(f64::MIN_POSITIVE, f64::max);
        Measurement {
            role: spec.role.into(),
            aspect: spec.aspect,
            name: spec.name.into(),
            unit: spec.unit.into(),
            size_unit: spec.size_unit.into(),
            source: spec.source,
            slope: fit.map(|fit| fit.slope),
            exponent: fit.and_then(|fit| fit.exponent),
            residual: fit.map(|fit| fit.residual),
            target: spec.target,
            at_target,
            extrapolation_factor: if measured_at_target.is_some() {
                1.0
            } else {
                spec.target / largest
            },
            budget: spec.budget,
            within_budget: at_target
                .zip(spec.budget)
                .map(|(value, budget)| value <= budget),
            impact: spec.impact,
            mechanism: spec.mechanism.into(),
            sizes,
            values,
        }
    }

    /// Whether both have the same role and name.
    fn same_as(&self, other: &Measurement) -> bool {
        (&self.role, &self.name) == (&other.role, &other.name)
    }

    /// Ratio of the value at the target to the budget, or its share of the target size where the budget is zero.
    pub fn excess(&self) -> Option<Excess> {
        let (value, budget) = self.at_target.zip(self.budget)?;
        Some(if budget > 0.0 {
            Excess::Factor(value / budget)
        } else {
            Excess::Share(value / self.target)
        })
    }
}

/// How a value at the target compares with its budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Excess {
    /// Multiple of the budget.
    Factor(f64),
    /// Fraction of the target size, where the budget is zero.
    Share(f64),
}

/// Properties of the machine that influence the measurements.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Machine {
    /// Processor cores available to the run.
    pub cores: usize,
    /// One-minute load average before the run.
    pub load_before: f64,
    /// One-minute load average after the run.
    pub load_after: f64,
    /// Total memory, in MB.
    pub memory_mb: f64,
}

/// Results of one capacity run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Results {
    /// Whether it was the short run for CI: two sizes, short simulations.
    pub quick: bool,
    /// Start of the run, in seconds since the Unix epoch.
    pub began_s: u64,
    /// Duration of the run, in seconds.
    pub took_s: f64,
    /// Machine on which it ran.
    pub machine: Machine,
    /// Measurements of all roles that the run covered.
    #[serde(rename = "figures")]
    pub measurements: Vec<Measurement>,
}

impl Results {
    /// Reads and merges result files of runs of different roles; start, duration and machine are the first file's.
    pub fn read_all(paths: &[impl AsRef<Path>]) -> Result<Results, String> {
        let (first, more) = paths.split_first().ok_or("no result files given")?;
        let mut all = Results::read(first.as_ref())?;
        for path in more {
            let other = Results::read(path.as_ref())?;
            let duplicate = other.measurements.iter().find(|other| {
                all.measurements
                    .iter()
                    .any(|measurement| measurement.same_as(other))
            });
            if let Some(duplicate) = duplicate {
                return Err(format!(
                    "{}: {} {} is already in another result file",
                    path.as_ref().display(),
                    duplicate.role,
                    duplicate.name
                ));
            }
            all.quick |= other.quick;
            all.measurements.extend(other.measurements);
        }
        Ok(all)
    }

    /// Reads a result file.
    pub fn read(path: &Path) -> Result<Results, String> {
        let text =
            fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
        serde_json::from_str(&text).map_err(|error| format!("{}: {error}", path.display()))
    }

    /// Writes a result file.
    pub fn write(&self, path: &Path) -> Result<(), String> {
        let mut text = serde_json::to_string_pretty(self).map_err(|error| error.to_string())?;
        text.push('\n');
        fs::write(path, text).map_err(|error| format!("{}: {error}", path.display()))
    }

    /// Measurements over their budgets: the worst impact first, then the largest excess.
    pub fn over_budget(&self) -> Vec<&Measurement> {
        let mut over_budget: Vec<&Measurement> = self
            .measurements
            .iter()
            .filter(|f| f.within_budget == Some(false))
            .collect();
        let excess = |measurement: &Measurement| match measurement.excess() {
            // With a budget of zero any excess ranks before a mere multiple of a budget.
            Some(Excess::Share(share)) => (true, share),
            Some(Excess::Factor(factor)) => (false, factor),
            None => (false, 0.0),
        };
        over_budget.sort_by(|a, b| {
            let (a_excess, b_excess) = (excess(a), excess(b));
            a.impact
                .cmp(&b.impact)
                .then(b_excess.0.cmp(&a_excess.0))
                .then(b_excess.1.total_cmp(&a_excess.1))
        });
        over_budget
    }
}
