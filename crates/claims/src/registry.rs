//! Making, recording and releasing the claims of one gateway.

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

/// Largest answer in bytes that is recorded in the claim row; larger ones go to the object store.
pub const MAX_INLINE_ANSWER_BYTES: usize = 4 * 1024;
/// First delay of the exponential back-off after a failure of the store.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// A claim that this gateway holds.
#[derive(Clone, Debug)]
pub struct HeldClaim {
    claim_key: ClaimKey,
    claim: Claim,
    version: u64,
}

/// Outcome of an attempt to claim, or state of an existing claim.
#[derive(Clone, Debug)]
pub enum ClaimOutcome {
    /// The claim is granted: the stage may be sent once.
    Granted(HeldClaim),
    /// The recorded answer of an earlier execution.
    Answered(String),
    /// Another execution may be running at this holder.
    Running(Holder),
    /// The stage may have been executed before, so it is not executed again.
    Unknown,
    /// The idempotency key was used with another input.
    DigestMismatch,
}

/// Why no claim could be made. Afterwards no claim is held, or one is being released.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum ClaimError {
    /// The store gave no definite answer before the deadline.
    StoreDown,
    /// The row cannot be decoded, or the object with its answer is missing.
    Malformed,
}

impl std::error::Error for ClaimError {}

/// Manages the claims of one gateway. Cheap to clone.
#[derive(Clone)]
pub struct Registry {
    platform: Arc<dyn Platform>,
    batch: BatchWriter,
    holder: Holder,
}

impl Registry {
    /// Creates a registry that makes claims on `platform` for `holder`.
    #[must_use]
    pub fn new(platform: Arc<dyn Platform>, batch: BatchWriter, holder: Holder) -> Registry {
        Registry {
            platform,
            batch,
            holder,
        }
    }

