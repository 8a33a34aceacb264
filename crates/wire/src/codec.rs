//! Length-prefixed postcard frames.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest frame in bytes.
pub const FRAME_BYTES_MAX: usize = 4 * 1024 * 1024;

/// Why a frame cannot be read or written.
#[derive(Debug, strum::Display)]
pub enum Error {
    /// The frame is larger than [`FRAME_BYTES_MAX`].
    #[strum(to_string = "frame of {0} bytes is too large")]
    TooLarge(usize),
    /// The frame does not decode.
    #[strum(to_string = "malformed frame: {0}")]
    Malformed(postcard::Error),
    /// The stream failed.
    #[strum(to_string = "stream failed: {0}")]
    Stream(String),
}

impl std::error::Error for Error {}

/// Encodes a message with its length in front.
///
/// # Errors
///
/// Fails when the message is too large.
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

/// Reads the next message; `None` at the end of the stream.
///
/// # Errors
///
/// Fails on a broken stream and on a frame that is too large or malformed.
pub async fn read<T: DeserializeOwned>(stream: &mut quinn::RecvStream) -> Result<Option<T>, Error> {
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
    stream
        .read_exact(&mut body)
        .await
        .map_err(|err| Error::Stream(err.to_string()))?;
    postcard::from_bytes(&body)
        .map(Some)
        .map_err(Error::Malformed)
}
