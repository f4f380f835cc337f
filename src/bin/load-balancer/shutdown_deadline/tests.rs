//! How the shutdown deadline limits the deadlines of requests.

use super::*;

#[tokio::test(start_paused = true)]
async fn no_request_deadline_is_later_than_the_shutdown_deadline() {
    for (longest, end) in [(400, 1_050), (3_000, 3_650), (9_000, 3_650)] {
        let (shutdown_deadline, start) = (ShutdownDeadline::default(), Instant::now());
        let after = |ms| start + Duration::from_millis(ms);
        assert_eq!(
            shutdown_deadline.deadline(Duration::from_secs(60)),
            after(60_000)
        );
        shutdown_deadline.start(Duration::from_millis(longest));
        assert_eq!(
            shutdown_deadline.deadline(Duration::from_millis(300)),
            after(300)
        );
        assert_eq!(
            shutdown_deadline.deadline(Duration::from_secs(60)),
            after(end)
        );
    }
}
