//! Settings of the daemons and of the client, parsed from YAML and validated at start.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use base::id;

use crate::check;
use crate::check::Diagnostic;
use crate::check::Diagnostics;
use crate::check::Fields;

const EXPECTED_NAME: &str = "a name of letters, digits, '-', '_', '.', ':'";
const EXPECTED_ADDRESS: &str = "an IP address and port";
const EXPECTED_PATH: &str = "a path";

const DEFAULT_DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// Files of the certificates and the key for mutual TLS between processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tls {
    /// PEM file with the certificate of the certificate authority.
    pub authority: PathBuf,
    /// PEM file with the certificate of this process.
    pub certificate: PathBuf,
    /// PEM file with the private key of this process.
    pub key: PathBuf,
}

/// Settings that both daemons have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Common {
    /// Name of this instance.
    pub instance: id::Instance,
    /// Availability zone of this instance.
    pub zone: id::Zone,
    /// Address that this process listens on.
    pub listen: SocketAddr,
    /// Address of the platform's table, objects and instance list.
    pub platform: SocketAddr,
    /// TLS files.
    pub tls: Tls,
    /// Longest time that a graceful shutdown waits for requests in flight, set by `drain`.
    pub drain_timeout: Duration,
    /// UDP address of a StatsD server for metrics, if any.
    pub statsd: Option<SocketAddr>,
}

/// Settings of `catkinvane-gateway`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gateway {
    /// Common settings; `listen` is the address for HTTP requests of callers.
    pub common: Common,
    /// Address of the dispatcher on the same instance.
    pub dispatcher: SocketAddr,
}

/// Settings of `catkinvane-dispatcher`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatcher {
    /// Common settings; `listen` is the UDP address for other processes.
    pub common: Common,
    /// Dispatchers queried for the member list while the platform's instance list is unavailable.
    pub seeds: Vec<SocketAddr>,
}

/// Settings of the operators' client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Client {
    /// Dispatchers in order of preference; at least one.
    pub dispatchers: Vec<SocketAddr>,
    /// TLS files.
    pub tls: Tls,
    /// Author recorded with configuration changes.
    pub author: String,
}

/// Parses the client's settings.
///
/// # Errors
///
/// Returns every error of the text.
pub fn parse_client(text: &str) -> Result<Client, Vec<Diagnostic>> {
    parse(text, |fields, diagnostics| {
        let mut dispatchers = Vec::new();
        for node in fields.list("dispatchers", diagnostics) {
            dispatchers.extend(check::parse_scalar::<SocketAddr>(
                node,
                EXPECTED_ADDRESS,
                diagnostics,
            ));
        }
        if dispatchers.is_empty() {
            let kind = check::DiagnosticKind::MissingField("dispatchers");
            diagnostics.push(fields.position, kind);
        }
        let author = fields.required("author", "a name", diagnostics);
        Some(Client {
            dispatchers,
            tls: parse_tls(fields, diagnostics)?,
            author: author?,
        })
    })
}

/// Parses the gateway's settings.
///
/// # Errors
///
/// Returns every error of the text.
pub fn parse_gateway(text: &str) -> Result<Gateway, Vec<Diagnostic>> {
    parse(text, |fields, diagnostics| {
        let common = parse_common(fields, diagnostics);
        let dispatcher = fields.required("dispatcher", EXPECTED_ADDRESS, diagnostics);
        Some(Gateway {
            common: common?,
            dispatcher: dispatcher?,
        })
    })
}

/// Parses the dispatcher's settings.
///
/// # Errors
///
/// Returns every error of the text.
pub fn parse_dispatcher(text: &str) -> Result<Dispatcher, Vec<Diagnostic>> {
    parse(text, |fields, diagnostics| {
        let mut seeds = Vec::new();
        for node in fields.list("seeds", diagnostics) {
            seeds.extend(check::parse_scalar::<SocketAddr>(
                node,
                EXPECTED_ADDRESS,
                diagnostics,
            ));
        }
        Some(Dispatcher {
            common: parse_common(fields, diagnostics)?,
            seeds,
        })
    })
}

fn parse<T>(
    text: &str,
    parse_fields: impl FnOnce(&mut Fields<'_>, &mut Diagnostics) -> Option<T>,
) -> Result<T, Vec<Diagnostic>> {
    let root = check::parse(text).map_err(|diagnostic| vec![diagnostic])?;
    let mut diagnostics = Diagnostics::default();
    let mut value = None;
    if let Some(mut fields) = Fields::from_node(&root, &mut diagnostics) {
        value = parse_fields(&mut fields, &mut diagnostics);
        fields.reject_unknown(&mut diagnostics);
    }
    // The fallback is not reached: `parse_fields` reports an error whenever it returns `None`.
    diagnostics
        .into_result(value)?
        .ok_or_else(|| vec![missing_settings()])
}

fn missing_settings() -> Diagnostic {
    Diagnostic {
        line: 0,
        column: 0,
        kind: check::DiagnosticKind::MissingField("instance"),
    }
}

fn parse_common(fields: &mut Fields<'_>, diagnostics: &mut Diagnostics) -> Option<Common> {
    let instance = fields.required("instance", EXPECTED_NAME, diagnostics);
    let zone = fields.required("zone", EXPECTED_NAME, diagnostics);
    let listen = fields.required("listen", EXPECTED_ADDRESS, diagnostics);
    let platform = fields.required("platform", EXPECTED_ADDRESS, diagnostics);
    let tls = parse_tls(fields, diagnostics);
    let drain_timeout = fields.optional_duration("drain", DEFAULT_DRAIN_TIMEOUT, diagnostics);
    let statsd = fields
        .get("statsd")
        .and_then(|node| check::parse_scalar(node, EXPECTED_ADDRESS, diagnostics));
    Some(Common {
        instance: instance?,
        zone: zone?,
        listen: listen?,
        platform: platform?,
        tls: tls?,
        drain_timeout,
        statsd,
    })
}

fn parse_tls(fields: &mut Fields<'_>, diagnostics: &mut Diagnostics) -> Option<Tls> {
    let Some(node) = fields.get("tls") else {
        diagnostics.push(fields.position, check::DiagnosticKind::MissingField("tls"));
        return None;
    };
    let mut fields = Fields::from_node(node, diagnostics)?;
    let authority = fields.required("authority", EXPECTED_PATH, diagnostics);
    let certificate = fields.required("certificate", EXPECTED_PATH, diagnostics);
    let key = fields.required("key", EXPECTED_PATH, diagnostics);
    fields.reject_unknown(diagnostics);
    Some(Tls {
        authority: authority?,
        certificate: certificate?,
        key: key?,
    })
}
