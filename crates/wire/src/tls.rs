//! TLS certificates and keys: loading them for the transport, and generating a set for tests.

use std::fs;
use std::io;
use std::path::Path;
use std::sync::Arc;

use config::settings;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::pem::PemObject;
use serde::Deserialize;
use serde::Serialize;

/// DNS name in the certificate of every process, which clients verify.
pub const SERVER_NAME: &str = "catkinvane";

/// Why certificates cannot be loaded or generated.
#[derive(Debug, strum::Display)]
pub enum Error {
    /// A file or directory cannot be read or written.
    #[strum(to_string = "cannot access {0}: {1}")]
    File(String, io::Error),
    /// A text is not a PEM certificate or key.
    #[strum(to_string = "{0}: not a PEM certificate or key: {1}")]
    Pem(String, rustls::pki_types::pem::Error),
    /// TLS rejects the certificates or keys.
    #[strum(to_string = "TLS rejects the certificates: {0}")]
    Tls(String),
    /// A key or certificate cannot be generated.
    #[strum(to_string = "cannot generate a certificate: {0}")]
    Generate(rcgen::Error),
}

impl std::error::Error for Error {}

/// Certificate chain and private key of one process, with the roots that it trusts.
#[derive(Debug)]
pub struct Identity {
    /// Certificate authority of the deployment, which signs the certificates of its processes.
    pub roots: Arc<rustls::RootCertStore>,
    /// Certificate chain of the process.
    pub chain: Vec<CertificateDer<'static>>,
    /// Private key of the first certificate of the chain.
    pub key: PrivateKeyDer<'static>,
}

/// Loads the identity from the files that the settings name.
///
/// # Errors
///
/// Fails if a file cannot be read or is malformed.
pub fn load(tls: &settings::Tls) -> Result<Identity, Error> {
    let pem = Pem {
        authority: read(&tls.authority)?,
        certificate: read(&tls.certificate)?,
        key: read(&tls.key)?,
    };
    let paths = [&tls.authority, &tls.certificate, &tls.key];
    parse_named(&pem, paths.map(|it| it.display().to_string()))
}

fn parse_named(pem: &Pem, names: [String; 3]) -> Result<Identity, Error> {
    let [authority, certificate, key] = names;
    let mut roots = rustls::RootCertStore::empty();
    for certificate in certificates(&pem.authority, &authority)? {
        roots
            .add(certificate)
            .map_err(|err| Error::Tls(err.to_string()))?;
    }
    Ok(Identity {
        roots: Arc::new(roots),
        chain: certificates(&pem.certificate, &certificate)?,
        key: PrivateKeyDer::from_pem_slice(pem.key.as_bytes())
            .map_err(|err| Error::Pem(key, err))?,
    })
}

fn certificates(pem: &str, name: &str) -> Result<Vec<CertificateDer<'static>>, Error> {
    CertificateDer::pem_slice_iter(pem.as_bytes())
        .collect::<Result<_, _>>()
        .map_err(|err| Error::Pem(name.to_owned(), err))
}

fn read(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|err| Error::File(path.display().to_string(), err))
}

/// PEM texts of a certificate authority and of one process certificate signed by it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pem {
    /// Certificate of the authority.
    pub authority: String,
    /// Certificate of the process.
    pub certificate: String,
    /// Private key of the process certificate.
    pub key: String,
}

/// Generates a certificate authority and one certificate and key, which all processes share.
///
/// # Errors
///
/// Fails if the key generation or the encoding of a certificate fails.
pub fn generate() -> Result<Pem, Error> {
    let authority_key = rcgen::KeyPair::generate().map_err(Error::Generate)?;
    let mut params = rcgen::CertificateParams::new(Vec::new()).map_err(Error::Generate)?;
    params.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Unconstrained);
    let authority = params
        .self_signed(&authority_key)
        .map_err(Error::Generate)?;
    let issuer = rcgen::Issuer::new(params, &authority_key);

    let key = rcgen::KeyPair::generate().map_err(Error::Generate)?;
    let names = vec![SERVER_NAME.to_owned()];
    let params = rcgen::CertificateParams::new(names).map_err(Error::Generate)?;
    let certificate = params.signed_by(&key, &issuer).map_err(Error::Generate)?;
    Ok(Pem {
        authority: authority.pem(),
        certificate: certificate.pem(),
        key: key.serialize_pem(),
    })
}

/// Parses an identity from PEM texts.
///
/// # Errors
///
/// Fails if a text is malformed.
pub fn parse(pem: &Pem) -> Result<Identity, Error> {
    parse_named(pem, ["authority", "certificate", "key"].map(str::to_owned))
}

/// Generates a certificate authority and one process certificate, and writes them to files in
/// `dir`.
///
/// For tests and first trials only: all processes share one key.
///
/// # Errors
///
/// Fails if the certificates cannot be generated or a file cannot be written.
pub fn generate_files(dir: &Path) -> Result<settings::Tls, Error> {
    let pem = generate()?;
    fs::create_dir_all(dir).map_err(|err| Error::File(dir.display().to_string(), err))?;
    let tls = settings::Tls {
        authority: dir.join("authority.pem"),
        certificate: dir.join("process.pem"),
        key: dir.join("process.key"),
    };
    write(&tls.authority, &pem.authority)?;
    write(&tls.certificate, &pem.certificate)?;
    write(&tls.key, &pem.key)?;
    Ok(tls)
}

fn write(path: &Path, text: &str) -> Result<(), Error> {
    fs::write(path, text).map_err(|err| Error::File(path.display().to_string(), err))
}
