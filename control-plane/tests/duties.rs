//! Singleton roles among real agent processes: held by one, granted to another when it dies or is cut off, and cordoned
//! servers brought to every node's own file. What needs many runs is in `testbed/tests/duties.rs`, in virtual time.

mod fleet;

use std::collections::BTreeSet;
use std::time::Duration;

use control_plane::coordinator::{CommandResult, CoordinatorReport};
use control_plane::lease::Role;
use fleet::{newest_tokens, Fleet, AMPLE, VOTERS};
use nix::sys::signal::Signal;
use testbed::plane::real::Agents;

/// Guards against a node that misses a cordon while its agent is down, or loses a cordon of its own operators.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cordons_reach_every_node_even_one_whose_agent_was_down() {
    let mut fleet = Fleet::of_five().await;
    // What operators cordoned at one node directly is its own, and stays.
    let own = fleet
        .agents
        .folder(4)
        .join("state/node/woodgap-m4-out.json");
    std::fs::write(&own, "[\"by-hand\"]").unwrap();
    fleet.agents.kill(3);
    fleet.commit(4, "/out?server=api-1&why=fan&who=ana").await;
    fleet.until_cordoned(&VOTERS, &["api-1"]).await;
    fleet.until_cordoned(&[4], &["api-1", "by-hand"]).await;
    assert!(fleet.cordoned_at(3).is_empty());
    fleet.start(3);
    fleet.until_cordoned(&[3], &["api-1"]).await;
    let (one, other) = tokio::join!(
        fleet.agents.ask(0, "/out?server=api-2"),
        fleet.agents.ask(1, "/back?server=api-1")
    );
    assert!(
        one.is_some_and(|one| one.is_committed())
            && other.is_some_and(|other| other.is_committed())
    );
    fleet.until_cordoned(&[0, 1, 2, 3], &["api-2"]).await;
    fleet.until_cordoned(&[4], &["api-2", "by-hand"]).await;
    // A cordon ends by itself when its time is up.
    let soon = std::time::SystemTime::now() + Duration::from_secs(1);
    let soon = soon
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap()
        .as_millis();
    let path = format!("/out?server=api-3&until_ms={soon}");
    fleet.commit(2, &path).await;
    fleet.until_cordoned(&[0, 1, 2, 3], &["api-2"]).await;
}

/// Guards against a confirmed command that is lost with the leader, and against a fencing token that goes back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_holder_or_leader_is_replaced_and_no_confirmed_command_is_lost() {
    let mut fleet = Fleet::of_five().await;
    let mut last = newest_tokens(&fleet.reports(&VOTERS).await);
    for round in 0..4 {
        let reports = fleet.reports(&VOTERS).await;
        // In turn the holder of the maintenance role, and the leader.
        let leader = Fleet::leader(&reports);
        let victim = if round % 2 == 0 {
            Fleet::holder(&reports, Role::Maintenance)
        } else {
            leader
        };
        let server = format!("/out?server=api-{round}");
        let asked = (victim + 1) % 3;
        fleet.commit(asked, &server).await;
        fleet.agents.kill(victim);
        let others = Fleet::voters_without(victim);
        let reports = fleet.until_held(&others).await;
        let now = newest_tokens(&reports);
        assert!(
            now.iter().zip(&last).all(|(now, last)| now >= last),
            "tokens only grow: {last:?} {now:?}"
        );
        last = now;
        assert_eq!(
            reports[0].cordoned.len(),
            round + 1,
            "what was confirmed is there"
        );
        fleet.start(victim);
        fleet.agents.until_whole(&[0, 1, 2, 3, 4], AMPLE).await;
        fleet.until_held(&VOTERS).await;
    }
    fleet
        .until_cordoned(&[0, 1, 2, 3, 4], &["api-0", "api-1", "api-2", "api-3"])
        .await;
}

/// A server of the commands that are given at once.
fn server(number: usize) -> String {
    format!("api-{number:02}")
}

/// An operator's command at an agent, with its result; `None` where the call failed.
async fn cordon(agents: &Agents, agent: usize, number: usize) -> Option<CommandResult> {
    let path = format!("/out?server={}", server(number));
    agents.ask(agent, &path).await
}

fn is_committed(result: &Option<CommandResult>) -> bool {
    result.as_ref().is_some_and(CommandResult::is_committed)
}

/// What one agent answered to a command.
struct Answer {
    /// The number of the server.
    server: usize,
    result: Option<CommandResult>,
}

/// Cordons eight servers at a time at each agent, as many as its operators' address takes.
async fn cordon_forty_at_once(fleet: &Fleet) {
    let commands = (0..5).flat_map(|agent| (0..8).map(move |nth| (agent, 8 * agent + nth)));
    let results = commands.map(|(agent, number)| cordon(&fleet.agents, agent, number));
    let results = futures_util::future::join_all(results).await;
    assert!(results.iter().all(is_committed), "{results:?}");
}

