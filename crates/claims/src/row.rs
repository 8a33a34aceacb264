//! Format of a claim row.

use base::id;
use serde::Deserialize;
use serde::Serialize;

/// Identifies a stage of a request that may be executed at most once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClaimKey {
    /// Workspace of the caller.
    pub workspace: id::Workspace,
    /// Pipeline that the request runs.
    pub pipeline: id::Pipeline,
    /// Idempotency key of the request.
    pub key: id::IdempotencyKey,
    /// Non-idempotent stage of the pipeline.
    pub stage: id::Stage,
}

impl ClaimKey {
    /// Returns the key of the claim row.
    #[must_use]
    pub fn row_key(&self) -> String {
        format!(
            "claims/{}/{}/{}/{}",
            self.workspace, self.pipeline, self.key, self.stage
        )
    }

    /// Returns the key of the object that holds a large answer of the execution with `token`.
    #[must_use]
    pub fn object_key(&self, token: id::Token) -> String {
        format!("{}/{token}", self.row_key())
    }
}

/// Gateway process that holds a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Instance whose gateway executes the stage.
    pub instance: id::Instance,
    /// Incarnation of that gateway process.
    pub incarnation: u64,
}

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum State {
    /// The stage may be running at the holder.
    Running,
    /// The answer is recorded in the row.
    Answered {
        /// The whole answer.
        answer: String,
    },
    /// The answer is recorded in the object store.
    Stored {
        /// Key of the object.
        object: String,
    },
    /// The holder gave up without knowing whether the stage was executed.
    Unknown,
}

/// Value of a claim row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Identifies the execution that made the claim.
    pub token: id::Token,
    /// Digest of the request's input.
    pub digest: u64,
    /// Gateway process that holds the claim.
    pub holder: Holder,
    /// State of the execution.
    #[serde(flatten)]
    pub state: State,
}
