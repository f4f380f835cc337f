//! The file through which the processes of a node share the servers that operators have cordoned.

use std::fs;

use super::node::{wait_until, Node};

/// Name of the file of node `n/0`: characters other than letters and digits are replaced.
const FILE: &str = "woodgap-n_0-out.json";

/// Guards against a cordoned server that gets requests again after an upgrade or a downgrade of the node.
#[test]
fn the_cordon_file_keeps_its_name_and_format() {
    let mut node = Node::new();
    let file = node.folder.path().join(FILE);
    fs::write(&file, r#"["s-0","s-7"]"#).unwrap();
    node.start();
    assert_eq!(node.metric("svc_ejected").as_deref(), Some("1"));
    let response = node.admin_call("POST /maintenance/exit?member=s-0");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert_eq!(fs::read_to_string(&file).unwrap(), r#"["s-7"]"#);
    assert_eq!(node.metric("svc_ejected").as_deref(), Some("0"));
    let response = node.admin_call("POST /maintenance/enter?member=s-0");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert_eq!(fs::read_to_string(&file).unwrap(), r#"["s-0","s-7"]"#);
    // An agent or another process of the node writes the file.
    fs::write(&file, "[]").unwrap();
    wait_until("the change of the file is applied", || {
        node.metric("svc_ejected").as_deref() == Some("0")
    });
}
