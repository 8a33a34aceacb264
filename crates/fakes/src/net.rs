//! Simulated network between the processes of a deployment.

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

/// One-way latency between two processes.
pub const LATENCY: Duration = Duration::from_micros(1500);
/// Time after which an attempt to connect over a cut link fails.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Time after which an open connection over a cut link is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

struct Endpoint {
    process: Arc<Process>,
    handler: Arc<dyn Handler>,
}

/// A simulated network, with latency and cut links.
#[derive(Default)]
pub struct Net {
    endpoints: Mutex<BTreeMap<SocketAddr, Endpoint>>,
    /// Pairs of addresses that cannot reach each other, in both orders.
    cut_links: Mutex<BTreeSet<(SocketAddr, SocketAddr)>>,
    traffic: Mutex<Traffic>,
}

/// Amount of control traffic: requests and replies other than those of dispatches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of messages.
    pub messages: u64,
    /// Size of their encoded frames, in bytes.
    pub bytes: u64,
}

impl Net {
    /// Registers the server at `address`, and replaces any earlier one.
    pub fn listen(&self, address: SocketAddr, process: Arc<Process>, handler: Arc<dyn Handler>) {
        let endpoint = Endpoint { process, handler };
        lock(&self.endpoints).insert(address, endpoint);
    }

    /// Cuts the link between two addresses, in both directions.
    pub fn cut(&self, a: SocketAddr, b: SocketAddr) {
        let mut cut_links = lock(&self.cut_links);
        cut_links.insert((a, b));
        cut_links.insert((b, a));
    }

    /// Removes all servers. They hold references to the network, which would never be freed
    /// otherwise.
    pub fn close(&self) {
        lock(&self.endpoints).clear();
    }

    /// Restores all cut links.
    pub fn heal(&self) {
        lock(&self.cut_links).clear();
    }

    /// Returns the control traffic so far.
    #[must_use]
    pub fn traffic(&self) -> Traffic {
        *lock(&self.traffic)
    }

    fn count_message(&self, message: &impl serde::Serialize) {
        let bytes = wire::codec::encode(message).map_or(0, |it| it.len());
        let mut traffic = lock(&self.traffic);
        traffic.messages += 1;
        traffic.bytes += bytes as u64;
    }

    fn is_cut(&self, a: SocketAddr, b: SocketAddr) -> bool {
        lock(&self.cut_links).contains(&(a, b))
    }

    /// Creates a client through which `process` at `address` sends requests.
    #[must_use]
    pub fn peer(self: &Arc<Net>, address: SocketAddr, process: Arc<Process>) -> Arc<dyn Peer> {
        Arc::new(Client {
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

struct Client {
    net: Arc<Net>,
    address: SocketAddr,
    process: Arc<Process>,
}

impl Client {
    async fn open(&self, to: SocketAddr, request: Request) -> Result<Replies, peer::Error> {
        self.process.wait_until_running().await;
        if !matches!(request, Request::Dispatch(_)) {
            self.net.count_message(&request);
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
        let (server_sender, server_replies) = mpsc::channel(peer::REPLY_BUFFER);
        let (client_sender, client_replies) = mpsc::channel(peer::REPLY_BUFFER);
        let server = process.clone();
        process.spawn(async move {
            server.wait_until_running().await;
            handler.handle(request, server_sender).await;
        });
        let forwarder = ReplyForwarder {
            net: self.net.clone(),
            addresses: (self.address, to),
            client: self.process.clone(),
            server: process,
        };
        // A task of neither process, so that it forwards replies for as long as both processes
        // live.
        tokio::spawn(forwarder.run(server_replies, client_sender));
        Ok(Replies::new(client_replies, Arc::default()))
    }
}

impl Peer for Client {
    fn open(
        &self,
        to: SocketAddr,
        request: Request,
    ) -> BoxFuture<'_, Result<Replies, peer::Error>> {
        Box::pin(Client::open(self, to, request))
    }
}

/// Forwards the replies to one request from the server to the client.
struct ReplyForwarder {
    net: Arc<Net>,
    /// Addresses of the client and the server.
    addresses: (SocketAddr, SocketAddr),
    client: Arc<Process>,
    server: Arc<Process>,
}

impl ReplyForwarder {
    async fn run(
        self,
        mut server_replies: mpsc::Receiver<Reply>,
        client_sender: mpsc::Sender<Reply>,
    ) {
        loop {
            let reply = tokio::select! {
                biased;
                () = self.server.wait_until_killed() => return,
                () = self.client.wait_until_killed() => return,
                () = client_sender.closed() => return,
                reply = server_replies.recv() => reply,
            };
            let Some(reply) = reply else {
                return;
            };
            if !matches!(reply, Reply::Dispatch(_)) {
                self.net.count_message(&reply);
            }
            tokio::time::sleep(LATENCY).await;
            self.server.wait_until_running().await;
            if self.net.is_cut(self.addresses.0, self.addresses.1) {
                tokio::time::sleep(IDLE_TIMEOUT).await;
                return;
            }
            self.client.wait_until_running().await;
            if client_sender.send(reply).await.is_err() {
                return;
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
