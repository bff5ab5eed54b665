//! The adapter between operators' HTTP API and operations, and the product's own API.

mod requests;
mod responses;

pub(super) use responses::{
    error_response, event_json, json_status_response, not_accepted_response, redirect_body,
};

use crate::controller_state::{Operation, OperationReply};
use common::http::HttpResponse;
use hyper::http::request::Parts;

/// An adapter between an HTTP API for operators and the controller's operations. It only translates.
pub trait OperatorApiAdapter: Send + Sync {
    /// Parses a request.
    ///
    /// # Errors
    /// Returns the response to send if the request is invalid.
    fn read(&self, head: &Parts, body: &[u8]) -> Result<Operation, Box<HttpResponse>>;

    /// Writes the response to an operation.
    fn write_response(&self, operation: &Operation, reply: OperationReply) -> HttpResponse;

    /// Returns the path of the readiness check.
    fn readiness_path(&self) -> &'static str;
}

/// The adapter of the product's own API.
pub struct NativeOperatorApi;

impl OperatorApiAdapter for NativeOperatorApi {
    fn read(&self, head: &Parts, body: &[u8]) -> Result<Operation, Box<HttpResponse>> {
        requests::read_operation(&head.method, head.uri.path(), head.uri.query(), body)
            .map_err(|error| Box::new(json_status_response(error.status(), &error.body())))
    }

    fn write_response(&self, _operation: &Operation, reply: OperationReply) -> HttpResponse {
        let (status, body) = reply.into_native_response();
        json_status_response(status, &body)
    }

    fn readiness_path(&self) -> &'static str {
        "/ready"
    }
}
