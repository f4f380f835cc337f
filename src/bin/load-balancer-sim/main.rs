//! Hosts one [`load_balancer::Balancer`] for each node of a simulation: batches of events on standard input,
//! replies with actions on standard output. It decides nothing.
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

/// Bytes of the buffers of input and output.
const BUFFER_SIZE: usize = 1 << 18;
/// Entries of a list that memory is reserved for before they are read: a damaged count reserves no more.
const MAX_RESERVED_ENTRIES: usize = 4096;

/// One node: its balancer, and the names that its requests use for classes and tenants.
struct Instance {
    balancer: Balancer,
    names: Names,
}

/// The state between two lines.
#[derive(Default)]
struct Host {
    instances: HashMap<u64, Instance>,
    lists: EndpointLists,
    name_ids: NameIds,
    now: Micros,
    batch: u64,
    in_batch: bool,
    /// The node that the events of the batch go to.
    current_node: Option<u64>,
    /// The node that the reply named last.
    replied_node: Option<u64>,
    actions: Vec<Action>,
}

/// What follows a line.
enum Next {
    /// Read the next line.
    Continue,
    /// The batch is complete: send the reply first.
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

    /// Reads an endpoint list, whose entries are the next lines of the input.
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
            None => Err(never_started(node)),
        }
    }

    /// Delivers an event to the current node and writes the actions that it returns.
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
            .ok_or_else(|| never_started(node))?;
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
        self.current_node
            .ok_or_else(|| WireError::Protocol("an event before any CONTEXT".into()))
    }
}

fn never_started(node: u64) -> WireError {
    WireError::Protocol(format!("node {node} was never started"))
}

/// Input by lines, counted for error messages.
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

/// Handles batches until the input ends.
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
    let mut lines = Lines::new(BufReader::with_capacity(BUFFER_SIZE, io::stdin().lock()));
    let mut out = BufWriter::with_capacity(BUFFER_SIZE, io::stdout().lock());
    match run(&mut lines, &mut out) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("load-balancer-sim: line {}: {error}", lines.number);
            ExitCode::FAILURE
        }
    }
}
