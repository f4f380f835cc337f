//! The testbed's program, and many of its plays at a time.

use std::path::Path;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

/// The file of a shipped scenario as it was before, by its name.
pub fn scenario_of_before(name: &str) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/compat/fixtures/scenarios");
    folder.join(format!("{name}.toml")).display().to_string()
}

/// Runs the program to its end.
pub fn testbed(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_balancer-testbed"))
        .args(arguments)
        .output()
        .unwrap()
}

/// Does something for each item, on as many threads as there are cores.
pub fn for_each<T: Sync>(items: &[T], work: impl Fn(&T) + Sync) {
    let next = AtomicUsize::new(0);
    let work = || {
        while let Some(item) = items.get(next.fetch_add(1, Ordering::Relaxed)) {
            work(item);
        }
    };
    let threads = thread::available_parallelism().map_or(1, usize::from);
    thread::scope(|scope| {
        for _ in 0..threads.min(items.len()) {
            scope.spawn(work);
        }
    });
}
