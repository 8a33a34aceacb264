//! Claims of one gateway.

use std::sync::Arc;
use std::time::Duration;

use base::id;
use table::Error;
use table::Expect;
use table::Op;
use table::Platform;
use table::Read;
use table::Row;
use tokio::time::Instant;

use crate::batch::BatchWriter;
use crate::batch::WriteOutcome;
use crate::row::Claim;
use crate::row::ClaimKey;
use crate::row::Holder;
use crate::row::State;

/// Answers larger than this go to the object store.
pub const MAX_INLINE_ANSWER_BYTES: usize = 4 * 1024;
const RETRY_DELAY: Duration = Duration::from_millis(50);
const RETRY_DELAY_MAX: Duration = Duration::from_secs(2);

/// A claim that this gateway holds.
#[derive(Clone, Debug)]
pub struct HeldClaim {
    claim_key: ClaimKey,
    claim: Claim,
    version: u64,
}

/// What an attempt to claim found.
#[derive(Clone, Debug)]
pub enum ClaimOutcome {
    /// Granted: the stage may be sent once.
    Granted(HeldClaim),
    /// The recorded answer of an earlier execution.
    Answered(String),
    /// Another attempt may be running.
    Running(Holder),
    /// An earlier attempt may have run; it is never repeated.
    Unknown,
    /// The key was used with another body.
    DigestMismatch,
}

/// Why no claim could be made. Nothing is held afterwards, or a release is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum ClaimError {
    /// The table did not answer in time.
    StoreDown,
    /// The row does not decode.
    Malformed,
}

impl std::error::Error for ClaimError {}

/// The claims of one gateway; cheap to clone.
#[derive(Clone)]
pub struct Registry {
    platform: Arc<dyn Platform>,
    batch: BatchWriter,
    holder: Holder,
}

impl Registry {
    /// Claims on `platform` on behalf of `holder`.
    #[must_use]
    pub fn new(platform: Arc<dyn Platform>, batch: BatchWriter, holder: Holder) -> Registry {
        Registry {
            platform,
            batch,
            holder,
        }
    }

    /// Claims `claim_key`, retrying store failures until `deadline`.
    ///
    /// # Errors
    ///
    /// Fails when the store gives no certain answer in time. A write that may have taken effect is
    /// then released in the background.
    pub async fn claim(
        &self,
        claim_key: ClaimKey,
        digest: u64,
        token: id::Token,
        deadline: Instant,
    ) -> Result<ClaimOutcome, ClaimError> {
        let claim = Claim {
            token,
            digest,
            holder: self.holder.clone(),
            state: State::Running,
        };
        let mut delay = RETRY_DELAY;
        let mut is_ambiguous = false;
        loop {
            let attempt = self.try_claim(&claim_key, &claim);
            let outcome = tokio::time::timeout_at(deadline, attempt).await;
            match outcome {
                Ok(Ok(found)) => return found,
                Ok(Err(Error::Down)) => {}
                Ok(Err(Error::Ambiguous | Error::Protocol)) => is_ambiguous = true,
                Err(_) => {
                    // The write was under way when time ran out.
                    self.release_later(claim_key, token);
                    return Err(ClaimError::StoreDown);
                }
            }
            if Instant::now() + delay >= deadline {
                if is_ambiguous {
                    self.release_later(claim_key, token);
                }
                return Err(ClaimError::StoreDown);
            }
            tokio::time::sleep(delay).await;
            delay = (delay * 2).min(RETRY_DELAY_MAX);
        }
    }

    async fn try_claim(
        &self,
        claim_key: &ClaimKey,
        claim: &Claim,
    ) -> Result<Result<ClaimOutcome, ClaimError>, Error> {
        let op = Op {
            key: claim_key.row_key(),
            expect: Expect::Absent,
            value: Some(encode(claim)),
        };
        match self.batch.write(op).await? {
            WriteOutcome::Applied(version) => Ok(Ok(ClaimOutcome::Granted(HeldClaim {
                claim_key: claim_key.clone(),
                claim: claim.clone(),
                version,
            }))),
            // Released between the write and its conflict report: the next try claims it.
            WriteOutcome::Conflict(None) => Err(Error::Down),
            WriteOutcome::Conflict(Some(row)) => self.found(claim_key, claim, row).await,
        }
    }

    /// Interprets the row that stands in the way of `claim`.
    async fn found(
        &self,
        claim_key: &ClaimKey,
        claim: &Claim,
        row: Row,
    ) -> Result<Result<ClaimOutcome, ClaimError>, Error> {
        let Some(other) = decode(&row) else {
            return Ok(Err(ClaimError::Malformed));
        };
        if other.digest != claim.digest {
            return Ok(Ok(ClaimOutcome::DigestMismatch));
        }
        if other.token == claim.token {
            // An earlier write of this very attempt, whose answer was lost.
            return Ok(Ok(ClaimOutcome::Granted(HeldClaim {
                claim_key: claim_key.clone(),
                claim: claim.clone(),
                version: row.version,
            })));
        }
        Ok(Ok(match other.state {
            State::Running => ClaimOutcome::Running(other.holder),
            State::Unknown => ClaimOutcome::Unknown,
            State::Answered { answer } => ClaimOutcome::Answered(answer),
            State::Stored { object } => match self.platform.get_object(object).await? {
                Some(answer) => ClaimOutcome::Answered(answer),
                None => return Ok(Err(ClaimError::Malformed)),
            },
        }))
    }

