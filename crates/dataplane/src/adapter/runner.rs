//! The native HTTP protocol for runners.

use bytes::Bytes;
use common::adapter::{ReadinessProbe, RunnerCodec, RunnerRequest, RunnerResponse, SealKind};
use common::frames::SocketAddress;
use common::http::{closes_connection, single_header_text};
use common::seal;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, HeaderMap};
use hyper::{Method, Request, StatusCode};

/// Encodes and decodes the native HTTP protocol for runners.
pub struct NativeRunnerCodec;

impl RunnerCodec for NativeRunnerCodec {
    fn encode_request(
        &self,
        address: SocketAddress,
        runner_request: &RunnerRequest<'_>,
    ) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let mut request = Request::builder()
            .method(Method::POST)
            .uri("/run")
            .header(HOST, address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .header(
                seal::IDEMPOTENCY_KEY_HEADER,
                runner_request.idempotency_key.as_str(),
            )
            .header(seal::FUNCTION_HEADER, runner_request.function.to_string())
            .header(seal::ATTEMPT_HEADER, runner_request.attempt.to_string())
            .header(
                seal::TIMEOUT_HEADER,
                runner_request.remaining_time.as_millis().to_string(),
            );
        if let Some(runner) = runner_request.runner {
            request = request
                .header(
                    seal::RUNNER_HEADER,
                    runner.self_reported_id(runner_request.instance).to_string(),
                )
                .header(seal::FENCING_TOKEN_HEADER, runner.fencing_token.to_string());
        }
        request.body(Full::new(runner_request.payload.body.0.clone()))
    }

    fn decode_response(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        body: Bytes,
    ) -> RunnerResponse {
        RunnerResponse {
            status: status.as_u16(),
            idempotency_key: single_header_text(headers, seal::IDEMPOTENCY_KEY_HEADER).to_owned(),
            function: Some(single_header_text(headers, seal::FUNCTION_HEADER).to_owned()),
            runner: Some(single_header_text(headers, seal::RUNNER_HEADER).to_owned()),
            seal: single_header_text(headers, seal::SEAL_HEADER).to_owned(),
            seal_kind: SealKind::Digest,
            did_not_run: headers.contains_key(seal::REJECTED_HEADER),
            is_other_runner: false,
            is_unreliable: false,
            closes_connection: closes_connection(headers),
            header_fields: Vec::new(),
            body,
        }
    }

    fn readiness_probe(&self) -> ReadinessProbe {
        ReadinessProbe::HttpGet("/ready", seal::RUNNER_HEADER)
    }

    fn running_path(&self) -> Option<&'static str> {
        Some("/running")
    }
}
