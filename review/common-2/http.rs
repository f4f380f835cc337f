//! HTTP/1.1 on blocking sockets: just what the stand-ins and the callers need.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response.
pub struct Message {
    /// The request line or the status line.
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(other, _)| other.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// The status of a response; 0 if the status line has none.
    pub fn status(&self) -> u16 {
        let mut words = self.first_line.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// The path and query of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn invalid(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 || !line.ends_with('\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end_matches(['\r', '\n']).to_owned())
}

/// Reads a message with its body. A body without a length ends with the connection if `until_end` is set.
pub fn read(reader: &mut BufReader<TcpStream>, until_end: bool) -> io::Result<Message> {
    let first_line = read_line(reader)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or(invalid("header"))?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
    let mut message = Message {
        first_line,
        headers,
        body: Vec::new(),
    };
    if message.header("transfer-encoding").is_some() {
        message.body = read_chunks(reader)?;
    } else if let Some(length) = message.header("content-length") {
        let length = length.parse().map_err(|_| invalid("content-length"))?;
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    } else if until_end {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(message)
}

fn read_chunks(reader: &mut BufReader<TcpStream>) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = read_line(reader)?;
        let size = line.split(';').next().unwrap_or("").trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| invalid("chunk"))?;
        let mut chunk = vec![0; size];
        reader.read_exact(&mut chunk)?;
        body.extend(chunk);
        read_line(reader)?;
        if size == 0 {
            return Ok(body);
        }
    }
}

/// One call on a connection of its own.
pub fn call(addr: SocketAddr, method: &str, target: &str, limit: Duration) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&addr, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    let head = format!("{method} {target} HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\n\r\n");
    (&stream).write_all(head.as_bytes())?;
    read(&mut BufReader::new(stream), true)
}
