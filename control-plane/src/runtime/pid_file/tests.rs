use std::time::{Duration, Instant};

use super::*;

const ENVIRONMENT_TIMEOUT: Duration = Duration::from_secs(10);

/// Waits until the system shows the environment of a process. A spawn may return shortly before that.
fn wait_for_environment(pid: u32) {
    let path = format!("/proc/{pid}/environ");
    let deadline = Instant::now() + ENVIRONMENT_TIMEOUT;
    while fs::read(&path).unwrap().is_empty() {
        assert!(
            Instant::now() < deadline,
            "process {pid} has no environment"
        );
        std::thread::yield_now();
    }
}

/// Guards against adopting another process that has reused the node's id, and against starting a second node because
/// the running one is not found.
#[test]
fn only_the_same_process_is_found_again() {
    let folder = tempfile::tempdir().unwrap();
    let file = PidFile::of(folder.path()).unwrap();
    assert_eq!(file.find(), None);
    let mut child = std::process::Command::new("sleep")
        .arg("60")
        .spawn()
        .unwrap();
    let running = ProcessId::of_running(child.id() as i32).unwrap();
    file.write(&running).unwrap();
    assert_eq!(file.find(), Some(running.clone()));
    // Another process with the same id, of this or of another boot.
    for other in [
        ProcessId {
            started: running.started + 1,
            ..running.clone()
        },
        ProcessId {
            boot: "other".into(),
            ..running.clone()
        },
    ] {
        file.write(&other).unwrap();
        assert_eq!(file.find(), None);
    }
    fs::write(folder.path().join(PID_FILE), b"{\"pid\": 1").unwrap();
    assert_eq!(file.find(), None, "an incomplete file");
    file.write(&running).unwrap();
    child.kill().unwrap();
    child.wait().unwrap();
    assert_eq!(file.find(), None);
    file.clear();
    for variable in [STATE_VARIABLE, FORMER_STATE_VARIABLE] {
        let mut marked = std::process::Command::new("sleep")
            .arg("60")
            .env(variable, file.state_folder())
            .spawn()
            .unwrap();
        wait_for_environment(marked.id());
        let found = file.find().map(|process| process.pid);
        marked.kill().unwrap();
        marked.wait().unwrap();
        assert_eq!(
            found,
            Some(marked.id() as i32),
            "a node whose agent died before it wrote the file"
        );
    }
}