    /// Claims `claim_key`, retrying after store failures until `deadline`.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no definite answer in time or the existing row is malformed. A
    /// write that may have taken effect is released in the background.
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
        let mut delay = INITIAL_RETRY_DELAY;
        let mut is_ambiguous = false;
        loop {
            let attempt = self.try_claim(&claim_key, &claim);
            let outcome = tokio::time::timeout_at(deadline, attempt).await;
            match outcome {
                Ok(Ok(result)) => return result,
                Ok(Err(Error::Down)) => {}
                Ok(Err(Error::Ambiguous | Error::Protocol)) => is_ambiguous = true,
                Err(_) => {
                    // A write may have been in progress at the deadline.
                    self.release_in_background(claim_key, token);
                    return Err(ClaimError::StoreDown);
                }
            }
            if Instant::now() + delay >= deadline {
                if is_ambiguous {
                    self.release_in_background(claim_key, token);
                }
                return Err(ClaimError::StoreDown);
            }
            tokio::time::sleep(delay).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
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
            // The row was released between the write and the report of its conflict; the next
            // attempt claims it.
            WriteOutcome::Conflict(None) => Err(Error::Down),
            WriteOutcome::Conflict(Some(row)) => {
                self.outcome_of_conflict(claim_key, claim, row).await
            }
        }
    }

    /// Interprets the existing row that conflicts with `claim`.
    async fn outcome_of_conflict(
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
            // An earlier write of this claim took effect, and its response was lost.
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

    /// Reads the state of `claim_key` without claiming it; `None` if it is not claimed.
    ///
    /// # Errors
    ///
    /// Fails as the platform does, and with [`Error::Protocol`] if the claim is malformed.
    pub async fn lookup(&self, claim_key: &ClaimKey) -> Result<Option<ClaimOutcome>, Error> {
        let Read::Row(row) = self.platform.read(claim_key.row_key(), None).await? else {
            return Ok(None);
        };
        let claim = decode(&row).ok_or(Error::Protocol)?;
        // Its token differs, so that the row is not taken for the prober's own claim.
        let probe = Claim {
            token: id::Token(!claim.token.0),
            ..claim
        };
        match self.outcome_of_conflict(claim_key, &probe, row).await? {
            Ok(outcome) => Ok(Some(outcome)),
            Err(_) => Err(Error::Protocol),
        }
    }

    /// Records the answer, retrying until the store accepts it or `give_up_at` passes.
    ///
    /// Returns whether the answer is recorded.
    pub async fn record_answer(
        &self,
        held: HeldClaim,
        answer: String,
        give_up_at: Instant,
    ) -> bool {
        let state = match self.store_answer(&held, answer, give_up_at).await {
            Some(state) => state,
            None => return false,
        };
        self.write_final_state(held, state, give_up_at).await
    }

    /// Records that the outcome is unknown, retrying until `give_up_at`. Returns whether it is
    /// recorded.
    pub async fn record_unknown(&self, held: HeldClaim, give_up_at: Instant) -> bool {
        self.write_final_state(held, State::Unknown, give_up_at)
            .await
    }

    /// Releases, in the background, a claim under which nothing was sent to the upstream.
    pub fn release(&self, held: HeldClaim) {
        self.release_in_background(held.claim_key, held.claim.token);
    }

    /// Returns the state that records `answer`, after a large answer was put into the object store.
    async fn store_answer(
        &self,
        held: &HeldClaim,
        answer: String,
        give_up_at: Instant,
    ) -> Option<State> {
        if answer.len() <= MAX_INLINE_ANSWER_BYTES {
            return Some(State::Answered { answer });
        }
        let object = held.claim_key.object_key(held.claim.token);
        let mut delay = INITIAL_RETRY_DELAY;
        loop {
            // A repeated write is harmless, because the object key is unique to this execution.
            let put = self.platform.put_object(object.clone(), answer.clone());
            if put.await.is_ok() {
                return Some(State::Stored { object });
            }
            if Instant::now() + delay >= give_up_at {
                return None;
            }
            tokio::time::sleep(delay).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
    }

    /// Writes `state` into the claim row, retrying until `give_up_at`. Returns whether it is
    /// recorded.
    async fn write_final_state(&self, held: HeldClaim, state: State, give_up_at: Instant) -> bool {
        let value = encode(&Claim {
            state,
            ..held.claim.clone()
        });
        let mut delay = INITIAL_RETRY_DELAY;
        loop {
            let op = Op {
                key: held.claim_key.row_key(),
                expect: Expect::Version(held.version),
                value: Some(value.clone()),
            };
            match self.batch.write(op).await {
                Ok(WriteOutcome::Applied(_)) => return true,
                // Only the holder writes a claimed row. If the row has this value already, an
                // earlier write took effect and its response was lost.
                Ok(WriteOutcome::Conflict(row)) => return row.is_some_and(|it| it.value == value),
                Err(_) => {}
            }
            if Instant::now() + delay >= give_up_at {
                return false;
            }
            tokio::time::sleep(delay).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
    }

    fn release_in_background(&self, claim_key: ClaimKey, token: id::Token) {
        let registry = self.clone();
        tokio::spawn(async move { registry.delete_own_row(claim_key, token).await });
    }

    /// Deletes the row if it belongs to `token`, with up to [`MAX_RELEASE_ATTEMPTS`] attempts.
    async fn delete_own_row(&self, claim_key: ClaimKey, token: id::Token) {
        let mut delay = INITIAL_RETRY_DELAY;
        for _ in 0..MAX_RELEASE_ATTEMPTS {
            match self.try_delete_own_row(&claim_key, token).await {
                Ok(()) => return,
                Err(_) => tokio::time::sleep(delay).await,
            }
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
    }

    async fn try_delete_own_row(
        &self,
        claim_key: &ClaimKey,
        token: id::Token,
    ) -> Result<(), Error> {
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

/// Limit on attempts of a background release; at the longest delay they span a store outage of
/// several minutes.
const MAX_RELEASE_ATTEMPTS: u32 = 200;

fn encode(claim: &Claim) -> String {
    // A claim holds only strings and numbers, which always serialise.
    serde_json::to_string(claim).unwrap_or_default()
}

fn decode(row: &Row) -> Option<Claim> {
    serde_json::from_str(&row.value).ok()
}
