//! Handovers and changes of voters among real agent processes: many handovers in a row, a holder that dies in the
//! middle of an update or whose update arrives late, a full disk, and voters that are replaced by new ones.

mod fleet;

use std::net::SocketAddr;
use std::time::Duration;

use control_plane::coordinator::{CommandResult, CoordinatorReport, FleetUpdate};
use control_plane::lease::{Handover, HandoverReason, Role};
use control_plane::membership::{fleet_id, CallMessage};
use fleet::{newest_tokens, Fleet, VOTERS, WAIT_TIMEOUT};
use nix::sys::signal::Signal;
use rustix::process::{prlimit, Pid, Resource, Rlimit};
use testbed::agent_harness::processes::{name, Agents};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends a call to an agent from a process outside the fleet, as a delayed call of a dead agent would arrive.
async fn call(to: SocketAddr, message: &CallMessage) -> Option<CallMessage> {
    let mut socket = TcpStream::connect(to).await.ok()?;
    socket
        .write_all(&message.encode(fleet_id("test")))
        .await
        .ok()?;
    socket.shutdown().await.ok()?;
    let mut bytes = Vec::new();
    socket.read_to_end(&mut bytes).await.ok()?;
    CallMessage::decode(&bytes, fleet_id("test")).ok()
}

/// Asserts that the maintenance role was alternately released and granted, each time to another holder.
fn assert_handovers_alternate(report: &CoordinatorReport) {
    let handovers: Vec<&Handover> = report
        .handovers
        .iter()
        .filter(|handover| handover.role == Role::Maintenance)
        .collect();
    assert!(handovers.len() > 20, "{handovers:?}");
    for pair in handovers.windows(2) {
        let (earlier, later) = (pair[0], pair[1]);
        match earlier.to {
            Some(_) => {
                assert_eq!(
                    (later.reason, &later.from, later.token),
                    (HandoverReason::OperatorRequest, &earlier.to, earlier.token)
                )
            }
            None => {
                assert!(
                    later.reason == HandoverReason::Released
                        && later.token > earlier.token
                        && later.to != earlier.from
                )
            }
        }
    }
}

/// Guards against a token that is granted twice, and against a shutdown that lets its leases expire.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn forty_handovers_in_a_row_grant_no_token_twice() {
    let mut fleet = Fleet::with_five_agents().await;
    let mut last = newest_tokens(&fleet.reports(&VOTERS).await)[0];
    for round in 0..40 {
        fleet.commit(round % 5, "/yield?duty=maintenance").await;
        if round % 8 == 0 {
            fleet
                .commit((round + 1) % 5, &format!("/out?server=api-{round}"))
                .await;
        }
        let token = newest_tokens(&fleet.reports(&VOTERS).await)[0];
        assert!(token > last, "round {round}: {token} after {last}");
        last = token;
    }
    fleet
        .wait_until_cordoned(
            &[0, 1, 2, 3, 4],
            &["api-0", "api-16", "api-24", "api-32", "api-8"],
        )
        .await;
    let report = fleet.agents.duties(0).await.unwrap();
    assert_handovers_alternate(&report);
    // A holder that shuts down releases its roles instead of letting the leases expire.
    let holder = Fleet::holder(&fleet.reports(&VOTERS).await, Role::Maintenance);
    fleet.agents.signal(holder, Signal::SIGTERM);
    assert!(fleet
        .agents
        .ended(holder, WAIT_TIMEOUT)
        .await
        .is_some_and(|status| status.success()));
    let others = Fleet::voters_except(holder);
    let reports = fleet.wait_until_roles_held(&others).await;
    let last: Vec<HandoverReason> = reports[0]
        .handovers
        .iter()
        .rev()
        .take(2)
        .map(|handover| handover.reason)
        .collect();
    assert_eq!(
        last,
        [HandoverReason::Released, HandoverReason::Shutdown],
        "{:?}",
        reports[0].handovers
    );
}

/// An update that uncordons all servers, with the highest version.
fn update_without_cordons(token: u64) -> CallMessage {
    CallMessage::ApplyUpdate(FleetUpdate {
        role: Role::Maintenance,
        token,
        version: u64::MAX,
        cordoned: Default::default(),
        voters: vec![],
    })
}

