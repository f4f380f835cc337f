//! Singleton roles among real agent processes: each is held by one agent and granted to another when the holder dies or
//! is cut off, and cordoned servers reach the file of every node. Tests that need many runs are in
//! `testbed/tests/duties.rs`, in virtual time.

mod fleet;

use std::collections::BTreeSet;
use std::time::Duration;

use control_plane::coordinator::{CommandResult, CoordinatorReport};
use control_plane::lease::Role;
use fleet::{newest_tokens, Fleet, VOTERS, WAIT_TIMEOUT};
use nix::sys::signal::Signal;
use testbed::agent_harness::processes::Agents;

/// Guards against a node that misses a cordon while its agent is down, or loses a cordon that was set at this node
/// alone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cordons_reach_every_node_even_one_whose_agent_was_down() {
    let mut fleet = Fleet::with_five_agents().await;
    // A server that was cordoned at one node directly stays cordoned there.
    let own = fleet
        .agents
        .folder(4)
        .join("state/node/woodgap-m4-out.json");
    std::fs::write(&own, "[\"by-hand\"]").unwrap();
    fleet.agents.kill(3);
    fleet.commit(4, "/out?server=api-1&why=fan&who=ana").await;
    fleet.wait_until_cordoned(&VOTERS, &["api-1"]).await;
    fleet.wait_until_cordoned(&[4], &["api-1", "by-hand"]).await;
    assert!(fleet.cordoned_at(3).is_empty());
    fleet.start(3);
    fleet.wait_until_cordoned(&[3], &["api-1"]).await;
    let (one, other) = tokio::join!(
        fleet.agents.ask(0, "/out?server=api-2"),
        fleet.agents.ask(1, "/back?server=api-1")
    );
    assert!(
        one.is_some_and(|one| one.is_committed())
            && other.is_some_and(|other| other.is_committed())
    );
    fleet.wait_until_cordoned(&[0, 1, 2, 3], &["api-2"]).await;
    fleet.wait_until_cordoned(&[4], &["api-2", "by-hand"]).await;
    // A cordon with an end ends without a command.
    let until = std::time::SystemTime::now() + Duration::from_secs(1);
    let until_ms = until
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap()
        .as_millis();
    let path = format!("/out?server=api-3&until_ms={until_ms}");
    fleet.commit(2, &path).await;
    fleet.wait_until_cordoned(&[0, 1, 2, 3], &["api-2"]).await;
}

/// Guards against a confirmed command that is lost with the leader, and against a fencing token that decreases.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_holder_or_leader_is_replaced_and_no_confirmed_command_is_lost() {
    let mut fleet = Fleet::with_five_agents().await;
    let mut last = newest_tokens(&fleet.reports(&VOTERS).await);
    for round in 0..4 {
        let reports = fleet.reports(&VOTERS).await;
        // The holder of the maintenance role and the leader are killed in turn.
        let leader = Fleet::leader(&reports);
        let victim = if round % 2 == 0 {
            Fleet::holder(&reports, Role::Maintenance)
        } else {
            leader
        };
        let path = format!("/out?server=api-{round}");
        let other = (victim + 1) % 3;
        fleet.commit(other, &path).await;
        fleet.agents.kill(victim);
        let others = Fleet::voters_except(victim);
        let reports = fleet.wait_until_roles_held(&others).await;
        let now = newest_tokens(&reports);
        assert!(
            now.iter().zip(&last).all(|(now, last)| now >= last),
            "tokens only grow: {last:?} {now:?}"
        );
        last = now;
        assert_eq!(
            reports[0].cordoned.len(),
            round + 1,
            "confirmed cordons are not lost"
        );
        fleet.start(victim);
        fleet
            .agents
            .wait_until_converged(&[0, 1, 2, 3, 4], WAIT_TIMEOUT)
            .await;
        fleet.wait_until_roles_held(&VOTERS).await;
    }
    fleet
        .wait_until_cordoned(&[0, 1, 2, 3, 4], &["api-0", "api-1", "api-2", "api-3"])
        .await;
}

/// The identifier of a server in the concurrent commands.
fn server(number: usize) -> String {
    format!("api-{number:02}")
}

