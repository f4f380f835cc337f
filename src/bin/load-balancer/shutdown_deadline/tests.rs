//! How the shutdown deadline limits the deadlines of requests.

use tokio::time::advance;

use super::*;

#[tokio::test(start_paused = true)]
async fn no_request_deadline_is_later_than_the_shutdown_deadline() {
    for (longest, end) in [(400, 1_050), (3_000, 3_650), (9_000, 3_650)] {
        let (shutdown_deadline, start) = (ShutdownDeadline::default(), Instant::now());
        let after = |ms| start + Duration::from_millis(ms);
        assert_eq!(
            shutdown_deadline.deadline(Duration::from_secs(60), start),
            after(60_000)
        );
        shutdown_deadline.start(Duration::from_millis(longest));
        assert_eq!(
            shutdown_deadline.deadline(Duration::from_millis(300), start),
            after(300)
        );
        assert_eq!(
            shutdown_deadline.deadline(Duration::from_secs(60), start),
            after(end)
        );
    }
}

// Guards against a long request that fails because its last byte came after the least time that a shutdown has.
#[tokio::test(start_paused = true)]
async fn a_request_completed_long_after_the_shutdown_deadline_has_its_whole_timeout() {
    let (shutdown_deadline, start) = (ShutdownDeadline::default(), Instant::now());
    shutdown_deadline.start(Duration::from_secs(3));
    let end = start + Duration::from_millis(3_650);
    let timeout = Duration::from_secs(2);
    advance(Duration::from_millis(3_700)).await;
    assert_eq!(shutdown_deadline.deadline(timeout, start), end);
    advance(Duration::from_secs(10)).await;
    let now = Instant::now();
    assert_eq!(shutdown_deadline.deadline(timeout, start), now + timeout);
    assert_eq!(shutdown_deadline.deadline(timeout, now), end);
}
