//! Membership among real agent processes on loopback, with faults between them. What needs many plays or long spans is
//! in `lab/tests/plane.rs`, in virtual time.

use std::path::Path;
use std::time::Duration;

use control_plane::membership::{fleet_id, Datagram, MemberState, PiggybackedMessage, Report};
use nix::sys::signal::Signal;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tempfile::TempDir;
use testbed::plane::real::{name, Agents, Link, BRISK};

const PROGRAM: &str = env!("CARGO_BIN_EXE_balancer-agent");
/// Far more than it takes: a busy machine may be slow.
const AMPLE: Duration = Duration::from_secs(60);

async fn agents(count: usize, windows: &str) -> (Agents, TempDir) {
    let folder = tempfile::tempdir().unwrap();
    let agents = Agents::new(Path::new(PROGRAM), folder.path(), count, windows, 1)
        .await
        .unwrap();
    (agents, folder)
}

async fn whole(count: usize) -> (Agents, TempDir) {
    let (mut agents, folder) = agents(count, BRISK).await;
    agents.start_all(AMPLE).await;
    (agents, folder)
}

async fn all_see(agents: &Agents, by: &[usize], of: usize, as_: MemberState) -> Duration {
    let see = async |agents: &Agents| {
        for &agent in by {
            if agents.sees(agent, of).await != Some(as_) {
                return false;
            }
        }
        true
    };
    agents
        .until(&format!("{of} is {as_:?} to {by:?}"), AMPLE, see)
        .await
}

