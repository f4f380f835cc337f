//! Compatibility of the node with recordings of the last build before the renames in the code. Everything that a node
//! reads, writes or sends must stay the same, because operators, discovery, servers and the next process of the node
//! depend on it.

mod bytes;
mod environment;
mod files;
mod node;
mod peers;
mod settings;
