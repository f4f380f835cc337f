//! Streams of events and actions that were recorded (`lab/tests/streams/`, by `balancer-testbed sim --events`)
//! are played to the adapter again: each line of its replies has to be the recorded one. A change of the
//! module's form alone leaves them alone; a change of its decisions records them anew and says so.

use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Command, Stdio};

/// Plays a stream again and counts its actions; the first line that differs ends it.
fn replay(name: &str, text: &str) -> Result<usize, String> {
    let mut child = Command::new(env!("CARGO_BIN_EXE_load-balancer-sim"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("starts");
    let mut input = child.stdin.take().expect("piped");
    let mut output = BufReader::new(child.stdout.take().expect("piped")).lines();
    let (mut in_batch, mut actions) = (false, 0);
    let mut differs = None;
    for (number, line) in text.lines().enumerate() {
        in_batch |= line.starts_with("BEGIN_BATCH");
        if in_batch {
            writeln!(input, "{line}").expect("reads on");
            in_batch = line != "EOF_BATCH";
            continue;
        }
        let came = output.next().expect("answers").expect("in text");
        if came != line {
            differs = Some(format!(
                "{name}:{}: recorded '{line}', now '{came}'",
                number + 1
            ));
            break;
        }
        actions += usize::from(!line.starts_with("ON_BEHALF") && !line.starts_with("END"));
    }
    // Both ends are closed before it is waited for: it may be writing still.
    drop((input, output));
    let status = child.wait().expect("ends");
    match differs {
        Some(differs) => Err(differs),
        None => {
            assert!(status.success());
            Ok(actions)
        }
    }
}

#[test]
fn recorded_streams_are_answered_as_they_were() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("testbed/tests/streams");
    let mut seen = 0;
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let (name, text) = (
            path.display().to_string(),
            fs::read_to_string(&path).unwrap(),
        );
        let actions = replay(&name, &text).unwrap_or_else(|differs| panic!("{differs}"));
        assert!(actions > 100, "{name} holds only {actions} actions");
        // The same stream with one action altered has to be told apart.
        let altered = text.replacen("DELIVER ", "CALL_OFF ", 1);
        assert!(replay(&name, &altered).is_err(), "{name}");
        seen += 1;
    }
    assert!(seen >= 6, "{seen} streams");
}
