//! Certificates: reading them for the transport, and making a test set.

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

/// Name that every process certificate carries and every process expects.
pub const SERVER_NAME: &str = "catkinvane";

/// Why certificates cannot be used or made.
#[derive(Debug, strum::Display)]
pub enum Error {
    /// A file cannot be read or written.
    #[strum(to_string = "{0}: {1}")]
    File(String, io::Error),
    /// A file does not hold what it should.
    #[strum(to_string = "{0}: not a PEM certificate or key: {1}")]
    Pem(String, rustls::pki_types::pem::Error),
    /// TLS refuses the certificates.
    #[strum(to_string = "certificates refused: {0}")]
    Tls(String),
    /// A certificate cannot be made.
    #[strum(to_string = "cannot make a certificate: {0}")]
    Generate(rcgen::Error),
}

impl std::error::Error for Error {}

/// Certificates of one process.
#[derive(Debug)]
pub struct Identity {
    /// Authority that signs every process of the deployment.
    pub roots: Arc<rustls::RootCertStore>,
    /// Certificate chain.
    pub chain: Vec<CertificateDer<'static>>,
    /// Private key.
    pub key: PrivateKeyDer<'static>,
}

/// Reads the certificates that the settings name.
///
/// # Errors
///
/// Fails when a file is missing or malformed.
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

/// PEM texts of an authority and of one process certificate that it signed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pem {
    /// Authority that signs every process of the deployment.
    pub authority: String,
    /// Certificate.
    pub certificate: String,
    /// Private key of the certificate.
    pub key: String,
}

/// Makes an authority and one process certificate; every process shares the one key.
///
/// # Errors
///
/// Fails when the random generator or the encoder does.
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

/// Reads certificates from PEM texts.
///
/// # Errors
///
/// Fails when a text is malformed.
pub fn parse(pem: &Pem) -> Result<Identity, Error> {
    parse_named(pem, ["authority", "certificate", "key"].map(str::to_owned))
}

/// Writes an authority and one process certificate into `dir`.
///
/// The set is meant for tests and first trials: every process shares one key.
///
/// # Errors
///
/// Fails when a file cannot be written.
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
