//! Aggregated metrics and alarms among real agent processes. The nodes' metrics pages are served by the test.

mod fleet;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use control_plane::lease::Role;
use fleet::{Fleet, WAIT_TIMEOUT};
use testbed::agent_harness::processes::Agents;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// The values on a node's metrics page.
#[derive(Default)]
struct MetricsPage {
    served: AtomicU64,
    endpoint_list_digest: AtomicU64,
}

/// Serves a node's HTTP interface, which answers every request with the metrics page. Returns its port.
async fn serve_metrics(page: Arc<MetricsPage>) -> u16 {
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
                let (served, endpoint_list_digest) = (
                    page.served.load(Ordering::Relaxed),
                    page.endpoint_list_digest.load(Ordering::Relaxed),
                );
                let body = format!(
                    "# TYPE svc_succeeded_total counter\nsvc_succeeded_total{{service=\"a\"}} {served}\n\
                     # TYPE svc_declined_total counter\nsvc_declined_total{{service=\"a\"}} 0\n\
                     # TYPE svc_aborted_total counter\nsvc_aborted_total{{service=\"a\"}} 0\n\
                     # TYPE svc_discovered_digest gauge\nsvc_discovered_digest {endpoint_list_digest}\n"
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
    let pages: Vec<Arc<MetricsPage>> = (0..4).map(|_| Arc::default()).collect();
    let mut ports = Vec::new();
    for page in &pages {
        page.endpoint_list_digest.store(7, Ordering::Relaxed);
        ports.push(serve_metrics(page.clone()).await);
    }
    let mut fleet = Fleet::new(4, 4, "[watch]\nlists-differ-for = \"1s\"\n", &ports).await;
    fleet.wait_until_roles_held(&[0, 1, 2]).await;
    let all_are_scraped = async |agents: &Agents| {
        agents
            .fleet_metrics(3)
            .await
            .is_ok_and(|report| report.rows.iter().filter(|row| row.now.is_some()).count() == 4)
    };
    fleet
        .agents
        .until(
            "all four nodes are scraped, as reported by an agent without a vote",
            WAIT_TIMEOUT,
            all_are_scraped,
        )
        .await;
    pages
        .iter()
        .for_each(|page| page.served.store(1_000, Ordering::Relaxed));
    let sum_is = |served: u64| {
        async move |agents: &Agents| {
            agents
                .fleet_metrics(3)
                .await
                .is_ok_and(|report| report.hour.served == served)
        }
    };
    fleet
        .agents
        .until("the sum is 4,000", WAIT_TIMEOUT, sum_is(4_000))
        .await;
    // The new holder sums the metrics of the remaining agents, and counts none twice.
    let holder = Fleet::holder(&fleet.reports(&[0, 1, 2]).await, Role::MetricsAggregation);
    fleet.agents.kill(holder);
    fleet
        .agents
        .until("the new holder's sum is 3,000", WAIT_TIMEOUT, sum_is(3_000))
        .await;
    fleet.start(holder);
    fleet
        .agents
        .wait_until_converged(&[0, 1, 2, 3], WAIT_TIMEOUT)
        .await;
    // An alarm is raised, and is cleared when its cause has gone.
    pages[3].endpoint_list_digest.store(8, Ordering::Relaxed);
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
        .until("the lists differ", WAIT_TIMEOUT, alarms(1))
        .await;
    let message = fleet.agents.duties(0).await.unwrap().alarms[0]
        .raised
        .message
        .clone();
    assert!(
        message.contains("m3") && message.contains("different lists"),
        "{message}"
    );
    pages[3].endpoint_list_digest.store(7, Ordering::Relaxed);
    fleet
        .agents
        .until("the lists agree again", WAIT_TIMEOUT, alarms(0))
        .await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let logged = |what: &str| -> usize {
        (0..4)
            .map(|agent| fleet.agents.log(agent).matches(what).count())
            .sum()
    };
    assert_eq!((logged("different lists"), logged("alarm is over")), (1, 1));
    assert!(fleet.agents.fleet_metrics(3).await.unwrap().hour.served <= 4_000);
}
