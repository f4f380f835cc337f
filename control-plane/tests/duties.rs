//! Duties among real agent processes: held by one, passed on when it dies or is cut off, and servers out brought to
//! every node's own file. What needs many plays is in `lab/tests/duties.rs`, in virtual time.

mod fleet;

use std::collections::BTreeSet;
use std::time::Duration;

use control_plane::coordinator::CommandResult;
use control_plane::lease::Role;
use fleet::{tokens, Fleet, AMPLE};
use nix::sys::signal::Signal;
use testbed::plane::real::Agents;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn servers_out_reach_every_node_also_one_that_was_away() {
    let mut fleet = Fleet::whole().await;
    // What staff told one node directly is its own, and stays.
    let own = fleet
        .agents
        .folder(4)
        .join("state/node/woodgap-m4-out.json");
    std::fs::write(&own, "[\"by-hand\"]").unwrap();
    fleet.agents.kill(3);
    fleet.yes(4, "/out?server=api-1&why=fan&who=ana").await;
    fleet.until_out(&[0, 1, 2], &["api-1"]).await;
    fleet.until_out(&[4], &["api-1", "by-hand"]).await;
    assert!(fleet.out_at(3).is_empty());
    fleet.start(3);
    fleet.until_out(&[3], &["api-1"]).await;
    let (one, other) = tokio::join!(
        fleet.agents.ask(0, "/out?server=api-2"),
        fleet.agents.ask(1, "/back?server=api-1")
    );
    assert!(
        one.is_some_and(|one| one.is_committed())
            && other.is_some_and(|other| other.is_committed())
    );
    fleet.until_out(&[0, 1, 2, 3], &["api-2"]).await;
    fleet.until_out(&[4], &["api-2", "by-hand"]).await;
    // An end that passes brings it back by itself.
    let soon = std::time::SystemTime::now() + Duration::from_secs(1);
    let soon = soon
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap()
        .as_millis();
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
        let leader = reports
            .iter()
            .find_map(|report| report.leader.clone())
            .unwrap();
        let leader: usize = leader.as_str()[1..].parse().unwrap();
        let victim = if round % 2 == 0 {
            Fleet::holder(&reports, Role::Maintenance)
        } else {
            leader
        };
        let server = format!("/out?server=api-{round}");
        let asked = (victim + 1) % 3;
        fleet.yes(asked, &server).await;
        fleet.agents.kill(victim);
        let others: Vec<usize> = (0..3).filter(|&agent| agent != victim).collect();
        let reports = fleet.until_held(&others).await;
        let now = tokens(&reports);
        assert!(
            now.iter().zip(&last).all(|(now, last)| now >= last),
            "tokens only grow: {last:?} {now:?}"
        );
        last = now;
        assert_eq!(
            reports[0].cordoned.len(),
            round + 1,
            "what got a yes is there"
        );
        fleet.start(victim);
        fleet.agents.until_whole(&[0, 1, 2, 3, 4], AMPLE).await;
        fleet.until_held(&[0, 1, 2]).await;
    }
    fleet
        .until_out(&[0, 1, 2, 3, 4], &["api-0", "api-1", "api-2", "api-3"])
        .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_asks_at_once_take_effect_once_also_when_the_leader_dies_among_them() {
    let mut fleet = Fleet::whole().await;
    let ask = async |fleet: &Fleet, agent: usize, from: usize| {
        let servers = from..from + 8;
        let paths: Vec<String> = servers
            .map(|server| format!("/out?server=api-{server:02}"))
            .collect();
        let asks = paths.iter().map(|path| fleet.agents.ask(agent, path));
        futures_util::future::join_all(asks).await
    };
    // Eight at a time at each agent, as many as its staff's address takes.
    let answers =
        futures_util::future::join_all((0..5).map(|agent| ask(&fleet, agent, 8 * agent))).await;
    assert!(
        answers
            .iter()
            .flatten()
            .all(|answer| answer.as_ref().is_some_and(CommandResult::is_committed)),
        "{answers:?}"
    );
    let all: Vec<String> = (0..40).map(|server| format!("api-{server:02}")).collect();
    let all: Vec<&str> = all.iter().map(String::as_str).collect();
    fleet.until_out(&[0, 1, 2, 3, 4], &all).await;
    let reports = fleet.reports(&[0, 1, 2]).await;
    let leader = reports
        .iter()
        .find_map(|report| report.leader.clone())
        .unwrap();
    let leader: usize = leader.as_str()[1..].parse().unwrap();
    let others: Vec<usize> = (0..5).filter(|&agent| agent != leader).collect();
    // The others ask again, for other servers, and the leader dies as soon as one of them has its yes.
    let agents = &fleet.agents;
    let first = tokio::sync::Notify::new();
    let asks = others
        .iter()
        .flat_map(|&agent| (0..8).map(move |nth| (agent, 40 + 8 * agent + nth)));
    let asks = asks.map(|(agent, server)| {
        let first = &first;
        async move {
            let answer = agents
                .ask(agent, &format!("/out?server=api-{server:02}"))
                .await;
            first.notify_one();
            (server, answer)
        }
    });
    let kill = async {
        first.notified().await;
        agents.signal(leader, Signal::SIGKILL);
    };
    let (answers, ()) = tokio::join!(futures_util::future::join_all(asks), kill);
    fleet.agents.kill(leader);
    let living: Vec<usize> = others.iter().copied().filter(|agent| *agent < 3).collect();
    let reports = fleet.until_held(&living).await;
    let out = |server: usize| {
        reports[0]
            .cordoned
            .contains_key(&format!("api-{server:02}"))
    };
    for (server, answer) in &answers {
        match answer {
            Some(CommandResult::Committed(_)) => {
                assert!(out(*server), "api-{server} got a yes and is not out")
            }
            Some(CommandResult::Rejected(why)) => {
                assert!(!out(*server), "api-{server} is out after a no: {why}")
            }
            Some(CommandResult::Unconfirmed(_)) | None => {}
        }
    }
    assert!(answers
        .iter()
        .any(|(_, answer)| answer.as_ref().is_some_and(CommandResult::is_committed)));
    fleet.start(leader);
    fleet.agents.until_whole(&[0, 1, 2, 3, 4], AMPLE).await;
    // What was only tried is asked for again, and is harmless.
    for (server, answer) in &answers {
        if !answer.as_ref().is_some_and(CommandResult::is_committed) {
            fleet
                .yes(others[0], &format!("/out?server=api-{server:02}"))
                .await;
        }
    }
    let out: BTreeSet<String> = (0..40)
        .chain(answers.iter().map(|(server, _)| *server))
        .map(|server| format!("api-{server:02}"))
        .collect();
    let out: Vec<&str> = out.iter().map(String::as_str).collect();
    fleet.until_out(&[0, 1, 2, 3, 4], &out).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_holder_cut_off_with_a_minority_or_paused_gives_way_and_its_late_acts_change_nothing() {
    let fleet = Fleet::whole().await;
    let reports = fleet.reports(&[0, 1, 2]).await;
    let holder = Fleet::holder(&reports, Role::Maintenance);
    let others: Vec<usize> = (0..3).filter(|&agent| agent != holder).collect();
    let rest: Vec<usize> = others.iter().copied().chain([3, 4]).collect();
    fleet.agents.links.part(&[holder], &rest);
    let after = fleet.until_held(&others).await;
    assert!(tokens(&after)[0] > tokens(&reports)[0]);
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
    fleet.yes(3, "/out?server=api-1").await;
    fleet.until_out(&rest, &["api-1"]).await;
    fleet.agents.links.heal();
    fleet.agents.until_whole(&[0, 1, 2, 3, 4], AMPLE).await;
    fleet.until_out(&[holder], &["api-1"]).await;
    // Paused past its lease, and woken: another holds the duty by then.
    let reports = fleet.until_held(&[0, 1, 2]).await;
    let holder = Fleet::holder(&reports, Role::Maintenance);
    fleet.agents.signal(holder, Signal::SIGSTOP);
    let others: Vec<usize> = (0..3).filter(|&agent| agent != holder).collect();
    let after = fleet.until_held(&others).await;
    assert!(tokens(&after)[0] > tokens(&reports)[0]);
    fleet.yes(others[0], "/back?server=api-1").await;
    fleet.agents.signal(holder, Signal::SIGCONT);
    fleet.until_out(&[0, 1, 2, 3, 4], &[]).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(
        (0..5).all(|agent| fleet.out_at(agent).is_empty()),
        "nothing brings it back out"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_voter_that_lost_its_store_has_no_vote_and_gets_no_new_one_by_itself() {
    let mut fleet = Fleet::whole().await;
    fleet.agents.kill(1);
    std::fs::remove_dir_all(fleet.agents.folder(1).join("state")).unwrap();
    fleet.start(1);
    fleet.agents.until_whole(&[0, 1, 2, 3, 4], AMPLE).await;
    assert!(!fleet.agents.duties(1).await.unwrap().votes);
    assert!(fleet
        .agents
        .log(1)
        .contains("among the voters, but without a store"));
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
    assert!(
        !fleet.agents.duties(2).await.unwrap().votes,
        "{}",
        fleet.agents.log(2)
    );
}
