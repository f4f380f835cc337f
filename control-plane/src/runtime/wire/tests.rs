use super::*;

use std::collections::BTreeSet;

use tokio::task::{spawn_local, JoinHandle, LocalSet};

/// More than are read at a time, and no more than wait in the socket's queue: none has to be sent anew.
const MANY: usize = 100;
const LOCAL: SocketAddr = SocketAddr::new(IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// A socket that takes calls, and what it hands to the main task.
fn open() -> (SocketAddr, mpsc::Receiver<Msg>) {
    let listener = listen(LOCAL).unwrap();
    let addr = listener.local_addr().unwrap();
    let (tx, rx) = mpsc::channel(2 * MANY);
    spawn_local(accept(listener, tx));
    (addr, rx)
}

fn calls(to: SocketAddr, count: usize) -> Vec<JoinHandle<Option<Vec<u8>>>> {
    (0..count)
        .map(|nth| spawn_local(call(LOCAL.ip(), to, format!("call {nth}").into_bytes())))
        .collect()
}

#[tokio::test]
async fn a_call_that_waits_for_its_answer_keeps_no_other_out() {
    let all = async {
        let (addr, mut rx) = open();
        let callers = calls(addr, MANY);
        // All are with the main task before one of them is answered, as those that wait for the agreed log are.
        let mut waiting = Vec::new();
        while waiting.len() < MANY {
            let Some(Msg::Called { bytes, answer, .. }) = rx.recv().await else {
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

#[tokio::test]
async fn what_is_read_and_not_looked_at_is_bounded() {
    let all = async {
        let (addr, mut rx) = open();
        let callers = calls(addr, 3 * READERS);
        let mut held = Vec::new();
        while held.len() < READERS {
            held.push(rx.recv().await.expect("a call"));
        }
        // Each holds its place until the main task has looked at it; a place that is free is taken by the next.
        for _ in 0..200 {
            tokio::task::yield_now().await;
        }
        assert!(rx.try_recv().is_err(), "more than {READERS} calls are held");
        for _ in 0..2 * READERS {
            drop(held.pop());
            held.insert(0, rx.recv().await.expect("the next call"));
        }
        drop(held);
        for caller in callers {
            assert_eq!(caller.await.unwrap(), None, "not answered");
        }
    };
    LocalSet::new().run_until(all).await;
}
