//! Requests to other instances, and which of those are lost. One that is slow isn't.

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base::id;
use catalog::Member;
use tokio::time::Instant;
use wire::Protocol;
use wire::Reply;
use wire::Request;
use wire::peer;
use wire::tunnel;
use wire::tunnel::Tunnel;

use crate::patience;

/// Timeout after which a peer is skipped. An answer between zones takes 4 ms, and a peer that has
/// used up its CPU quota stalls for up to 100 ms.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// A peer that answered within this time counts as alive without another ping.
const ALIVE_CACHE_TIME: Duration = Duration::from_millis(300);
/// Time without an answer after which a ping is sent to tell a slow peer from a lost one.
const CONFIRM_AFTER: Duration = Duration::from_millis(200);
/// Time for which a peer is suspected, that is skipped, after its first timeout; doubled after each
/// further one. It is short because instances that start together are not all reachable at first:
/// if they skipped each other for longer, each would run the same steps itself.
const SUSPICION_MIN: Duration = Duration::from_millis(250);
/// Longest time for which a peer is suspected; the row of a dead peer lapses soon after.
const SUSPICION_MAX: Duration = Duration::from_secs(2);

#[derive(Debug, Default)]
struct PeerStatus {
    /// Incarnation that the connection belongs to; 0 before the first call.
    incarnation: u64,
    answered_at: Option<Instant>,
    suspected_until: Option<Instant>,
    /// Timeouts since the last answer; those during a suspicion are not counted.
    timeouts: u32,
    /// Held during a ping, whose answer all that wait for it share.
    ping: Arc<tokio::sync::Mutex<()>>,
    /// When a ping was last given up.
    unanswered_at: Option<Instant>,
}

impl PeerStatus {
    /// Whether the peer answered a moment ago.
    fn is_answering(&self) -> bool {
        let answered_at = self.answered_at;
        answered_at.is_some_and(|it| it.elapsed() < ALIVE_CACHE_TIME)
    }
}

/// A peer answered a moment ago and needs no ping.
struct IsAnswering;

/// What became of a request to another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer<T> {
    /// It was answered.
    Given(T),
    /// The member may be alive, but did not answer the request in time.
    Slow,
    /// The member answers nothing, or the connection has broken.
    Lost,
}

/// Client for the other instances, and the liveness of each.
#[derive(Default)]
pub struct Peers {
    client: OnceLock<Arc<wire::quic::Client>>,
    statuses: Mutex<BTreeMap<id::Instance, PeerStatus>>,
}

impl Peers {
    /// Sets the client, once the certificates are known.
    pub fn set_client(&self, client: Arc<wire::quic::Client>) {
        // A second client would be the same: the certificates of a deployment never change.
        let _ = self.client.set(client);
    }

    /// Whether the client is set, so that requests to other instances are possible.
    #[must_use]
    pub fn has_client(&self) -> bool {
        self.client.get().is_some()
    }

    /// Whether a member is skipped at present because it did not answer in time.
    #[must_use]
    pub fn is_suspected(&self, instance: &id::Instance) -> bool {
        let statuses = self.statuses();
        let until = statuses.get(instance).and_then(|it| it.suspected_until);
        until.is_some_and(|it| it > Instant::now())
    }

    /// Whether a member has answered nothing since it last did not answer in time, however long ago.
    /// A process that has started since is not lost.
    #[must_use]
    pub fn is_lost(&self, member: &Member) -> bool {
        let statuses = self.statuses();
        let status = statuses.get(&member.instance);
        status.is_some_and(|it| it.timeouts > 0 && it.incarnation == member.incarnation)
    }

    /// Sends a request to a member and returns the stream of its replies.
    ///
    /// # Errors
    ///
    /// Fails if the member cannot be reached or the client is not set yet.
    pub async fn open(
        &self,
        member: &Member,
        request: Request,
    ) -> Result<peer::Replies, peer::Error> {
        self.open_with(member, |_| request).await
    }

    /// Sends the request that `request` makes for the protocol that the member speaks, and returns the
    /// stream of its replies.
    ///
    /// # Errors
    ///
    /// Fails if the member cannot be reached or the client is not set yet.
    pub async fn open_with(
        &self,
        member: &Member,
        request: impl FnOnce(Protocol) -> Request,
    ) -> Result<peer::Replies, peer::Error> {
        let client = self.client.get().ok_or(peer::Error::Unreachable)?;
        if self.update_incarnation(member) {
            // A request on the connection to the former process would be lost.
            client.disconnect(member.address).await;
        }
        let (_, replies) = client.open_with(member.address, request).await?;
        Ok(replies)
    }

    /// Sends the request that `request` makes for the protocol that the member speaks, and returns its
    /// first reply. [`Answer::Slow`] if nothing of the reply has arrived for `limit`: a large one takes
    /// longer as long as its bytes arrive.
    pub async fn fetch(
        &self,
        member: &Member,
        limit: Duration,
        request: impl FnOnce(Protocol) -> Request,
    ) -> Answer<Reply> {
        let received: OnceLock<Arc<AtomicUsize>> = OnceLock::new();
        let reply = async {
            let mut replies = self.open_with(member, request).await.ok()?;
            received.get_or_init(|| replies.received());
            replies.next().await
        };
        let count = || {
            let received = received.get().map(|it| it.load(Ordering::Relaxed));
            received.unwrap_or_default()
        };
        match patience::while_receiving(limit, count, reply).await {
            Some(reply) => reply.map_or(Answer::Lost, Answer::Given),
            None => Answer::Slow,
        }
    }

