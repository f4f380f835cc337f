//! Unit tests of `retry`.

use super::*;
use crate::balancer::request::{Attempt, Deadlines};

const SECOND: Micros = 1_000_000;

fn class(idempotency: Idempotency) -> RequestClass {
    RequestClass {
        latency_objective: SECOND,
        deadline: 2 * SECOND,
        priority_weight: 1.0,
        late_value: 0.5,
        idempotency,
        in_order: false,
    }
}

fn settings(idempotency: Idempotency) -> Settings {
    Settings {
        classes: vec![class(idempotency)],
        max_attempts: 3,
        ..Settings::default()
    }
}

/// A request with one attempt in this state, which was sent to zone 1 and cell 1 at time 0.
fn request(settings: &Settings, state: AttemptState) -> PendingRequest {
    let request = Request {
        id: RequestId([b'0'; 36]),
        remaining_timeout: 10 * SECOND,
        class: ClassId(0),
        cost: None,
        is_retry: false,
        tenant: None,
        key: None,
        body_pending: false,
    };
    let class = &settings.classes[0];
    let deadlines = Deadlines::new(class, 0, request.remaining_timeout);
    let mut pending = PendingRequest::new(&request, class, 0, deadlines);
    pending.attempts.push(Attempt::new(endpoint(1, 1), 0, 1.0));
    pending.attempts[0].state = state;
    pending
}

fn endpoint(zone: u32, cell: u64) -> Endpoint {
    Endpoint {
        zone: ZoneId(zone),
        cell: CellId(cell),
        ..Endpoint::default()
    }
}

fn with_key(scope: DedupScope) -> Idempotency {
    Idempotency::IdempotencyKey { scope, ttl: SECOND }
}

#[test]
fn a_request_that_may_have_run_is_retried_only_if_idempotent_or_deduplicated() {
    let cases = [
        (Idempotency::Idempotent, true),
        (with_key(DedupScope::Cell), true),
        (Idempotency::NonIdempotent, false),
    ];
    for (idempotency, allowed) in cases {
        let settings = settings(idempotency);
        let may_have_run = request(&settings, AttemptState::MayHaveRun);
        assert_eq!(may_send(&settings, &may_have_run, 1), allowed);
        let never_ran = request(&settings, AttemptState::NeverRan);
        assert!(may_send(&settings, &never_ran, 1), "{idempotency:?}");
    }
}

#[test]
fn no_retry_is_sent_in_the_last_tenth_of_the_deduplication_time() {
    let settings = settings(with_key(DedupScope::All));
    let request = request(&settings, AttemptState::MayHaveRun);
    assert!(may_send(&settings, &request, SECOND * 9 / 10 - 1));
    assert!(!may_send(&settings, &request, SECOND * 9 / 10));
}

// Guards against a keyed request that runs twice, as its retry waits for a connection: the decision carries
// the limit on writing it.
#[test]
fn a_retry_has_to_be_written_within_the_deduplication_time() {
    let cases = [
        (with_key(DedupScope::All), Some(SECOND * 9 / 10)),
        (Idempotency::Idempotent, None),
        (Idempotency::NonIdempotent, None),
    ];
    for (idempotency, end) in cases {
        let settings = settings(idempotency);
        let may_have_run = request(&settings, AttemptState::MayHaveRun);
        assert_eq!(deduplication_end(&settings, &may_have_run), end);
        let never_ran = request(&settings, AttemptState::NeverRan);
        assert_eq!(deduplication_end(&settings, &never_ran), None);
    }
}

#[test]
fn a_retry_stays_in_the_scope_of_the_first_attempt_that_may_have_run() {
    let settings = settings(with_key(DedupScope::Zone));
    let mut request = request(&settings, AttemptState::MayHaveRun);
    let allowed_on =
        |scope, request: &PendingRequest, endpoint| may_run_on(with_key(scope), request, &endpoint);
    assert!(allowed_on(DedupScope::Zone, &request, endpoint(1, 2)));
    assert!(!allowed_on(DedupScope::Zone, &request, endpoint(2, 1)));
    assert!(allowed_on(DedupScope::Cell, &request, endpoint(2, 1)));
    assert!(!allowed_on(DedupScope::Cell, &request, endpoint(1, 2)));
    assert!(allowed_on(DedupScope::All, &request, endpoint(2, 2)));
    request.attempts[0].state = AttemptState::NeverRan;
    assert!(allowed_on(DedupScope::Cell, &request, endpoint(2, 2)));
}

#[test]
fn a_request_may_be_rejected_only_if_the_client_may_retry_it() {
    let cases = [
        (Idempotency::Idempotent, true),
        (with_key(DedupScope::All), true),
        (with_key(DedupScope::Zone), false),
        (Idempotency::NonIdempotent, false),
    ];
    for (idempotency, allowed) in cases {
        let settings = settings(idempotency);
        let may_have_run = request(&settings, AttemptState::MayHaveRun);
        assert_eq!(may_reject(idempotency, &may_have_run), allowed);
        let never_ran = request(&settings, AttemptState::NeverRan);
        assert!(may_reject(idempotency, &never_ran));
    }
}

#[test]
fn the_last_attempt_gets_all_the_time_left() {
    let settings = settings(Idempotency::Idempotent);
    let mut request = request(&settings, AttemptState::NeverRan);
    let mean = 50_000.0;
    let timeout = attempt_timeout(&settings, &request, mean, 0);
    assert_eq!(timeout, 200_000);
    request.attempts.push(Attempt::new(endpoint(1, 1), 0, 1.0));
    let timeout = attempt_timeout(&settings, &request, mean, 0);
    assert_eq!(timeout, 2 * SECOND);
}

// Guards against attempts of a millisecond after a flood of fast answers: others' attempts timed out while
// they connected, their servers were ejected, and their requests rejected with nearly all of their time left.
#[test]
fn fast_answers_do_not_shorten_the_timeout_below_a_share_of_the_objective() {
    let settings = settings(Idempotency::Idempotent);
    let request = request(&settings, AttemptState::NeverRan);
    let mean = 300.0;
    let timeout = attempt_timeout(&settings, &request, mean, 0);
    assert_eq!(timeout, SECOND / 50);
}

#[test]
fn the_budget_allows_one_retry_per_five_requests() {
    let mut budget = RetryBudget::default();
    let saved = (0..100).filter(|_| budget.try_take()).count();
    assert_eq!(saved, 20);
    for _ in 0..50 {
        budget.record_request();
    }
    let earned = (0..100).filter(|_| budget.try_take()).count();
    assert!((9..=10).contains(&earned), "{earned}");
}
