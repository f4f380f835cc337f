//! Replays recorded streams of events and actions to `load-balancer-sim`: each line of its replies must equal the
//! recorded one. `balancer-testbed sim --events` records the streams in `testbed/tests/streams/`. A change that keeps
//! all decisions passes with the existing recordings; one that changes decisions records new streams and says so in
//! its commit.

use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Command, Stdio};

/// Replays a stream; returns the number of its actions, or a description of the first line that differs.
fn replay(name: &str, text: &str) -> Result<usize, String> {
    let mut child = Command::new(env!("CARGO_BIN_EXE_load-balancer-sim"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("starts");
    let mut input = child.stdin.take().expect("piped");
    let mut output = BufReader::new(child.stdout.take().expect("piped")).lines();
    let mut in_batch = false;
    let mut actions = 0;
    let mut difference = None;
    for (number, line) in text.lines().enumerate() {
        in_batch |= line.starts_with("BEGIN_BATCH");
        if in_batch {
            writeln!(input, "{line}").expect("reads on");
            in_batch = line != "EOF_BATCH";
            continue;
        }
        let reply = output.next().expect("answers").expect("in text");
        if reply != line {
            difference = Some(format!(
                "{name}:{}: recorded '{line}', now '{reply}'",
                number + 1
            ));
            break;
        }
        actions += usize::from(!line.starts_with("ON_BEHALF") && !line.starts_with("END"));
    }
    // With both pipes closed, the process ends even if it is still writing; otherwise the wait could hang.
    drop((input, output));
    let status = child.wait().expect("ends");
    match difference {
        Some(difference) => Err(difference),
        None => {
            assert!(status.success());
            Ok(actions)
        }
    }
}

// Guards against a refactoring that changes a decision unnoticed.
#[test]
fn replies_to_recorded_streams_equal_the_recorded_replies() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("testbed/tests/streams");
    let mut seen = 0;
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let name = path.display().to_string();
        let text = fs::read_to_string(&path).unwrap();
        let actions = replay(&name, &text).unwrap_or_else(|difference| panic!("{difference}"));
        assert!(actions > 100, "{name} holds only {actions} actions");
        // The replay must notice that one action of the stream was altered.
        let altered = text.replacen("DELIVER ", "CALL_OFF ", 1);
        assert!(replay(&name, &altered).is_err(), "{name}");
        seen += 1;
    }
    assert!(seen >= 6, "{seen} streams");
}
