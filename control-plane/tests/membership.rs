//! Membership among real agent processes on loopback, with faults injected between them. Tests that need many runs or
//! long spans are in the testbed's `tests/plane.rs`, in virtual time.

use std::path::Path;
use std::time::Duration;

use control_plane::membership::{fleet_id, Datagram, MemberState, PiggybackedMessage, Report};
use nix::sys::signal::Signal;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tempfile::TempDir;
use testbed::agent_harness::processes::{name, Agents, Link, FAST_SETTINGS};

const PROGRAM: &str = env!("CARGO_BIN_EXE_balancer-agent");
/// Time limit of each condition, far longer than needed even on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(60);

async fn agents(count: usize, settings: &str) -> (Agents, TempDir) {
    let folder = tempfile::tempdir().unwrap();
    let agents = Agents::new(Path::new(PROGRAM), folder.path(), count, settings, 1)
        .await
        .unwrap();
    (agents, folder)
}

async fn running_agents(count: usize) -> (Agents, TempDir) {
    let (mut agents, folder) = agents(count, FAST_SETTINGS).await;
    agents.start_all(TIMEOUT).await;
    (agents, folder)
}

async fn until_all_see(
    agents: &Agents,
    observers: &[usize],
    member: usize,
    state: MemberState,
) -> Duration {
    let all_see = async |agents: &Agents| {
        for &observer in observers {
            if agents.sees(observer, member).await != Some(state) {
                return false;
            }
        }
        true
    };
    agents
        .until(
            &format!("{member} is {state:?} in the views of {observers:?}"),
            TIMEOUT,
            all_see,
        )
        .await
}

fn generation(report: &Report, agent: usize) -> u64 {
    report
        .members
        .iter()
        .find(|member| member.name.as_str() == name(agent))
        .unwrap()
        .generation
}

/// Guards against an agent that has lost its state folder and rejoins under a generation that others know as failed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_agents_are_declared_failed_and_return_with_a_higher_generation_without_state() {
    let (mut agents, _folder) = running_agents(5).await;
    let before = generation(&agents.report(0).await.unwrap(), 3);
    agents.kill(3);
    until_all_see(&agents, &[0, 1, 2, 4], 3, MemberState::Failed).await;
    std::fs::remove_dir_all(agents.folder(3).join("state")).unwrap();
    agents.start(3, &[0], "");
    agents.wait_until_converged(&[0, 1, 2, 3, 4], TIMEOUT).await;
    assert!(generation(&agents.report(0).await.unwrap(), 3) > before);
    agents.kill(1);
    agents.kill(4);
    until_all_see(&agents, &[0, 2, 3], 1, MemberState::Failed).await;
    until_all_see(&agents, &[0, 2, 3], 4, MemberState::Failed).await;
    assert_eq!(agents.failures(&[1, 3, 4]), [""; 0]);
}

/// Guards against a planned restart that is reported as a failure, and a join that needs all of its seeds.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stop_by_signal_counts_as_left_and_a_rolling_restart_fails_nobody() {
    let (mut agents, _folder) = running_agents(5).await;
    let all = [0, 1, 2, 3, 4];
    for agent in all {
        agents.signal(agent, Signal::SIGTERM);
        let status = agents.ended(agent, TIMEOUT).await.expect("the agent exits");
        assert!(status.success(), "{}", agents.log(agent));
        let others: Vec<usize> = all.into_iter().filter(|&other| other != agent).collect();
        until_all_see(&agents, &others, agent, MemberState::Left).await;
        // Two of the seeds do not exist, and one is the agent itself: a single live seed suffices.
        let dead = "127.3.9.9:9".parse().unwrap();
        let seeds = [
            dead,
            agents.address(others[0]),
            "127.3.9.8:9".parse().unwrap(),
            agents.address(agent),
        ];
        agents.start_as(agent, &name(agent), &seeds, "");
        agents.wait_until_converged(&all, TIMEOUT).await;
    }
    assert_eq!(agents.failures(&[]), [""; 0]);
}

