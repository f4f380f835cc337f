//! When the node beside an agent is started, asked, ended or given up for a while. Pure: no I/O, no clock. It knows
//! one process at a time; which it is, and how it is started, is the host's.

use std::collections::VecDeque;
use std::time::Duration;

use crate::membership::NodeState;
use crate::{micros, Micros};

/// A process that hangs has this long to end by itself: it can't drain.
const HUNG_GRACE: Micros = 2_000_000;
/// Clients may wait in the socket's queue for a new process this long.
const QUEUE: Micros = 1_000_000;
/// The ceiling on starts is counted over this span.
const WINDOW: Micros = 60_000_000;

/// The windows and bounds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The wait before the first start again; each further one doubles it.
    pub backoff: Duration,
    /// The longest wait. A process that served for as long has its slate wiped.
    pub backoff_most: Duration,
    /// Starts in a minute, at most.
    pub starts_per_minute: u32,
    /// A new process that has not said yes by then is ended.
    pub ready_within: Duration,
    /// A process that drains is killed after this: above the longest deadline of a request.
    pub drain_within: Duration,
    /// How often its status is asked.
    pub status_interval: Duration,
    /// A process that answers nothing for this long is ended.
    pub silent_limit: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            backoff: Duration::from_millis(200),
            backoff_most: Duration::from_secs(10),
            starts_per_minute: 12,
            ready_within: Duration::from_secs(10),
            drain_within: Duration::from_secs(30),
            status_interval: Duration::from_millis(250),
            silent_limit: Duration::from_secs(10),
        }
    }
}

/// What a process answers when asked whether it serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// It takes clients.
    Yes,
    /// It answers, and takes none.
    No,
    /// It does not answer in time.
    Silent,
}

/// What the supervisor learns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Begin. A process of an earlier agent that is still there is adopted.
    Begin {
        /// Its process id.
        adopted: Option<u32>,
    },
    /// The process was started.
    Started(u32),
    /// It could not be started.
    NotStarted(String),
    /// It has ended.
    Ended(String),
    /// It was asked.
    Asked(Status),
    /// The time of [`Supervisor::next_wake`] has come.
    Wake,
    /// The agent ends: the node is to drain and end, and not to be started again.
    Stop,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start the node; [`Event::Started`] or [`Event::NotStarted`] is owed.
    Start,
    /// Ask its status; [`Event::Asked`] is owed.
    Ask,
    /// Tell it to drain and end.
    Terminate,
    /// End it at once.
    Kill,
    /// The node does something else now.
    Tell {
        /// What.
        state: NodeState,
        /// For staff.
        note: String,
    },
    /// Close the clients' socket: nobody will accept for a while, and clients are to be turned away at once.
    Release,
    /// There is no process, and there will be none.
    Done,
}

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    /// No process; one is started then.
    Waiting { until: Micros },
    /// The host is starting one.
    Starting,
    /// A process is there. `served`: since when it has said yes, if ever.
    Up {
        since: Micros,
        served: Option<Micros>,
        heard: Micros,
    },
    /// It was told to end.
    Ending { kill_at: Micros, killed: bool },
    /// No process, and none wanted.
    Done,
}

/// Looks after one node.
#[derive(Debug)]
pub struct Supervisor {
    settings: Settings,
    phase: Phase,
    stopping: bool,
    ask_at: Micros,
    asking: bool,
    fails: u32,
    starts: VecDeque<Micros>,
    state: NodeState,
}

impl Supervisor {
    /// Nothing is there yet.
    pub fn new(settings: Settings) -> Supervisor {
        Supervisor {
            settings,
            phase: Phase::Done,
            stopping: false,
            ask_at: Micros::MAX,
            asking: false,
            fails: 0,
            starts: VecDeque::new(),
            state: NodeState::Stopped,
        }
    }

    /// Starts so far within the last minute.
    pub fn starts(&self) -> usize {
        self.starts.len()
    }

    /// When [`Event::Wake`] is due.
    pub fn next_wake(&self) -> Micros {
        let ask_at = if self.asking {
            Micros::MAX
        } else {
            self.ask_at
        };
        match &self.phase {
            Phase::Waiting { until } => *until,
            Phase::Up {
                since,
                served: None,
                ..
            } => ask_at.min(since + micros(self.settings.ready_within)),
            Phase::Up { .. } => ask_at,
            Phase::Ending {
                kill_at,
                killed: false,
            } => *kill_at,
            Phase::Ending { .. } | Phase::Starting | Phase::Done => Micros::MAX,
        }
    }

