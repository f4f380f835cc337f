//! Owns the policy on the other end of a wire: any program that speaks it, such as an older build's
//! adapter, which is so measured beside today's module in the same plays.

use std::cell::RefCell;
use std::rc::Rc;

use load_balancer::{Action, Event};

use super::{Policy, Truth};
use crate::wire::{action, event_lines, Child, WireError};
use crate::world::Micros;

/// One instance in a program that hosts all of a play.
pub struct Remote {
    child: Rc<RefCell<Child>>,
    instance: usize,
    names: Rc<[String]>,
    /// The start, which goes into the batch of the first event.
    spawn: Option<String>,
}

impl Remote {
    pub fn new(
        child: Rc<RefCell<Child>>,
        instance: usize,
        names: Rc<[String]>,
        spawn: String,
    ) -> Remote {
        Remote {
            child,
            instance,
            names,
            spawn: Some(spawn),
        }
    }
}

impl Policy for Remote {
    fn on_event(
        &mut self,
        now: Micros,
        event: Event,
        _: Truth<'_>,
        out: &mut Vec<Action>,
    ) -> Result<(), WireError> {
        let mut lines = format!(
            "CONTEXT {}\n{}",
            self.instance,
            self.spawn.take().unwrap_or_default()
        );
        event_lines(&event, &self.names, &mut lines)?;
        let reply = self.child.borrow_mut().exchange(now, &lines)?;
        for line in reply.iter().filter(|line| !line.starts_with("ON_BEHALF ")) {
            out.push(action(line)?);
        }
        Ok(())
    }
}
