//! A fleet for tests of singleton roles: real agent processes, some of them voters, each with an idle node.
#![allow(dead_code)] // Each test program uses only a part of this module.

use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

use control_plane::coordinator::{CommandResult, CoordinatorReport};
use control_plane::lease::Role;
use control_plane::membership::Name;
use tempfile::TempDir;
use testbed::agent_harness::processes::{name, Agents, FAST_SETTINGS};
use testbed::runtime::Reservation;

const PROGRAM: &str = env!("CARGO_BIN_EXE_balancer-agent");
/// The bound on each wait, far above the time needed even on a busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// The founding voters.
pub const VOTERS: [usize; 3] = [0, 1, 2];
/// Configuration of a node whose process is idle. The tests only read the file of cordoned servers that its agent
/// writes.
const IDLE_NODE: &str =
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

/// The agents, named `m0`, `m1` and so on, and what they need while they run.
pub struct Fleet {
    pub agents: Agents,
    /// Tables of each agent's configuration besides those of membership.
    pub extra_config: Vec<String>,
    /// Keeps the addresses of the nodes from being assigned to other processes.
    _reservations: Vec<[Reservation; 2]>,
    _folder: TempDir,
}

impl Fleet {
    /// Starts three voters and two agents without a vote, and waits until all roles are held.
    pub async fn with_five_agents() -> Fleet {
        let fleet = Fleet::new(5, 5, "", &[]).await;
        fleet.wait_until_roles_held(&VOTERS).await;
        fleet
    }

    /// Prepares `agent_count` agents, the first three of them voters, and starts the first `started_count`.
    /// `extra_config` is added to each configuration. The first nodes' interfaces for operators are expected at the
    /// ports `node_ports`; the remaining nodes have none.
    pub async fn new(
        agent_count: usize,
        started_count: usize,
        extra_config: &str,
        node_ports: &[u16],
    ) -> Fleet {
        let folder = tempfile::tempdir().unwrap();
        let agents = Agents::new(
            Path::new(PROGRAM),
            folder.path(),
            agent_count,
            FAST_SETTINGS,
            1,
        )
        .await
        .unwrap();
        let voters = "[duties]\nvoters = [\"m0\", \"m1\", \"m2\"]\n";
        let reservations: Vec<[Reservation; 2]> = (0..agent_count)
            .map(|agent| [(); 2].map(|()| agents.reserve(agent).unwrap()))
            .collect();
        let table = |agent: usize| {
            let [clients, operators] = &reservations[agent];
            let operators = node_ports
                .get(agent)
                .map_or(operators.addr(), |port| ([127, 0, 0, 1], *port).into());
            let clients = clients.addr();
            format!("{voters}{extra_config}{IDLE_NODE}listen = \"{clients}\"\noperators = \"{operators}\"\n")
        };
        let extra_config: Vec<String> = (0..agent_count).map(table).collect();
        let mut fleet = Fleet {
            agents,
            extra_config,
            _reservations: reservations,
            _folder: folder,
        };
        for agent in 0..started_count {
            if VOTERS.contains(&agent) {
                fleet
                    .agents
                    .voter_init(agent, &VOTERS, &fleet.extra_config[agent], false);
            }
            fleet.start(agent);
        }
        let all: Vec<usize> = (0..started_count).collect();
        fleet.agents.wait_until_converged(&all, WAIT_TIMEOUT).await;
        fleet
    }

    pub fn start(&mut self, agent: usize) {
        let extra_config = self.extra_config[agent].clone();
        self.agents.start(agent, &VOTERS, &extra_config);
    }

    /// Sends an operator's command to an agent, and asserts that it is committed.
    pub async fn commit(&self, agent: usize, path: &str) {
        let answer = self.agents.ask(agent, path).await;
        assert!(
            answer.as_ref().is_some_and(CommandResult::is_committed),
            "{path} at {agent}: {answer:?}"
        );
    }

    /// The reports of those of some agents that answer.
    pub async fn reports(&self, agents: &[usize]) -> Vec<CoordinatorReport> {
        let mut reports = Vec::new();
        for &agent in agents {
            reports.extend(self.agents.duties(agent).await.ok());
        }
        reports
    }

    /// Waits until each role has a holder with a lease, and all agents of `among` report only holders from `among`.
    pub async fn wait_until_roles_held(&self, among: &[usize]) -> Vec<CoordinatorReport> {
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
            .until(
                &format!("roles are held among {among:?}"),
                WAIT_TIMEOUT,
                held,
            )
            .await;
        self.reports(among).await
    }

    /// The cordoned servers in the file that an agent writes for its node.
    pub fn cordoned_at(&self, agent: usize) -> Vec<String> {
        let file = format!("state/node/woodgap-{}-out.json", name(agent));
        let text = std::fs::read(self.agents.folder(agent).join(file)).unwrap_or_default();
        serde_json::from_slice(&text).unwrap_or_default()
    }

    /// Waits until exactly these servers are cordoned at the nodes of some agents.
    pub async fn wait_until_cordoned(&self, at: &[usize], servers: &[&str]) -> Duration {
        let cordoned =
            async |_: &Agents| at.iter().all(|&agent| self.cordoned_at(agent) == servers);
        self.agents
            .until(
                &format!("{servers:?} are cordoned at {at:?}"),
                WAIT_TIMEOUT,
                cordoned,
            )
            .await
    }

    /// The holder of a role, according to the first report that has the role.
    pub fn holder(reports: &[CoordinatorReport], role: Role) -> usize {
        let holder = reports
            .iter()
            .flat_map(|report| &report.roles)
            .find(|report| report.role == role)
            .and_then(|report| report.holder.clone());
        agent_index(&holder.unwrap())
    }

    /// The leader of the replicated log, according to the first report that names one.
    pub fn leader(reports: &[CoordinatorReport]) -> usize {
        let leader = reports.iter().find_map(|report| report.leader.clone());
        agent_index(&leader.unwrap())
    }

    /// The founding voters except one.
    pub fn voters_except(agent: usize) -> Vec<usize> {
        VOTERS.into_iter().filter(|&voter| voter != agent).collect()
    }
}

fn agent_index(name: &Name) -> usize {
    name.as_str()[1..].parse().unwrap()
}
