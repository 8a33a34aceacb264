//! Checks which process answers at an engine's address.
//!
//! An engine may return under its name with another software version before its registration says
//! so. A connection leads to one process, so what the process reports on it holds for every request
//! that it carries.

use std::time::Duration;

use catalog::Upstream;
use http::StatusCode;
use http_body_util::Full;
use platform::report;

use crate::buffer;
use crate::connection::Error;
use crate::connection::PooledConnection;
use crate::state::Node;

/// Time to wait for a report; it needs no slot, and an answer between zones takes 6 ms.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum size of a report in bytes.
const REPORT_BYTES_MAX: usize = 1024 * 1024;

/// Checks that the process at the other end of `connection` is the registered one of `upstream`.
///
/// # Errors
///
/// [`Error::UnknownProcess`] if it is another one or does not report in time.
pub(crate) async fn check(
    node: &Node,
    upstream: &Upstream,
    connection: &mut PooledConnection,
) -> Result<(), Error> {
    if upstream.started_ms == 0 {
        // The registration does not state the start.
        return Ok(());
    }
    if connection.process.is_none() {
        let started_ms = read_start(node, upstream, connection);
        let started_ms = tokio::time::timeout(REPORT_TIMEOUT, started_ms).await;
        connection.process = started_ms.ok().flatten();
    }
    if connection.process == Some(upstream.started_ms) {
        return Ok(());
    }
    slog::warn!(node.logger(), "unknown_process"; "upstream" => upstream.name.as_str(),
        "started_ms" => upstream.started_ms, "reported_ms" => connection.process);
    Err(Error::UnknownProcess)
}

/// Start time that the process reports; `None` if it does not answer. One that has no report, or
/// does not state its start, counts as the registered one.
async fn read_start(
    node: &Node,
    upstream: &Upstream,
    connection: &mut PooledConnection,
) -> Option<u64> {
    let request = report::request(&upstream.address.to_string());
    let request = request.map(|()| Full::default());
    let response = connection.exchange(request).await.ok()?;
    let status = response.status();
    let body = buffer::collect(response.into_body(), &node.memory, REPORT_BYTES_MAX);
    let body = body.await.ok()?;
    match status {
        StatusCode::OK => {}
        StatusCode::NOT_FOUND => return Some(upstream.started_ms),
        _ => return None,
    }
    match report::decode_start(&body) {
        Ok(started_ms) => Some(started_ms.unwrap_or(upstream.started_ms)),
        Err(err) => {
            slog::warn!(node.logger(), "report_unreadable"; "upstream" => upstream.name.as_str(),
                "reason" => %err);
            None
        }
    }
}
