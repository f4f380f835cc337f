//! Results on disk: one line of JSON per run, appended when the run is complete. A line that was truncated
//! by a crash is dropped with a warning; all complete lines are kept.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::Write;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use super::{Cell, ExperimentError};
use crate::outcome::Outcome;

/// Result of one run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// Key of the run within its grid.
    pub key: String,
    /// Key of the group of runs that it is compared with.
    pub group: String,
    /// Name of the policy.
    pub policy: String,
    /// Seed of the simulated world.
    pub seed: u64,
    /// Share of the requested value that was served.
    pub served: f64,
    /// Share of the requested value that was served in the worst ten seconds; `None` if the run has no such period.
    pub worst_10s: Option<f64>,
    /// Number of broken rules, each counted once per node and server.
    pub rules_broken: usize,
    /// Number of client requests.
    pub requests: u64,
    /// Results by request class.
    pub classes: Vec<ClassRow>,
}

/// Result of one request class.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClassRow {
    /// Name of the request class in the scenario.
    pub name: String,
    /// Share of the class's requested value that was served.
    pub served: f64,
    /// 99th percentile of the latency of served requests, in milliseconds.
    pub p99_ms: f64,
}

impl Row {
    /// Summarizes the outcome of one run of the grid.
    pub fn new(cell: &Cell, outcome: &Outcome) -> Row {
        let totals = outcome.checker.totals();
        let plan = cell.plan();
        let class = |class: &crate::checker::ClassTotals| ClassRow {
            name: class.name.clone(),
            served: class.served(),
            p99_ms: class.latency.value_at_quantile(0.99) as f64 / 1e3,
        };
        Row {
            key: cell.key(),
            group: cell.group(),
            policy: plan.policy.name(),
            seed: plan.seed,
            served: totals.served_share(),
            worst_10s: totals.worst_ten().map(|(_, share)| share),
            rules_broken: outcome.checker.breaches().len(),
            requests: totals.requests(),
            classes: totals.classes.iter().map(class).collect(),
        }
    }
}

/// The results of one experiment.
#[derive(Debug)]
pub struct Store {
    path: PathBuf,
    file: File,
    rows: BTreeMap<String, Row>,
}

impl Store {
    /// Opens the results in a folder. Existing results are an error unless `resume` is set. `warn` is called
    /// for each damaged line that is dropped.
    pub fn open(
        folder: &Path,
        resume: bool,
        mut warn: impl FnMut(String),
    ) -> Result<Store, ExperimentError> {
        fs::create_dir_all(folder).map_err(|error| ExperimentError::io(folder, error))?;
        let path = folder.join("results.jsonl");
        let text = match fs::read_to_string(&path) {
            Ok(text) => text,
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => String::new(),
            Err(error) => return Err(ExperimentError::io(&path, error)),
        };
        if !text.is_empty() && !resume {
            return Err(ExperimentError::Exists(folder.to_owned()));
        }
        let mut rows = BTreeMap::new();
        let mut intact = String::new();
        for (number, line) in text.split_inclusive('\n').enumerate() {
            match serde_json::from_str::<Row>(line) {
                Ok(row) if line.ends_with('\n') => {
                    intact.push_str(line);
                    rows.insert(row.key.clone(), row);
                }
                _ => warn(format!(
                    "{}:{}: a damaged line is dropped",
                    path.display(),
                    number + 1
                )),
            }
        }
        if intact.len() < text.len() {
            let new = path.with_extension("jsonl.new");
            let replaced = fs::write(&new, &intact).and_then(|()| fs::rename(&new, &path));
            replaced.map_err(|error| ExperimentError::io(&path, error))?;
        }
        let file = File::options().create(true).append(true).open(&path);
        let file = file.map_err(|error| ExperimentError::io(&path, error))?;
        Ok(Store { path, file, rows })
    }

    /// Path of the results file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Whether there is a result for this key.
    pub fn has(&self, key: &str) -> bool {
        self.rows.contains_key(key)
    }

    /// The result for this key, if any.
    pub fn get(&self, key: &str) -> Option<&Row> {
        self.rows.get(key)
    }

    /// Appends a row to the file, then adds it in memory.
    pub fn add(&mut self, row: Row) -> std::io::Result<()> {
        let mut line = serde_json::to_vec(&row)?;
        line.push(b'\n');
        self.file.write_all(&line)?;
        self.rows.insert(row.key.clone(), row);
        Ok(())
    }
}
