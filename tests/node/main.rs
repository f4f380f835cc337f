//! Tests of a real node process on loopback, with servers and a discovery service that the tests control.

#[path = "../common/mod.rs"]
mod common;

mod bodies;
mod broken_responses;
mod clients;
mod configuration;
mod connection_ends;
mod crowd;
mod descriptors;
mod disconnect_timing;
mod disconnects;
mod discovery;
mod discovery_outages;
mod endpoint_lists;
mod floods;
mod late_bodies;
mod long_drains;
mod malformed_responses;
mod memory_limit;
mod operators;
mod repeated_ids;
mod requests;
mod response_sweep;
mod restart;
mod send_limit_sweep;
mod send_limits;
mod server_connections;
mod slow_peers;
mod soak;
mod unread_requests;
mod upload_deadlines;
mod upload_sweep;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Stdio;
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use common::http::*;
use common::node_fixture::*;
use common::plays::faults_of_plays;
use common::stand_ins::*;
