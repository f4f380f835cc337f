//! When an attempt times out, by what its server has sent.

use tokio::time::{advance, timeout};

use super::*;

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

fn deadline() -> AttemptDeadline {
    let now = Instant::now();
    AttemptDeadline {
        attempt: now + ms(20),
        request: now + ms(800),
    }
}

/// Time until the attempt times out.
async fn time_to_timeout(clock: &AttemptClock) -> Duration {
    let start = Instant::now();
    clock.timed_out().await;
    start.elapsed()
}

#[tokio::test(start_paused = true)]
async fn an_attempt_without_a_response_times_out_at_its_deadline() {
    let clock = AttemptClock::new(Some(deadline()));
    assert!(time_to_timeout(&clock).await < ms(25));
    clock.record_read();
    clock.restart();
    assert!(time_to_timeout(&clock).await < ms(25));
}

// Guards against a server that begins a head and hangs: another one can still be tried.
#[tokio::test(start_paused = true)]
async fn a_head_that_stops_to_arrive_times_out_after_the_longest_pause() {
    let clock = AttemptClock::new(Some(deadline()));
    clock.record_read();
    let elapsed = time_to_timeout(&clock).await;
    assert!(elapsed >= ms(200) && elapsed < ms(210), "{elapsed:?}");
}

#[tokio::test(start_paused = true)]
async fn a_head_that_keeps_arriving_times_out_at_the_deadline_of_the_request() {
    let (clock, start) = (AttemptClock::new(Some(deadline())), Instant::now());
    let timed_out = clock.timed_out();
    let mut timed_out = std::pin::pin!(timed_out);
    for _ in 0..15 {
        clock.record_read();
        advance(ms(50)).await;
        assert!(timeout(Duration::ZERO, timed_out.as_mut()).await.is_err());
    }
    timed_out.await;
    let elapsed = start.elapsed();
    assert!(elapsed >= ms(800) && elapsed < ms(860), "{elapsed:?}");
}

// Guards against a short body that comes slowly after its head: the attempt times out as before.
#[tokio::test(start_paused = true)]
async fn a_complete_head_extends_nothing() {
    let clock = AttemptClock::new(Some(deadline()));
    clock.record_read();
    clock.record_head();
    assert!(time_to_timeout(&clock).await < ms(25));
}
