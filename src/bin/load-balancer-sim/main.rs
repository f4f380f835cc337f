//! Hosts one [`load_balancer::Balancer`] for each node of a simulation. Reads batches of events from standard
//! input and writes the balancers' actions to standard output; it makes no decisions of its own.
#![forbid(unsafe_code)]

mod decode;
mod encode;
mod error;
mod fields;

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::process::ExitCode;
use std::rc::Rc;

use load_balancer::settings::{self, NameIds, NamedSettings, Names, Pairs};
use load_balancer::{Action, Balancer, Event, Micros};

use decode::EndpointLists;
use error::WireError;
use fields::Fields;

/// Size of each of the buffers of standard input and output.
const BUFFER_BYTES: usize = 1 << 18;
/// Most entries of a list for which memory is reserved before they are read: a corrupt count must not
/// reserve an unlimited amount.
const MAX_RESERVED_ENTRIES: usize = 4096;

/// A simulated node: its balancer, and the names by which requests refer to classes and tenants.
struct Instance {
    balancer: Balancer,
    names: Names,
}

/// The state of the process between two input lines.
#[derive(Default)]
struct Host {
    /// The running nodes by their numbers on the wire.
    instances: HashMap<u64, Instance>,
    lists: EndpointLists,
    name_ids: NameIds,
    /// Time of the current batch.
    now: Micros,
    /// Number of the current batch.
    batch: u64,
    in_batch: bool,
    /// The node that events are delivered to, set by `CONTEXT`; `None` at the start of a batch.
    current_node: Option<u64>,
    /// The node named by the last `ON_BEHALF` line of the current reply.
    replied_node: Option<u64>,
    actions: Vec<Action>,
}

/// What to do after a line.
enum Next {
    /// Read the next line.
    Continue,
    /// The batch is complete: flush its reply, then read the next line.
    Flush,
}

impl Host {
    fn handle_line<R: BufRead, W: Write>(
        &mut self,
        line: &str,
        input: &mut Lines<R>,
        out: &mut W,
    ) -> Result<Next, WireError> {
        let mut fields = Fields::new(line);
        let message = fields.text("message")?;
        if !self.in_batch {
            self.begin_batch(message, &mut fields)?;
            return Ok(Next::Continue);
        }
        match message {
            "EOF_BATCH" => {
                fields.end()?;
                writeln!(out, "END {}", self.batch)?;
                self.in_batch = false;
                return Ok(Next::Flush);
            }
            "CONTEXT" => {
                self.current_node = Some(fields.number("node")?);
                fields.end()?;
            }
            "POOL" => self.read_list(&mut fields, input)?,
            "SPAWN" => self.start_instance(&mut fields)?,
            "DOWN" => self.stop_instance(&mut fields)?,
            _ => self.handle_event(message, &mut fields, out)?,
        }
        Ok(Next::Continue)
    }

    fn begin_batch(&mut self, message: &str, fields: &mut Fields<'_>) -> Result<(), WireError> {
        if message != "BEGIN_BATCH" {
            return Err(WireError::Protocol(format!("'{message}' outside a batch")));
        }
        self.now = fields.number("time")?;
        self.batch = fields.number("batch")?;
        fields.end()?;
        self.current_node = None;
        self.replied_node = None;
        self.in_batch = true;
        Ok(())
    }

    /// Reads an endpoint list: its entries are the following lines.
    fn read_list<R: BufRead>(
        &mut self,
        fields: &mut Fields<'_>,
        input: &mut Lines<R>,
    ) -> Result<(), WireError> {
        let list = fields.number("list")?;
        let count: usize = fields.number("members-list")?;
        fields.end()?;
        let mut endpoints = Vec::with_capacity(count.min(MAX_RESERVED_ENTRIES));
        for _ in 0..count {
            let line = input
                .next_line()?
                .ok_or_else(|| WireError::Protocol("end of input inside a list".into()))?;
            endpoints.push(decode::endpoint(line, &mut self.name_ids)?);
        }
        self.lists.insert(list, Rc::new(endpoints));
        Ok(())
    }

    fn start_instance(&mut self, fields: &mut Fields<'_>) -> Result<(), WireError> {
        let node = self.current_node()?;
        let seed = fields.number("nonce64")?;
        let pairs = Pairs::from_line(fields.rest())?;
        let NamedSettings { settings, names } = settings::parse(&pairs)?;
        let balancer = Balancer::new(settings, seed);
        self.instances.insert(node, Instance { balancer, names });
        Ok(())
    }

    fn stop_instance(&mut self, fields: &mut Fields<'_>) -> Result<(), WireError> {
        fields.end()?;
        let node = self.current_node()?;
        match self.instances.remove(&node) {
            Some(_) => Ok(()),
            None => Err(not_running(node)),
        }
    }

    /// Delivers an event to the current node and writes the actions that its balancer returns.
    fn handle_event<W: Write>(
        &mut self,
        message: &str,
        fields: &mut Fields<'_>,
        out: &mut W,
    ) -> Result<(), WireError> {
        let node = self.current_node()?;
        let instance = self
            .instances
            .get_mut(&node)
            .ok_or_else(|| not_running(node))?;
        let event: Event = decode::event(message, fields, &instance.names, &self.lists)?;
        fields.end()?;
        instance
            .balancer
            .on_event(self.now, event, &mut self.actions);
        if self.actions.is_empty() {
            return Ok(());
        }
        if self.replied_node != Some(node) {
            writeln!(out, "ON_BEHALF {node}")?;
            self.replied_node = Some(node);
        }
        for action in self.actions.drain(..) {
            encode::write_action(out, &action)?;
        }
        Ok(())
    }

    fn current_node(&self) -> Result<u64, WireError> {
        self.current_node.ok_or_else(|| {
            WireError::Protocol("no CONTEXT line before this message in the batch".into())
        })
    }
}

fn not_running(node: u64) -> WireError {
    WireError::Protocol(format!("node {node} was never started or is stopped"))
}

/// Reads the input by lines and counts them for error messages.
struct Lines<R> {
    input: R,
    buffer: String,
    number: u64,
}

impl<R: BufRead> Lines<R> {
    fn new(input: R) -> Self {
        Lines {
            input,
            buffer: String::new(),
            number: 0,
        }
    }

    fn next_line(&mut self) -> Result<Option<&str>, WireError> {
        self.buffer.clear();
        self.number += 1;
        if self.input.read_line(&mut self.buffer)? == 0 {
            return Ok(None);
        }
        Ok(Some(self.buffer.trim_end_matches(['\n', '\r'])))
    }
}

/// Processes batches until the end of the input.
fn run<R: BufRead, W: Write>(input: &mut Lines<R>, out: &mut W) -> Result<(), WireError> {
    let mut host = Host::default();
    loop {
        let Some(line) = input.next_line()? else {
            if host.in_batch {
                return Err(WireError::Protocol("end of input inside a batch".into()));
            }
            return Ok(());
        };
        if line.is_empty() {
            continue;
        }
        let line = line.to_owned();
        if let Next::Flush = host.handle_line(&line, input, out)? {
            out.flush()?;
        }
    }
}

fn main() -> ExitCode {
    let mut lines = Lines::new(BufReader::with_capacity(BUFFER_BYTES, io::stdin().lock()));
    let mut out = BufWriter::with_capacity(BUFFER_BYTES, io::stdout().lock());
    match run(&mut lines, &mut out) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("load-balancer-sim: line {}: {error}", lines.number);
            ExitCode::FAILURE
        }
    }
}
