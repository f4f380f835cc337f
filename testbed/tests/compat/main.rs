//! Compatibility with earlier builds: scenario files, result files, streams and the results of simulations must stay the
//! same to the last digit. The fixtures were written by the last build before the internal names changed.

mod experiments;
mod program;
mod simulation;
mod streams;