/// Cordons eight more servers at each of some agents, and kills the leader as soon as one command is answered.
async fn cordon_while_the_leader_dies(
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

/// Asserts that what was confirmed is cordoned, and what was rejected is not.
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
async fn many_commands_at_once_take_effect_once_even_when_the_leader_dies_among_them() {
    let mut fleet = Fleet::of_five().await;
    cordon_forty_at_once(&fleet).await;
    let forty: Vec<String> = (0..40).map(server).collect();
    let forty: Vec<&str> = forty.iter().map(String::as_str).collect();
    fleet.until_cordoned(&[0, 1, 2, 3, 4], &forty).await;
    let leader = Fleet::leader(&fleet.reports(&VOTERS).await);
    let others: Vec<usize> = (0..5).filter(|&agent| agent != leader).collect();
    let answers = cordon_while_the_leader_dies(&fleet.agents, leader, &others).await;
    fleet.agents.kill(leader);
    let reports = fleet.until_held(&Fleet::voters_without(leader)).await;
    assert_answers_hold(&answers, &reports[0]);
    fleet.start(leader);
    fleet.agents.until_whole(&[0, 1, 2, 3, 4], AMPLE).await;
    // What was not confirmed is commanded again, and is harmless.
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
    fleet.until_cordoned(&[0, 1, 2, 3, 4], &all).await;
}

/// Guards against two holders at a time, and against late updates of the old one that undo what was agreed since.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_holder_cut_off_or_paused_is_replaced_and_its_late_updates_change_nothing() {
    let fleet = Fleet::of_five().await;
    let reports = fleet.reports(&VOTERS).await;
    let holder = Fleet::holder(&reports, Role::Maintenance);
    let others = Fleet::voters_without(holder);
    let rest: Vec<usize> = others.iter().copied().chain([3, 4]).collect();
    fleet.agents.links.part(&[holder], &rest);
    let after = fleet.until_held(&others).await;
    assert!(newest_tokens(&after)[0] > newest_tokens(&reports)[0]);
    let cut_off = fleet.agents.duties(holder).await.unwrap();
    assert!(
        cut_off.roles.iter().all(|role| role.lease_ms == 0),
        "it knows by its own clock: {cut_off:?}"
    );
    let missing = async |agents: &Agents| {
        agents
            .duties(holder)
            .await
            .is_ok_and(|report| report.missing.len() == 2)
    };
    fleet
        .agents
        .until("it sees that two voters are missing", AMPLE, missing)
        .await;
    let refused = fleet.agents.ask(holder, "/out?server=api-9").await;
    assert!(
        matches!(&refused, Some(CommandResult::Rejected(why)) if why.contains("missing")),
        "{refused:?}"
    );
    fleet.commit(3, "/out?server=api-1").await;
    fleet.until_cordoned(&rest, &["api-1"]).await;
    fleet.agents.links.heal();
    fleet.agents.until_whole(&[0, 1, 2, 3, 4], AMPLE).await;
    fleet.until_cordoned(&[holder], &["api-1"]).await;
    // Paused past its lease, and woken: another holds the role by then.
    let reports = fleet.until_held(&VOTERS).await;
    let holder = Fleet::holder(&reports, Role::Maintenance);
    fleet.agents.signal(holder, Signal::SIGSTOP);
    let others = Fleet::voters_without(holder);
    let after = fleet.until_held(&others).await;
    assert!(newest_tokens(&after)[0] > newest_tokens(&reports)[0]);
    fleet.commit(others[0], "/back?server=api-1").await;
    fleet.agents.signal(holder, Signal::SIGCONT);
    fleet.until_cordoned(&[0, 1, 2, 3, 4], &[]).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(
        (0..5).all(|agent| fleet.cordoned_at(agent).is_empty()),
        "nothing brings it back out"
    );
}

/// Guards against a second vote in a term by a voter that does not remember its first.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_voter_that_lost_its_database_has_no_vote_and_gets_none_by_itself() {
    let mut fleet = Fleet::of_five().await;
    fleet.agents.kill(1);
    std::fs::remove_dir_all(fleet.agents.folder(1).join("state")).unwrap();
    fleet.start(1);
    fleet.agents.until_whole(&[0, 1, 2, 3, 4], AMPLE).await;
    assert!(!fleet.agents.duties(1).await.unwrap().votes);
    assert!(fleet
        .agents
        .log(1)
        .contains("among the voters, but without a store"));
    fleet.commit(1, "/out?server=api-1").await;
    fleet.until_cordoned(&[0, 1, 2, 3, 4], &["api-1"]).await;
    // A damaged database gives no vote either.
    fleet.agents.kill(2);
    let votes = fleet.agents.folder(2).join("state/votes");
    let mut bytes = std::fs::read(&votes).unwrap();
    let middle = bytes.len() / 2;
    bytes[..middle].fill(0xa5);
    std::fs::write(&votes, bytes).unwrap();
    fleet.start(2);
    fleet.agents.until_whole(&[0, 1, 2, 3, 4], AMPLE).await;
    assert!(
        !fleet.agents.duties(2).await.unwrap().votes,
        "{}",
        fleet.agents.log(2)
    );
}
