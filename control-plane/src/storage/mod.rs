//! What the fleet plane keeps: the one room that touches a disk. A voter's log and vote lie in an embedded database,
//! every record with its format and checksum; small whole files are written beside and renamed.

mod file;
mod votes;

pub use file::{read_whole, write_whole};
pub use votes::{Store, StoreError, VoteStore};
