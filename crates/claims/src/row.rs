//! Format of a claim row.

use base::id;
use serde::Deserialize;
use serde::Serialize;

/// What identifies the one permitted execution.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClaimKey {
    /// Workspace of the caller.
    pub workspace: id::Workspace,
    /// Pipeline.
    pub pipeline: id::Pipeline,
    /// Idempotency key.
    pub key: id::IdempotencyKey,
    /// Stage.
    pub stage: id::Stage,
}

impl ClaimKey {
    /// Key of the row.
    #[must_use]
    pub fn row_key(&self) -> String {
        format!(
            "claims/{}/{}/{}/{}",
            self.workspace, self.pipeline, self.key, self.stage
        )
    }

    /// Key of the object that holds a large answer.
    #[must_use]
    pub fn object_key(&self, token: id::Token) -> String {
        format!("{}/{token}", self.row_key())
    }
}

/// Who holds a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Instance whose gateway runs the attempt.
    pub instance: id::Instance,
    /// Its incarnation.
    pub incarnation: u64,
}

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum State {
    /// An attempt may be running.
    Running,
    /// The answer is recorded here.
    Answered {
        /// The whole answer.
        answer: String,
    },
    /// The answer is recorded in the object store.
    Stored {
        /// Key of the object.
        object: String,
    },
    /// The holder gave the attempt up without knowing whether it ran.
    Unknown,
}

/// Value of a claim row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Identifies the claiming attempt.
    pub token: id::Token,
    /// Digest of the request's body.
    pub digest: u64,
    /// Who holds it.
    pub holder: Holder,
    /// State.
    #[serde(flatten)]
    pub state: State,
}
