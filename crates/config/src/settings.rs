//! Settings of the daemons, read from YAML and checked as a whole at start.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use base::id;

use crate::check;
use crate::check::Diagnostic;
use crate::check::Diagnostics;
use crate::check::Fields;

const NAME: &str = "a name of letters, digits, '-', '_', '.', ':'";
const ADDRESS: &str = "an IP address and port";
const PATH: &str = "a path";

const DEFAULT_DRAIN: Duration = Duration::from_secs(30);

/// Certificate, key and authority for mutual TLS between processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tls {
    /// PEM file of the authority's certificate.
    pub authority: PathBuf,
    /// PEM file of this process's certificate.
    pub certificate: PathBuf,
    /// PEM file of this process's private key.
    pub key: PathBuf,
}

/// Settings common to both daemons.
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
    /// Certificates.
    pub tls: Tls,
    /// Longest time that a graceful stop waits for requests in flight.
    pub drain: Duration,
    /// UDP address of a StatsD server for metrics, if any.
    pub statsd: Option<SocketAddr>,
}

/// Settings of `catkinvane-gateway`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gateway {
    /// Common part; `listen` is the callers' HTTP address.
    pub common: Common,
    /// Address of the dispatcher on the same instance.
    pub dispatcher: SocketAddr,
}

/// Settings of `catkinvane-dispatcher`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatcher {
    /// Common part; `listen` is the UDP address for other processes.
    pub common: Common,
    /// Dispatchers to ask for the members while the platform's list cannot be read.
    pub seeds: Vec<SocketAddr>,
}

/// Settings of the operators' client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Client {
    /// Dispatchers to ask, in order of preference.
    pub dispatchers: Vec<SocketAddr>,
    /// Certificates.
    pub tls: Tls,
    /// Name under which changes are made.
    pub author: String,
}

/// Reads the client's settings.
///
/// # Errors
///
/// Returns every fault of the text.
pub fn parse_client(text: &str) -> Result<Client, Vec<Diagnostic>> {
    read(text, |fields, diagnostics| {
        let mut dispatchers = Vec::new();
        for node in fields.list("dispatchers", diagnostics) {
            dispatchers.extend(check::scalar::<SocketAddr>(node, ADDRESS, diagnostics));
        }
        if dispatchers.is_empty() {
            let kind = check::DiagnosticKind::MissingField("dispatchers");
            diagnostics.push(fields.position, kind);
        }
        let author = fields.required("author", "a name", diagnostics);
        Some(Client {
            dispatchers,
            tls: tls(fields, diagnostics)?,
            author: author?,
        })
    })
}

/// Reads the gateway's settings.
///
/// # Errors
///
/// Returns every fault of the text.
pub fn parse_gateway(text: &str) -> Result<Gateway, Vec<Diagnostic>> {
    read(text, |fields, diagnostics| {
        let common = common(fields, diagnostics);
        let dispatcher = fields.required("dispatcher", ADDRESS, diagnostics);
        Some(Gateway {
            common: common?,
            dispatcher: dispatcher?,
        })
    })
}

/// Reads the dispatcher's settings.
///
/// # Errors
///
/// Returns every fault of the text.
pub fn parse_dispatcher(text: &str) -> Result<Dispatcher, Vec<Diagnostic>> {
    read(text, |fields, diagnostics| {
        let mut seeds = Vec::new();
        for node in fields.list("seeds", diagnostics) {
            seeds.extend(check::scalar::<SocketAddr>(node, ADDRESS, diagnostics));
        }
        Some(Dispatcher {
            common: common(fields, diagnostics)?,
            seeds,
        })
    })
}

fn read<T>(
    text: &str,
    settings: impl FnOnce(&mut Fields<'_>, &mut Diagnostics) -> Option<T>,
) -> Result<T, Vec<Diagnostic>> {
    let root = check::parse(text).map_err(|diagnostic| vec![diagnostic])?;
    let mut diagnostics = Diagnostics::default();
    let mut value = None;
    if let Some(mut fields) = Fields::from_node(&root, &mut diagnostics) {
        value = settings(&mut fields, &mut diagnostics);
        fields.reject_unknown(&mut diagnostics);
    }
    // A missing value always left a fault behind.
    diagnostics
        .into_result(value)?
        .ok_or_else(|| vec![empty_settings()])
}

fn empty_settings() -> Diagnostic {
    Diagnostic {
        line: 0,
        column: 0,
        kind: check::DiagnosticKind::MissingField("instance"),
    }
}

fn common(fields: &mut Fields<'_>, diagnostics: &mut Diagnostics) -> Option<Common> {
    let instance = fields.required("instance", NAME, diagnostics);
    let zone = fields.required("zone", NAME, diagnostics);
    let listen = fields.required("listen", ADDRESS, diagnostics);
    let platform = fields.required("platform", ADDRESS, diagnostics);
    let tls = tls(fields, diagnostics);
    let drain = fields.optional_duration("drain", DEFAULT_DRAIN, diagnostics);
    let statsd = fields
        .get("statsd")
        .and_then(|node| check::scalar(node, ADDRESS, diagnostics));
    Some(Common {
        instance: instance?,
        zone: zone?,
        listen: listen?,
        platform: platform?,
        tls: tls?,
        drain,
        statsd,
    })
}

fn tls(fields: &mut Fields<'_>, diagnostics: &mut Diagnostics) -> Option<Tls> {
    let Some(node) = fields.get("tls") else {
        diagnostics.push(fields.position, check::DiagnosticKind::MissingField("tls"));
        return None;
    };
    let mut fields = Fields::from_node(node, diagnostics)?;
    let authority = fields.required("authority", PATH, diagnostics);
    let certificate = fields.required("certificate", PATH, diagnostics);
    let key = fields.required("key", PATH, diagnostics);
    fields.reject_unknown(diagnostics);
    Some(Tls {
        authority: authority?,
        certificate: certificate?,
        key: key?,
    })
}
