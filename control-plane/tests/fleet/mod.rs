//! A fleet for tests of singleton roles: real agent processes, some of them voters, each with a node that does nothing.
#![allow(dead_code)] // Each test program uses a part of it.

use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

use control_plane::coordinator::{CommandResult, CoordinatorReport};
use control_plane::lease::Role;
use control_plane::membership::Name;
use tempfile::TempDir;
use testbed::plane::real::{name, Agents, BRISK};
use testbed::runtime::Reservation;

const PROGRAM: &str = env!("CARGO_BIN_EXE_balancer-agent");
/// A bound on every wait, far above what it takes on a busy machine.
pub const AMPLE: Duration = Duration::from_secs(60);
/// The agents that vote.
pub const VOTERS: [usize; 3] = [0, 1, 2];
/// A node that does nothing: the file of its cordoned servers is what counts here.
const NODE: &str =
    "[node]\ncommand = [\"sleep\", \"600\"]\nconfig = \"none\"\nready-within = \"10m\"\n\
     silent-limit = \"10m\"\ndrain-within = \"1s\"\n";

/// The newest fencing token of each role, in the order of [`Role::ALL`].
pub fn newest_tokens(reports: &[CoordinatorReport]) -> Vec<u64> {
    (0..3)
        .map(|at| {
            reports
                .iter()
                .map(|report| report.roles[at].token)
                .max()
                .unwrap()
        })
        .collect()
}

pub struct Fleet {
    pub agents: Agents,
    /// Tables of each agent's configuration besides those of membership.
    pub more: Vec<String>,
    /// Nobody else gets the nodes' addresses as long as these exist.
    _reservations: Vec<[Reservation; 2]>,
    _folder: TempDir,
}

impl Fleet {
    /// Three voters and two agents without a vote, once the roles are held.
    pub async fn of_five() -> Fleet {
        let fleet = Fleet::of(5, 5, "", &[]).await;
        fleet.until_held(&VOTERS).await;
        fleet
    }

    /// Prepares `places` agents, the first three of them voters, and starts the first `started`. `more` is added to each
    /// configuration. The nodes' interfaces for operators are at the ports `nodes`; further nodes have none.
    pub async fn of(places: usize, started: usize, more: &str, nodes: &[u16]) -> Fleet {
        let folder = tempfile::tempdir().unwrap();
        let agents = Agents::new(Path::new(PROGRAM), folder.path(), places, BRISK, 1)
            .await
            .unwrap();
        let voters = "[duties]\nvoters = [\"m0\", \"m1\", \"m2\"]\n";
        let reservations: Vec<[Reservation; 2]> = (0..places)
            .map(|agent| [(); 2].map(|()| agents.reserve(agent).unwrap()))
            .collect();
        let table = |agent: usize| {
            let [clients, operators] = &reservations[agent];
            let operators = nodes
                .get(agent)
                .map_or(operators.addr(), |port| ([127, 0, 0, 1], *port).into());
            let clients = clients.addr();
            format!("{voters}{more}{NODE}listen = \"{clients}\"\noperators = \"{operators}\"\n")
        };
        let more: Vec<String> = (0..places).map(table).collect();
        let mut fleet = Fleet {
            agents,
            more,
            _reservations: reservations,
            _folder: folder,
        };
        for agent in 0..started {
            if VOTERS.contains(&agent) {
                fleet
                    .agents
                    .voter_init(agent, &VOTERS, &fleet.more[agent], false);
            }
            fleet.start(agent);
        }
        let all: Vec<usize> = (0..started).collect();
        fleet.agents.until_whole(&all, AMPLE).await;
        fleet
    }

    pub fn start(&mut self, agent: usize) {
        let more = self.more[agent].clone();
        self.agents.start(agent, &VOTERS, &more);
    }

    /// An operator's command at an agent, which is committed.
    pub async fn commit(&self, agent: usize, path: &str) {
        let answer = self.agents.ask(agent, path).await;
        assert!(
            answer.as_ref().is_some_and(CommandResult::is_committed),
            "{path} at {agent}: {answer:?}"
        );
    }

    pub async fn reports(&self, of: &[usize]) -> Vec<CoordinatorReport> {
        let mut reports = Vec::new();
        for &agent in of {
            reports.extend(self.agents.duties(agent).await.ok());
        }
        reports
    }

    /// Waits until each role has a holder with a lease, and all of `among` report holders that are of them.
    pub async fn until_held(&self, among: &[usize]) -> Vec<CoordinatorReport> {
        let names: BTreeSet<String> = among.iter().map(|&agent| name(agent)).collect();
        let held = async |_: &Agents| {
            let reports = self.reports(among).await;
            let all = reports.iter().all(|report| {
                report.roles.iter().all(|report| {
                    report
                        .holder
                        .as_ref()
                        .is_some_and(|holder| names.contains(holder.as_str()))
                })
            });
            let leased = |role: Role| {
                reports
                    .iter()
                    .flat_map(|report| &report.roles)
                    .any(|report| report.role == role && report.lease_ms > 0)
            };
            reports.len() == among.len() && all && Role::ALL.into_iter().all(leased)
        };
        self.agents
            .until(&format!("roles are held among {among:?}"), AMPLE, held)
            .await;
        self.reports(among).await
    }

    /// The cordoned servers, as an agent's node reads them.
    pub fn cordoned_at(&self, agent: usize) -> Vec<String> {
        let file = format!("state/node/woodgap-{}-out.json", name(agent));
        let text = std::fs::read(self.agents.folder(agent).join(file)).unwrap_or_default();
        serde_json::from_slice(&text).unwrap_or_default()
    }

    /// Waits until exactly these servers are cordoned at the nodes of some agents.
    pub async fn until_cordoned(&self, at: &[usize], servers: &[&str]) -> Duration {
        let cordoned =
            async |_: &Agents| at.iter().all(|&agent| self.cordoned_at(agent) == servers);
        self.agents
            .until(
                &format!("{servers:?} are cordoned at {at:?}"),
                AMPLE,
                cordoned,
            )
            .await
    }

    /// The holder of a role, by the first report that has the role.
    pub fn holder(reports: &[CoordinatorReport], role: Role) -> usize {
        let holder = reports
            .iter()
            .flat_map(|report| &report.roles)
            .find(|report| report.role == role)
            .and_then(|report| report.holder.clone());
        number_of(&holder.unwrap())
    }

    /// The leader of the replicated log, by the first report that names one.
    pub fn leader(reports: &[CoordinatorReport]) -> usize {
        let leader = reports.iter().find_map(|report| report.leader.clone());
        number_of(&leader.unwrap())
    }

    /// The voters but one.
    pub fn voters_without(agent: usize) -> Vec<usize> {
        VOTERS.into_iter().filter(|&voter| voter != agent).collect()
    }
}

fn number_of(name: &Name) -> usize {
    name.as_str()[1..].parse().unwrap()
}
