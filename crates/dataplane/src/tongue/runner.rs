//! Runners' HTTP in the product's own dialect.

use bytes::Bytes;
use common::frames::Place;
use common::http::{closes, single_text};
use common::seal;
use common::tongue::{ReadyBy, RunnerSaid, RunnerTongue, RunnerWords, SealKind};
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, HeaderMap};
use hyper::{Method, Request, StatusCode};

/// Runners' HTTP as the product itself speaks it.
pub struct OwnRunner;

impl RunnerTongue for OwnRunner {
    fn request(
        &self,
        place: Place,
        words: &RunnerWords<'_>,
    ) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let mut request = Request::builder()
            .method(Method::POST)
            .uri("/run")
            .header(HOST, place.to_string())
            .header(CONTENT_TYPE, "application/json")
            .header(seal::TRANSACTION, words.transaction.as_str())
            .header(seal::FUNCTION, words.function.to_string())
            .header(seal::ATTEMPT, words.attempt.to_string())
            .header(seal::BUDGET, words.budget_left.as_millis().to_string());
        if let Some(runner) = words.runner {
            request = request
                .header(seal::RUNNER, runner.face(words.life).to_string())
                .header(seal::GRANT, runner.grant.to_string());
        }
        request.body(Full::new(words.parcel.body.0.clone()))
    }

    fn read(&self, status: StatusCode, headers: &HeaderMap, body: Bytes) -> RunnerSaid {
        RunnerSaid {
            status: status.as_u16(),
            transaction: single_text(headers, seal::TRANSACTION).to_owned(),
            function: Some(single_text(headers, seal::FUNCTION).to_owned()),
            runner: Some(single_text(headers, seal::RUNNER).to_owned()),
            seal: single_text(headers, seal::SEAL).to_owned(),
            seal_kind: SealKind::Digest,
            did_not_run: headers.contains_key(seal::SHED),
            is_other: false,
            is_doubtful: false,
            closes: closes(headers),
            lines: Vec::new(),
            body,
        }
    }

    fn ready_by(&self) -> ReadyBy {
        ReadyBy::Asking("/ready", seal::RUNNER)
    }

    fn running_path(&self) -> Option<&'static str> {
        Some("/running")
    }
}
