//! Clients that keep no limits.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use platform_standin::site::API_KEY;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;

/// Connections of a crowd that sends.
const CROWD: usize = 160;
/// Connections of a crowd that says nothing.
const SILENT_CROWD: usize = 260;
/// Most bytes that a client without end sends.
const ENDLESS_BYTES: usize = 4_000_000;
/// Bytes of a head that stops, or that ends over the limit.
const HEAD_BYTES: usize = 380_000;
/// Bytes of a body inside the limit of the site, 100,000.
const BODY_BYTES: usize = 90_000;
/// Longest time that a client goes on sending.
const SEND_TIME: Duration = Duration::from_secs(3);
/// Handshakes that are begun at the control address.
const DATAGRAMS: usize = 20_000;
const PIECE_BYTES: usize = 10_000;
/// Receive buffer of a client that reads nothing, in bytes.
const RECEIVE_BYTES: u32 = 4_096;

/// A listener of the process.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Door {
    Clients,
    Readiness,
    Metrics,
    Control,
}

/// What each client of the crowd does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Behaviour {
    LargeHead,
    EndlessHead,
    HeadThatStops,
    EmptyLines,
    EndlessHeaders,
    ChunkExtension,
    Trailers,
    EndlessBody,
    HugeBody,
    BodyThatStops,
    PatientBody,
    Pipeline,
    UnreadAnswer,
    UnreadStream,
    Silence,
    Datagrams,
}

/// What a client sends: first once, then repeatedly, up to a total.
struct Script {
    first: Vec<u8>,
    rest: Vec<u8>,
    total: usize,
}

fn head(target: &str, number: usize, more: &str) -> String {
    format!(
        "{target} HTTP/1.1\r\nhost: site.example\r\nauthorization: Bearer {API_KEY}\r\n\
         x-request-id: crowd-{number}\r\nx-deadline-ms: 4000\r\n{more}"
    )
}

impl Behaviour {
    fn script(self, number: usize) -> Script {
        let piece = "a".repeat(PIECE_BYTES);
        let header = "x-more: ";
        let chunked = "transfer-encoding: chunked\r\n\r\n";
        let post = |more: &str| head("POST /post/1", number, more);
        let read = |more: &str| head("GET /read/1", number, more);
        let once = |first: String| (first, String::new(), 0);
        let (first, rest, total) = match self {
            Behaviour::LargeHead => {
                let more = format!("{header}{}\r\n\r\n", "a".repeat(HEAD_BYTES));
                once(read(&more))
            }
            Behaviour::EndlessHead => (read(header), piece, ENDLESS_BYTES),
            Behaviour::HeadThatStops => (read(header), piece, HEAD_BYTES),
            Behaviour::EmptyLines => (String::new(), "\r\n".repeat(5_000), ENDLESS_BYTES),
            Behaviour::EndlessHeaders => (read(""), "a: b\r\n".repeat(2_000), ENDLESS_BYTES),
            Behaviour::ChunkExtension => (post(&format!("{chunked}1;x=")), piece, ENDLESS_BYTES),
            Behaviour::Trailers => (
                post(&format!("{chunked}1\r\na\r\n0\r\n")),
                format!("{header}{piece}\r\n"),
                ENDLESS_BYTES,
            ),
            Behaviour::EndlessBody => (
                post(chunked),
                format!("{:x}\r\n{piece}\r\n", piece.len()),
                ENDLESS_BYTES,
            ),
            Behaviour::HugeBody => {
                let length = "content-length: 1000000000000\r\n\r\n";
                (post(length), piece, ENDLESS_BYTES)
            }
            Behaviour::BodyThatStops => {
                let length = format!("content-length: {}\r\n\r\n", BODY_BYTES + 1);
                (post(&length), piece, BODY_BYTES)
            }
            Behaviour::PatientBody => once(
                "POST /post/1 HTTP/1.1\r\nhost: site.example\r\nx-deadline-ms: 600000\r\n\
                 x-request-id: patient\r\nauthorization: Bearer key-1\r\ncontent-length: 5\r\n\r\nab"
                    .to_owned(),
            ),
            Behaviour::Pipeline => {
                let request = read("\r\n");
                (String::new(), request.repeat(50), ENDLESS_BYTES)
            }
            Behaviour::UnreadAnswer => once(read("\r\n")),
            Behaviour::UnreadStream => {
                let more =
                    "x-model: m\r\nx-token-count: 30,6\r\nx-prompt-prefix: a:10,b:20\r\n\r\n";
                once(head("POST /summary/1", number, more))
            }
            Behaviour::Silence | Behaviour::Datagrams => once(String::new()),
        };
        Script {
            first: first.into_bytes(),
            rest: rest.into_bytes(),
            total,
        }
    }
}

/// Lets a crowd send until each client has sent all or was refused; returns the connections that
/// are still open at this end.
pub(crate) async fn play(address: SocketAddr, behaviour: Behaviour) -> Vec<TcpStream> {
    if behaviour == Behaviour::Datagrams {
        send_datagrams(address).await;
        return Vec::new();
    }
    let count = match behaviour {
        Behaviour::Silence => SILENT_CROWD,
        _ => CROWD,
    };
    let clients = (0..count).map(|it| send(address, behaviour, it));
    join_all(clients).await.into_iter().flatten().collect()
}

async fn send(address: SocketAddr, behaviour: Behaviour, number: usize) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(RECEIVE_BYTES).expect("a size");
    let connected = tokio::time::timeout(SEND_TIME, socket.connect(address)).await;
    let mut stream = connected.ok()?.ok()?;
    let script = behaviour.script(number);
    // A refused or stalled client has done its part.
    let _ = tokio::time::timeout(SEND_TIME, write(&mut stream, &script)).await;
    Some(stream)
}

async fn write(stream: &mut TcpStream, script: &Script) -> std::io::Result<()> {
    stream.write_all(&script.first).await?;
    let mut sent = 0;
    while sent < script.total {
        stream.write_all(&script.rest).await?;
        sent += script.rest.len();
    }
    Ok(())
}

/// Sends first packets of QUIC connections that never go on, and bytes that are none.
async fn send_datagrams(address: SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    for number in 0..DATAGRAMS {
        let mut datagram = vec![0x5a; 1_200];
        if number % 2 == 0 {
            // A long header of version 1 with a connection id of eight bytes.
            datagram[..6].copy_from_slice(&[0xc0, 0, 0, 0, 1, 8]);
            datagram[6..14].copy_from_slice(&number.to_be_bytes());
            datagram[14..18].copy_from_slice(&[0, 0, 0x44, 0x90]);
        }
        // A full queue drops the datagram.
        let _ = socket.send_to(&datagram, address).await;
    }
}
