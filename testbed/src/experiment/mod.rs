//! Owns experiments: a grid of plays in virtual time over seeds, their results on disk, and what they
//! say when compared pair by pair. Every play is independent and the same on any machine, so a stopped
//! experiment goes on where it was, and the number of jobs changes nothing but the time.

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

/// Why an experiment can't be done.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// The file that describes it.
    #[error("{file}: {what}")]
    File {
        /// Which file.
        file: String,
        /// What is wrong with it.
        what: String,
    },
    /// Its results.
    #[error("{}: {error}", .path.display())]
    Io {
        /// Which file or folder.
        path: PathBuf,
        /// Why.
        error: std::io::Error,
    },
    /// A program on the wire.
    #[error(transparent)]
    Wire(#[from] crate::wire::WireError),
    /// Results of an earlier run are there.
    #[error("{} holds results; go on with --resume, or name another folder with --out", .0.display())]
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

/// Plays all of a grid that the store lacks, on `jobs` threads (0: as many as there are cores), and
/// gives all rows in the order of the grid.
pub fn run(grid: &Grid, store: Store, jobs: usize) -> Result<Vec<Row>, ExperimentError> {
    let cells = grid.cells();
    let missing: Vec<&Cell> = cells
        .iter()
        .filter(|cell| !store.has(&cell.key()))
        .collect();
    let bar =
        ProgressBar::new(cells.len() as u64).with_position((cells.len() - missing.len()) as u64);
    let style = ProgressStyle::with_template("[{bar:30}] {pos} of {len} plays, {eta} left");
    bar.set_style(
        style
            .unwrap_or_else(|_| ProgressStyle::default_bar())
            .progress_chars("=> "),
    );
    let pool = rayon::ThreadPoolBuilder::new().num_threads(jobs).build();
    let pool =
        pool.map_err(|error| ExperimentError::io(store.path(), std::io::Error::other(error)))?;
    let path = store.path().to_owned();
    let shared = Mutex::new(store);
    let played: Result<Vec<()>, ExperimentError> = pool.install(|| {
        missing
            .par_iter()
            .map(|cell| {
                let row = Row::new(cell, &sim::simulate(&cell.plan())?.outcome);
                bar.inc(1);
                let mut store = shared
                    .lock()
                    .unwrap_or_else(std::sync::PoisonError::into_inner);
                store
                    .add(row)
                    .map_err(|error| ExperimentError::io(&path, error))
            })
            .collect()
    });
    bar.finish_and_clear();
    played?;
    let store = shared
        .into_inner()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    Ok(cells
        .iter()
        .filter_map(|cell| store.get(&cell.key()).cloned())
        .collect())
}
