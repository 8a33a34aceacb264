//! HTTP/1.1 over blocking sockets: a server with a thread for each connection, and a client that
//! tells complete answers from broken ones.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// A request with its whole body.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Number of the connection within this process.
    pub connection: u64,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let header = self.headers.iter().find(|it| it.0 == name);
        header.map_or("", |it| it.1.as_str())
    }

    pub fn parameter(&self, name: &str) -> &str {
        let parameter = self.query.iter().find(|it| it.0 == name);
        parameter.map_or("", |it| it.1.as_str())
    }
}

/// Answers the requests of one server. Returns whether the connection stays open.
pub trait Handler: Send + Sync + 'static {
    fn handle(&self, request: &Request, stream: &mut TcpStream) -> bool;

    /// Whether the server's process has ended, so that nothing listens any more.
    fn has_ended(&self) -> bool {
        false
    }
}

static CONNECTIONS: AtomicU64 = AtomicU64::new(0);

/// Serves on `listener` until the handler has ended.
pub fn serve(listener: TcpListener, handler: Arc<impl Handler>) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if handler.has_ended() {
                return;
            }
            let handler = handler.clone();
            std::thread::spawn(move || {
                let _ = serve_connection(stream, &*handler);
            });
        }
    });
}

fn serve_connection(mut stream: TcpStream, handler: &impl Handler) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let connection = CONNECTIONS.fetch_add(1, Ordering::Relaxed);
    let mut buffer = Vec::new();
    loop {
        let Some(mut request) = read_request(&mut stream, &mut buffer)? else {
            return Ok(());
        };
        request.connection = connection;
        if !handler.handle(&request, &mut stream) {
            return Ok(());
        }
    }
}

/// Works for `time`, like a server that drops a request when its connection closes. Returns whether
/// the work ended.
pub fn work(stream: &TcpStream, time: Duration) -> bool {
    let end = Instant::now() + time;
    while Instant::now() < end {
        if is_closed(stream) {
            return false;
        }
        let left = end.saturating_duration_since(Instant::now());
        std::thread::sleep(left.min(Duration::from_millis(5)));
    }
    true
}

fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(err) => err.kind() != std::io::ErrorKind::WouldBlock,
    }
}

/// Encodes an answer with a length.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!(
        "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    [head.as_bytes(), body].concat()
}

fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<Option<Request>> {
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|it| it == b"\r\n\r\n") {
            break end;
        }
        if read_more(stream, buffer)? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.lines();
    let mut line = lines.next().unwrap_or_default().split(' ');
    let method = line.next().unwrap_or_default().to_owned();
    let target = line.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|it| it.split_once('='));
    let query = query.map(|it| (it.0.to_owned(), decode(it.1)));
    let headers = lines.filter_map(|it| it.split_once(':'));
    let headers = headers.map(|it| (it.0.to_ascii_lowercase(), it.1.trim().to_owned()));
    let mut request = Request {
        method,
        path: path.to_owned(),
        query: query.collect(),
        headers: headers.collect(),
        ..Request::default()
    };
    let length: usize = request.header("content-length").parse().unwrap_or(0);
    while buffer.len() < length {
        if read_more(stream, buffer)? == 0 {
            return Ok(None);
        }
    }
    request.body = buffer.drain(..length).collect();
    Ok(Some(request))
}

fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<usize> {
    let mut chunk = [0; 16 * 1024];
    let count = stream.read(&mut chunk)?;
    buffer.extend_from_slice(&chunk[..count]);
    Ok(count)
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let code = (*first == b'%').then(|| tail.get(..2)).flatten();
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

/// Answer to a client.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if there was none.
    pub status: u16,
    /// In lower case.
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the body came to the end that its framing states.
    pub is_complete: bool,
}

/// A client's connection that is kept for several requests.
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

    /// Sends a request and reads its answer for at most `wait`.
    pub fn send(
        &mut self,
        target: &str,
        headers: &[String],
        body: &[u8],
        wait: Duration,
    ) -> Answer {
        let mut head = format!("{target} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
        for header in headers {
            head.push_str(&format!("{header}\r\n"));
        }
        head.push_str("\r\n");
        if self
            .stream
            .write_all(&[head.as_bytes(), body].concat())
            .is_err()
        {
            return Answer::default();
        }
        let end = Instant::now() + wait;
        self.read_answer(end).unwrap_or_default()
    }

    /// Whether the other side has closed the idle connection.
    pub fn is_closed(&self) -> bool {
        is_closed(&self.stream)
    }

    fn read_answer(&mut self, end: Instant) -> Option<Answer> {
        let head_end = loop {
            if let Some(at) = self.buffer.windows(4).position(|it| it == b"\r\n\r\n") {
                break at;
            }
            self.read_until(end)?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).to_ascii_lowercase();
        self.buffer.drain(..head_end + 4);
        let status = head.split(' ').nth(1).and_then(|it| it.parse().ok());
        let mut answer = Answer {
            status: status.unwrap_or(0),
            ..Answer::default()
        };
        let length = head
            .lines()
            .find_map(|it| it.strip_prefix("content-length:"));
        let length: Option<usize> = length.and_then(|it| it.trim().parse().ok());
        answer.head = head;
        answer.is_complete = match length {
            Some(length) => self.read_length(length, end, &mut answer.body),
            None => self.read_chunks(end, &mut answer.body),
        };
        Some(answer)
    }

    fn read_length(&mut self, length: usize, end: Instant, body: &mut Vec<u8>) -> bool {
        while self.buffer.len() < length {
            if self.read_until(end).is_none() {
                body.append(&mut self.buffer);
                return false;
            }
        }
        body.extend(self.buffer.drain(..length));
        true
    }

    fn read_chunks(&mut self, end: Instant, body: &mut Vec<u8>) -> bool {
        loop {
            let line_end = loop {
                if let Some(at) = self.buffer.windows(2).position(|it| it == b"\r\n") {
                    break at;
                }
                if self.read_until(end).is_none() {
                    return false;
                }
            };
            let size = String::from_utf8_lossy(&self.buffer[..line_end]).into_owned();
            let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
                return false;
            };
            while self.buffer.len() < line_end + 2 + size + 2 {
                if self.read_until(end).is_none() {
                    return false;
                }
            }
            self.buffer.drain(..line_end + 2);
            body.extend(self.buffer.drain(..size));
            self.buffer.drain(..2);
            if size == 0 {
                return true;
            }
        }
    }

    /// `None` at the end of the connection or of the time.
    fn read_until(&mut self, end: Instant) -> Option<()> {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return None;
        }
        self.stream.set_read_timeout(Some(left)).ok()?;
        let count = read_more(&mut self.stream, &mut self.buffer).ok()?;
        (count > 0).then_some(())
    }
}

/// Sends one request on a new connection.
pub fn send(
    address: SocketAddr,
    target: &str,
    headers: &[String],
    body: &[u8],
    wait: Duration,
) -> Answer {
    match Channel::open(address) {
        Ok(mut channel) => channel.send(target, headers, body, wait),
        Err(_) => Answer::default(),
    }
}
