//! The HTTP server for callers and trainers.

use std::{convert::Infallible, io, net::TcpListener, rc::Rc, sync::Arc};

use actix_http::{HttpService, Request, Response, body::BoxBody};
use actix_server::{Server, ServerHandle};
use base::{Refusal, RefusalCode};

use crate::{
    connections::{self, ClientKind, ServedBody, daemon_registry, guarded_service},
    shared::SharedState,
    traffic::{caller, response, trainer, worker::TrafficWorker},
};

/// Starts the traffic threads, which serve the connections of `listener`. Must be called inside an
/// `actix_rt` system.
///
/// # Errors
///
/// Returns an error when the listener cannot be registered.
pub(crate) fn start(shared: Arc<SharedState>, listener: TcpListener) -> io::Result<ServerHandle> {
    let threads = shared.settings.traffic_threads as usize;
    let server = Server::build()
        .workers(threads)
        .disable_signals()
        .shutdown_timeout(shared.settings.timeouts.drain.as_millis() / 1_000)
        .listen("callers", listener, move || {
            let worker = Rc::new(TrafficWorker::new(Arc::clone(&shared)));
            let registry = daemon_registry(&worker.shared, ClientKind::Callers, threads);
            let http = HttpService::build().on_connect_ext(connections::attach).finish(
                move |mut request| {
                    let worker = Rc::clone(&worker);
                    let guard = connections::begin_request(&mut request);
                    async move {
                        let response = serve(worker, request).await;
                        Ok::<_, Infallible>(ServedBody::respond(response, guard))
                    }
                },
            );
            guarded_service(registry, http)
        })?
        .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}

async fn serve(worker: Rc<TrafficWorker>, request: Request) -> Response<BoxBody> {
    let path = String::from(request.path());
    let Some(route) = path.strip_prefix("/v1/") else {
        return response::refusal(&unknown_path(&path));
    };
    if let Some(trainer_path) = route.strip_prefix("trainers/") {
        return trainer::serve(worker, trainer_path, request).await;
    }
    caller::serve(worker, route, request).await
}

fn unknown_path(path: &str) -> Refusal {
    let message =
        format!("path \"{path}\" does not exist; the paths of all routes start with /v1/");
    Refusal::not_run(RefusalCode::RouteUnknown, message)
}
