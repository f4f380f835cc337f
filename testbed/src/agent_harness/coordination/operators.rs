//! What operators do in a run: cordon and uncordon servers, ask for another role holder, and replace voters.

use control_plane::consensus::PersistedState;
use control_plane::coordinator::{joining_id, CoordinatorEvent, OperatorCommand};
use control_plane::lease::{Cordon, Role};
use control_plane::membership::Name;
use rand::RngExt;

use super::agent::Store;
use super::check::{CommandEvent, Operation};
use super::world::{name, ReplyTo};
use super::World;

impl World {
    /// Replaces a voter, provided that all voters are in the configuration: it is removed and, once the
    /// removal is committed, joins with a new store.
    pub fn replace_voter(&mut self, at: usize) {
        if self.agreed_voters().len() == self.voters() {
            self.remove_voter(at);
            self.run(1_500_000);
        }
        self.rejoin_removed();
    }

    pub(super) fn remove_voter(&mut self, at: usize) {
        let receiver = self.rng.random_range(0..self.agents.len());
        // A voter that is still joining would ask to join again after its removal was committed.
        if let Some(store) = self.agents[at]
            .store
            .as_ref()
            .filter(|store| store.persisted.snapshot.index > 0)
        {
            let reply_to = ReplyTo::VoterReplacement(at, store.id);
            self.submit(receiver, OperatorCommand::RemoveVoter(name(at)), reply_to);
        }
    }

    /// Names of the voters in the newest state that any agent has.
    pub(super) fn agreed_voters(&self) -> Vec<Name> {
        self.newest_state()
            .map(|state| state.voters.values().cloned().collect())
            .unwrap_or_default()
    }

    /// Gives voters whose removal was committed a new store, with which they join.
    pub(super) fn rejoin_removed(&mut self) {
        for at in std::mem::take(&mut self.removed) {
            self.kill(at, 100_000);
            let id = joining_id(&name(at), self.rng.random());
            self.agents[at].store = Some(Store {
                id,
                persisted: PersistedState::default(),
                full: false,
            });
            self.replaced += 1;
        }
    }

    /// Sends a cordon or uncordon command to a random agent, if that agent runs.
    pub fn send_command(&mut self) {
        let at = self.rng.random_range(0..self.agents.len());
        if self.agents[at].coordinator.is_none() || self.agents[at].paused.is_some() {
            return;
        }
        self.next_id += 1;
        let (call, server) = (self.next_id, format!("api-{}", self.rng.random_range(0..5)));
        let (op, command) = if self.rng.random() {
            let until_ms = None;
            let cordon = Cordon {
                operator: "lab".into(),
                reason: String::new(),
                since_ms: call,
                until_ms,
            };
            (
                Operation::Cordon(call),
                OperatorCommand::Cordon {
                    server: server.clone(),
                    cordon,
                },
            )
        } else {
            (
                Operation::Uncordon,
                OperatorCommand::Uncordon {
                    server: server.clone(),
                },
            )
        };
        self.history
            .command_events
            .push(CommandEvent::Sent { call, server, op });
        self.submit(at, command, ReplyTo::Operator(call));
    }

    /// Asks the holder of a random role, through a random agent, to release it.
    pub fn request_role_release(&mut self) {
        let at = self.rng.random_range(0..self.agents.len());
        let role = Role::ALL[self.rng.random_range(0..Role::ALL.len())];
        self.submit(at, OperatorCommand::ReleaseRole(role), ReplyTo::Operator(0));
    }

    fn submit(&mut self, at: usize, command: OperatorCommand, reply_to: ReplyTo) {
        self.next_id += 1;
        let request_id = self.next_id;
        self.pending_replies.insert(request_id, reply_to);
        self.deliver(
            at,
            CoordinatorEvent::CommandReceived {
                call: request_id,
                command,
            },
        );
    }
}
