use super::*;

const SECOND: Micros = 1_000_000;

fn handle(
    supervisor: &mut Supervisor,
    now: Micros,
    event: SupervisorEvent,
) -> Vec<SupervisorAction> {
    let mut actions = Vec::new();
    supervisor.on_event(now, event, &mut actions);
    actions.retain(|action| !matches!(action, SupervisorAction::ReportState { .. }));
    actions
}

/// Guards against restarting a node without delay each time that it exits right after its start.
#[test]
fn a_crash_loop_backs_off_and_keeps_to_the_limit_on_starts() {
    let mut supervisor = Supervisor::new(SupervisorSettings {
        max_starts_per_minute: 5,
        ..SupervisorSettings::default()
    });
    assert_eq!(
        handle(&mut supervisor, 0, SupervisorEvent::Begin { adopted: None }),
        [SupervisorAction::Start]
    );
    let (mut now, mut starts) = (0, vec![0]);
    while now < 200 * SECOND {
        handle(&mut supervisor, now, SupervisorEvent::Started(7));
        handle(
            &mut supervisor,
            now,
            SupervisorEvent::Exited("exit 1".into()),
        );
        now = supervisor.next_wake();
        assert_eq!(
            handle(&mut supervisor, now, SupervisorEvent::Wake),
            [SupervisorAction::Start]
        );
        starts.push(now);
    }
    assert_eq!(
        starts[1..4],
        [200_000, 600_000, 1_400_000],
        "the delay doubles"
    );
    let max_starts_in_a_minute = starts
        .iter()
        .map(|at| {
            starts
                .iter()
                .filter(|s| *s >= at && **s < at + restart::START_LIMIT_WINDOW)
                .count()
        })
        .max();
    assert_eq!(max_starts_in_a_minute, Some(5));
}

/// Guards against killing a node while it drains, and against an agent that never ends because its node does not.
#[test]
fn shutdown_waits_for_the_drain_and_kills_after_its_timeout() {
    for (drains, expected) in [(true, vec![]), (false, vec![SupervisorAction::Kill])] {
        let mut supervisor = Supervisor::new(SupervisorSettings::default());
        handle(
            &mut supervisor,
            0,
            SupervisorEvent::Begin { adopted: Some(9) },
        );
        handle(
            &mut supervisor,
            10,
            SupervisorEvent::StatusReceived(Status::Ready),
        );
        let stopping = handle(&mut supervisor, SECOND, SupervisorEvent::Shutdown);
        assert_eq!(
            stopping,
            [SupervisorAction::CloseListener, SupervisorAction::Terminate]
        );
        let mut at_deadline = Vec::new();
        let kill_at = supervisor.next_wake();
        assert_eq!(kill_at, SECOND + 30 * SECOND);
        if !drains {
            at_deadline.extend(handle(&mut supervisor, kill_at, SupervisorEvent::Wake));
        }
        assert_eq!(at_deadline, expected);
        assert_eq!(
            handle(
                &mut supervisor,
                kill_at,
                SupervisorEvent::Exited("exit 0".into())
            ),
            [SupervisorAction::Finished]
        );
        assert_eq!(supervisor.next_wake(), Micros::MAX, "never started again");
    }
}

/// Guards against a hung process that is never replaced, and against terminating one for a single unanswered query.
#[test]
fn an_unresponsive_or_never_ready_process_is_terminated_and_restarted() {
    let mut supervisor = Supervisor::new(SupervisorSettings::default());
    handle(&mut supervisor, 0, SupervisorEvent::Begin { adopted: None });
    handle(&mut supervisor, 0, SupervisorEvent::Started(7));
    assert_eq!(
        handle(&mut supervisor, 0, SupervisorEvent::Wake),
        [SupervisorAction::QueryStatus]
    );
    handle(
        &mut supervisor,
        10,
        SupervisorEvent::StatusReceived(Status::NotReady),
    );
    assert_eq!(
        handle(&mut supervisor, 10 * SECOND, SupervisorEvent::Wake),
        [SupervisorAction::Terminate],
        "never ready"
    );
    handle(
        &mut supervisor,
        11 * SECOND,
        SupervisorEvent::Exited("signal 15".into()),
    );
    let at = supervisor.next_wake();
    assert_eq!(
        handle(&mut supervisor, at, SupervisorEvent::Wake),
        [SupervisorAction::Start]
    );
    handle(&mut supervisor, at, SupervisorEvent::Started(8));
    handle(
        &mut supervisor,
        at,
        SupervisorEvent::StatusReceived(Status::Ready),
    );
    assert_eq!(
        handle(
            &mut supervisor,
            at + 9 * SECOND,
            SupervisorEvent::StatusReceived(Status::Unresponsive)
        ),
        []
    );
    assert_eq!(
        handle(
            &mut supervisor,
            at + 10 * SECOND,
            SupervisorEvent::StatusReceived(Status::Unresponsive)
        ),
        [SupervisorAction::Terminate]
    );
    let kill_at = supervisor.next_wake();
    assert_eq!(kill_at, at + 10 * SECOND + UNRESPONSIVE_GRACE);
    assert_eq!(
        handle(&mut supervisor, kill_at, SupervisorEvent::Wake),
        [SupervisorAction::Kill]
    );
}
