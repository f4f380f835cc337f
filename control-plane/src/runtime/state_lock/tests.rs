use super::*;

/// Guards against two agents that write the same state folder.
#[test]
fn a_folder_is_locked_by_one_agent_at_a_time() {
    let folder = tempfile::tempdir().unwrap();
    let lock = acquire(folder.path()).unwrap();
    assert!(matches!(
        acquire(folder.path()),
        Err(RuntimeError::Locked(_))
    ));
    drop(lock);
    assert!(acquire(folder.path()).is_ok());
}
