//! The answers that a daemon gives itself.

use gl_model::{call, time};
use ntex::{http, web};

/// Seconds for a `Retry-After` header, rounded up.
fn seconds(after: time::Span) -> u64 {
    after.as_millis().div_ceil(1_000).max(1)
}

/// A call's final answer when it did not run.
pub fn not_run(reason: &str, after: time::Span) -> web::HttpResponse {
    web::HttpResponse::ServiceUnavailable()
        .header(call::OUTCOME, call::Outcome::NotRun.as_str())
        .header(http::header::RETRY_AFTER, seconds(after).to_string())
        .content_type("text/plain")
        .body(format!("not run: {reason}\n"))
}

/// A call's final answer when it may have run.
pub fn unknown(reason: &str) -> web::HttpResponse {
    web::HttpResponse::BadGateway()
        .header(call::OUTCOME, call::Outcome::Unknown.as_str())
        .content_type("text/plain")
        .body(format!("unknown: {reason}\n"))
}

/// A call's answer while another call with its key is in progress or has lost its answer.
pub fn claimed() -> web::HttpResponse {
    web::HttpResponse::Conflict()
        .header(call::OUTCOME, call::Outcome::Unknown.as_str())
        .header(http::header::RETRY_AFTER, "1")
        .content_type("text/plain")
        .body("unknown: another call with this key was sent and has no answer yet\n")
}

/// The stored answer of an earlier call with the same key.
pub fn stored(answer: &call::Response) -> web::HttpResponse {
    let status = http::StatusCode::from_u16(answer.status).unwrap_or(http::StatusCode::OK);
    let mut response = web::HttpResponse::build(status);
    response.header(call::OUTCOME, call::Outcome::Complete.as_str());
    if let Some(content) = &answer.content_type {
        response.header(http::header::CONTENT_TYPE, content.as_str());
    }
    response.body(answer.body.clone())
}

/// The answer to a request that is wrong as it stands.
pub fn bad(detail: &str) -> web::HttpResponse {
    web::HttpResponse::BadRequest()
        .header(call::OUTCOME, call::Outcome::NotRun.as_str())
        .content_type("text/plain")
        .body(format!("{detail}\n"))
}

/// The answer to a request whose body is too large.
pub fn too_large(limit: usize) -> web::HttpResponse {
    web::HttpResponse::PayloadTooLarge()
        .header(call::OUTCOME, call::Outcome::NotRun.as_str())
        .content_type("text/plain")
        .body(format!("not run: the body is larger than {limit} bytes; send a smaller one\n"))
}
