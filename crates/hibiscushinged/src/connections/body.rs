//! Bodies of responses that keep their request in progress until they are encoded.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use actix_http::{
    Response,
    body::{BodySize, BoxBody, MessageBody},
};
use bytes::Bytes;

use crate::connections::RequestGuard;

/// Body of a response on a guarded connection. What is left of it counts as held for the connection.
pub(crate) struct ServedBody {
    body: BoxBody,
    request: Option<RequestGuard>,
}

impl ServedBody {
    /// Puts the request's guard into the body of its response.
    pub(crate) fn respond(
        response: Response<BoxBody>,
        request: Option<RequestGuard>,
    ) -> Response<Self> {
        if let (Some(request), BodySize::Sized(length)) = (&request, response.body().size()) {
            request.0.body_rest.set(usize::try_from(length).unwrap_or(usize::MAX));
            request.0.report();
        }
        response.map_body(|_, body| Self { body, request })
    }
}

impl MessageBody for ServedBody {
    type Error = <BoxBody as MessageBody>::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        let next = Pin::new(&mut self.body).poll_next(context);
        if let (Poll::Ready(Some(Ok(part))), Some(request)) = (&next, &self.request) {
            let rest = &request.0.body_rest;
            rest.set(rest.get().saturating_sub(part.len()));
        }
        next
    }
}