/// Guards against an agent that declares others failed because their deadlines passed while its own process was paused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_short_pause_is_refuted_and_a_long_one_raises_the_generation() {
    let (agents, _folder) = running_agents(5).await;
    agents.signal(2, Signal::SIGSTOP);
    tokio::time::sleep(Duration::from_millis(450)).await;
    agents.signal(2, Signal::SIGCONT);
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(agents.failures(&[]), [""; 0]);
    let before = generation(&agents.report(0).await.unwrap(), 2);
    agents.signal(2, Signal::SIGSTOP);
    until_all_see(&agents, &[0, 1, 3, 4], 2, MemberState::Failed).await;
    agents.signal(2, Signal::SIGCONT);
    agents.wait_until_converged(&[0, 1, 2, 3, 4], TIMEOUT).await;
    assert!(generation(&agents.report(0).await.unwrap(), 2) > before);
    assert_eq!(
        agents.failures(&[2]),
        [""; 0],
        "the paused member declares nobody failed"
    );
}

/// Guards against a minority that takes itself for the whole fleet, and views that keep differing after the partition.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_the_larger_side_of_a_partition_has_a_majority_and_views_agree_after_it() {
    let (agents, _folder) = running_agents(5).await;
    agents.links.partition(&[0, 1, 2], &[3, 4]);
    until_all_see(&agents, &[0, 1, 2], 4, MemberState::Failed).await;
    until_all_see(&agents, &[3, 4], 0, MemberState::Failed).await;
    let majority = async |agents: &Agents| {
        let (larger, smaller) = (agents.report(0).await, agents.report(3).await);
        larger.is_ok_and(|r| r.present.majority) && smaller.is_ok_and(|r| !r.present.majority)
    };
    agents
        .until(
            "only the side with three of five members has a majority",
            TIMEOUT,
            majority,
        )
        .await;
    agents.links.heal();
    agents.wait_until_converged(&[0, 1, 2, 3, 4], TIMEOUT).await;
    let agreed = async |agents: &Agents| {
        agents
            .report(3)
            .await
            .is_ok_and(|r| r.agreement.agreed_for_ms.is_some() && r.present.majority)
    };
    agents
        .until("all views agree and there is a majority", TIMEOUT, agreed)
        .await;
}

/// Guards against updates that exceed the send rate, and members that are declared failed again, after a partition
/// heals.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_partition_heals_at_a_low_send_rate_and_no_agent_exceeds_it() {
    const RATE: f64 = 2_500.0;
    const BURST: f64 = 1_400.0;
    let all = [0, 1, 2, 3, 4, 5, 6, 7, 8];
    let settings = format!("{FAST_SETTINGS}rate = {RATE:.0}\nburst = {BURST:.0}\n");
    let (mut agents, _folder) = agents(9, &settings).await;
    agents.start_all(TIMEOUT).await;
    agents.links.partition(&[0, 1, 2, 3, 4, 5], &[6, 7, 8]);
    for (observers, failed) in [(0..6, 6..9), (6..9, 0..6)] {
        for member in failed {
            until_all_see(
                &agents,
                &observers.clone().collect::<Vec<_>>(),
                member,
                MemberState::Failed,
            )
            .await;
        }
    }
    // Both sides have finished broadcasting the failures before the partition heals.
    let settled = async |agents: &Agents| {
        for agent in all {
            let report = agents.report(agent).await;
            if !report.is_ok_and(|r| r.agreement.agreed_for_ms.is_some_and(|span| span >= 3_000)) {
                return false;
            }
        }
        true
    };
    agents
        .until(
            "the views of each side agree for three seconds",
            TIMEOUT,
            settled,
        )
        .await;
    let failures_before = agents.failures(&[]).len();
    let mut before = Vec::new();
    for agent in all {
        before.push((
            std::time::Instant::now(),
            agents.report(agent).await.unwrap().counts.bytes_out,
        ));
    }
    agents.links.heal();
    agents.wait_until_converged(&all, TIMEOUT).await;
    for (agent, (began, sent_before)) in all.into_iter().zip(before) {
        let sent = agents.report(agent).await.unwrap().counts.bytes_out - sent_before;
        let allowed = BURST + RATE * began.elapsed().as_secs_f64();
        assert!(
            sent as f64 <= allowed,
            "{agent} sent {sent} bytes, {allowed} allowed"
        );
    }
    assert_eq!(
        agents.failures(&[]).len(),
        failures_before,
        "nobody is declared failed after the partition has healed"
    );
}

