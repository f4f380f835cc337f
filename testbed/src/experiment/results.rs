//! Owns the results on disk: one line of JSON for each play, added when it is done. A line cut off by
//! the end of the program is dropped with a word; what stands before it holds.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::Write;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use super::{Cell, ExperimentError};
use crate::outcome::Outcome;

/// What is kept of a play.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// Its name in the grid.
    pub key: String,
    /// What it is compared within.
    pub group: String,
    /// The policy.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// Share of worth.
    pub served: f64,
    /// The same in the worst ten seconds.
    pub worst_10s: Option<f64>,
    /// Rules broken, by the first time for each node and server.
    pub rules_broken: usize,
    /// Requests of clients.
    pub requests: u64,
    /// The classes.
    pub classes: Vec<ClassRow>,
}

/// What is kept of a class.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClassRow {
    /// Its name.
    pub name: String,
    /// Share of its worth.
    pub served: f64,
    /// 99th percentile of the time to a served answer, in milliseconds.
    pub p99_ms: f64,
}

impl Row {
    /// What is kept of a cell's outcome.
    pub fn new(cell: &Cell, outcome: &Outcome) -> Row {
        let tally = outcome.checker.totals();
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
            served: tally.served_share(),
            worst_10s: tally.worst_ten().map(|(_, share)| share),
            rules_broken: outcome.checker.breaches().len(),
            requests: tally.requests(),
            classes: tally.classes.iter().map(class).collect(),
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
    /// Opens the results in a folder. Those of an earlier run are an error unless it is to be resumed;
    /// `warn` hears of what had to be dropped.
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
        let mut good = String::new();
        for (number, line) in text.split_inclusive('\n').enumerate() {
            match serde_json::from_str::<Row>(line) {
                Ok(row) if line.ends_with('\n') => {
                    good.push_str(line);
                    rows.insert(row.key.clone(), row);
                }
                _ => warn(format!(
                    "{}:{}: a damaged line is dropped",
                    path.display(),
                    number + 1
                )),
            }
        }
        if good.len() < text.len() {
            let new = path.with_extension("jsonl.new");
            let replaced = fs::write(&new, &good).and_then(|()| fs::rename(&new, &path));
            replaced.map_err(|error| ExperimentError::io(&path, error))?;
        }
        let file = File::options().create(true).append(true).open(&path);
        let file = file.map_err(|error| ExperimentError::io(&path, error))?;
        Ok(Store { path, file, rows })
    }

    /// The file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Whether a play is there.
    pub fn has(&self, key: &str) -> bool {
        self.rows.contains_key(key)
    }

    /// A play's row.
    pub fn get(&self, key: &str) -> Option<&Row> {
        self.rows.get(key)
    }

    /// Adds a row, to the file first.
    pub fn add(&mut self, row: Row) -> std::io::Result<()> {
        let mut line = serde_json::to_vec(&row)?;
        line.push(b'\n');
        self.file.write_all(&line)?;
        self.rows.insert(row.key.clone(), row);
        Ok(())
    }
}
