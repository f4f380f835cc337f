//! Duties among real agent processes: held by one, passed on when it dies or is cut off, and servers out brought to
//! every node's own file. What needs many plays is in `lab/tests/duties.rs`, in virtual time.

use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

use nix::sys::signal::Signal;
use tempfile::TempDir;
use woodgap_fleet::duty::desk::{Answer, DeskReport};
use woodgap_fleet::duty::Duty;
use woodgap_lab::plane::real::{name, Agents, BRISK};

const PROGRAM: &str = env!("CARGO_BIN_EXE_woodgap-agent");
const AMPLE: Duration = Duration::from_secs(60);
const DUTIES: &str = "[duties]\nvoters = [\"m0\", \"m1\", \"m2\"]\n";
/// A node that does nothing: its file is what counts here.
const NODE: &str = "[node]\ncommand = [\"sleep\", \"600\"]\nconfig = \"none\"\nready-within = \"10m\"\n\
     silent-limit = \"10m\"\ndrain-within = \"1s\"\n";

struct Fleet {
    agents: Agents,
    more: Vec<String>,
    _folder: TempDir,
}

impl Fleet {
    /// Three voters and two agents without a vote, each with a node.
    async fn whole() -> Fleet {
        let folder = tempfile::tempdir().unwrap();
        let agents = Agents::new(Path::new(PROGRAM), folder.path(), 5, BRISK, 1).await.unwrap();
        let port = |agent: usize| {
            let ip = agents.listens(agent).ip();
            std::net::TcpListener::bind((ip, 0)).unwrap().local_addr().unwrap()
        };
        let table =
            |agent| format!("{DUTIES}{NODE}listen = \"{}\"\noperators = \"{}\"\n", port(agent), port(agent));
        let more: Vec<String> = (0..5).map(table).collect();
        let mut fleet = Fleet { agents, more, _folder: folder };
        for agent in 0..5 {
            if agent < 3 {
                fleet.agents.voter_init(agent, &[0, 1, 2], &fleet.more[agent]);
            }
            fleet.start(agent);
        }
        fleet.agents.until_whole(&[0, 1, 2, 3, 4], AMPLE).await;
        fleet.until_held(&[0, 1, 2]).await;
        fleet
    }

    fn start(&mut self, agent: usize) {
        let more = self.more[agent].clone();
        self.agents.start(agent, &[0, 1, 2], &more);
    }

    /// Staff ask, and the answer is yes.
    async fn yes(&self, agent: usize, path: &str) {
        let answer = self.agents.ask(agent, path).await;
        assert!(answer.as_ref().is_some_and(Answer::is_done), "{path} at {agent}: {answer:?}");
    }

    async fn reports(&self, of: &[usize]) -> Vec<DeskReport> {
        let mut reports = Vec::new();
        for &agent in of {
            reports.extend(self.agents.duties(agent).await.ok());
        }
        reports
    }

    /// Waits until some voters agree on holders among themselves, each with a lease of its own.
    async fn until_held(&self, among: &[usize]) -> Vec<DeskReport> {
        let names: BTreeSet<String> = among.iter().map(|&agent| name(agent)).collect();
        let held = async |_: &Agents| {
            let reports = self.reports(among).await;
            let all = reports.iter().all(|report| {
                report.duties.iter().all(|d| d.holder.as_ref().is_some_and(|h| names.contains(h.as_str())))
            });
            let leased = |duty: Duty| {
                reports.iter().flat_map(|report| &report.duties).any(|d| d.duty == duty && d.lease_ms > 0)
            };
            reports.len() == among.len()
                && all
                && [Duty::Maintenance, Duty::Census, Duty::Watch].into_iter().all(leased)
        };
        self.agents.until(&format!("duties are held among {among:?}"), AMPLE, held).await;
        self.reports(among).await
    }

    /// The servers out, as an agent's node reads them.
    fn out_at(&self, agent: usize) -> Vec<String> {
        let file = format!("state/node/woodgap-{}-out.json", name(agent));
        let text = std::fs::read(self.agents.folder(agent).join(file)).unwrap_or_default();
        serde_json::from_slice(&text).unwrap_or_default()
    }

    async fn until_out(&self, of: &[usize], servers: &[&str]) -> Duration {
        let out = async |_: &Agents| of.iter().all(|&agent| self.out_at(agent) == servers);
        self.agents.until(&format!("{servers:?} are out at {of:?}"), AMPLE, out).await
    }

    fn holder(reports: &[DeskReport], duty: Duty) -> usize {
        let holder =
            reports.iter().flat_map(|r| &r.duties).find(|d| d.duty == duty).and_then(|d| d.holder.clone());
        holder.unwrap().as_str()[1..].parse().unwrap()
    }
}