    /// Takes an event and appends what is to be done, in order.
    pub fn on_event(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Begin { adopted: Some(pid) } => {
                self.up(now);
                self.tell(
                    NodeState::Starting,
                    format!("adopted process {pid}"),
                    actions,
                );
            }
            Event::Begin { adopted: None } => self.start(now, actions),
            Event::Started(pid) => {
                self.up(now);
                self.tell(
                    NodeState::Starting,
                    format!("started as process {pid}"),
                    actions,
                );
                if self.stopping {
                    self.end(now + micros(self.settings.drain_within), actions);
                }
            }
            Event::NotStarted(why) => self.gone(now, format!("can't be started: {why}"), actions),
            Event::Ended(how) => self.gone(now, how, actions),
            Event::Asked(status) => self.asked(now, status, actions),
            Event::Wake => self.wake(now, actions),
            Event::Stop => self.stop(now, actions),
        }
    }

    fn tell(&mut self, state: NodeState, note: String, actions: &mut Vec<Action>) {
        self.state = state;
        actions.push(Action::Tell { state, note });
    }

    fn up(&mut self, now: Micros) {
        self.phase = Phase::Up {
            since: now,
            served: None,
            heard: now,
        };
        (self.ask_at, self.asking) = (now, false);
    }

    fn start(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.starts.push_back(now);
        self.phase = Phase::Starting;
        actions.push(Action::Start);
    }

    /// Tells the process to end, and when it is killed if it does not.
    fn end(&mut self, kill_at: Micros, actions: &mut Vec<Action>) {
        self.phase = Phase::Ending {
            kill_at,
            killed: false,
        };
        actions.push(Action::Terminate);
    }

    fn stop(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.stopping = true;
        match self.phase {
            Phase::Up { .. } => {
                actions.push(Action::Release);
                self.end(now + micros(self.settings.drain_within), actions);
                self.tell(NodeState::Draining, "the agent ends".into(), actions);
            }
            // Its end, or its start, is awaited.
            Phase::Ending { .. } | Phase::Starting => {}
            Phase::Waiting { .. } | Phase::Done => {
                self.phase = Phase::Done;
                self.tell(NodeState::Stopped, "the agent ends".into(), actions);
                actions.push(Action::Done);
            }
        }
    }

    fn gone(&mut self, now: Micros, how: String, actions: &mut Vec<Action>) {
        if self.stopping {
            self.phase = Phase::Done;
            self.tell(NodeState::Stopped, how, actions);
            return actions.push(Action::Done);
        }
        let most = micros(self.settings.backoff_most);
        if let Phase::Up {
            served: Some(since),
            ..
        } = self.phase
        {
            if now - since >= most {
                self.fails = 0;
            }
        }
        self.fails += 1;
        let doubled = micros(self.settings.backoff) << (self.fails - 1).min(20);
        let mut until = now + doubled.min(most);
        self.starts.retain(|at| at + WINDOW > now);
        let over = (self.starts.len() + 1).saturating_sub(self.settings.starts_per_minute as usize);
        let mut words = String::new();
        if over > 0 {
            // The ceiling: one may start when enough of the last starts are a minute old.
            until = until.max(self.starts.get(over - 1).map_or(until, |at| at + WINDOW));
            words = format!(
                "; {} starts in a minute are enough",
                self.settings.starts_per_minute
            );
        }
        self.phase = Phase::Waiting { until };
        if until - now > QUEUE {
            actions.push(Action::Release);
        }
        let wait = (until - now) / 1_000;
        self.tell(
            NodeState::Starting,
            format!("{how}{words}; starts again in {wait} ms"),
            actions,
        );
    }

    fn asked(&mut self, now: Micros, status: Status, actions: &mut Vec<Action>) {
        self.asking = false;
        self.ask_at = now + micros(self.settings.status_interval);
        let Phase::Up { served, heard, .. } = &mut self.phase else {
            return;
        };
        let state = match (status, served.is_some()) {
            (Status::Yes, _) => NodeState::Serving,
            (Status::No, true) => NodeState::StandingBy,
            (Status::No, false) => NodeState::Starting,
            (Status::Silent, _) => {
                if now - *heard >= micros(self.settings.silent_limit) {
                    let note = format!("no answer for {} ms: it is ended", (now - *heard) / 1_000);
                    self.end(
                        now + HUNG_GRACE.min(micros(self.settings.drain_within)),
                        actions,
                    );
                    self.tell(NodeState::Draining, note, actions);
                }
                return;
            }
        };
        *heard = now;
        if status == Status::Yes {
            served.get_or_insert(now);
        }
        if state != self.state {
            self.tell(
                state,
                format!("says {}", if status == Status::Yes { "yes" } else { "no" }),
                actions,
            );
        }
    }

    fn wake(&mut self, now: Micros, actions: &mut Vec<Action>) {
        match &mut self.phase {
            Phase::Waiting { until } if *until <= now => self.start(now, actions),
            Phase::Up {
                since,
                served: None,
                ..
            } if now >= *since + micros(self.settings.ready_within) => {
                self.end(
                    now + HUNG_GRACE.min(micros(self.settings.drain_within)),
                    actions,
                );
                self.tell(
                    NodeState::Draining,
                    "never said yes: it is ended".into(),
                    actions,
                );
            }
            Phase::Up { .. } if !self.asking && now >= self.ask_at => {
                self.asking = true;
                actions.push(Action::Ask);
            }
            Phase::Ending { kill_at, killed } if !*killed && now >= *kill_at => {
                *killed = true;
                actions.push(Action::Kill);
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Micros = 1_000_000;

    fn give(supervisor: &mut Supervisor, now: Micros, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        supervisor.on_event(now, event, &mut actions);
        actions.retain(|action| !matches!(action, Action::Tell { .. }));
        actions
    }

    #[test]
    fn a_crash_loop_backs_off_and_keeps_to_its_ceiling() {
        let mut supervisor = Supervisor::new(Settings {
            starts_per_minute: 5,
            ..Settings::default()
        });
        assert_eq!(
            give(&mut supervisor, 0, Event::Begin { adopted: None }),
            [Action::Start]
        );
        let (mut now, mut starts) = (0, vec![0]);
        while now < 200 * SECOND {
            give(&mut supervisor, now, Event::Started(7));
            give(&mut supervisor, now, Event::Ended("exit 1".into()));
            now = supervisor.next_wake();
            assert_eq!(give(&mut supervisor, now, Event::Wake), [Action::Start]);
            starts.push(now);
        }
        assert_eq!(starts[1..4], [200_000, 600_000, 1_400_000], "doubling");
        let most = starts
            .iter()
            .map(|at| {
                starts
                    .iter()
                    .filter(|s| *s >= at && **s < at + WINDOW)
                    .count()
            })
            .max();
        assert_eq!(most, Some(5));
    }

    #[test]
    fn a_stop_waits_out_the_drain_and_kills_what_outstays_it() {
        for (drains, ends) in [(true, vec![]), (false, vec![Action::Kill])] {
            let mut supervisor = Supervisor::new(Settings::default());
            give(&mut supervisor, 0, Event::Begin { adopted: Some(9) });
            give(&mut supervisor, 10, Event::Asked(Status::Yes));
            let told = give(&mut supervisor, SECOND, Event::Stop);
            assert_eq!(told, [Action::Release, Action::Terminate]);
            let mut done = Vec::new();
            let kill_at = supervisor.next_wake();
            assert_eq!(kill_at, SECOND + 30 * SECOND);
            if !drains {
                done.extend(give(&mut supervisor, kill_at, Event::Wake));
            }
            assert_eq!(done, ends);
            assert_eq!(
                give(&mut supervisor, kill_at, Event::Ended("exit 0".into())),
                [Action::Done]
            );
            assert_eq!(supervisor.next_wake(), Micros::MAX, "never started again");
        }
    }

    #[test]
    fn one_that_hangs_or_never_serves_is_ended_and_started_again() {
        let mut supervisor = Supervisor::new(Settings::default());
        give(&mut supervisor, 0, Event::Begin { adopted: None });
        give(&mut supervisor, 0, Event::Started(7));
        assert_eq!(give(&mut supervisor, 0, Event::Wake), [Action::Ask]);
        give(&mut supervisor, 10, Event::Asked(Status::No));
        assert_eq!(
            give(&mut supervisor, 10 * SECOND, Event::Wake),
            [Action::Terminate],
            "never ready"
        );
        give(
            &mut supervisor,
            11 * SECOND,
            Event::Ended("signal 15".into()),
        );
        let at = supervisor.next_wake();
        assert_eq!(give(&mut supervisor, at, Event::Wake), [Action::Start]);
        give(&mut supervisor, at, Event::Started(8));
        give(&mut supervisor, at, Event::Asked(Status::Yes));
        assert_eq!(
            give(
                &mut supervisor,
                at + 9 * SECOND,
                Event::Asked(Status::Silent)
            ),
            []
        );
        assert_eq!(
            give(
                &mut supervisor,
                at + 10 * SECOND,
                Event::Asked(Status::Silent)
            ),
            [Action::Terminate]
        );
        let kill_at = supervisor.next_wake();
        assert_eq!(kill_at, at + 10 * SECOND + HUNG_GRACE);
        assert_eq!(give(&mut supervisor, kill_at, Event::Wake), [Action::Kill]);
    }
}
