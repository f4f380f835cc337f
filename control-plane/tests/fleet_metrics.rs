//! Aggregated metrics and alarms among real agent processes, with stand-ins for the nodes' metrics pages.

mod fleet;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use control_plane::lease::Role;
use fleet::{Fleet, AMPLE};
use testbed::plane::real::Agents;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Values on a node's metrics page.
#[derive(Default)]
struct Page {
    served: AtomicU64,
    list: AtomicU64,
}

/// Serves a node's HTTP interface: every request is answered with the metrics page.
async fn serve(page: Arc<Page>) -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let port = listener.local_addr().unwrap().port();
    tokio::spawn(async move {
        loop {
            let Ok((mut stream, _)) = listener.accept().await else {
                continue;
            };
            let page = page.clone();
            tokio::spawn(async move {
                let mut head = [0; 1_024];
                let _ = stream.read(&mut head).await;
                let (served, list) = (
                    page.served.load(Ordering::Relaxed),
                    page.list.load(Ordering::Relaxed),
                );
                let body = format!(
                    "# TYPE svc_succeeded_total counter\nsvc_succeeded_total{{service=\"a\"}} {served}\n\
                     # TYPE svc_declined_total counter\nsvc_declined_total{{service=\"a\"}} 0\n\
                     # TYPE svc_aborted_total counter\nsvc_aborted_total{{service=\"a\"}} 0\n\
                     # TYPE svc_discovered_digest gauge\nsvc_discovered_digest {list}\n"
                );
                let head = format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
                    body.len()
                );
                let _ = stream.write_all((head + &body).as_bytes()).await;
                let _ = stream.shutdown().await;
            });
        }
    });
    port
}

/// Guards against requests counted twice or lost when the aggregation role changes hands, and an alarm that several
/// agents log.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn metrics_are_summed_once_and_alarms_logged_by_one_agent() {
    let pages: Vec<Arc<Page>> = (0..4).map(|_| Arc::default()).collect();
    let mut ports = Vec::new();
    for page in &pages {
        page.list.store(7, Ordering::Relaxed);
        ports.push(serve(page.clone()).await);
    }
    let mut fleet = Fleet::of(4, 4, "[watch]\nlists-differ-for = \"1s\"\n", &ports).await;
    fleet.until_held(&[0, 1, 2]).await;
    let read = async |agents: &Agents| {
        agents
            .census(3)
            .await
            .is_ok_and(|report| report.rows.iter().filter(|row| row.now.is_some()).count() == 4)
    };
    fleet
        .agents
        .until(
            "all four nodes are scraped, as reported by an agent without a vote",
            AMPLE,
            read,
        )
        .await;
    pages
        .iter()
        .for_each(|page| page.served.store(1_000, Ordering::Relaxed));
    let summed = |served: u64| {
        async move |agents: &Agents| {
            agents
                .census(3)
                .await
                .is_ok_and(|report| report.hour.served == served)
        }
    };
    fleet
        .agents
        .until("the sum is 4,000", AMPLE, summed(4_000))
        .await;
    // A new holder has the metrics of the remaining agents, and nothing twice.
    let holder = Fleet::holder(&fleet.reports(&[0, 1, 2]).await, Role::MetricsAggregation);
    fleet.agents.kill(holder);
    fleet
        .agents
        .until("the new holder's sum is 3,000", AMPLE, summed(3_000))
        .await;
    fleet.start(holder);
    fleet.agents.until_whole(&[0, 1, 2, 3], AMPLE).await;
    // An alarm is raised, by one agent, and ends.
    pages[3].list.store(8, Ordering::Relaxed);
    let alarms = |count: usize| {
        async move |agents: &Agents| {
            agents
                .duties(0)
                .await
                .is_ok_and(|report| report.alarms.len() == count)
        }
    };
    fleet
        .agents
        .until("the lists differ", AMPLE, alarms(1))
        .await;
    let message = fleet.agents.duties(0).await.unwrap().alarms[0]
        .raised
        .message
        .clone();
    assert!(
        message.contains("m3") && message.contains("different lists"),
        "{message}"
    );
    pages[3].list.store(7, Ordering::Relaxed);
    fleet
        .agents
        .until("the lists agree again", AMPLE, alarms(0))
        .await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let logged = |what: &str| -> usize {
        (0..4)
            .map(|agent| fleet.agents.log(agent).matches(what).count())
            .sum()
    };
    assert_eq!((logged("different lists"), logged("alarm is over")), (1, 1));
    assert!(fleet.agents.census(3).await.unwrap().hour.served <= 4_000);
}
