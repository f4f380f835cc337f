//! An external program that speaks the wire protocol: its process, its pipes, and the exchange of a batch.

use std::io::{BufRead, BufReader, Write};
use std::process::{Command, Stdio};

use super::WireError;

/// An external program. As in the simulator, it hosts all nodes of a run.
#[derive(Debug)]
pub struct Child {
    command: String,
    process: std::process::Child,
    output: BufReader<std::process::ChildStdout>,
    batch: u64,
}

impl Child {
    /// Starts a command through the shell, in the current directory.
    pub fn start(command: &str) -> Result<Child, WireError> {
        let fault = |error| WireError::Io {
            command: command.to_owned(),
            error,
        };
        let mut process = Command::new("/bin/sh")
            .args(["-c", command])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(fault)?;
        let output = process
            .stdout
            .take()
            .ok_or_else(|| fault(std::io::Error::other("no pipe for standard output")))?;
        Ok(Child {
            command: command.to_owned(),
            process,
            output: BufReader::new(output),
            batch: 0,
        })
    }

    /// Sends a batch with the time `now` and returns the lines of the reply without its `END` line.
    pub fn exchange(&mut self, now: u64, lines: &str) -> Result<Vec<String>, WireError> {
        self.batch += 1;
        let batch = self.batch;
        let fault = |error| WireError::Io {
            command: self.command.clone(),
            error,
        };
        let ended = || WireError::Ended {
            command: self.command.clone(),
            batch,
        };
        let input = self.process.stdin.as_mut().ok_or_else(ended)?;
        let text = format!("BEGIN_BATCH {now} {batch}\n{lines}EOF_BATCH\n");
        match input
            .write_all(text.as_bytes())
            .and_then(|()| input.flush())
        {
            Err(error) if error.kind() == std::io::ErrorKind::BrokenPipe => return Err(ended()),
            written => written.map_err(fault)?,
        }
        let mut reply = Vec::new();
        loop {
            let mut line = String::new();
            if self.output.read_line(&mut line).map_err(fault)? == 0 {
                return Err(ended());
            }
            let line = line.trim_end();
            if line == format!("END {batch}") {
                return Ok(reply);
            }
            reply.push(line.to_owned());
        }
    }
}

impl Drop for Child {
    /// Closes the input of the program, which makes it end, and kills it if it has not ended after 0.2 s.
    fn drop(&mut self) {
        drop(self.process.stdin.take());
        for _ in 0..20 {
            if matches!(self.process.try_wait(), Ok(Some(_))) {
                return;
            }
            std::thread::sleep(std::time::Duration::from_millis(10));
        }
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}
