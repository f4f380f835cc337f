//! What the node of the last build under the old names read, wrote and sent has to be read, written and sent alike by
//! this one: operators, discovery, servers and the process that follows know nothing of names in the code.

mod bytes;
mod environment;
mod files;
mod node;
mod peers;
mod settings;
