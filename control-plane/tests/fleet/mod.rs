//! A fleet for tests of roles: real agent processes, some of them voters, each with a node that does nothing.
#![allow(dead_code)] // Each test program uses a part of it.

use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

use control_plane::coordinator::{CommandResult, CoordinatorReport};
use control_plane::lease::Role;
use tempfile::TempDir;
use testbed::plane::real::{name, Agents, BRISK};
use testbed::runtime::Reservation;

const PROGRAM: &str = env!("CARGO_BIN_EXE_balancer-agent");
pub const AMPLE: Duration = Duration::from_secs(60);
/// A node that does nothing: tests read its file of cordoned servers.
const NODE: &str =
    "[node]\ncommand = [\"sleep\", \"600\"]\nconfig = \"none\"\nready-within = \"10m\"\n\
     silent-limit = \"10m\"\ndrain-within = \"1s\"\n";

/// The newest token of each role.
pub fn tokens(reports: &[CoordinatorReport]) -> Vec<u64> {
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
    /// Three voters and two agents without a vote.
    pub async fn whole() -> Fleet {
        let fleet = Fleet::of(5, 5, "", &[]).await;
        fleet.until_held(&[0, 1, 2]).await;
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
            if agent < 3 {
                fleet
                    .agents
                    .voter_init(agent, &[0, 1, 2], &fleet.more[agent], false);
            }
            fleet.start(agent);
        }
        let all: Vec<usize> = (0..started).collect();
        fleet.agents.until_whole(&all, AMPLE).await;
        fleet
    }

    pub fn start(&mut self, agent: usize) {
        let more = self.more[agent].clone();
        self.agents.start(agent, &[0, 1, 2], &more);
    }

    /// Sends an operator's command, which must be committed.
    pub async fn yes(&self, agent: usize, path: &str) {
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
                report.roles.iter().all(|d| {
                    d.holder
                        .as_ref()
                        .is_some_and(|h| names.contains(h.as_str()))
                })
            });
            let leased = |duty: Role| {
                reports
                    .iter()
                    .flat_map(|report| &report.roles)
                    .any(|d| d.role == duty && d.lease_ms > 0)
            };
            reports.len() == among.len()
                && all
                && [Role::Maintenance, Role::MetricsAggregation, Role::Alerting]
                    .into_iter()
                    .all(leased)
        };
        self.agents
            .until(&format!("duties are held among {among:?}"), AMPLE, held)
            .await;
        self.reports(among).await
    }

    /// The cordoned servers, as an agent's node reads them.
    pub fn out_at(&self, agent: usize) -> Vec<String> {
        let file = format!("state/node/woodgap-{}-out.json", name(agent));
        let text = std::fs::read(self.agents.folder(agent).join(file)).unwrap_or_default();
        serde_json::from_slice(&text).unwrap_or_default()
    }

    pub async fn until_out(&self, of: &[usize], servers: &[&str]) -> Duration {
        let out = async |_: &Agents| of.iter().all(|&agent| self.out_at(agent) == servers);
        self.agents
            .until(&format!("{servers:?} are out at {of:?}"), AMPLE, out)
            .await
    }

    pub fn holder(reports: &[CoordinatorReport], duty: Role) -> usize {
        let holder = reports
            .iter()
            .flat_map(|r| &r.roles)
            .find(|d| d.role == duty)
            .and_then(|d| d.holder.clone());
        holder.unwrap().as_str()[1..].parse().unwrap()
    }
}