fn tokens(reports: &[DeskReport]) -> Vec<u64> {
    (0..3).map(|at| reports.iter().map(|report| report.duties[at].token).max().unwrap()).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn servers_out_reach_every_node_also_one_that_was_away() {
    let mut fleet = Fleet::whole().await;
    // What staff told one node directly is its own, and stays.
    let own = fleet.agents.folder(4).join("state/node/woodgap-m4-out.json");
    std::fs::write(&own, "[\"by-hand\"]").unwrap();
    fleet.agents.kill(3);
    fleet.yes(4, "/out?server=api-1&why=fan&who=ana").await;
    fleet.until_out(&[0, 1, 2], &["api-1"]).await;
    fleet.until_out(&[4], &["api-1", "by-hand"]).await;
    assert!(fleet.out_at(3).is_empty());
    fleet.start(3);
    fleet.until_out(&[3], &["api-1"]).await;
    let (one, other) =
        tokio::join!(fleet.agents.ask(0, "/out?server=api-2"), fleet.agents.ask(1, "/back?server=api-1"));
    assert!(one.is_some_and(|one| one.is_done()) && other.is_some_and(|other| other.is_done()));
    fleet.until_out(&[0, 1, 2, 3], &["api-2"]).await;
    fleet.until_out(&[4], &["api-2", "by-hand"]).await;
    // An end that passes brings it back by itself.
    let soon = std::time::SystemTime::now() + Duration::from_secs(1);
    let soon = soon.duration_since(std::time::UNIX_EPOCH).unwrap().as_millis();
    let path = format!("/out?server=api-3&until_ms={soon}");
    fleet.yes(2, &path).await;
    fleet.until_out(&[0, 1, 2, 3], &["api-2"]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_holder_and_leader_are_followed_and_no_yes_is_lost() {
    let mut fleet = Fleet::whole().await;
    let mut last = tokens(&fleet.reports(&[0, 1, 2]).await);
    for round in 0..4 {
        let reports = fleet.reports(&[0, 1, 2]).await;
        // In turn the holder of the maintenance duty, and the leader.
        let leader = reports.iter().find_map(|report| report.leader.clone()).unwrap();
        let leader: usize = leader.as_str()[1..].parse().unwrap();
        let victim = if round % 2 == 0 { Fleet::holder(&reports, Duty::Maintenance) } else { leader };
        let server = format!("/out?server=api-{round}");
        let asked = (victim + 1) % 3;
        fleet.yes(asked, &server).await;
        fleet.agents.kill(victim);
        let others: Vec<usize> = (0..3).filter(|&agent| agent != victim).collect();
        let reports = fleet.until_held(&others).await;
        let now = tokens(&reports);
        assert!(now.iter().zip(&last).all(|(now, last)| now >= last), "tokens only grow: {last:?} {now:?}");
        last = now;
        assert_eq!(reports[0].out.len(), round + 1, "what got a yes is there");
        fleet.start(victim);
        fleet.agents.until_whole(&[0, 1, 2, 3, 4], AMPLE).await;
        fleet.until_held(&[0, 1, 2]).await;
    }
    fleet.until_out(&[0, 1, 2, 3, 4], &["api-0", "api-1", "api-2", "api-3"]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_holder_cut_off_with_a_minority_or_paused_gives_way_and_its_late_acts_change_nothing() {
    let fleet = Fleet::whole().await;
    let reports = fleet.reports(&[0, 1, 2]).await;
    let holder = Fleet::holder(&reports, Duty::Maintenance);
    let others: Vec<usize> = (0..3).filter(|&agent| agent != holder).collect();
    let rest: Vec<usize> = others.iter().copied().chain([3, 4]).collect();
    fleet.agents.links.part(&[holder], &rest);
    let after = fleet.until_held(&others).await;
    assert!(tokens(&after)[0] > tokens(&reports)[0]);
    let cut_off = fleet.agents.duties(holder).await.unwrap();
    assert!(cut_off.duties.iter().all(|duty| duty.lease_ms == 0), "it knows by its own clock: {cut_off:?}");
    let missing =
        async |agents: &Agents| agents.duties(holder).await.is_ok_and(|report| report.missing.len() == 2);
    fleet.agents.until("it sees that two voters are missing", AMPLE, missing).await;
    let refused = fleet.agents.ask(holder, "/out?server=api-9").await;
    assert!(matches!(&refused, Some(Answer::Refused(why)) if why.contains("missing")), "{refused:?}");
    fleet.yes(3, "/out?server=api-1").await;
    fleet.until_out(&rest, &["api-1"]).await;
    fleet.agents.links.heal();
    fleet.agents.until_whole(&[0, 1, 2, 3, 4], AMPLE).await;
    fleet.until_out(&[holder], &["api-1"]).await;
    // Paused past its lease, and woken: another holds the duty by then.
    let reports = fleet.until_held(&[0, 1, 2]).await;
    let holder = Fleet::holder(&reports, Duty::Maintenance);
    fleet.agents.signal(holder, Signal::SIGSTOP);
    let others: Vec<usize> = (0..3).filter(|&agent| agent != holder).collect();
    let after = fleet.until_held(&others).await;
    assert!(tokens(&after)[0] > tokens(&reports)[0]);
    fleet.yes(others[0], "/back?server=api-1").await;
    fleet.agents.signal(holder, Signal::SIGCONT);
    fleet.until_out(&[0, 1, 2, 3, 4], &[]).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!((0..5).all(|agent| fleet.out_at(agent).is_empty()), "nothing brings it back out");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_voter_that_lost_its_store_has_no_vote_and_gets_no_new_one_by_itself() {
    let mut fleet = Fleet::whole().await;
    fleet.agents.kill(1);
    std::fs::remove_dir_all(fleet.agents.folder(1).join("state")).unwrap();
    fleet.start(1);
    fleet.agents.until_whole(&[0, 1, 2, 3, 4], AMPLE).await;
    assert!(!fleet.agents.duties(1).await.unwrap().votes);
    assert!(fleet.agents.log(1).contains("among the voters, but without a store"));
    fleet.yes(1, "/out?server=api-1").await;
    fleet.until_out(&[0, 1, 2, 3, 4], &["api-1"]).await;
    // Nor is one damaged file a vote.
    fleet.agents.kill(2);
    let votes = fleet.agents.folder(2).join("state/votes");
    let mut bytes = std::fs::read(&votes).unwrap();
    let middle = bytes.len() / 2;
    bytes[..middle].fill(0xa5);
    std::fs::write(&votes, bytes).unwrap();
    fleet.start(2);
    fleet.agents.until_whole(&[0, 1, 2, 3, 4], AMPLE).await;
    assert!(!fleet.agents.duties(2).await.unwrap().votes, "{}", fleet.agents.log(2));
}