fn life(report: &Report, of: usize) -> u64 {
    report
        .members
        .iter()
        .find(|member| member.name.as_str() == name(of))
        .unwrap()
        .generation
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_killed_are_known_and_come_back_under_a_higher_life_without_their_disk() {
    let (mut agents, _folder) = whole(5).await;
    let before = life(&agents.report(0).await.unwrap(), 3);
    agents.kill(3);
    all_see(&agents, &[0, 1, 2, 4], 3, MemberState::Failed).await;
    std::fs::remove_dir_all(agents.folder(3).join("state")).unwrap();
    agents.start(3, &[0], "");
    agents.until_whole(&[0, 1, 2, 3, 4], AMPLE).await;
    assert!(life(&agents.report(0).await.unwrap(), 3) > before);
    agents.kill(1);
    agents.kill(4);
    all_see(&agents, &[0, 2, 3], 1, MemberState::Failed).await;
    all_see(&agents, &[0, 2, 3], 4, MemberState::Failed).await;
    assert_eq!(agents.failures(&[1, 3, 4]), [""; 0]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stop_by_signal_is_left_and_a_rolling_restart_fails_nobody() {
    let (mut agents, _folder) = whole(5).await;
    let all = [0, 1, 2, 3, 4];
    for agent in all {
        agents.signal(agent, Signal::SIGTERM);
        let status = agents.ended(agent, AMPLE).await.expect("it ends");
        assert!(status.success(), "{}", agents.log(agent));
        let others: Vec<usize> = all.into_iter().filter(|&other| other != agent).collect();
        all_see(&agents, &others, agent, MemberState::Left).await;
        // Half of the seeds are nobody's: the one that is alive is enough.
        let dead = "127.3.9.9:9".parse().unwrap();
        let seeds = [
            dead,
            agents.address(others[0]),
            "127.3.9.8:9".parse().unwrap(),
            agents.address(agent),
        ];
        agents.start_as(agent, &name(agent), &seeds, "");
        agents.until_whole(&all, AMPLE).await;
    }
    assert_eq!(agents.failures(&[]), [""; 0]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_short_pause_is_refuted_and_a_long_one_comes_back_higher() {
    let (agents, _folder) = whole(5).await;
    agents.signal(2, Signal::SIGSTOP);
    tokio::time::sleep(Duration::from_millis(450)).await;
    agents.signal(2, Signal::SIGCONT);
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(agents.failures(&[]), [""; 0]);
    let before = life(&agents.report(0).await.unwrap(), 2);
    agents.signal(2, Signal::SIGSTOP);
    all_see(&agents, &[0, 1, 3, 4], 2, MemberState::Failed).await;
    agents.signal(2, Signal::SIGCONT);
    agents.until_whole(&[0, 1, 2, 3, 4], AMPLE).await;
    assert!(life(&agents.report(0).await.unwrap(), 2) > before);
    assert_eq!(
        agents.failures(&[2]),
        [""; 0],
        "the one that slept judges nobody"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_partition_is_seen_and_heals() {
    let (agents, _folder) = whole(5).await;
    agents.links.part(&[0, 1, 2], &[3, 4]);
    all_see(&agents, &[0, 1, 2], 4, MemberState::Failed).await;
    all_see(&agents, &[3, 4], 0, MemberState::Failed).await;
    let majority = async |agents: &Agents| {
        let (many, few) = (agents.report(0).await, agents.report(3).await);
        many.is_ok_and(|r| r.present.majority) && few.is_ok_and(|r| !r.present.majority)
    };
    agents
        .until("only three of five are a majority", AMPLE, majority)
        .await;
    agents.links.heal();
    agents.until_whole(&[0, 1, 2, 3, 4], AMPLE).await;
    let agreed = async |agents: &Agents| {
        agents
            .report(3)
            .await
            .is_ok_and(|r| r.agreement.agreed_for_ms.is_some() && r.present.majority)
    };
    agents.until("views agree, and say so", AMPLE, agreed).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_partition_heals_at_a_small_rate_and_each_sends_within_it() {
    const RATE: f64 = 2_500.0;
    const BURST: f64 = 1_400.0;
    let all = [0, 1, 2, 3, 4, 5, 6, 7, 8];
    let windows = format!("{BRISK}rate = {RATE:.0}\nburst = {BURST:.0}\n");
    let (mut agents, _folder) = agents(9, &windows).await;
    agents.start_all(AMPLE).await;
    agents.links.part(&[0, 1, 2, 3, 4, 5], &[6, 7, 8]);
    for (by, of) in [(0..6, 6..9), (6..9, 0..6)] {
        for of in of {
            all_see(
                &agents,
                &by.clone().collect::<Vec<_>>(),
                of,
                MemberState::Failed,
            )
            .await;
        }
    }
    // What the sides tell of the deaths is told before they meet.
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
        .until("each side agrees for a while", AMPLE, settled)
        .await;
    let called = agents.failures(&[]).len();
    let mut before = Vec::new();
    for agent in all {
        before.push((
            std::time::Instant::now(),
            agents.report(agent).await.unwrap().counts.bytes_out,
        ));
    }
    agents.links.heal();
    agents.until_whole(&all, AMPLE).await;
    for (agent, (began, sent)) in all.into_iter().zip(before) {
        let sent = agents.report(agent).await.unwrap().counts.bytes_out - sent;
        let may = BURST + RATE * began.elapsed().as_secs_f64();
        assert!(
            sent as f64 <= may,
            "{agent} sent {sent} bytes, {may} allowed"
        );
    }
    assert_eq!(
        agents.failures(&[]).len(),
        called,
        "nobody is called failed after the healing"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_one_way_link_fails_nobody_and_is_shown_by_the_one_that_suffers() {
    let (agents, _folder) = whole(5).await;
    agents.links.set(
        1,
        3,
        Link {
            cut: true,
            ..Link::default()
        },
    );
    let shown = async |agents: &Agents| {
        let Ok(report) = agents.report(1).await else {
            return false;
        };
        let lost = report
            .members
            .iter()
            .filter(|member| member.unreachable_for_ms.is_some());
        lost.map(|member| member.name.to_string()).eq(["m3"])
    };
    agents
        .until("1 says that it can't reach 3", AMPLE, shown)
        .await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert_eq!(agents.failures(&[]), [""; 0]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_links_for_ten_seconds_fail_nobody() {
    let (agents, _folder) = whole(9).await;
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
        .until_whole(&[0, 1, 2, 3, 4, 5, 6, 7, 8], AMPLE)
        .await;
    assert_eq!(agents.failures(&[]), [""; 0]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn of_two_with_one_name_the_newer_is_refused_and_both_say_so_once() {
    let (mut agents, _folder) = agents(4, BRISK).await;
    for agent in 0..3 {
        agents.start(agent, &[0, 1], "");
    }
    agents.until_whole(&[0, 1, 2], AMPLE).await;
    let seeds = [agents.address(0), agents.address(1)];
    agents.start_as(3, &name(2), &seeds, "");
    let status = agents.ended(3, AMPLE).await.expect("refused, it ends");
    assert_eq!(status.code(), Some(3), "{}", agents.log(3));
    agents.until_whole(&[0, 1, 2], AMPLE).await;
    let said = |agent: usize, what: &str| agents.log(agent).matches(what).count();
    assert_eq!(said(3, "refused: an older process holds this name"), 1);
    assert_eq!(said(2, "a newer process of this name was refused"), 1);
    assert_eq!(agents.failures(&[]), [""; 0]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn random_and_flipped_datagrams_are_counted_and_harm_nobody() {
    let (agents, _folder) = whole(3).await;
    let mut rng = Pcg64::seed_from_u64(4);
    let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
    // A sound message to start from: a farewell of nobody, as an agent of this fleet would write it.
    let sound = Datagram {
        digest: 1,
        payload: b"no SWIM message",
        broadcast: b"no item",
        message: PiggybackedMessage::None,
    };
    let sound = sound.encode(2, fleet_id("test"));
    for round in 0..2_000 {
        let bytes = if round % 2 == 0 {
            (0..rng.random_range(0..1_600))
                .map(|_| rng.random())
                .collect()
        } else {
            let mut flipped = sound.clone();
            let bit = rng.random_range(0..flipped.len() * 8);
            flipped[bit / 8] ^= 1 << (bit % 8);
            flipped
        };
        socket.send_to(&bytes, agents.listens(0)).await.unwrap();
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
    agents.until("they are counted", AMPLE, counted).await;
    agents.until_whole(&[0, 1, 2], AMPLE).await;
    assert_eq!(agents.failures(&[]), [""; 0]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_that_writes_the_older_message_format_is_a_member_like_any() {
    let (mut agents, _folder) = agents(3, BRISK).await;
    agents.start(0, &[0], "");
    agents.start(1, &[0], "");
    agents.set_windows(2, &format!("{BRISK}format = 1\n"));
    agents.start(2, &[0], "");
    agents.until_whole(&[0, 1, 2], AMPLE).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    for agent in 0..3 {
        assert_eq!(agents.report(agent).await.unwrap().counts.format, 0);
    }
    agents.kill(2);
    all_see(&agents, &[0, 1], 2, MemberState::Failed).await;
}
