//! Changes of hands and of voters among real agent processes: many in a row, a holder that dies or comes late in the
//! middle of an act, a disk that is full, and voters replaced by new ones.

mod fleet;

use std::net::SocketAddr;
use std::time::Duration;

use control_plane::coordinator::{CommandResult, FleetUpdate};
use control_plane::lease::{HandoverReason, Role};
use control_plane::membership::{fleet_id, CallMessage};
use fleet::{tokens, Fleet, AMPLE};
use nix::sys::signal::Signal;
use rustix::process::{prlimit, Pid, Resource, Rlimit};
use testbed::plane::real::{name, Agents};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A call from an agent that nobody knows any more.
async fn call(to: SocketAddr, stream: &CallMessage) -> Option<CallMessage> {
    let mut socket = TcpStream::connect(to).await.ok()?;
    socket
        .write_all(&stream.encode(fleet_id("test")))
        .await
        .ok()?;
    socket.shutdown().await.ok()?;
    let mut bytes = Vec::new();
    socket.read_to_end(&mut bytes).await.ok()?;
    CallMessage::decode(&bytes, fleet_id("test")).ok()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn forty_changes_of_hands_in_a_row_and_no_token_twice() {
    let mut fleet = Fleet::whole().await;
    let mut last = tokens(&fleet.reports(&[0, 1, 2]).await)[0];
    for round in 0..40 {
        fleet.yes(round % 5, "/yield?duty=maintenance").await;
        if round % 8 == 0 {
            fleet
                .yes((round + 1) % 5, &format!("/out?server=api-{round}"))
                .await;
        }
        let token = tokens(&fleet.reports(&[0, 1, 2]).await)[0];
        assert!(token > last, "round {round}: {token} after {last}");
        last = token;
    }
    fleet
        .until_out(
            &[0, 1, 2, 3, 4],
            &["api-0", "api-16", "api-24", "api-32", "api-8"],
        )
        .await;
    let report = fleet.agents.duties(0).await.unwrap();
    let mine: Vec<_> = report
        .handovers
        .iter()
        .filter(|change| change.role == Role::Maintenance)
        .collect();
    assert!(mine.len() > 20, "{mine:?}");
    for two in mine.windows(2) {
        match two[0].to {
            Some(_) => {
                assert_eq!(
                    (two[1].reason, &two[1].from, two[1].token),
                    (HandoverReason::OperatorRequest, &two[0].to, two[0].token)
                )
            }
            None => {
                assert!(
                    two[1].reason == HandoverReason::Released
                        && two[1].token > two[0].token
                        && two[1].to != two[0].from
                )
            }
        }
    }
    // One that stops hands its duties on and does not let them run out.
    let holder = Fleet::holder(&fleet.reports(&[0, 1, 2]).await, Role::Maintenance);
    fleet.agents.signal(holder, Signal::SIGTERM);
    assert!(fleet
        .agents
        .ended(holder, AMPLE)
        .await
        .is_some_and(|status| status.success()));
    let others: Vec<usize> = (0..3).filter(|&agent| agent != holder).collect();
    let reports = fleet.until_held(&others).await;
    let last: Vec<HandoverReason> = reports[0]
        .handovers
        .iter()
        .rev()
        .take(2)
        .map(|change| change.reason)
        .collect();
    assert_eq!(
        last,
        [HandoverReason::Released, HandoverReason::Shutdown],
        "{:?}",
        reports[0].handovers
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_holder_killed_in_the_middle_of_an_act_is_followed_and_its_late_act_changes_nothing() {
    let mut fleet = Fleet::whole().await;
    let before = fleet.reports(&[0, 1, 2]).await;
    let holder = Fleet::holder(&before, Role::Maintenance);
    let others: Vec<usize> = (0..3).filter(|&agent| agent != holder).collect();
    // Its acts reach all but one agent, and then it dies.
    fleet.agents.links.part(&[holder], &[4]);
    fleet.yes(others[0], "/out?server=api-1").await;
    fleet
        .until_out(&[others[0], others[1], 3], &["api-1"])
        .await;
    assert!(fleet.out_at(4).is_empty());
    fleet.agents.kill(holder);
    fleet.agents.links.heal();
    fleet.until_out(&[4], &["api-1"]).await;
    let after = fleet.until_held(&others).await;
    let (old, new) = (tokens(&before)[0], tokens(&after)[0]);
    assert!(new > old);
    // What it had sent arrives only now, and would put api-1 back.
    let act = CallMessage::ApplyUpdate(FleetUpdate {
        role: Role::Maintenance,
        token: old,
        version: u64::MAX,
        cordoned: Default::default(),
        voters: vec![],
    });
    let answer = call(fleet.agents.address(4), &act).await;
    assert!(
        matches!(answer, Some(CallMessage::UpdateResult(Err(stale))) if stale.token == old && stale.seen >= new)
    );
    assert_eq!(
        (
            fleet.agents.duties(4).await.unwrap().rejected,
            fleet.out_at(4)
        ),
        (1, vec!["api-1".to_owned()])
    );
    // The fence is kept: it holds also after a crash of the target.
    fleet.agents.kill(4);
    fleet.start(4);
    fleet
        .agents
        .until_whole(&[others[0], others[1], 3, 4], AMPLE)
        .await;
    let answer = call(fleet.agents.address(4), &act).await;
    assert!(
        matches!(answer, Some(CallMessage::UpdateResult(Err(_)))),
        "{answer:?}"
    );
    assert_eq!(fleet.out_at(4), ["api-1"]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_holder_cut_off_from_the_voters_but_not_from_the_others_brings_them_nothing_more() {
    let fleet = Fleet::whole().await;
    let before = fleet.reports(&[0, 1, 2]).await;
    let holder = Fleet::holder(&before, Role::Maintenance);
    let others: Vec<usize> = (0..3).filter(|&agent| agent != holder).collect();
    fleet.agents.links.part(&[holder], &others);
    let after = fleet.until_held(&others).await;
    assert!(tokens(&after)[0] > tokens(&before)[0]);
    // An agent without a vote reaches all three: it asks another where the one that is cut off gets nowhere.
    let asked = async |agents: &Agents| {
        agents
            .ask(3, "/out?server=api-1")
            .await
            .is_some_and(|a| a.is_committed())
    };
    fleet
        .agents
        .until("it is agreed on by the two", AMPLE, asked)
        .await;
    fleet
        .until_out(&[others[0], others[1], 3, 4], &["api-1"])
        .await;
    fleet.agents.links.heal();
    fleet.until_out(&[0, 1, 2, 3, 4], &["api-1"]).await;
}

fn may_write(fleet: &Fleet, agent: usize, bytes: Option<u64>) {
    let pid = fleet
        .agents
        .pid(agent)
        .and_then(|pid| Pid::from_raw(pid as i32));
    prlimit(
        pid,
        Resource::Fsize,
        Rlimit {
            current: bytes,
            maximum: None,
        },
    )
    .unwrap();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_full_disk_costs_the_vote_and_nothing_else() {
    let mut fleet = Fleet::whole().await;
    may_write(&fleet, 1, Some(0));
    fleet.yes(0, "/out?server=api-1").await;
    let silent = async |agents: &Agents| agents.duties(1).await.is_ok_and(|report| !report.votes);
    fleet
        .agents
        .until("the voter with the full disk is silent", AMPLE, silent)
        .await;
    fleet.yes(1, "/out?server=api-2").await;
    fleet.until_out(&[0, 2, 3, 4], &["api-1", "api-2"]).await;
    fleet.agents.until_whole(&[0, 1, 2, 3, 4], AMPLE).await;
    // A second one: nothing can be agreed on, and nobody is told that it was.
    may_write(&fleet, 2, Some(0));
    let answer = fleet.agents.ask(3, "/back?server=api-1").await;
    assert!(
        !answer.as_ref().is_some_and(CommandResult::is_committed),
        "{answer:?}"
    );
    fleet.agents.until_whole(&[0, 1, 2, 3, 4], AMPLE).await;
    // There is room again: what had got a yes is there.
    for agent in [1, 2] {
        fleet.agents.kill(agent);
        fleet.start(agent);
    }
    fleet.until_held(&[0, 1, 2]).await;
    fleet.yes(1, "/out?server=api-3").await;
    let report = fleet.agents.duties(1).await.unwrap();
    assert!(
        ["api-2", "api-3"]
            .iter()
            .all(|server| report.cordoned.contains_key(*server)),
        "{:?}",
        report.cordoned
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_voters_are_replaced_by_new_ones_while_servers_are_out() {
    let mut fleet = Fleet::of(6, 3, "", &[]).await;
    fleet.until_held(&[0, 1, 2]).await;
    fleet.yes(0, "/out?server=api-1").await;
    for old in 0..3 {
        let new = old + 3;
        fleet
            .agents
            .voter_init(new, &[0, 1, 2], &fleet.more[new], true);
        fleet.start(new);
        let votes = async |agents: &Agents| {
            agents
                .duties(new)
                .await
                .is_ok_and(|r| r.voters.iter().any(|v| v.as_str() == name(new)) && r.index > 1)
        };
        fleet
            .agents
            .until(&format!("m{new} votes"), AMPLE, votes)
            .await;
        fleet.yes(new, &format!("/voter/remove?name=m{old}")).await;
        let gone =
            async |agents: &Agents| agents.duties(old).await.is_ok_and(|report| !report.votes);
        fleet
            .agents
            .until(&format!("m{old} votes no more"), AMPLE, gone)
            .await;
        fleet.yes(old, &format!("/out?server=api-{new}")).await;
    }
    let reports = fleet.until_held(&[3, 4, 5]).await;
    let voters: Vec<&str> = reports[0]
        .voters
        .iter()
        .map(|voter| voter.as_str())
        .collect();
    assert!(
        voters.len() == 3 && ["m3", "m4", "m5"].iter().all(|name| voters.contains(name)),
        "{voters:?}"
    );
    for old in 0..3 {
        fleet.agents.kill(old);
    }
    // Those that were removed are not missed, and an agent that knows only them by its file finds the others.
    fleet.yes(4, "/out?server=api-9").await;
    let all = ["api-1", "api-3", "api-4", "api-5", "api-9"];
    fleet.until_out(&[3, 4, 5], &all).await;
    let more = fleet.more[0].clone();
    fleet.agents.start(0, &[3, 4], &more);
    fleet.agents.until_whole(&[0, 3, 4, 5], AMPLE).await;
    fleet.until_out(&[0], &all).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(
        !fleet.agents.duties(0).await.unwrap().votes,
        "a store that was removed gives no vote"
    );
    fleet.yes(0, "/back?server=api-9").await;
}
