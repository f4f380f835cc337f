//! Agents of the fleet plane: many in virtual time ([`virtual_time`]), and a few as real processes on loopback with links between
//! them that can be made bad ([`processes`]); [`measure`] puts both in figures. It drives the same rooms as the agent
//! does, and decides nothing for them.

pub mod coordination;
pub mod measure;
pub mod processes;
pub mod virtual_time;
