//! HTTP client of the platform. The only client-side module that knows its wire format.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::BoxFuture;
use reqwest::StatusCode;

use crate::Commit;
use crate::Error;
use crate::Listing;
use crate::Op;
use crate::Platform;
use crate::Read;
use crate::Row;
use crate::protocol::Transaction;

const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// HTTP client of the platform.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    origin: String,
}

impl Client {
    /// Creates a client of the platform at `address`.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client cannot be built.
    pub fn new(address: SocketAddr) -> Result<Client, reqwest::Error> {
        let http = reqwest::Client::builder()
            .timeout(CALL_TIMEOUT)
            .connect_timeout(CONNECT_TIMEOUT)
            .no_proxy()
            .build()?;
        Ok(Client {
            http,
            origin: format!("http://{address}"),
        })
    }

    fn url(&self, path: &str, key: &str) -> String {
        format!("{}/v1/{path}/{}", self.origin, encode_segment(key))
    }

    async fn read(&self, key: &str, known: Option<u64>) -> Result<Read, Error> {
        let mut request = self.http.get(self.url("rows", key));
        if let Some(version) = known {
            request = request.header("if-none-match", format!("\"{version}\""));
        }
        let response = request.send().await.map_err(transport_error)?;
        match response.status() {
            StatusCode::OK => Ok(Read::Row(json::<Row>(response).await?)),
            StatusCode::NOT_MODIFIED => Ok(Read::Unchanged),
            StatusCode::NOT_FOUND => Ok(Read::Absent),
            status => Err(status_error(status)),
        }
    }

    async fn transact(&self, ops: Vec<Op>) -> Result<Commit, Error> {
        let url = format!("{}/v1/transact", self.origin);
        let request = self.http.post(url).json(&Transaction { ops });
        let response = request.send().await.map_err(transport_error)?;
        match response.status() {
            StatusCode::OK | StatusCode::CONFLICT => json(response).await,
            status => Err(status_error(status)),
        }
    }

    async fn put_object(&self, key: &str, value: String) -> Result<(), Error> {
        let request = self.http.put(self.url("objects", key)).body(value);
        let response = request.send().await.map_err(transport_error)?;
        match response.status() {
            StatusCode::NO_CONTENT => Ok(()),
            status => Err(status_error(status)),
        }
    }

    async fn get_object(&self, key: &str) -> Result<Option<String>, Error> {
        let request = self.http.get(self.url("objects", key));
        let response = request.send().await.map_err(transport_error)?;
        match response.status() {
            StatusCode::OK => response.text().await.map(Some).map_err(transport_error),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(status_error(status)),
        }
    }

    async fn instances(&self) -> Result<Listing, Error> {
        let url = format!("{}/v1/instances", self.origin);
        let response = self.http.get(url).send().await.map_err(transport_error)?;
        match response.status() {
            StatusCode::OK => json(response).await,
            status => Err(status_error(status)),
        }
    }
}

impl Platform for Client {
    fn read(&self, key: String, known: Option<u64>) -> BoxFuture<'_, Result<Read, Error>> {
        Box::pin(async move { Client::read(self, &key, known).await })
    }

    fn transact(&self, ops: Vec<Op>) -> BoxFuture<'_, Result<Commit, Error>> {
        Box::pin(Client::transact(self, ops))
    }

    fn put_object(&self, key: String, value: String) -> BoxFuture<'_, Result<(), Error>> {
        Box::pin(async move { Client::put_object(self, &key, value).await })
    }

    fn get_object(&self, key: String) -> BoxFuture<'_, Result<Option<String>, Error>> {
        Box::pin(async move { Client::get_object(self, &key).await })
    }

    fn instances(&self) -> BoxFuture<'_, Result<Listing, Error>> {
        Box::pin(Client::instances(self))
    }
}

async fn json<T: serde::de::DeserializeOwned>(response: reqwest::Response) -> Result<T, Error> {
    response.json().await.map_err(|err| {
        if err.is_decode() {
            return Error::Protocol;
        }
        transport_error(err)
    })
}

/// Maps a transport error. Only a connection that was never established proves that nothing took
/// effect.
fn transport_error(err: reqwest::Error) -> Error {
    if err.is_connect() {
        return Error::Down;
    }
    Error::Ambiguous
}

fn status_error(status: StatusCode) -> Error {
    if status == StatusCode::SERVICE_UNAVAILABLE {
        return Error::Down;
    }
    Error::Protocol
}

/// Percent-encodes a key as one path segment.
fn encode_segment(key: &str) -> String {
    let mut encoded = String::with_capacity(key.len());
    for byte in key.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b'~') {
            encoded.push(byte as char);
        } else {
            encoded.push_str(&format!("%{byte:02X}"));
        }
    }
    encoded
}
