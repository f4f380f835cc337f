//! What the testbed wrote, read and measured before its names changed has to stay the same to the last digit. The
//! fixtures were written by the last build under the old names.

mod experiments;
mod program;
mod simulation;
mod streams;
