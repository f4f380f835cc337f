//! Plays of a sweep, some of them at the same time.

use std::thread;

/// Runs all plays, this many at the same time. Returns what went wrong.
pub fn faults_of_plays<P>(plays: &[P], parallel: usize, run: fn(P) -> Option<String>) -> Vec<String>
where
    P: Clone + Send + 'static,
{
    let mut faults = Vec::new();
    for group in plays.chunks(parallel) {
        let running: Vec<_> = group
            .iter()
            .cloned()
            .map(|play| thread::spawn(move || run(play)))
            .collect();
        faults.extend(running.into_iter().filter_map(|play| play.join().unwrap()));
    }
    println!("{} of {} plays failed", faults.len(), plays.len());
    faults
}