/// Guards against a member that is declared failed because a single other member cannot reach it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_one_way_link_fails_nobody_and_is_reported_by_the_affected_member() {
    let (agents, _folder) = running_agents(5).await;
    agents.links.set(
        1,
        3,
        Link {
            cut: true,
            ..Link::default()
        },
    );
    let reports_unreachable = async |agents: &Agents| {
        let Ok(report) = agents.report(1).await else {
            return false;
        };
        let unreachable = report
            .members
            .iter()
            .filter(|member| member.unreachable_for_ms.is_some());
        unreachable.map(|member| member.name.to_string()).eq(["m3"])
    };
    agents
        .until(
            "agent 1 reports 3 as unreachable",
            TIMEOUT,
            reports_unreachable,
        )
        .await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert_eq!(agents.failures(&[]), [""; 0]);
}

/// Guards against a member that is declared failed because datagrams are lost, duplicated or late.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_duplicated_and_late_datagrams_fail_nobody() {
    let (agents, _folder) = running_agents(9).await;
    let delay = Duration::from_millis(60);
    agents.links.set_all(Link {
        loss: 0.2,
        duplicates: 0.1,
        late: 0.3,
        delay,
        cut: false,
    });
    tokio::time::sleep(Duration::from_secs(10)).await;
    agents.links.heal();
    agents
        .wait_until_converged(&[0, 1, 2, 3, 4, 5, 6, 7, 8], TIMEOUT)
        .await;
    assert_eq!(agents.failures(&[]), [""; 0]);
}

/// Guards against two processes that both continue under one name, and a conflict that is logged more than once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_newer_of_two_processes_with_one_name_is_rejected_and_both_log_it_once() {
    let (mut agents, _folder) = agents(4, FAST_SETTINGS).await;
    for agent in 0..3 {
        agents.start(agent, &[0, 1], "");
    }
    agents.wait_until_converged(&[0, 1, 2], TIMEOUT).await;
    let seeds = [agents.address(0), agents.address(1)];
    agents.start_as(3, &name(2), &seeds, "");
    let status = agents
        .ended(3, TIMEOUT)
        .await
        .expect("the agent exits when its name is rejected");
    assert_eq!(status.code(), Some(3), "{}", agents.log(3));
    agents.wait_until_converged(&[0, 1, 2], TIMEOUT).await;
    let logged = |agent: usize, message: &str| agents.log(agent).matches(message).count();
    assert_eq!(logged(3, "refused: an older process holds this name"), 1);
    assert_eq!(logged(2, "a newer process of this name was refused"), 1);
    assert_eq!(agents.failures(&[]), [""; 0]);
}

/// Guards against datagrams from outside the fleet that end an agent or change its view.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn random_and_corrupted_datagrams_are_counted_and_fail_nobody() {
    let (agents, _folder) = running_agents(3).await;
    let mut rng = Pcg64::seed_from_u64(4);
    let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
    // A datagram with the envelope of this fleet, to be corrupted.
    let valid = Datagram {
        digest: 1,
        payload: b"no SWIM message",
        broadcast: b"no item",
        message: PiggybackedMessage::None,
    };
    let valid = valid.encode(2, fleet_id("test"));
    for round in 0..2_000 {
        let bytes = if round % 2 == 0 {
            (0..rng.random_range(0..1_600))
                .map(|_| rng.random())
                .collect()
        } else {
            let mut flipped = valid.clone();
            let bit = rng.random_range(0..flipped.len() * 8);
            flipped[bit / 8] ^= 1 << (bit % 8);
            flipped
        };
        socket
            .send_to(&bytes, agents.listen_address(0))
            .await
            .unwrap();
        if round % 50 == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    let counted = async |agents: &Agents| {
        agents
            .report(0)
            .await
            .is_ok_and(|report| report.counts.dropped() >= 1_900)
    };
    agents
        .until("the dropped datagrams are counted", TIMEOUT, counted)
        .await;
    agents.wait_until_converged(&[0, 1, 2], TIMEOUT).await;
    assert_eq!(agents.failures(&[]), [""; 0]);
}

/// Guards against an upgrade during which old agents drop the messages of new ones.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_member_with_the_older_message_format_interoperates() {
    let (mut agents, _folder) = agents(3, FAST_SETTINGS).await;
    agents.start(0, &[0], "");
    agents.start(1, &[0], "");
    agents.set_membership_settings(2, &format!("{FAST_SETTINGS}format = 1\n"));
    agents.start(2, &[0], "");
    agents.wait_until_converged(&[0, 1, 2], TIMEOUT).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    for agent in 0..3 {
        assert_eq!(agents.report(agent).await.unwrap().counts.format, 0);
    }
    agents.kill(2);
    until_all_see(&agents, &[0, 1], 2, MemberState::Failed).await;
}
