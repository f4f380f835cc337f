//! Names of files in the state folder.

/// The part of a file's name that stands for the node of this name: one that any file system takes.
pub fn node_part(node_name: &str) -> String {
    node_name
        .chars()
        .map(|c| if c.is_ascii_alphanumeric() { c } else { '_' })
        .collect()
}
