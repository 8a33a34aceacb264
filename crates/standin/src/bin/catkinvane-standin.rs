//! Process for tests that simulates the platform and upstreams.

use std::path::PathBuf;
use std::sync::Arc;

use salvo::Listener;
use standin::control;
use standin::control::Control;
use standin::platform;
use standin::platform::Platform;
use standin::settings::Settings;
use standin::upstream::Upstream;

fn main() -> eyre::Result<()> {
    let mut args = pico_args::Arguments::from_env();
    let path: PathBuf = args.value_from_str("--settings")?;
    let settings: Settings = serde_saphyr::from_str(&std::fs::read_to_string(path)?)
        .map_err(|err| eyre::eyre!("{err}"))?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> eyre::Result<()> {
    let listing = table::Listing {
        instances: settings.instances,
    };
    let platform = Arc::new(Platform::new(listing));
    let upstreams: std::collections::BTreeMap<String, Arc<Upstream>> = settings
        .upstreams
        .into_iter()
        .map(|it| (it.name.clone(), Arc::new(Upstream::new(it))))
        .collect();
    for upstream in upstreams.values() {
        tokio::spawn(upstream.clone().serve());
    }
    let control = Control {
        platform: platform.clone(),
        upstreams,
    };
    let platform = listen(settings.platform, platform::router(platform)).await?;
    let control = listen(settings.control, control::router(Arc::new(control))).await?;
    tokio::select! {
        served = platform => served?,
        served = control => served?,
    }
    Ok(())
}

async fn listen(
    address: std::net::SocketAddr,
    router: salvo::Router,
) -> eyre::Result<impl Future<Output = std::io::Result<()>>> {
    let acceptor = salvo::conn::TcpListener::new(address)
        .try_bind()
        .await
        .map_err(|err| eyre::eyre!("cannot listen on {address}: {err}"))?;
    let server = salvo::Server::new(acceptor).disable_fuse();
    Ok(server.try_serve(salvo::Service::new(router)))
}