/// Guards against a delayed update of a dead holder that takes effect, even after the target was restarted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_holder_killed_amid_updates_is_replaced_and_its_late_update_changes_nothing() {
    let mut fleet = Fleet::with_five_agents().await;
    let before = fleet.reports(&VOTERS).await;
    let holder = Fleet::holder(&before, Role::Maintenance);
    let others = Fleet::voters_except(holder);
    // The holder's update reaches all agents but one, and then the holder dies.
    fleet.agents.links.partition(&[holder], &[4]);
    fleet.commit(others[0], "/out?server=api-1").await;
    fleet
        .wait_until_cordoned(&[others[0], others[1], 3], &["api-1"])
        .await;
    assert!(fleet.cordoned_at(4).is_empty());
    fleet.agents.kill(holder);
    fleet.agents.links.heal();
    fleet.wait_until_cordoned(&[4], &["api-1"]).await;
    let after = fleet.wait_until_roles_held(&others).await;
    let (old, new) = (newest_tokens(&before)[0], newest_tokens(&after)[0]);
    assert!(new > old);
    // An update of the dead holder arrives only now. It would uncordon api-1.
    let late_update = update_without_cordons(old);
    let answer = call(fleet.agents.address(4), &late_update).await;
    assert!(
        matches!(answer, Some(CallMessage::UpdateResult(Err(stale))) if stale.token == old && stale.seen >= new)
    );
    assert_eq!(
        (
            fleet.agents.duties(4).await.unwrap().rejected,
            fleet.cordoned_at(4)
        ),
        (1, vec!["api-1".to_owned()])
    );
    // The token is persisted: the update is rejected after a crash of the target too.
    fleet.agents.kill(4);
    fleet.start(4);
    fleet
        .agents
        .wait_until_converged(&[others[0], others[1], 3, 4], WAIT_TIMEOUT)
        .await;
    let answer = call(fleet.agents.address(4), &late_update).await;
    assert!(
        matches!(answer, Some(CallMessage::UpdateResult(Err(_)))),
        "{answer:?}"
    );
    assert_eq!(fleet.cordoned_at(4), ["api-1"]);
}

/// Guards against agents that keep to a holder which they can reach and the other voters can't.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_holder_cut_off_only_from_the_other_voters_is_replaced() {
    let fleet = Fleet::with_five_agents().await;
    let before = fleet.reports(&VOTERS).await;
    let holder = Fleet::holder(&before, Role::Maintenance);
    let others = Fleet::voters_except(holder);
    fleet.agents.links.partition(&[holder], &others);
    let after = fleet.wait_until_roles_held(&others).await;
    assert!(newest_tokens(&after)[0] > newest_tokens(&before)[0]);
    // An agent without a vote reaches all three voters. Where the one that is cut off can't commit the command, the
    // agent forwards it to another one.
    let committed = async |agents: &Agents| {
        agents
            .ask(3, "/out?server=api-1")
            .await
            .is_some_and(|result| result.is_committed())
    };
    fleet
        .agents
        .until(
            "the command is committed by the other two",
            WAIT_TIMEOUT,
            committed,
        )
        .await;
    fleet
        .wait_until_cordoned(&[others[0], others[1], 3, 4], &["api-1"])
        .await;
    fleet.agents.links.heal();
    fleet
        .wait_until_cordoned(&[0, 1, 2, 3, 4], &["api-1"])
        .await;
}

/// Limits the size of the files that an agent may write: further writes fail, as on a full disk.
fn limit_file_size(fleet: &Fleet, agent: usize, bytes: u64) {
    let pid = fleet
        .agents
        .pid(agent)
        .and_then(|pid| Pid::from_raw(pid as i32));
    prlimit(
        pid,
        Resource::Fsize,
        Rlimit {
            current: Some(bytes),
            maximum: None,
        },
    )
    .unwrap();
}