    /// Opens a tunnel through a member.
    ///
    /// # Errors
    ///
    /// Fails if the member cannot be reached or the client is not set yet; its answer if it opened
    /// no tunnel.
    pub async fn open_tunnel(
        &self,
        member: &Member,
        open: tunnel::Open,
    ) -> Result<Result<Tunnel, tunnel::Answer>, peer::Error> {
        let client = self.client.get().ok_or(peer::Error::Unreachable)?;
        if self.update_incarnation(member) {
            client.disconnect(member.address).await;
        }
        client.open_tunnel(member.address, open).await
    }

    /// Records the member's incarnation; returns whether it has restarted since the last call.
    fn update_incarnation(&self, member: &Member) -> bool {
        let mut statuses = self.statuses();
        let status = statuses.entry(member.instance.clone()).or_default();
        let previous = std::mem::replace(&mut status.incarnation, member.incarnation);
        if previous != member.incarnation {
            status.suspected_until = None;
            status.timeouts = 0;
        }
        previous != 0 && previous != member.incarnation
    }

    /// Records an answer of a member, which ends its suspicion.
    pub fn record_answer(&self, instance: &id::Instance) {
        let mut statuses = self.statuses();
        let status = statuses.entry(instance.clone()).or_default();
        status.answered_at = Some(Instant::now());
        status.suspected_until = None;
        status.timeouts = 0;
    }

    /// Waits for the answer of a member, at most for `limit` if there is one. `answer` is `None` if the
    /// connection has broken. A member that is slow, but answers a ping, isn't lost.
    pub async fn wait_for<T>(
        &self,
        member: &Member,
        limit: Option<Duration>,
        answer: impl Future<Output = Option<T>>,
    ) -> Answer<T> {
        let given = |answer: Option<T>| answer.map_or(Answer::Lost, Answer::Given);
        let mut answer = pin!(answer);
        let mut waited = Duration::ZERO;
        loop {
            let step = CONFIRM_AFTER.min(limit.unwrap_or(Duration::MAX));
            if let Some(answer) = patience::within(step, &mut answer).await {
                return given(answer);
            }
            waited += step;
            let is_alive = tokio::select! {
                biased;
                answer = &mut answer => return given(answer),
                is_alive = self.is_alive(member) => is_alive,
            };
            if !is_alive {
                return Answer::Lost;
            }
            if limit.is_some_and(|it| waited >= it) {
                return Answer::Slow;
            }
        }
    }

    /// Records that a member did not answer in time and drops its connection. Returns false if the
    /// member was suspected already: concurrent requests count the same failure once.
    pub async fn record_timeout(&self, member: &Member) -> bool {
        let is_newly_suspected = {
            let mut statuses = self.statuses();
            let status = statuses.entry(member.instance.clone()).or_default();
            let now = Instant::now();
            let is_newly_suspected = status.suspected_until.is_none_or(|it| it <= now);
            if is_newly_suspected {
                let suspicion_time = SUSPICION_MIN * 2_u32.saturating_pow(status.timeouts);
                status.timeouts += 1;
                status.suspected_until = Some(now + suspicion_time.min(SUSPICION_MAX));
            }
            is_newly_suspected
        };
        if let Some(client) = self.client.get() {
            client.disconnect(member.address).await;
        }
        is_newly_suspected
    }

    /// Like [`Peers::record_timeout`] for a request whose timeout no ping has confirmed: a member that
    /// has answered another one meanwhile is slow.
    pub async fn record_silence(&self, member: &Member) -> bool {
        match self.ping_gate(member) {
            Ok(_) => self.record_timeout(member).await,
            Err(IsAnswering) => false,
        }
    }

    /// Whether a member answered a moment ago or answers a ping.
    pub async fn is_alive(&self, member: &Member) -> bool {
        let asked_at = Instant::now();
        let ping = match self.ping_gate(member) {
            Ok(ping) => ping,
            Err(IsAnswering) => return true,
        };
        let _ping = ping.lock().await;
        if self.ping_gate(member).is_err() {
            return true;
        }
        let unanswered_at = {
            let statuses = self.statuses();
            let status = statuses.get(&member.instance);
            status.and_then(|it| it.unanswered_at)
        };
        if unanswered_at.is_some_and(|it| it >= asked_at) {
            return false;
        }
        let ping = async {
            let mut replies = self.open(member, Request::Ping).await.ok()?;
            replies.next().await
        };
        let is_alive = patience::within(ANSWER_TIMEOUT, ping)
            .await
            .flatten()
            .is_some();
        if is_alive {
            self.record_answer(&member.instance);
        } else {
            let mut statuses = self.statuses();
            let status = statuses.entry(member.instance.clone()).or_default();
            status.unanswered_at = Some(Instant::now());
        }
        is_alive
    }

    /// The lock that is held during a ping of a member.
    fn ping_gate(&self, member: &Member) -> Result<Arc<tokio::sync::Mutex<()>>, IsAnswering> {
        let mut statuses = self.statuses();
        let status = statuses.entry(member.instance.clone()).or_default();
        match status.is_answering() {
            true => Err(IsAnswering),
            false => Ok(status.ping.clone()),
        }
    }

    fn statuses(&self) -> MutexGuard<'_, BTreeMap<id::Instance, PeerStatus>> {
        self.statuses.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
