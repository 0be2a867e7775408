//! Acceptance of connections on the current thread.

use std::{fmt::Debug, rc::Rc, time::Duration};

use actix_http::error::DispatchError;
use actix_service::{Service as _, ServiceFactory};
use tokio::net::{TcpListener, TcpStream};

/// Pause after a connection could not be accepted, usually for want of file descriptors. Running requests
/// free some meanwhile.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Accepts connections for good and serves each in a task of its own.
pub(crate) async fn serve_connections<F>(listener: TcpListener, factory: F)
where
    F: ServiceFactory<TcpStream, Config = (), Error = DispatchError>,
    F::Service: 'static,
    F::InitError: Debug,
{
    let service = Rc::new(factory.new_service(()).await.expect("HTTP services always start"));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let service = Rc::clone(&service);
                actix_rt::spawn(async move {
                    // A broken connection concerns its peer alone, which repeats what matters.
                    if let Err(error) = service.call(stream).await {
                        tracing::debug!(%error, "a connection ended");
                    }
                });
            }
            Err(error) => {
                tracing::warn!(%error, "no connection could be accepted");
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}
