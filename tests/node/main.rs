//! The real node over loopback sockets, between servers and a discovery of the test's own.

#[path = "../common/mod.rs"]
mod common;

mod bodies;
mod clients;
mod configuration;
mod descriptors;
mod discovery;
mod gone;
mod leaving;
mod links;
mod lists;
mod operators;
mod requests;
mod restart;
mod told;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Stdio;
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use common::http::*;
use common::site::*;
use common::stand_ins::*;
