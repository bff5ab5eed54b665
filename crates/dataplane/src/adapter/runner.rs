//! The native HTTP protocol for runners.

use bytes::Bytes;
use common::adapter::{ReadinessProbe, RunnerCodec, RunnerRequest, RunnerResponse, SealKind};
use common::frames::SocketAddress;
use common::http::{closes_connection, single_text};
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
                seal::IDEMPOTENCY_KEY,
                runner_request.idempotency_key.as_str(),
            )
            .header(seal::FUNCTION, runner_request.function.to_string())
            .header(seal::ATTEMPT, runner_request.attempt.to_string())
            .header(
                seal::TIMEOUT,
                runner_request.remaining_time.as_millis().to_string(),
            );
        if let Some(runner) = runner_request.runner {
            request = request
                .header(
                    seal::RUNNER,
                    runner.self_reported_id(runner_request.instance).to_string(),
                )
                .header(seal::FENCING_TOKEN, runner.fencing_token.to_string());
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
            idempotency_key: single_text(headers, seal::IDEMPOTENCY_KEY).to_owned(),
            function: Some(single_text(headers, seal::FUNCTION).to_owned()),
            runner: Some(single_text(headers, seal::RUNNER).to_owned()),
            seal: single_text(headers, seal::SEAL).to_owned(),
            seal_kind: SealKind::Digest,
            did_not_run: headers.contains_key(seal::REJECTED),
            is_other_runner: false,
            is_unreliable: false,
            closes_connection: closes_connection(headers),
            header_fields: Vec::new(),
            body,
        }
    }

    fn readiness_probe(&self) -> ReadinessProbe {
        ReadinessProbe::HttpGet("/ready", seal::RUNNER)
    }

    fn running_path(&self) -> Option<&'static str> {
        Some("/running")
    }
}
