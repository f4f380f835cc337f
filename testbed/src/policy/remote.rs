//! The policy in an external program that speaks the simulator's wire protocol, such as the adapter of an older build,
//! which can thus be compared with the current decisions in the same runs.

use std::cell::RefCell;
use std::rc::Rc;

use load_balancer::{Action, Event};

use super::{GroundTruth, Policy};
use crate::wire::{action, event_lines, Child, WireError};
use crate::world::Micros;

/// One instance in an external program that hosts all instances of a run.
pub struct Remote {
    child: Rc<RefCell<Child>>,
    instance: usize,
    class_names: Rc<[String]>,
    /// The `SPAWN` line, which is sent in the batch of the first event.
    spawn: Option<String>,
}

impl Remote {
    pub fn new(
        child: Rc<RefCell<Child>>,
        instance: usize,
        class_names: Rc<[String]>,
        spawn: String,
    ) -> Remote {
        Remote {
            child,
            instance,
            class_names,
            spawn: Some(spawn),
        }
    }
}

impl Policy for Remote {
    fn on_event(
        &mut self,
        now: Micros,
        event: Event,
        _: GroundTruth<'_>,
        out: &mut Vec<Action>,
    ) -> Result<(), WireError> {
        let mut lines = format!(
            "CONTEXT {}\n{}",
            self.instance,
            self.spawn.take().unwrap_or_default()
        );
        event_lines(&event, &self.class_names, &mut lines)?;
        let reply = self.child.borrow_mut().exchange(now, &lines)?;
        for line in reply.iter().filter(|line| !line.starts_with("ON_BEHALF ")) {
            out.push(action(line)?);
        }
        Ok(())
    }
}
