//! Postcard frames with a 4-byte little-endian length prefix.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum size of an encoded message in bytes, without its length prefix.
pub const FRAME_BYTES_MAX: usize = 4 * 1024 * 1024;

/// Why a frame cannot be read or written.
#[derive(Debug, strum::Display)]
pub enum Error {
    /// The frame is larger than [`FRAME_BYTES_MAX`].
    #[strum(to_string = "frame of {0} bytes exceeds the limit")]
    TooLarge(usize),
    /// Postcard cannot encode or decode the message.
    #[strum(to_string = "malformed frame: {0}")]
    Malformed(postcard::Error),
    /// The stream broke or ended within a frame.
    #[strum(to_string = "cannot read from the stream: {0}")]
    Stream(String),
}

impl std::error::Error for Error {}

/// Encodes a message with its length prefix.
///
/// # Errors
///
/// Fails if the message cannot be encoded or exceeds [`FRAME_BYTES_MAX`].
pub fn encode(message: &impl Serialize) -> Result<Vec<u8>, Error> {
    let body = postcard::to_stdvec(message).map_err(Error::Malformed)?;
    if body.len() > FRAME_BYTES_MAX {
        return Err(Error::TooLarge(body.len()));
    }
    let mut frame = Vec::with_capacity(body.len() + 4);
    frame.extend_from_slice(&(body.len() as u32).to_le_bytes());
    frame.extend_from_slice(&body);
    Ok(frame)
}

/// Reads the next message; `None` if the stream ends before one.
///
/// # Errors
///
/// Fails if the stream breaks, or a frame is too large or malformed.
pub async fn read<T: DeserializeOwned>(stream: &mut quinn::RecvStream) -> Result<Option<T>, Error> {
    read_counted(stream, &AtomicUsize::new(0)).await
}

/// Like [`read`], adding the bytes of the message to `received` as they arrive.
///
/// # Errors
///
/// As for [`read`].
pub async fn read_counted<T: DeserializeOwned>(
    stream: &mut quinn::RecvStream,
    received: &AtomicUsize,
) -> Result<Option<T>, Error> {
    let mut length = [0; 4];
    match stream.read_exact(&mut length).await {
        Ok(()) => {}
        Err(quinn::ReadExactError::FinishedEarly(0)) => return Ok(None),
        Err(err) => return Err(Error::Stream(err.to_string())),
    }
    let length = u32::from_le_bytes(length) as usize;
    if length > FRAME_BYTES_MAX {
        return Err(Error::TooLarge(length));
    }
    let mut body = vec![0; length];
    let mut rest = body.as_mut_slice();
    while !rest.is_empty() {
        let read = stream.read(rest).await;
        let read = read.map_err(|err| Error::Stream(err.to_string()))?;
        let count = read.ok_or_else(|| Error::Stream("it ends within a frame".to_owned()))?;
        received.fetch_add(count, Ordering::Relaxed);
        rest = &mut rest[count..];
    }
    postcard::from_bytes(&body)
        .map(Some)
        .map_err(Error::Malformed)
}