/// Sends an agent the command to cordon a server. Returns the result; `None` if the call failed.
async fn cordon(agents: &Agents, agent: usize, number: usize) -> Option<CommandResult> {
    let path = format!("/out?server={}", server(number));
    agents.ask(agent, &path).await
}

fn is_committed(result: &Option<CommandResult>) -> bool {
    result.as_ref().is_some_and(CommandResult::is_committed)
}

/// An agent's answer to a command.
struct Answer {
    /// The number of the server.
    server: usize,
    result: Option<CommandResult>,
}

/// Sends eight commands at a time to each agent, as many as its address for operators accepts.
async fn cordon_forty_servers_concurrently(fleet: &Fleet) {
    let commands = (0..5).flat_map(|agent| (0..8).map(move |nth| (agent, 8 * agent + nth)));
    let results = commands.map(|(agent, number)| cordon(&fleet.agents, agent, number));
    let results = futures_util::future::join_all(results).await;
    assert!(results.iter().all(is_committed), "{results:?}");
}

/// Sends eight more commands to each of some agents, and kills the leader as soon as one command is answered.
async fn cordon_while_the_leader_is_killed(
    agents: &Agents,
    leader: usize,
    others: &[usize],
) -> Vec<Answer> {
    let first = tokio::sync::Notify::new();
    let commands = others
        .iter()
        .flat_map(|&agent| (0..8).map(move |nth| (agent, 40 + 8 * agent + nth)));
    let answers = commands.map(|(agent, server)| {
        let first = &first;
        async move {
            let result = cordon(agents, agent, server).await;
            first.notify_one();
            Answer { server, result }
        }
    });
    let kill = async {
        first.notified().await;
        agents.signal(leader, Signal::SIGKILL);
    };
    let (answers, ()) = tokio::join!(futures_util::future::join_all(answers), kill);
    answers
}

/// Asserts that servers of confirmed commands are cordoned, and those of rejected commands are not.
fn assert_answers_hold(answers: &[Answer], report: &CoordinatorReport) {
    for Answer {
        server: number,
        result,
    } in answers
    {
        let server = server(*number);
        let is_cordoned = report.cordoned.contains_key(&server);
        match result {
            Some(CommandResult::Committed(_)) => {
                assert!(is_cordoned, "{server} was confirmed and is not cordoned");
            }
            Some(CommandResult::Rejected(why)) => {
                assert!(
                    !is_cordoned,
                    "{server} is cordoned after a rejection: {why}"
                );
            }
            Some(CommandResult::Unconfirmed(_)) | None => {}
        }
    }
    assert!(answers.iter().any(|answer| is_committed(&answer.result)));
}

/// Guards against a command that is confirmed and lost, or rejected and applied, while the leader changes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_commands_take_effect_as_answered_even_when_the_leader_dies() {
    let mut fleet = Fleet::with_five_agents().await;
    cordon_forty_servers_concurrently(&fleet).await;
    let forty: Vec<String> = (0..40).map(server).collect();
    let forty: Vec<&str> = forty.iter().map(String::as_str).collect();
    fleet.wait_until_cordoned(&[0, 1, 2, 3, 4], &forty).await;
    let leader = Fleet::leader(&fleet.reports(&VOTERS).await);
    let others: Vec<usize> = (0..5).filter(|&agent| agent != leader).collect();
    let answers = cordon_while_the_leader_is_killed(&fleet.agents, leader, &others).await;
    fleet.agents.kill(leader);
    let reports = fleet
        .wait_until_roles_held(&Fleet::voters_except(leader))
        .await;
    assert_answers_hold(&answers, &reports[0]);
    fleet.start(leader);
    fleet
        .agents
        .wait_until_converged(&[0, 1, 2, 3, 4], WAIT_TIMEOUT)
        .await;
    // Commands that were not confirmed are sent again, which is harmless.
    for answer in answers
        .iter()
        .filter(|answer| !is_committed(&answer.result))
    {
        let path = format!("/out?server={}", server(answer.server));
        fleet.commit(others[0], &path).await;
    }
    let numbers = (0..40).chain(answers.iter().map(|answer| answer.server));
    let all: BTreeSet<String> = numbers.map(server).collect();
    let all: Vec<&str> = all.iter().map(String::as_str).collect();
    fleet.wait_until_cordoned(&[0, 1, 2, 3, 4], &all).await;
}

