//! A TCP proxy that misbehaves.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;

const CHUNK_BYTES: usize = 16 * 1024;
const DELAY: Duration = Duration::from_millis(80);

/// What happens to bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Mode {
    /// They pass.
    #[default]
    Pass,
    /// They pass late.
    Delay,
    /// Connections are closed, and new ones too.
    Cut,
    /// Nothing passes either way, and nothing is closed.
    Silent,
    /// Requests pass, answers do not.
    OneWay,
}

/// A proxy in front of one address.
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    mode: Arc<watch::Sender<Mode>>,
}

impl Proxy {
    pub(crate) async fn start(to: SocketAddr) -> std::io::Result<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let mode = Arc::new(watch::Sender::new(Mode::Pass));
        tokio::spawn(accept(listener, to, mode.clone()));
        Ok(Proxy { address, mode })
    }

    pub(crate) fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn accept(listener: TcpListener, to: SocketAddr, mode: Arc<watch::Sender<Mode>>) {
    while let Ok((client, _)) = listener.accept().await {
        let mut mode = mode.subscribe();
        tokio::spawn(async move {
            if *mode.borrow() == Mode::Cut {
                return;
            }
            let Ok(server) = TcpStream::connect(to).await else {
                return;
            };
            let (from_client, to_client) = client.into_split();
            let (from_server, to_server) = server.into_split();
            let requests = pass(from_client, to_server, mode.clone(), Mode::Silent);
            let answers = pass(from_server, to_client, mode.clone(), Mode::OneWay);
            tokio::select! {
                // Either end closing closes both, as a reset does.
                () = requests => {}
                () = answers => {}
                _ = mode.wait_for(|it| *it == Mode::Cut) => {}
            }
        });
    }
}

/// Copies until either end closes; holds the bytes back while the mode says so.
async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
    held: Mode,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(length) = from.read(&mut chunk).await {
        if length == 0 {
            return;
        }
        if *mode.borrow() == Mode::Delay {
            tokio::time::sleep(DELAY).await;
        }
        let is_free = |it: &Mode| *it != Mode::Silent && *it != held;
        if mode.wait_for(is_free).await.is_err() || to.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}
