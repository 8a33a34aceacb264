//! HTTP/1.1 messages on blocking sockets.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// A request that a stand-in has read.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Path with the query, as sent.
    pub target: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let header = self.headers.iter().find(|it| it.0 == name);
        header.map_or("", |it| it.1.as_str())
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// A parameter of the query, percent-decoded; empty if there is none.
    pub fn parameter(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |it| it.1);
        let pairs = query.split('&').filter_map(|it| it.split_once('='));
        let mut values = pairs.filter(|it| it.0 == name).map(|it| it.1);
        percent_decode(values.next().unwrap_or_default())
    }
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let code = tail.get(..2).filter(|_| *first == b'%');
        let code = code.and_then(|it| std::str::from_utf8(it).ok());
        match code.and_then(|it| u8::from_str_radix(it, 16).ok()) {
            Some(code) => {
                bytes.push(code);
                rest = &tail[2..];
            }
            None => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads head lines up to the empty line; `None` if the channel ends before.
fn read_head(stream: &mut impl Read, buffer: &mut Vec<u8>) -> Option<Vec<String>> {
    let mut chunk = [0; 16 * 1024];
    loop {
        if let Some(end) = buffer.windows(4).position(|it| it == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 4);
            return Some(head.split("\r\n").map(str::to_owned).collect());
        }
        match stream.read(&mut chunk) {
            Ok(length @ 1..) => buffer.extend_from_slice(&chunk[..length]),
            _ => return None,
        }
    }
}

fn headers_of(lines: &[String]) -> Vec<(String, String)> {
    let lines = lines.iter().filter_map(|it| it.split_once(':'));
    lines
        .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        .collect()
}

/// Reads a request whose body has a length; `None` if the channel ends before.
pub fn read_request(stream: &mut impl Read, buffer: &mut Vec<u8>) -> Option<Request> {
    let lines = read_head(stream, buffer)?;
    let mut words = lines.first()?.split(' ');
    let mut request = Request {
        target: words.nth(1)?.to_owned(),
        headers: headers_of(&lines[1..]),
        body: Vec::new(),
    };
    let length: usize = request.header("content-length").parse().unwrap_or(0);
    let mut chunk = [0; 16 * 1024];
    while buffer.len() < length {
        match stream.read(&mut chunk) {
            Ok(count @ 1..) => buffer.extend_from_slice(&chunk[..count]),
            _ => return None,
        }
    }
    request.body = buffer.drain(..length).collect();
    Some(request)
}

/// A response with a length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    [head.as_bytes(), body].concat()
}

/// What a client got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if the channel ended without a head.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body is whole, by its framing.
    pub is_complete: bool,
    pub took: Duration,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        let header = self.headers.iter().find(|it| it.0 == name);
        header.map_or("", |it| it.1.as_str())
    }
}

/// A request of a client.
#[derive(Clone, Debug, Default)]
pub struct Call {
    pub method: &'static str,
    pub host: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Call {
    pub fn bytes(&self) -> Vec<u8> {
        let mut head = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\n",
            self.method, self.target, self.host
        );
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if self.method != "GET" || !self.body.is_empty() {
            head.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        head.push_str("\r\n");
        [head.as_bytes(), &self.body].concat()
    }
}

/// A client's channel to a node.
pub struct Channel {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Channel {
    pub fn open(address: SocketAddr) -> std::io::Result<Channel> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Channel {
            stream,
            buffer: Vec::new(),
        })
    }

    /// Sends a request and reads its answer, for at most `limit`.
    pub fn exchange(&mut self, call: &Call, limit: Duration) -> Answer {
        let start = Instant::now();
        // A failure to set it shows as an answer that takes too long.
        let _ = self.stream.set_read_timeout(Some(limit));
        let mut answer = Answer::default();
        if self.stream.write_all(&call.bytes()).is_ok() {
            answer = self.read_answer().unwrap_or_default();
        }
        answer.took = start.elapsed();
        answer
    }

    fn read_answer(&mut self) -> Option<Answer> {
        let lines = read_head(&mut self.stream, &mut self.buffer)?;
        let status = lines.first()?.split(' ').nth(1)?.parse().ok()?;
        let mut answer = Answer {
            status,
            headers: headers_of(&lines[1..]),
            ..Answer::default()
        };
        if answer.header("transfer-encoding") == "chunked" {
            answer.is_complete = self.read_chunks(&mut answer.body).is_some();
            return Some(answer);
        }
        let length: usize = answer.header("content-length").parse().unwrap_or(0);
        while self.buffer.len() < length && self.fill().is_some() {}
        let held = self.buffer.len().min(length);
        answer.body = self.buffer.drain(..held).collect();
        answer.is_complete = held == length;
        Some(answer)
    }

    fn fill(&mut self) -> Option<()> {
        let mut chunk = [0; 16 * 1024];
        match self.stream.read(&mut chunk) {
            Ok(count @ 1..) => self.buffer.extend_from_slice(&chunk[..count]),
            _ => return None,
        }
        Some(())
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>) -> Option<()> {
        loop {
            let line_end = loop {
                match self.buffer.windows(2).position(|it| it == b"\r\n") {
                    Some(end) => break end,
                    None => self.fill()?,
                }
            };
            let line = String::from_utf8_lossy(&self.buffer[..line_end]).into_owned();
            let size = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
            while self.buffer.len() < line_end + 2 + size + 2 {
                self.fill()?;
            }
            self.buffer.drain(..line_end + 2);
            body.extend(self.buffer.drain(..size));
            self.buffer.drain(..2);
            if size == 0 {
                return Some(());
            }
        }
    }
}

/// Sends a request on a channel of its own.
pub fn send(address: SocketAddr, call: &Call, limit: Duration) -> Answer {
    match Channel::open(address) {
        Ok(mut channel) => channel.exchange(call, limit),
        Err(_) => Answer::default(),
    }
}
