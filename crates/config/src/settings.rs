//! Settings of the daemons, read from YAML and checked as a whole at start.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use base::id;

use crate::check;
use crate::check::Fault;
use crate::check::Faults;
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
pub fn client(text: &str) -> Result<Client, Vec<Fault>> {
    read(text, |fields, faults| {
        let mut dispatchers = Vec::new();
        for node in fields.list("dispatchers", faults) {
            dispatchers.extend(check::scalar::<SocketAddr>(node, ADDRESS, faults));
        }
        if dispatchers.is_empty() {
            let problem = check::Problem::MissingField("dispatchers");
            faults.push(fields.place, problem);
        }
        let author = fields.need("author", "a name", faults);
        Some(Client {
            dispatchers,
            tls: tls(fields, faults)?,
            author: author?,
        })
    })
}

/// Reads the gateway's settings.
///
/// # Errors
///
/// Returns every fault of the text.
pub fn gateway(text: &str) -> Result<Gateway, Vec<Fault>> {
    read(text, |fields, faults| {
        let common = common(fields, faults);
        let dispatcher = fields.need("dispatcher", ADDRESS, faults);
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
pub fn dispatcher(text: &str) -> Result<Dispatcher, Vec<Fault>> {
    read(text, |fields, faults| {
        let mut seeds = Vec::new();
        for node in fields.list("seeds", faults) {
            seeds.extend(check::scalar::<SocketAddr>(node, ADDRESS, faults));
        }
        Some(Dispatcher {
            common: common(fields, faults)?,
            seeds,
        })
    })
}

fn read<T>(
    text: &str,
    settings: impl FnOnce(&mut Fields<'_>, &mut Faults) -> Option<T>,
) -> Result<T, Vec<Fault>> {
    let root = check::parse(text).map_err(|fault| vec![fault])?;
    let mut faults = Faults::default();
    let mut value = None;
    if let Some(mut fields) = Fields::open(&root, &mut faults) {
        value = settings(&mut fields, &mut faults);
        fields.close(&mut faults);
    }
    // A missing value always left a fault behind.
    faults
        .into_result(value)?
        .ok_or_else(|| vec![empty_settings()])
}

fn empty_settings() -> Fault {
    Fault {
        line: 0,
        column: 0,
        problem: check::Problem::MissingField("instance"),
    }
}

fn common(fields: &mut Fields<'_>, faults: &mut Faults) -> Option<Common> {
    let instance = fields.need("instance", NAME, faults);
    let zone = fields.need("zone", NAME, faults);
    let listen = fields.need("listen", ADDRESS, faults);
    let platform = fields.need("platform", ADDRESS, faults);
    let tls = tls(fields, faults);
    let drain = fields.duration_or("drain", DEFAULT_DRAIN, faults);
    let statsd = fields
        .get("statsd")
        .and_then(|node| check::scalar(node, ADDRESS, faults));
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

fn tls(fields: &mut Fields<'_>, faults: &mut Faults) -> Option<Tls> {
    let Some(node) = fields.get("tls") else {
        faults.push(fields.place, check::Problem::MissingField("tls"));
        return None;
    };
    let mut fields = Fields::open(node, faults)?;
    let authority = fields.need("authority", PATH, faults);
    let certificate = fields.need("certificate", PATH, faults);
    let key = fields.need("key", PATH, faults);
    fields.close(faults);
    Some(Tls {
        authority: authority?,
        certificate: certificate?,
        key: key?,
    })
}