/// Guards against two holders at a time, and against late updates of the old holder that undo what was committed since.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_holder_cut_off_or_paused_is_replaced_and_its_late_updates_change_nothing() {
    let fleet = Fleet::with_five_agents().await;
    let reports = fleet.reports(&VOTERS).await;
    let holder = Fleet::holder(&reports, Role::Maintenance);
    let others = Fleet::voters_except(holder);
    let rest: Vec<usize> = others.iter().copied().chain([3, 4]).collect();
    fleet.agents.links.partition(&[holder], &rest);
    let after = fleet.wait_until_roles_held(&others).await;
    assert!(newest_tokens(&after)[0] > newest_tokens(&reports)[0]);
    let cut_off = fleet.agents.duties(holder).await.unwrap();
    assert!(
        cut_off.roles.iter().all(|role| role.lease_ms == 0),
        "its leases expire by its own clock: {cut_off:?}"
    );
    let missing = async |agents: &Agents| {
        agents
            .duties(holder)
            .await
            .is_ok_and(|report| report.missing.len() == 2)
    };
    fleet
        .agents
        .until(
            "the holder sees that two voters are missing",
            WAIT_TIMEOUT,
            missing,
        )
        .await;
    let rejected = fleet.agents.ask(holder, "/out?server=api-9").await;
    assert!(
        matches!(&rejected, Some(CommandResult::Rejected(why)) if why.contains("missing")),
        "{rejected:?}"
    );
    fleet.commit(3, "/out?server=api-1").await;
    fleet.wait_until_cordoned(&rest, &["api-1"]).await;
    fleet.agents.links.heal();
    fleet
        .agents
        .wait_until_converged(&[0, 1, 2, 3, 4], WAIT_TIMEOUT)
        .await;
    fleet.wait_until_cordoned(&[holder], &["api-1"]).await;
    // A holder is paused for longer than its lease and then resumed: another agent holds the role by then.
    let reports = fleet.wait_until_roles_held(&VOTERS).await;
    let holder = Fleet::holder(&reports, Role::Maintenance);
    fleet.agents.signal(holder, Signal::SIGSTOP);
    let others = Fleet::voters_except(holder);
    let after = fleet.wait_until_roles_held(&others).await;
    assert!(newest_tokens(&after)[0] > newest_tokens(&reports)[0]);
    fleet.commit(others[0], "/back?server=api-1").await;
    fleet.agents.signal(holder, Signal::SIGCONT);
    fleet.wait_until_cordoned(&[0, 1, 2, 3, 4], &[]).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(
        (0..5).all(|agent| fleet.cordoned_at(agent).is_empty()),
        "no late update cordons api-1 again"
    );
}

/// Guards against a second vote in a term by a voter that does not remember its first.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_voter_that_lost_its_database_has_no_vote_and_does_not_regain_it_by_itself() {
    let mut fleet = Fleet::with_five_agents().await;
    fleet.agents.kill(1);
    std::fs::remove_dir_all(fleet.agents.folder(1).join("state")).unwrap();
    fleet.start(1);
    fleet
        .agents
        .wait_until_converged(&[0, 1, 2, 3, 4], WAIT_TIMEOUT)
        .await;
    assert!(!fleet.agents.duties(1).await.unwrap().votes);
    assert!(fleet
        .agents
        .log(1)
        .contains("among the voters, but without a store"));
    fleet.commit(1, "/out?server=api-1").await;
    fleet
        .wait_until_cordoned(&[0, 1, 2, 3, 4], &["api-1"])
        .await;
    // An agent whose database is damaged does not vote, like one that lost its database.
    fleet.agents.kill(2);
    let votes = fleet.agents.folder(2).join("state/votes");
    let mut bytes = std::fs::read(&votes).unwrap();
    let middle = bytes.len() / 2;
    bytes[..middle].fill(0xa5);
    std::fs::write(&votes, bytes).unwrap();
    fleet.start(2);
    fleet
        .agents
        .wait_until_converged(&[0, 1, 2, 3, 4], WAIT_TIMEOUT)
        .await;
    assert!(
        !fleet.agents.duties(2).await.unwrap().votes,
        "{}",
        fleet.agents.log(2)
    );
}
