//! Tokens that depend only on the prompt, so that any engine can continue any answer.

/// The `idx`-th token of the answer to `prompt`.
#[must_use]
pub fn token(prompt: &str, idx: usize) -> String {
    let hash = base::hash::hash_bytes([prompt.as_bytes(), &idx.to_le_bytes()[..]]);
    format!("w{:03} ", hash % 1000)
}

/// The whole answer to `prompt`.
#[must_use]
pub fn answer(prompt: &str, max_tokens: u32) -> String {
    (0..max_tokens as usize)
        .map(|idx| token(prompt, idx))
        .collect()
}
