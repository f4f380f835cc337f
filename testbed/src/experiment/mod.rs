//! Experiments: a grid of simulated runs over seeds, their results on disk, and the paired comparison of
//! policies. Every run is independent and deterministic on any machine, so a stopped experiment can be
//! resumed, and the number of jobs affects only the duration.

mod compare;
mod grid;
mod results;

use std::path::{Path, PathBuf};
use std::sync::Mutex;

use indicatif::{ProgressBar, ProgressStyle};
use rayon::prelude::*;

use crate::sim;

pub use compare::{compare, text, Comparison};
pub use grid::{Cell, Grid};
pub use results::{Row, Store};

/// Error that ends an experiment.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// The experiment file is invalid.
    #[error("{file}: {what}")]
    File {
        /// Name of the file.
        file: String,
        /// What is wrong with it.
        what: String,
    },
    /// The results cannot be read or written.
    #[error("{}: {error}", .path.display())]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// The underlying error.
        error: std::io::Error,
    },
    /// An external policy program failed.
    #[error(transparent)]
    Wire(#[from] crate::wire::WireError),
    /// The folder holds the results of an earlier experiment.
    #[error("{} already holds results; resume with --resume, or name another folder with --out", .0.display())]
    Exists(PathBuf),
}

impl ExperimentError {
    fn io(path: &Path, error: std::io::Error) -> ExperimentError {
        ExperimentError::Io {
            path: path.to_owned(),
            error,
        }
    }
}

/// Executes the runs of a grid that the store lacks, on `jobs` threads (0: one per core), and returns all
/// rows in the order of the grid.
pub fn run(grid: &Grid, store: Store, jobs: usize) -> Result<Vec<Row>, ExperimentError> {
    let cells = grid.cells();
    let missing: Vec<&Cell> = cells
        .iter()
        .filter(|cell| !store.has(&cell.key()))
        .collect();
    let bar =
        ProgressBar::new(cells.len() as u64).with_position((cells.len() - missing.len()) as u64);
    let style = ProgressStyle::with_template("[{bar:30}] {pos} of {len} runs, {eta} left");
    bar.set_style(
        style
            .unwrap_or_else(|_| ProgressStyle::default_bar())
            .progress_chars("=> "),
    );
    let pool = rayon::ThreadPoolBuilder::new().num_threads(jobs).build();
    let pool =
        pool.map_err(|error| ExperimentError::io(store.path(), std::io::Error::other(error)))?;
    let path = store.path().to_owned();
    let store_lock = Mutex::new(store);
    let result: Result<Vec<()>, ExperimentError> = pool.install(|| {
        missing
            .par_iter()
            .map(|cell| {
                let row = Row::new(cell, &sim::simulate(&cell.plan())?.outcome);
                bar.inc(1);
                let mut store = store_lock
                    .lock()
                    .unwrap_or_else(std::sync::PoisonError::into_inner);
                store
                    .add(row)
                    .map_err(|error| ExperimentError::io(&path, error))
            })
            .collect()
    });
    bar.finish_and_clear();
    result?;
    let store = store_lock
        .into_inner()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    Ok(cells
        .iter()
        .filter_map(|cell| store.get(&cell.key()).cloned())
        .collect())
}
