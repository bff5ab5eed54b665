use bytes::Bytes;
use common::frames::Place;
use common::http::header_text;
use common::seal;
use common::tongue::{ReadyBy, RunnerSaid, RunnerTongue, RunnerWords, SealKind};
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, HeaderMap};
use hyper::{Method, Request, StatusCode};

/// Runners' HTTP as the product itself speaks it.
pub struct OwnRunner;

fn text(headers: &HeaderMap, name: &str) -> String {
    header_text(headers, name).to_owned()
}

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
            transaction: text(headers, seal::TRANSACTION),
            function: Some(text(headers, seal::FUNCTION)),
            runner: Some(text(headers, seal::RUNNER)),
            seal: text(headers, seal::SEAL),
            seal_kind: SealKind::Digest,
            did_not_run: headers.contains_key(seal::SHED),
            is_other: false,
            is_doubtful: false,
            closes: common::http::closes(headers),
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
