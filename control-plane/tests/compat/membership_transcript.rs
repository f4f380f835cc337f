//! The recorded conversation of four members in virtual time: joins, exchanges of views, a suspicion that is refuted, a
//! failure and a leave.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use control_plane::membership::{
    Membership, MembershipAction, MembershipEvent, MembershipSettings, MembershipStart, NodeState,
    Record, SUPPORTED_FORMATS,
};

use super::transcript::Transcript;
use super::virtual_time::{Step, VirtualTime, MILLISECOND, SECOND, WALL_MS};

const EXPECTED: &str = include_str!("fixtures/membership-transcript.txt");
const MEMBERS: usize = 4;
const SUSPECTED: usize = 2;
const KILLED: usize = 3;
const LEAVING: usize = 1;

fn address(member: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1 + member as u8], 7000))
}

fn membership(member: usize) -> Membership {
    let record = Record {
        name: format!("m{member}").parse().unwrap(),
        generation: 0,
        process: 100 + member as u64,
        version: 0,
        addr: address(member),
        operators: Some(SocketAddr::from(([10, 0, 0, 1 + member as u8], 7001))),
        clients: None,
        machine: format!("rack-{member}"),
        zone: format!("zone-{}", member % 2),
        program: "0.1.0".into(),
        started_ms: WALL_MS + member as u64,
        node: NodeState::Stopped,
        left: false,
        formats: SUPPORTED_FORMATS,
        note: String::new(),
    };
    let seeds = vec![address(0), address(1)];
    let seed = 40 + member as u64;
    let start = MembershipStart {
        record,
        seeds,
        seed,
    };
    Membership::new(MembershipSettings::default(), start)
}

struct Fleet {
    members: Vec<Membership>,
    running: Vec<bool>,
    cut_off: Option<usize>,
    time: VirtualTime<MembershipEvent>,
    /// The calling member and its call, by connection.
    callers: BTreeMap<u64, (usize, u64)>,
    transcript: Transcript,
}

impl Fleet {
    fn new() -> Fleet {
        Fleet {
            members: (0..MEMBERS).map(membership).collect(),
            running: vec![true; MEMBERS],
            cut_off: None,
            time: VirtualTime::new(),
            callers: BTreeMap::new(),
            transcript: Transcript::default(),
        }
    }

    /// Sends an event to another member. It is lost if either of them is cut off.
    fn send(&mut self, from: usize, to: usize, event: MembershipEvent) {
        let is_cut = self.cut_off == Some(from) || self.cut_off == Some(to);
        if !is_cut {
            self.time.send(to, event);
        }
    }

    fn handle(&mut self, member: usize, event: MembershipEvent) {
        if !self.running[member] {
            return;
        }
        let mut actions = Vec::new();
        self.members[member].on_event(self.time.now(), event, &mut actions);
        for action in actions {
            self.carry_out(member, action);
        }
    }

    fn record(&mut self, member: usize, what: &str, bytes: &[u8]) {
        self.transcript.record(self.time.now(), member, what, bytes);
    }

    fn carry_out(&mut self, member: usize, action: MembershipAction) {
        match action {
            MembershipAction::Send { to, bytes } => {
                let to = member_at(to);
                self.record(member, &format!("to-m{to}"), &bytes);
                self.send(member, to, MembershipEvent::Datagram(bytes));
            }
            MembershipAction::Call { call, to, bytes } => {
                let to = member_at(to);
                self.record(member, &format!("call-m{to}"), &bytes);
                let conn = self.time.next_number();
                self.callers.insert(conn, (member, call));
                self.send(member, to, MembershipEvent::Called { conn, bytes });
            }
            MembershipAction::Answer { conn, bytes } => {
                self.record(member, "answer", &bytes);
                let (caller, call) = self.callers.remove(&conn).unwrap();
                self.send(member, caller, MembershipEvent::Answered { call, bytes });
            }
            MembershipAction::Deliver { .. } => self.record(member, "pass", &[]),
            MembershipAction::Report(_) => self.record(member, "change", &[]),
            MembershipAction::NameRejected(_) => self.record(member, "refused", &[]),
            MembershipAction::Left => {
                self.record(member, "gone", &[]);
                self.running[member] = false;
            }
        }
    }

    fn run_for(&mut self, span: u64) {
        let end = self.time.now() + span;
        loop {
            let running = (0..MEMBERS).filter(|&member| self.running[member]);
            let next = running.min_by_key(|&member| self.members[member].next_wake());
            let wake = next.map_or(u64::MAX, |member| self.members[member].next_wake());
            match self.time.advance(end, wake) {
                Step::Deliver { to, event } => self.handle(to, event),
                Step::Wake => self.handle(next.unwrap(), MembershipEvent::Wake),
                Step::End => return,
            }
        }
    }
}

fn member_at(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        panic!("{address}");
    };
    usize::from(address.ip().octets()[3]) - 1
}

/// The transcript of the conversation between members of this build.
pub fn transcript() -> Transcript {
    let mut fleet = Fleet::new();
    for member in 0..MEMBERS {
        fleet.handle(member, MembershipEvent::Start);
        fleet.run_for(100 * MILLISECOND);
    }
    fleet.run_for(3 * SECOND);
    let (state, note) = (NodeState::Serving, "started as process 7".to_owned());
    fleet.handle(0, MembershipEvent::NodeStateChanged { state, note });
    fleet.cut_off = Some(SUSPECTED);
    fleet.run_for(3 * SECOND);
    fleet.cut_off = None;
    fleet.run_for(3 * SECOND);
    fleet.running[KILLED] = false;
    fleet.run_for(8 * SECOND);
    fleet.handle(LEAVING, MembershipEvent::Leave);
    fleet.run_for(3 * SECOND);
    fleet.transcript
}

/// Guards against a refactoring that changes the order of random draws, timers or messages. The members react to each
/// other, so a single different byte changes all that follows.
#[test]
fn members_send_the_recorded_bytes_in_the_recorded_order() {
    transcript().assert_same_as(EXPECTED);
}
