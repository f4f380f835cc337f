//! Unit tests of `admission`.

use super::*;

fn class(priority_weight: f64) -> RequestClass {
    RequestClass {
        latency_objective: 400_000,
        deadline: 1_000_000,
        priority_weight,
        late_value: 0.0,
        idempotency: Idempotency::Idempotent,
        in_order: false,
    }
}

fn settings() -> Settings {
    Settings {
        classes: vec![class(1.0), class(3.0)],
        tenants: vec![Tenant {
            quota_per_second: 10.0,
        }],
        over_quota_value: 0.1,
        node_count: 2,
        retry_after: true,
        max_retry_after: 5_000_000,
        ..Settings::default()
    }
}

fn tick() -> TickInterval {
    TickInterval::for_classes(&settings().classes)
}

fn demand(settings: &Settings) -> (ClassDemand, ClassLatencies) {
    let mut demand = ClassDemand::default();
    demand.resize(settings.classes.len());
    let mut latencies = ClassLatencies::default();
    latencies.add_classes(&settings.classes);
    (demand, latencies)
}

#[test]
fn a_cut_lowers_the_limit_to_the_number_in_flight_and_recovery_raises_it() {
    let mut limit = ConcurrencyLimit::default();
    assert!(!limit.rejects(&settings(), 0, 0.0, &mut Rng::with_seed(1)));
    for _ in 0..10 {
        limit.begin_attempt();
    }
    limit.cut(100.0, 1.0);
    let after_cut = limit.limit();
    assert!((10.0..11.0).contains(&after_cut), "{after_cut}");
    limit.recover(0.0);
    assert_eq!(limit.limit(), after_cut);
    limit.recover(1.0);
    assert!(limit.limit() > after_cut);
}

#[test]
fn a_cut_is_at_most_a_fifth_and_stops_at_the_minimum_limit() {
    let mut limit = ConcurrencyLimit::default();
    limit.begin_attempt();
    limit.cut(0.0, 100.0);
    assert!((limit.limit() - 2.0 * 0.8).abs() < 1e-9);
    for _ in 0..100 {
        limit.cut(0.0, 100.0);
    }
    assert_eq!(limit.limit(), MIN_LIMIT);
}

#[test]
fn part_of_the_limit_is_reserved_for_requests_of_higher_value() {
    let settings = settings();
    let (mut demand, latencies) = demand(&settings);
    let reserve =
        |demand: &ClassDemand, class, quota| demand.reserve(&settings, &latencies, class, quota);
    demand.record(ClassId(0), QuotaStatus::Within);
    assert_eq!(
        reserve(&demand, ClassId(0), QuotaStatus::Within),
        0.0,
        "no traffic of a higher value"
    );
    demand.record(ClassId(1), QuotaStatus::Within);
    assert_eq!(
        reserve(&demand, ClassId(0), QuotaStatus::Within),
        MAX_RESERVE
    );
    assert_eq!(reserve(&demand, ClassId(1), QuotaStatus::Within), 0.0);
    assert_eq!(
        reserve(&demand, ClassId(1), QuotaStatus::Over),
        MAX_RESERVE,
        "over its quota"
    );
}

#[test]
fn requests_beyond_this_nodes_part_of_the_quota_are_over_quota() {
    let settings = settings();
    let mut rng = Rng::with_seed(1);
    let mut quotas = TenantQuotas::default();
    quotas.resize(1);
    let tenant = Some(TenantId(0));
    let over = |quotas: &mut TenantQuotas, rng: &mut Rng| {
        quotas.record(&settings, tenant, 1.0, rng) == QuotaStatus::Over
    };
    assert!(
        (0..5).all(|_| !over(&mut quotas, &mut rng)),
        "5 a second are within quota"
    );
    let beyond = (0..1_000).filter(|_| over(&mut quotas, &mut rng)).count();
    assert!(beyond > 950, "{beyond}");
    let without_tenant = quotas.record(&settings, None, 1.0, &mut rng);
    assert_eq!(without_tenant, QuotaStatus::Within);
    let unknown_tenant = quotas.record(&settings, Some(TenantId(9)), 1.0, &mut rng);
    assert_eq!(unknown_tenant, QuotaStatus::Within);
}

#[test]
fn retry_after_is_the_deadline_where_late_answers_have_no_value() {
    let mut settings = settings();
    assert_eq!(retry_after(&settings, ClassId(0), tick()), 1_000_000);
    settings.classes[0].late_value = 0.5;
    assert_eq!(retry_after(&settings, ClassId(0), tick()), RETRY_AFTER);
    settings.retry_after = false;
    assert_eq!(retry_after(&settings, ClassId(0), tick()), 0);
}
