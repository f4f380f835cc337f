//! Agents of the fleet plane: many in virtual time ([`virt`]), and a few as real processes on loopback with links between
//! them that can be made bad ([`real`]); [`measure`] puts both in figures. It drives the same rooms as the agent
//! does, and decides nothing for them.

pub mod duties;
pub mod measure;
pub mod real;
pub mod virt;
