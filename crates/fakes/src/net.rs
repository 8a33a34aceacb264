//! The network between processes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use futures_util::future::BoxFuture;
use tokio::sync::mpsc;
use wire::Reply;
use wire::Request;
use wire::peer;
use wire::peer::Handler;
use wire::peer::Peer;
use wire::peer::Replies;

use crate::process::Process;

/// One-way time between two processes.
pub const LATENCY: Duration = Duration::from_micros(1500);
/// Time after which a connection attempt is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Time after which a silent connection counts as broken.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

struct Endpoint {
    process: Arc<Process>,
    handler: Arc<dyn Handler>,
}

/// The network.
#[derive(Default)]
pub struct Net {
    endpoints: Mutex<BTreeMap<SocketAddr, Endpoint>>,
    cuts: Mutex<BTreeSet<(SocketAddr, SocketAddr)>>,
    traffic: Mutex<Traffic>,
}

/// What went over the network, requests and replies, without that of the data path.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Messages.
    pub messages: u64,
    /// Bytes of their frames.
    pub bytes: u64,
}

impl Net {
    /// Puts a server on the network.
    pub fn listen(&self, address: SocketAddr, process: Arc<Process>, handler: Arc<dyn Handler>) {
        let endpoint = Endpoint { process, handler };
        lock(&self.endpoints).insert(address, endpoint);
    }

    /// Cuts two addresses off from each other.
    pub fn cut(&self, a: SocketAddr, b: SocketAddr) {
        let mut cuts = lock(&self.cuts);
        cuts.insert((a, b));
        cuts.insert((b, a));
    }

    /// Takes every server off. Servers hold the network, so it would never be freed otherwise.
    pub fn close(&self) {
        lock(&self.endpoints).clear();
    }

    /// Heals every cut.
    pub fn heal(&self) {
        lock(&self.cuts).clear();
    }

    /// Control traffic so far.
    #[must_use]
    pub fn traffic(&self) -> Traffic {
        *lock(&self.traffic)
    }

    fn count(&self, message: &impl serde::Serialize) {
        let bytes = wire::codec::encode(message).map_or(0, |it| it.len());
        let mut traffic = lock(&self.traffic);
        traffic.messages += 1;
        traffic.bytes += bytes as u64;
    }

    fn is_cut(&self, a: SocketAddr, b: SocketAddr) -> bool {
        lock(&self.cuts).contains(&(a, b))
    }

    /// The network as `process` at `address` sees it.
    #[must_use]
    pub fn peer(self: &Arc<Net>, address: SocketAddr, process: Arc<Process>) -> Arc<dyn Peer> {
        Arc::new(Link {
            net: self.clone(),
            address,
            process,
        })
    }

    fn endpoint(&self, to: SocketAddr) -> Option<(Arc<Process>, Arc<dyn Handler>)> {
        let endpoints = lock(&self.endpoints);
        let endpoint = endpoints.get(&to)?;
        Some((endpoint.process.clone(), endpoint.handler.clone()))
    }
}

struct Link {
    net: Arc<Net>,
    address: SocketAddr,
    process: Arc<Process>,
}

impl Link {
    async fn open(&self, to: SocketAddr, request: Request) -> Result<Replies, peer::Error> {
        self.process.pass().await;
        if !matches!(request, Request::Dispatch(_)) {
            self.net.count(&request);
        }
        tokio::time::sleep(LATENCY).await;
        let Some((process, handler)) = self.net.endpoint(to) else {
            return Err(peer::Error::Unreachable);
        };
        if process.is_dead() {
            return Err(peer::Error::Unreachable);
        }
        if self.net.is_cut(self.address, to) {
            tokio::time::sleep(CONNECT_TIMEOUT).await;
            return Err(peer::Error::Unreachable);
        }
        let (inner, replies) = mpsc::channel(peer::REPLY_BUFFER);
        let (outer, receiver) = mpsc::channel(peer::REPLY_BUFFER);
        let server = process.clone();
        process.spawn(async move {
            server.pass().await;
            handler.handle(request, inner).await;
        });
        let carry = Carry {
            net: self.net.clone(),
            ends: (self.address, to),
            client: self.process.clone(),
            server: process,
        };
        // Carries replies for as long as both ends live, whatever happens to their tasks.
        tokio::spawn(carry.run(replies, outer));
        Ok(Replies(receiver))
    }
}

impl Peer for Link {
    fn open(
        &self,
        to: SocketAddr,
        request: Request,
    ) -> BoxFuture<'_, Result<Replies, peer::Error>> {
        Box::pin(Link::open(self, to, request))
    }
}

/// Moves replies from a server to a client.
struct Carry {
    net: Arc<Net>,
    ends: (SocketAddr, SocketAddr),
    client: Arc<Process>,
    server: Arc<Process>,
}

impl Carry {
    async fn run(self, mut replies: mpsc::Receiver<Reply>, outer: mpsc::Sender<Reply>) {
        loop {
            let reply = tokio::select! {
                biased;
                () = self.server.died() => return,
                () = self.client.died() => return,
                () = outer.closed() => return,
                reply = replies.recv() => reply,
            };
            let Some(reply) = reply else {
                return;
            };
            if !matches!(reply, Reply::Dispatch(_)) {
                self.net.count(&reply);
            }
            tokio::time::sleep(LATENCY).await;
            self.server.pass().await;
            if self.net.is_cut(self.ends.0, self.ends.1) {
                tokio::time::sleep(IDLE_TIMEOUT).await;
                return;
            }
            self.client.pass().await;
            if outer.send(reply).await.is_err() {
                return;
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
