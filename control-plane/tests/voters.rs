//! Handovers and changes of voters among real agent processes: many in a row, a holder that dies in the middle of an
//! update or sends one late, a disk that is full, and voters replaced by new ones.

mod fleet;

use std::net::SocketAddr;
use std::time::Duration;

use control_plane::coordinator::{CommandResult, CoordinatorReport, FleetUpdate};
use control_plane::lease::{Handover, HandoverReason, Role};
use control_plane::membership::{fleet_id, CallMessage};
use fleet::{newest_tokens, Fleet, AMPLE, VOTERS};
use nix::sys::signal::Signal;
use rustix::process::{prlimit, Pid, Resource, Rlimit};
use testbed::plane::real::{name, Agents};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A call from an agent that nobody knows any more.
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

/// Asserts that the maintenance role was released and granted in turn, each time to another holder.
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
    let mut fleet = Fleet::of_five().await;
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
        .until_cordoned(
            &[0, 1, 2, 3, 4],
            &["api-0", "api-16", "api-24", "api-32", "api-8"],
        )
        .await;
    let report = fleet.agents.duties(0).await.unwrap();
    assert_handovers_alternate(&report);
    // One that shuts down releases its roles, and does not let the leases expire.
    let holder = Fleet::holder(&fleet.reports(&VOTERS).await, Role::Maintenance);
    fleet.agents.signal(holder, Signal::SIGTERM);
    assert!(fleet
        .agents
        .ended(holder, AMPLE)
        .await
        .is_some_and(|status| status.success()));
    let others = Fleet::voters_without(holder);
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

/// An update that uncordons all servers and is newer than any other.
fn update_without_cordons(token: u64) -> CallMessage {
    CallMessage::ApplyUpdate(FleetUpdate {
        role: Role::Maintenance,
        token,
        version: u64::MAX,
        cordoned: Default::default(),
        voters: vec![],
    })
}

/// Guards against an update of a dead holder that takes effect late, also after the target was restarted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_holder_killed_amid_updates_is_replaced_and_its_late_update_changes_nothing() {
    let mut fleet = Fleet::of_five().await;
    let before = fleet.reports(&VOTERS).await;
    let holder = Fleet::holder(&before, Role::Maintenance);
    let others = Fleet::voters_without(holder);
    // Its update reaches all but one agent, and then it dies.
    fleet.agents.links.part(&[holder], &[4]);
    fleet.commit(others[0], "/out?server=api-1").await;
    fleet
        .until_cordoned(&[others[0], others[1], 3], &["api-1"])
        .await;
    assert!(fleet.cordoned_at(4).is_empty());
    fleet.agents.kill(holder);
    fleet.agents.links.heal();
    fleet.until_cordoned(&[4], &["api-1"]).await;
    let after = fleet.until_held(&others).await;
    let (old, new) = (newest_tokens(&before)[0], newest_tokens(&after)[0]);
    assert!(new > old);
    // What it had sent arrives only now, and would uncordon api-1.
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
    // The token is persisted: the check holds after a crash of the target too.
    fleet.agents.kill(4);
    fleet.start(4);
    fleet
        .agents
        .until_whole(&[others[0], others[1], 3, 4], AMPLE)
        .await;
    let answer = call(fleet.agents.address(4), &late_update).await;
    assert!(
        matches!(answer, Some(CallMessage::UpdateResult(Err(_)))),
        "{answer:?}"
    );
    assert_eq!(fleet.cordoned_at(4), ["api-1"]);
}

/// Guards against agents that stay with a holder which only they can reach.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_holder_cut_off_from_the_voters_alone_updates_nobody_any_more() {
    let fleet = Fleet::of_five().await;
    let before = fleet.reports(&VOTERS).await;
    let holder = Fleet::holder(&before, Role::Maintenance);
    let others = Fleet::voters_without(holder);
    fleet.agents.links.part(&[holder], &others);
    let after = fleet.until_held(&others).await;
    assert!(newest_tokens(&after)[0] > newest_tokens(&before)[0]);
    // An agent without a vote reaches all three: it forwards to another where the one that is cut off gets nowhere.
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
            AMPLE,
            committed,
        )
        .await;
    fleet
        .until_cordoned(&[others[0], others[1], 3, 4], &["api-1"])
        .await;
    fleet.agents.links.heal();
    fleet.until_cordoned(&[0, 1, 2, 3, 4], &["api-1"]).await;
}

/// Limits the size of the files that an agent may write: the next write beyond it fails, as on a full disk.
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

/// Guards against a voter that promises what it could not persist, and against a command confirmed without a majority.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_full_disk_costs_the_vote_and_nothing_else() {
    let mut fleet = Fleet::of_five().await;
    limit_file_size(&fleet, 1, 0);
    fleet.commit(0, "/out?server=api-1").await;
    let has_no_vote =
        async |agents: &Agents| agents.duties(1).await.is_ok_and(|report| !report.votes);
    fleet
        .agents
        .until(
            "the voter with the full disk has no vote",
            AMPLE,
            has_no_vote,
        )
        .await;
    fleet.commit(1, "/out?server=api-2").await;
    fleet
        .until_cordoned(&[0, 2, 3, 4], &["api-1", "api-2"])
        .await;
    fleet.agents.until_whole(&[0, 1, 2, 3, 4], AMPLE).await;
    // A second one: nothing can be committed, and no command is confirmed.
    limit_file_size(&fleet, 2, 0);
    let answer = fleet.agents.ask(3, "/back?server=api-1").await;
    assert!(
        !answer.as_ref().is_some_and(CommandResult::is_committed),
        "{answer:?}"
    );
    fleet.agents.until_whole(&[0, 1, 2, 3, 4], AMPLE).await;
    // There is room again: what was confirmed is there.
    for agent in [1, 2] {
        fleet.agents.kill(agent);
        fleet.start(agent);
    }
    fleet.until_held(&VOTERS).await;
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
        .voter_init(new, &VOTERS, &fleet.more[new], true);
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
        .until(&format!("m{new} votes"), AMPLE, votes)
        .await;
    fleet
        .commit(new, &format!("/voter/remove?name=m{old}"))
        .await;
    let has_no_vote =
        async |agents: &Agents| agents.duties(old).await.is_ok_and(|report| !report.votes);
    fleet
        .agents
        .until(&format!("m{old} votes no more"), AMPLE, has_no_vote)
        .await;
}

/// Guards against cordons lost with the old voters, and against a removed database that votes again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_voters_are_replaced_by_new_ones_while_servers_are_cordoned() {
    let mut fleet = Fleet::of(6, 3, "", &[]).await;
    fleet.until_held(&VOTERS).await;
    fleet.commit(0, "/out?server=api-1").await;
    for old in VOTERS {
        let new = old + 3;
        replace_voter(&mut fleet, old, new).await;
        fleet.commit(old, &format!("/out?server=api-{new}")).await;
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
    for old in VOTERS {
        fleet.agents.kill(old);
    }
    // Those that were removed are not missed, and an agent that knows only them by its file finds the others.
    fleet.commit(4, "/out?server=api-9").await;
    let all = ["api-1", "api-3", "api-4", "api-5", "api-9"];
    fleet.until_cordoned(&[3, 4, 5], &all).await;
    let more = fleet.more[0].clone();
    fleet.agents.start(0, &[3, 4], &more);
    fleet.agents.until_whole(&[0, 3, 4, 5], AMPLE).await;
    fleet.until_cordoned(&[0], &all).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(
        !fleet.agents.duties(0).await.unwrap().votes,
        "a database whose voter was removed gives no vote"
    );
    fleet.commit(0, "/back?server=api-9").await;
}
