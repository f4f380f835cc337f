//! The file of cordoned servers: persistence, concurrent processes, and a damaged file.

use super::*;

fn change(server_id: &str, cordoned: bool) -> CordonChange {
    CordonChange {
        server_id: server_id.to_owned(),
        cordoned,
    }
}

// Guards against requests to a cordoned server from the next process, or from one that runs concurrently.
#[test]
fn cordons_outlive_a_process_and_reach_concurrent_ones() {
    let dir = tempfile::tempdir().unwrap();
    let mut old = CordonedServers::open(Some(dir.path()), "n/0");
    assert_eq!(old.set("s-1", true).unwrap(), [change("s-1", true)]);
    assert!(old.set("s-1", true).unwrap().is_empty(), "repeated");
    let mut new = CordonedServers::open(Some(dir.path()), "n/0");
    assert!(new.contains("s-1") && !new.contains("s-2"));
    new.set("s-2", true).unwrap();
    new.set("s-1", false).unwrap();
    assert_eq!(old.reread(), [change("s-1", false), change("s-2", true)]);
    assert!(old.reread().is_empty());
    // Another node has its own file.
    assert_eq!(
        CordonedServers::open(Some(dir.path()), "n1").ids().count(),
        0
    );
}

// Guards against a damaged file that puts cordoned servers back in service, or is logged at every reread.
#[test]
fn a_damaged_file_ends_no_cordon_and_is_replaced() {
    let dir = tempfile::tempdir().unwrap();
    let mut cordoned = CordonedServers::open(Some(dir.path()), "n0");
    cordoned.set("s-1", true).unwrap();
    let path = cordoned.path.clone().unwrap();
    fs::write(&path, "[\"s-").unwrap();
    assert!(cordoned.reread().is_empty() && cordoned.contains("s-1"));
    assert!(cordoned.last_error.is_some());
    assert!(!CordonedServers::open(Some(dir.path()), "n0").contains("s-1"));
    cordoned.set("s-2", true).unwrap();
    assert_eq!(
        CordonedServers::open(Some(dir.path()), "n0").ids().count(),
        2
    );
}

// Guards against a confirmed cordon that the next process does not load.
#[test]
fn a_cordon_that_cannot_be_persisted_is_not_set() {
    let dir = tempfile::tempdir().unwrap();
    let mut cordoned = CordonedServers::open(Some(&dir.path().join("gone")), "n0");
    assert!(cordoned.set("s-1", true).is_err());
    assert!(!cordoned.contains("s-1"));
}