    /// Reads what is known of `claim_key` without claiming it; `None` when nothing was claimed.
    ///
    /// # Errors
    ///
    /// Fails as the platform does.
    pub async fn lookup(&self, claim_key: &ClaimKey) -> Result<Option<ClaimOutcome>, Error> {
        let Read::Row(row) = self.platform.read(claim_key.row_key(), None).await? else {
            return Ok(None);
        };
        let claim = decode(&row).ok_or(Error::Protocol)?;
        let probe = Claim {
            token: id::Token(!claim.token.0),
            ..claim
        };
        match self.found(claim_key, &probe, row).await? {
            Ok(found) => Ok(Some(found)),
            Err(_) => Err(Error::Protocol),
        }
    }

    /// Records the answer, retrying until the store takes it or `give_up` passes.
    ///
    /// Returns whether the answer is recorded.
    pub async fn record_answer(&self, held: HeldClaim, answer: String, give_up: Instant) -> bool {
        let state = match self.store(&held, answer, give_up).await {
            Some(state) => state,
            None => return false,
        };
        self.settle(held, state, give_up).await
    }

    /// Records that the outcome is unknown.
    pub async fn record_unknown(&self, held: HeldClaim, give_up: Instant) -> bool {
        self.settle(held, State::Unknown, give_up).await
    }

    /// Releases a claim of which nothing was sent, in the background.
    pub fn release(&self, held: HeldClaim) {
        self.release_later(held.claim_key, held.claim.token);
    }

    async fn store(&self, held: &HeldClaim, answer: String, give_up: Instant) -> Option<State> {
        if answer.len() <= MAX_INLINE_ANSWER_BYTES {
            return Some(State::Answered { answer });
        }
        let object = held.claim_key.object_key(held.claim.token);
        let mut delay = RETRY_DELAY;
        loop {
            // Writing the same object again is harmless: its key belongs to this attempt alone.
            let put = self.platform.put_object(object.clone(), answer.clone());
            if put.await.is_ok() {
                return Some(State::Stored { object });
            }
            if Instant::now() + delay >= give_up {
                return None;
            }
            tokio::time::sleep(delay).await;
            delay = (delay * 2).min(RETRY_DELAY_MAX);
        }
    }

    async fn settle(&self, held: HeldClaim, state: State, give_up: Instant) -> bool {
        let value = encode(&Claim {
            state,
            ..held.claim.clone()
        });
        let mut delay = RETRY_DELAY;
        loop {
            let op = Op {
                key: held.claim_key.row_key(),
                expect: Expect::Version(held.version),
                value: Some(value.clone()),
            };
            match self.batch.write(op).await {
                Ok(WriteOutcome::Applied(_)) => return true,
                // Only the holder writes a claimed row, so another value is this one's own earlier
                // write, whose answer was lost.
                Ok(WriteOutcome::Conflict(row)) => return row.is_some_and(|it| it.value == value),
                Err(_) => {}
            }
            if Instant::now() + delay >= give_up {
                return false;
            }
            tokio::time::sleep(delay).await;
            delay = (delay * 2).min(RETRY_DELAY_MAX);
        }
    }

    fn release_later(&self, claim_key: ClaimKey, token: id::Token) {
        let registry = self.clone();
        tokio::spawn(async move { registry.delete_own(claim_key, token).await });
    }

    /// Deletes the row if it belongs to `token` and still runs.
    async fn delete_own(&self, claim_key: ClaimKey, token: id::Token) {
        let mut delay = RETRY_DELAY;
        for _ in 0..RELEASE_TRIES {
            match self.try_delete_own(&claim_key, token).await {
                Ok(()) => return,
                Err(_) => tokio::time::sleep(delay).await,
            }
            delay = (delay * 2).min(RETRY_DELAY_MAX);
        }
    }

    async fn try_delete_own(&self, claim_key: &ClaimKey, token: id::Token) -> Result<(), Error> {
        let Read::Row(row) = self.platform.read(claim_key.row_key(), None).await? else {
            return Ok(());
        };
        let is_own = decode(&row).is_some_and(|it| it.token == token);
        if !is_own {
            return Ok(());
        }
        let op = Op {
            key: claim_key.row_key(),
            expect: Expect::Version(row.version),
            value: None,
        };
        self.batch.write(op).await.map(|_| ())
    }
}

/// Tries of a background release; with the longest delay they span several minutes of outage.
const RELEASE_TRIES: u32 = 200;

fn encode(claim: &Claim) -> String {
    // A claim holds only strings and numbers, which always serialise.
    serde_json::to_string(claim).unwrap_or_default()
}

fn decode(row: &Row) -> Option<Claim> {
    serde_json::from_str(&row.value).ok()
}
