//! Simulated answers of engines. Tokens depend only on the prompt and their position, so that any
//! engine can resume any answer.

/// Returns the `idx`-th token of the answer to `prompt`, with a space behind.
#[must_use]
pub fn token(prompt: &str, idx: usize) -> String {
    let hash = base::hash::hash_bytes([prompt.as_bytes(), &idx.to_le_bytes()[..]]);
    format!("w{:03} ", hash % 1000)
}

/// Returns the complete answer to `prompt`, of `max_tokens` tokens.
#[must_use]
pub fn answer(prompt: &str, max_tokens: u32) -> String {
    (0..max_tokens as usize)
        .map(|idx| token(prompt, idx))
        .collect()
}
