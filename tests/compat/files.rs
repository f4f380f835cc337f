//! The file by which processes of one node share the servers that operators have cordoned.

use std::fs;

use super::node::{until, Node};

/// The name's characters but letters and digits are replaced.
const FILE: &str = "woodgap-n_0-out.json";

/// Guards against a cordoned server that gets requests once more when its node's program is replaced, either way.
#[test]
fn the_cordon_file_keeps_its_name_and_format() {
    let mut node = Node::new();
    let file = node.folder.path().join(FILE);
    fs::write(&file, r#"["s-0","s-7"]"#).unwrap();
    node.start();
    assert_eq!(node.metric("svc_ejected").as_deref(), Some("1"));
    let done = node.operate("POST /maintenance/exit?member=s-0");
    assert!(done.starts_with("HTTP/1.1 200"), "{done}");
    assert_eq!(fs::read_to_string(&file).unwrap(), r#"["s-7"]"#);
    assert_eq!(node.metric("svc_ejected").as_deref(), Some("0"));
    let done = node.operate("POST /maintenance/enter?member=s-0");
    assert!(done.starts_with("HTTP/1.1 200"), "{done}");
    assert_eq!(fs::read_to_string(&file).unwrap(), r#"["s-0","s-7"]"#);
    // An agent, or another process of the node, has written it.
    fs::write(&file, "[]").unwrap();
    until("the file is followed", || {
        node.metric("svc_ejected").as_deref() == Some("0")
    });
}
