//! The responses that a daemon creates itself.

use gl_model::{call, time};
use ntex::{http, web};

/// Returns the seconds for a `Retry-After` header, rounded up.
fn whole_seconds(retry_after: time::Span) -> u64 {
    retry_after.as_millis().div_ceil(1_000).max(1)
}

/// Returns the response to a call that did not run.
pub fn not_run(reason: &str, retry_after: time::Span) -> web::HttpResponse {
    web::HttpResponse::ServiceUnavailable()
        .header(call::OUTCOME, call::Outcome::NotRun.as_str())
        .header(http::header::RETRY_AFTER, whole_seconds(retry_after).to_string())
        .content_type("text/plain")
        .body(format!("not run: {reason}\n"))
}

/// Returns the response to a call that may have run.
pub fn unknown(reason: &str) -> web::HttpResponse {
    web::HttpResponse::BadGateway()
        .header(call::OUTCOME, call::Outcome::Unknown.as_str())
        .content_type("text/plain")
        .body(format!("unknown: {reason}\n"))
}

/// Returns the response to a call whose key is claimed by another call without a stored response:
/// the other call is in progress, or its response was lost.
pub fn in_progress() -> web::HttpResponse {
    web::HttpResponse::Conflict()
        .header(call::OUTCOME, call::Outcome::Unknown.as_str())
        .header(http::header::RETRY_AFTER, "1")
        .content_type("text/plain")
        .body("unknown: another call with this key was sent and has no response yet\n")
}

/// Returns the stored response to an earlier call with the same key.
pub fn stored(earlier: &call::Response) -> web::HttpResponse {
    let status = http::StatusCode::from_u16(earlier.status).unwrap_or(http::StatusCode::OK);
    let mut response = web::HttpResponse::build(status);
    response.header(call::OUTCOME, call::Outcome::Complete.as_str());
    if let Some(content_type) = &earlier.content_type {
        response.header(http::header::CONTENT_TYPE, content_type.as_str());
    }
    response.body(earlier.body.clone())
}

/// Returns the response to an invalid request.
pub fn bad_request(detail: &str) -> web::HttpResponse {
    web::HttpResponse::BadRequest()
        .header(call::OUTCOME, call::Outcome::NotRun.as_str())
        .content_type("text/plain")
        .body(format!("{detail}\n"))
}

/// Returns the response to a request whose body is too large.
pub fn too_large(limit: usize) -> web::HttpResponse {
    web::HttpResponse::PayloadTooLarge()
        .header(call::OUTCOME, call::Outcome::NotRun.as_str())
        .content_type("text/plain")
        .body(format!("not run: the body is larger than {limit} bytes; send a smaller one\n"))
}
