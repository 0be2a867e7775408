//! Accepts TCP connections and serves them on the current thread.

use std::{fmt::Debug, rc::Rc, time::Duration};

use actix_http::error::DispatchError;
use actix_service::{Service as _, ServiceFactory};
use tokio::net::{TcpListener, TcpStream};

/// Delay before the next `accept` after one failed. The usual cause is that the process has no file
/// descriptors left; connections that close in the meantime free some.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Accepts connections in an endless loop and serves each in its own task. A failed `accept` is
/// logged and retried after [`ACCEPT_RETRY_DELAY`].
pub(crate) async fn serve_connections<F>(listener: TcpListener, factory: F)
where
    F: ServiceFactory<TcpStream, Config = (), Error = DispatchError>,
    F::Service: 'static,
    F::InitError: Debug,
{
    let service = Rc::new(
        factory
            .new_service(())
            .await
            .expect("the factory of an HTTP service has no initialization that can fail"),
    );
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let service = Rc::clone(&service);
                actix_rt::spawn(async move {
                    // A connection error affects only its own client, which retries if it needs to.
                    if let Err(error) = service.call(stream).await {
                        tracing::debug!(%error, "connection closed after an error");
                    }
                });
            }
            Err(error) => {
                tracing::warn!(%error, "could not accept a connection; retrying shortly");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
