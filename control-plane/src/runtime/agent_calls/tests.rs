use super::*;

use std::collections::BTreeSet;

use tokio::task::{spawn_local, JoinHandle, LocalSet};

/// More than are read at a time, and not more than wait in the socket's queue, so that none has to be retransmitted.
const MANY: usize = 100;
const LOCAL: SocketAddr = SocketAddr::new(IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// A socket that accepts calls, and the events that it causes.
fn open() -> (SocketAddr, mpsc::Receiver<HostEvent>) {
    let listener = listen(LOCAL).unwrap();
    let addr = listener.local_addr().unwrap();
    let (events, received) = mpsc::channel(2 * MANY);
    spawn_local(accept(listener, events));
    (addr, received)
}

fn calls(to: SocketAddr, count: usize) -> Vec<JoinHandle<Option<Vec<u8>>>> {
    (0..count)
        .map(|nth| spawn_local(call(LOCAL.ip(), to, format!("call {nth}").into_bytes())))
        .collect()
}

/// Guards against calls that wait for the replicated log and keep further calls out of the socket.
#[tokio::test]
async fn a_call_that_waits_for_its_answer_does_not_block_others() {
    let all = async {
        let (addr, mut events) = open();
        let callers = calls(addr, MANY);
        // All have reached the main task before one of them is answered, as calls do that wait for the replicated log.
        let mut waiting = Vec::new();
        while waiting.len() < MANY {
            let Some(HostEvent::Called { bytes, answer, .. }) = events.recv().await else {
                panic!("calls alone come")
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
        let wanted = (0..MANY).map(|nth| format!("yes to call {nth}").into_bytes());
        assert_eq!(answers, wanted.collect());
    };
    LocalSet::new().run_until(all).await;
}

/// Guards against calls that fill the memory while the main task is busy: each may be as long as a full view.
#[tokio::test]
async fn unhandled_calls_in_memory_are_bounded() {
    let all = async {
        let (addr, mut events) = open();
        let callers = calls(addr, 3 * MAX_READERS);
        let mut unhandled = Vec::new();
        while unhandled.len() < MAX_READERS {
            unhandled.push(events.recv().await.expect("a call"));
        }
        // Each occupies its permit until the main task has handled it; the next call then gets it.
        for _ in 0..200 {
            tokio::task::yield_now().await;
        }
        assert!(
            events.try_recv().is_err(),
            "more than {MAX_READERS} calls are in memory"
        );
        for _ in 0..2 * MAX_READERS {
            drop(unhandled.pop());
            unhandled.insert(0, events.recv().await.expect("the next call"));
        }
        drop(unhandled);
        for caller in callers {
            assert_eq!(caller.await.unwrap(), None, "not answered");
        }
    };
    LocalSet::new().run_until(all).await;
}
