use super::*;

use std::collections::BTreeSet;

use tokio::task::{spawn_local, JoinHandle, LocalSet};

/// More than `MAX_UNHANDLED_CALLS`, and no more than `LISTEN_BACKLOG`, so that no connection has to be retried.
const CALLS: usize = 100;
const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Opens a socket that accepts calls. Returns its address and the events that the calls cause.
fn open() -> (SocketAddr, mpsc::Receiver<HostEvent>) {
    let listener = listen(LOOPBACK).unwrap();
    let addr = listener.local_addr().unwrap();
    let (events, received) = mpsc::channel(2 * CALLS);
    spawn_local(accept(listener, events));
    (addr, received)
}

fn calls(to: SocketAddr, count: usize) -> Vec<JoinHandle<Option<Vec<u8>>>> {
    (0..count)
        .map(|nth| spawn_local(call(LOOPBACK.ip(), to, format!("call {nth}").into_bytes())))
        .collect()
}

/// Guards against calls that wait for the replicated log and thereby block all further calls.
#[tokio::test]
async fn a_call_that_waits_for_its_answer_does_not_block_others() {
    let scenario = async {
        let (addr, mut events) = open();
        let callers = calls(addr, CALLS);
        // All calls reach the main task before the first is answered, as calls do that wait for the replicated log.
        let mut waiting = Vec::new();
        while waiting.len() < CALLS {
            let Some(HostEvent::Called { bytes, answer, .. }) = events.recv().await else {
                panic!("only calls cause events")
            };
            waiting.push((bytes, answer));
        }
        for (bytes, answer) in waiting {
            answer.send([b"yes to ", &bytes[..]].concat()).unwrap();
        }
        let mut answers = BTreeSet::new();
        for caller in callers {
            answers.insert(caller.await.unwrap().expect("an answer"));
        }
        let expected = (0..CALLS).map(|nth| format!("yes to call {nth}").into_bytes());
        assert_eq!(answers, expected.collect());
    };
    LocalSet::new().run_until(scenario).await;
}

/// Guards against calls that exhaust memory while the main task is busy: each may be as long as a full view.
#[tokio::test]
async fn unhandled_calls_in_memory_are_bounded() {
    let scenario = async {
        let (addr, mut events) = open();
        let callers = calls(addr, 3 * MAX_UNHANDLED_CALLS);
        let mut unhandled = Vec::new();
        while unhandled.len() < MAX_UNHANDLED_CALLS {
            unhandled.push(events.recv().await.expect("a call"));
        }
        // A call holds its permit until the main task has handled it. Only then does the next call get the permit.
        for _ in 0..200 {
            tokio::task::yield_now().await;
        }
        assert!(
            events.try_recv().is_err(),
            "more than {MAX_UNHANDLED_CALLS} calls are in memory"
        );
        for _ in 0..2 * MAX_UNHANDLED_CALLS {
            drop(unhandled.pop());
            unhandled.insert(0, events.recv().await.expect("the next call"));
        }
        drop(unhandled);
        for caller in callers {
            assert_eq!(caller.await.unwrap(), None, "not answered");
        }
    };
    LocalSet::new().run_until(scenario).await;
}
