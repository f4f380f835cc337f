//! Agents of the fleet plane, many in virtual time ([`virt`]). It drives the
//! same pure rooms as the real agent does, and decides nothing for them.

pub mod virt;
