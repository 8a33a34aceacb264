//! Generation by model engines: a broken or stalled stream goes on at another engine from the
//! tokens that are already here.

use std::time::Duration;

use base::hash;
use tokio::sync::mpsc;
use tokio::time::Instant;
use wire::dispatch::Body;

use crate::attempt::Attempted;
use crate::attempt::Break;
use crate::stage::AttemptCost;
use crate::stage::Error;
use crate::stage::Stage;
use crate::stage::Tries;

/// Silence of a stream after which it is resumed elsewhere, if the retry budget allows.
const STALL: Duration = Duration::from_secs(2);
/// Bytes of a prompt that decide its prefix affinity.
const PREFIX_BYTES: usize = 256;

/// A generation stage's input.
#[derive(Clone, Debug)]
pub(crate) struct Prompt {
    pub(crate) text: String,
    pub(crate) max_tokens: u32,
}

impl Stage {
    /// Runs the stage; tokens also go to `output` as they come.
    pub(crate) async fn run_generate(
        &self,
        prompt: Prompt,
        output: Option<&mpsc::Sender<String>>,
    ) -> Result<String, Error> {
        let run = self.generate(prompt, output);
        match tokio::time::timeout_at(self.deadline, run).await {
            Ok(result) => result,
            Err(_) => {
                self.charge(AttemptCost::Late);
                Err(Error::Deadline)
            }
        }
    }

    async fn generate(
        &self,
        prompt: Prompt,
        output: Option<&mpsc::Sender<String>>,
    ) -> Result<String, Error> {
        let start = Instant::now();
        let prefix_len = prompt.text.floor_char_boundary(PREFIX_BYTES);
        let prefix = hash::hash_strs([&prompt.text[..prefix_len]]);
        let mut tries = Tries::new();
        let mut tokens: Vec<String> = Vec::new();
        loop {
            let route = self.next_route(&mut tries, Some(prefix)).await?;
            let body = Body::Generate {
                prompt: prompt.text.clone(),
                max_tokens: prompt.max_tokens,
                resume: tokens.clone(),
            };
            let (parts, received) = mpsc::unbounded_channel();
            let attempt = self.attempt(&route, body, Some(&parts));
            match self.relay(attempt, received, &mut tokens, output).await {
                Attempted::Whole(_) => {
                    self.succeeded(start.elapsed());
                    self.charge(AttemptCost::Useful);
                    return Ok(tokens.concat());
                }
                Attempted::Refused(refusal) => self.refused(&mut tries, refusal)?,
                Attempted::Broken(broken) => self.go_on_after(broken).await?,
            }
        }
    }

    /// Passes tokens on while the attempt runs; every token of it has been passed on when it ends.
    async fn relay(
        &self,
        attempt: impl Future<Output = Attempted>,
        mut received: mpsc::UnboundedReceiver<String>,
        tokens: &mut Vec<String>,
        output: Option<&mpsc::Sender<String>>,
    ) -> Attempted {
        tokio::pin!(attempt);
        let stall = tokio::time::sleep(STALL);
        tokio::pin!(stall);
        let mut may_stall = true;
        loop {
            tokio::select! {
                biased;
                Some(token) = received.recv() => {
                    deliver(token, tokens, output).await;
                    stall.as_mut().reset(Instant::now() + STALL);
                }
                attempted = &mut attempt => {
                    while let Ok(token) = received.try_recv() {
                        deliver(token, tokens, output).await;
                    }
                    return attempted;
                }
                () = &mut stall, if may_stall => {
                    may_stall = false;
                    let has_other = self.service.upstreams.len() > 1;
                    if has_other {
                        return Attempted::Broken(Break::Unseen);
                    }
                }
            }
        }
    }
}

async fn deliver(token: String, tokens: &mut Vec<String>, output: Option<&mpsc::Sender<String>>) {
    tokens.push(token.clone());
    if let Some(output) = output {
        // A caller that has gone is noticed by whoever holds the receiver.
        let _ = output.send(token).await;
    }
}
