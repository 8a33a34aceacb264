//! Generation by model engines. A token stream that fails or stalls is resumed at another engine,
//! from the tokens already received.

use std::time::Duration;

use base::hash;
use tokio::sync::mpsc;
use tokio::time::Instant;
use wire::dispatch::Body;

use crate::attempt::AttemptFailure;
use crate::attempt::AttemptResult;
use crate::stage::AttemptCost;
use crate::stage::Error;
use crate::stage::RetryState;
use crate::stage::StageRun;

/// Time without a token after which a stream is resumed at another engine, if the retry budget
/// allows.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of bytes at the start of a prompt that are hashed for prefix affinity.
const PREFIX_BYTES: usize = 256;

/// Input of a generation stage.
#[derive(Clone, Debug)]
pub(crate) struct Prompt {
    pub(crate) text: String,
    pub(crate) max_tokens: u32,
}

impl StageRun {
    /// Runs the stage within its deadline. Sends the tokens to `output` as well, as they arrive.
    pub(crate) async fn run_generate(
        &self,
        prompt: Prompt,
        output: Option<&mpsc::Sender<String>>,
    ) -> Result<String, Error> {
        let run = self.generate_with_resume(prompt, output);
        match tokio::time::timeout_at(self.deadline, run).await {
            Ok(result) => result,
            Err(_) => {
                self.record_cost(AttemptCost::Late);
                Err(Error::Deadline)
            }
        }
    }

    async fn generate_with_resume(
        &self,
        prompt: Prompt,
        output: Option<&mpsc::Sender<String>>,
    ) -> Result<String, Error> {
        let start = Instant::now();
        let prefix_len = prompt.text.floor_char_boundary(PREFIX_BYTES);
        let prefix = hash::hash_strs([&prompt.text[..prefix_len]]);
        let mut retry_state = RetryState::new();
        let mut tokens: Vec<String> = Vec::new();
        loop {
            let route = self.next_route(&mut retry_state, Some(prefix)).await?;
            let body = Body::Generate {
                prompt: prompt.text.clone(),
                max_tokens: prompt.max_tokens,
                resume: tokens.clone(),
            };
            let (part_sender, part_receiver) = mpsc::unbounded_channel();
            let attempt = self.attempt(&route, body, Some(&part_sender));
            match self
                .relay_tokens(attempt, part_receiver, &mut tokens, output)
                .await
            {
                AttemptResult::Completed(_) => {
                    self.record_success(start.elapsed());
                    self.record_cost(AttemptCost::Useful);
                    return Ok(tokens.concat());
                }
                AttemptResult::Refused(refusal) => {
                    self.handle_refusal(&mut retry_state, refusal)?
                }
                AttemptResult::Failed(failure) => self.prepare_retry(failure).await?,
            }
        }
    }

    /// Relays tokens while the attempt runs. All tokens of the attempt have been relayed on return.
    async fn relay_tokens(
        &self,
        attempt: impl Future<Output = AttemptResult>,
        mut part_receiver: mpsc::UnboundedReceiver<String>,
        tokens: &mut Vec<String>,
        output: Option<&mpsc::Sender<String>>,
    ) -> AttemptResult {
        tokio::pin!(attempt);
        let stall_timer = tokio::time::sleep(STALL_TIMEOUT);
        tokio::pin!(stall_timer);
        let mut may_fail_over = true;
        loop {
            tokio::select! {
                biased;
                Some(token) = part_receiver.recv() => {
                    deliver_token(token, tokens, output).await;
                    stall_timer.as_mut().reset(Instant::now() + STALL_TIMEOUT);
                }
                attempt_result = &mut attempt => {
                    while let Ok(token) = part_receiver.try_recv() {
                        deliver_token(token, tokens, output).await;
                    }
                    return attempt_result;
                }
                () = &mut stall_timer, if may_fail_over => {
                    may_fail_over = false;
                    let has_other_upstream = self.service.upstreams.len() > 1;
                    if has_other_upstream {
                        return AttemptResult::Failed(AttemptFailure::Unobserved);
                    }
                }
            }
        }
    }
}

async fn deliver_token(
    token: String,
    tokens: &mut Vec<String>,
    output: Option<&mpsc::Sender<String>>,
) {
    tokens.push(token.clone());
    if let Some(output) = output {
        // A disconnected caller is handled by `PipelineRun::run`.
        let _ = output.send(token).await;
    }
}
