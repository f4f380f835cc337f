//! Runs agents of the control plane under faults: many in virtual time ([`virtual_time`]), a few as real
//! processes on loopback behind links with faults ([`processes`]), and their coordinators alone in virtual
//! time ([`coordination`]). [`measure`] derives figures from the first two. The agents' state machines are
//! those of the real program; the harness makes no decisions for them.

pub mod coordination;
pub mod measure;
pub mod processes;
pub mod virtual_time;