/// Guards against a voter that votes or acknowledges entries although it can't persist that, and against a command that
/// is confirmed without a majority.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_voter_with_a_full_disk_loses_its_vote_and_the_agent_continues() {
    let mut fleet = Fleet::with_five_agents().await;
    limit_file_size(&fleet, 1, 0);
    fleet.commit(0, "/out?server=api-1").await;
    let has_no_vote =
        async |agents: &Agents| agents.duties(1).await.is_ok_and(|report| !report.votes);
    fleet
        .agents
        .until(
            "the voter with the full disk has no vote",
            WAIT_TIMEOUT,
            has_no_vote,
        )
        .await;
    fleet.commit(1, "/out?server=api-2").await;
    fleet
        .wait_until_cordoned(&[0, 2, 3, 4], &["api-1", "api-2"])
        .await;
    fleet
        .agents
        .wait_until_converged(&[0, 1, 2, 3, 4], WAIT_TIMEOUT)
        .await;
    // A second voter's disk fills up: nothing can be committed, and no command is confirmed.
    limit_file_size(&fleet, 2, 0);
    let answer = fleet.agents.ask(3, "/back?server=api-1").await;
    assert!(
        !answer.as_ref().is_some_and(CommandResult::is_committed),
        "{answer:?}"
    );
    fleet
        .agents
        .wait_until_converged(&[0, 1, 2, 3, 4], WAIT_TIMEOUT)
        .await;
    // The restarted agents can write again: confirmed commands are not lost.
    for agent in [1, 2] {
        fleet.agents.kill(agent);
        fleet.start(agent);
    }
    fleet.wait_until_roles_held(&VOTERS).await;
    fleet.commit(1, "/out?server=api-3").await;
    let report = fleet.agents.duties(1).await.unwrap();
    assert!(
        ["api-2", "api-3"]
            .iter()
            .all(|server| report.cordoned.contains_key(*server)),
        "{:?}",
        report.cordoned
    );
}

/// Starts an agent with a new voter, waits until it votes, and removes an old one.
async fn replace_voter(fleet: &mut Fleet, old: usize, new: usize) {
    fleet
        .agents
        .voter_init(new, &VOTERS, &fleet.extra_config[new], true);
    fleet.start(new);
    let votes = async |agents: &Agents| {
        agents.duties(new).await.is_ok_and(|report| {
            let is_voter = report
                .voters
                .iter()
                .any(|voter| voter.as_str() == name(new));
            is_voter && report.index > 1
        })
    };
    fleet
        .agents
        .until(&format!("m{new} votes"), WAIT_TIMEOUT, votes)
        .await;
    fleet
        .commit(new, &format!("/voter/remove?name=m{old}"))
        .await;
    let has_no_vote =
        async |agents: &Agents| agents.duties(old).await.is_ok_and(|report| !report.votes);
    fleet
        .agents
        .until(&format!("m{old} has no vote"), WAIT_TIMEOUT, has_no_vote)
        .await;
}

/// Guards against cordons that are lost with the old voters, and against the database of a removed voter that votes
/// again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_voters_are_replaced_by_new_ones_while_servers_are_cordoned() {
    let mut fleet = Fleet::new(6, 3, "", &[]).await;
    fleet.wait_until_roles_held(&VOTERS).await;
    fleet.commit(0, "/out?server=api-1").await;
    for old in VOTERS {
        let new = old + 3;
        replace_voter(&mut fleet, old, new).await;
        fleet.commit(old, &format!("/out?server=api-{new}")).await;
    }
    let reports = fleet.wait_until_roles_held(&[3, 4, 5]).await;
    let voters: Vec<&str> = reports[0]
        .voters
        .iter()
        .map(|voter| voter.as_str())
        .collect();
    assert!(
        voters.len() == 3 && ["m3", "m4", "m5"].iter().all(|name| voters.contains(name)),
        "{voters:?}"
    );
    for old in VOTERS {
        fleet.agents.kill(old);
    }
    // The new voters need none of the removed ones, and an agent whose configuration names only the removed voters
    // finds the new ones.
    fleet.commit(4, "/out?server=api-9").await;
    let all = ["api-1", "api-3", "api-4", "api-5", "api-9"];
    fleet.wait_until_cordoned(&[3, 4, 5], &all).await;
    let extra_config = fleet.extra_config[0].clone();
    fleet.agents.start(0, &[3, 4], &extra_config);
    fleet
        .agents
        .wait_until_converged(&[0, 3, 4, 5], WAIT_TIMEOUT)
        .await;
    fleet.wait_until_cordoned(&[0], &all).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(
        !fleet.agents.duties(0).await.unwrap().votes,
        "the database of a removed voter must not vote"
    );
    fleet.commit(0, "/back?server=api-9").await;
}
