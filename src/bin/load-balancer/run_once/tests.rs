//! Claims of request ids: how long they hold, how many are kept, and what a second process sees of them.

use std::os::unix::fs::FileExt;

use super::claimed_ids::MAX_CLAIMED_IDS;
use super::*;

const SECOND: Duration = Duration::from_secs(1);

fn id(number: usize) -> IdHash {
    IdHash::of(&number.to_le_bytes())
}

#[test]
fn an_id_is_claimed_once_until_it_is_released_or_old() {
    let mut claimed = ClaimedIds::default();
    assert!(claimed.claim(id(1), SECOND));
    assert!(!claimed.claim(id(1), RETENTION));
    assert!(claimed.claim(id(2), RETENTION));
    claimed.release(id(1));
    assert!(claimed.claim(id(1), RETENTION));
    // The first claim of the id grows old, the second one doesn't yet.
    assert!(!claimed.claim(id(1), RETENTION + 2 * SECOND));
    assert!(claimed.claim(id(1), 2 * RETENTION));
}

// Guards against memory that grows with ever new ids.
#[test]
fn ever_new_ids_replace_the_oldest() {
    let mut claimed = ClaimedIds::default();
    for number in 0..=MAX_CLAIMED_IDS {
        assert!(claimed.claim(id(number), SECOND));
    }
    assert!(claimed.claim(id(0), SECOND), "the oldest is forgotten");
    assert!(!claimed.claim(id(MAX_CLAIMED_IDS), SECOND));
}

fn two_processes(folder: &tempfile::TempDir) -> (RunOnce, RunOnce) {
    let open = || RunOnce::shared(folder.path(), "n 0/1");
    (open(), open())
}

#[test]
fn processes_of_one_node_see_each_others_claims() {
    let folder = tempfile::tempdir().unwrap();
    let (mut old, mut new) = two_processes(&folder);
    for number in 0..1_000 {
        assert!(old.claim(id(number)));
    }
    for number in 0..1_000 {
        assert!(!new.claim(id(number)), "{number}");
    }
    old.release(id(7));
    assert!(new.claim(id(7)));
    assert!(!old.claim(id(7)));
    // A process that starts later sees them too.
    assert!(!RunOnce::shared(folder.path(), "n 0/1").claim(id(8)));
    assert!(RunOnce::shared(folder.path(), "n2").claim(id(8)));
}

// Guards against requests that are refused because of the other process's file: it is damaged, cut off, or can't be written.
#[test]
fn a_damaged_file_keeps_no_request_from_being_served() {
    let folder = tempfile::tempdir().unwrap();
    let (mut old, mut new) = two_processes(&folder);
    let path = std::fs::read_dir(folder.path()).unwrap().next().unwrap();
    let file = std::fs::File::options()
        .write(true)
        .open(path.unwrap().path())
        .unwrap();
    file.write_all_at(&[0xff; 100_000], 0).unwrap();
    assert!((0..500).all(|number| old.claim(id(number))));
    assert!((0..500).all(|number| !old.claim(id(number))));
    file.set_len(10).unwrap();
    assert!((500..1_000).all(|number| new.claim(id(number))));
    assert!((500..1_000).all(|number| !new.claim(id(number))));
    let missing = folder.path().join("missing");
    assert!(RunOnce::shared(&missing, "n").claim(id(1)));
}
