//! The file of cordoned servers: persistence and damage.

use super::*;

#[test]
fn bans_outlive_a_process_and_reach_one_beside_it() {
    let dir = tempfile::tempdir().unwrap();
    let mut old = Bans::open(Some(dir.path()), "n/0");
    assert_eq!(old.set("s-1", true).unwrap(), [("s-1".to_owned(), true)]);
    assert!(old.set("s-1", true).unwrap().is_empty(), "repeated");
    let mut new = Bans::open(Some(dir.path()), "n/0");
    assert!(new.holds("s-1") && !new.holds("s-2"));
    new.set("s-2", true).unwrap();
    new.set("s-1", false).unwrap();
    assert_eq!(
        old.follow(),
        [("s-1".to_owned(), false), ("s-2".to_owned(), true)]
    );
    assert!(old.follow().is_empty());
    // Another node's are its own.
    assert_eq!(Bans::open(Some(dir.path()), "n1").ids().count(), 0);
}

#[test]
fn a_damaged_file_ends_no_ban_and_is_replaced() {
    let dir = tempfile::tempdir().unwrap();
    let mut bans = Bans::open(Some(dir.path()), "n0");
    bans.set("s-1", true).unwrap();
    let path = bans.path.clone().unwrap();
    fs::write(&path, "[\"s-").unwrap();
    assert!(bans.follow().is_empty() && bans.holds("s-1"));
    assert!(bans.fault.is_some());
    assert!(!Bans::open(Some(dir.path()), "n0").holds("s-1"));
    bans.set("s-2", true).unwrap();
    assert_eq!(Bans::open(Some(dir.path()), "n0").ids().count(), 2);
}

// A yes means that it holds: what can't be kept is not done.
#[test]
fn a_ban_that_cannot_be_written_is_none() {
    let dir = tempfile::tempdir().unwrap();
    let mut bans = Bans::open(Some(&dir.path().join("gone")), "n0");
    assert!(bans.set("s-1", true).is_err());
    assert!(!bans.holds("s-1"));
}
