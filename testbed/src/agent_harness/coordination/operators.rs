//! Owns what staff do in a play: servers out and back, duties that are to change hands, voters that are replaced.

use control_plane::consensus::PersistedState;
use control_plane::coordinator::{joining_id, CoordinatorEvent, OperatorCommand};
use control_plane::lease::{Cordon, Role};
use control_plane::membership::Name;
use rand::RngExt;

use super::check::{Op, Step};
use super::replica::Store;
use super::world::{name, Asker};
use super::World;

impl World {
    /// Staff replace a voter, if all that should vote do: it is removed, and once that got a yes, joins with a new store.
    pub fn replace(&mut self, at: usize) {
        if self.agreed_voters().len() == self.voters() {
            self.remove(at);
            self.run(1_500_000);
        }
        self.join_removed();
    }

    pub(super) fn remove(&mut self, at: usize) {
        let asked = self.rng.random_range(0..self.seats.len());
        // One that is still joining would knock again after the yes.
        if let Some(store) = self.seats[at]
            .store
            .as_ref()
            .filter(|store| store.kept.snapshot.index > 0)
        {
            let asker = Asker::Replace(at, store.id);
            self.ask(asked, OperatorCommand::RemoveVoter(name(at)), asker);
        }
    }

    /// Who votes, by the newest state that any agent has.
    pub(super) fn agreed_voters(&self) -> Vec<Name> {
        self.newest()
            .map(|state| state.voters.values().cloned().collect())
            .unwrap_or_default()
    }

    /// Voters that were removed for sure get a new store, and join with it.
    pub(super) fn join_removed(&mut self) {
        for at in std::mem::take(&mut self.removed) {
            self.kill(at, 100_000);
            let id = joining_id(&name(at), self.rng.random());
            self.seats[at].store = Some(Store {
                id,
                kept: PersistedState::default(),
                full: false,
            });
            self.replaced += 1;
        }
    }

    /// Staff take a server out or put it back, at any agent that runs.
    pub fn call(&mut self) {
        let at = self.rng.random_range(0..self.seats.len());
        if self.seats[at].desk.is_none() || self.seats[at].paused.is_some() {
            return;
        }
        self.number += 1;
        let (call, server) = (self.number, format!("api-{}", self.rng.random_range(0..5)));
        let (op, wish) = if self.rng.random() {
            let until_ms = None;
            let out = Cordon {
                operator: "lab".into(),
                reason: String::new(),
                since_ms: call,
                until_ms,
            };
            (
                Op::Out(call),
                OperatorCommand::Cordon {
                    server: server.clone(),
                    cordon: out,
                },
            )
        } else {
            (
                Op::Back,
                OperatorCommand::Uncordon {
                    server: server.clone(),
                },
            )
        };
        self.history.steps.push(Step::Asked { call, server, op });
        self.ask(at, wish, Asker::Staff(call));
    }

    /// Staff ask for another holder.
    pub fn call_yield(&mut self) {
        let at = self.rng.random_range(0..self.seats.len());
        let duty = Role::ALL[self.rng.random_range(0..Role::ALL.len())];
        self.ask(at, OperatorCommand::ReleaseRole(duty), Asker::Staff(0));
    }

    fn ask(&mut self, at: usize, wish: OperatorCommand, asker: Asker) {
        self.number += 1;
        let ask = self.number;
        self.askers.insert(ask, asker);
        self.give(
            at,
            CoordinatorEvent::CommandReceived {
                call: ask,
                command: wish,
            },
        );
    }
}
