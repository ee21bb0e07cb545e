//! The check of the operators' key, before the body of a request is read.

use gl_intake::{body, budget, refusal as lingering};
use ntex::web;
use subtle::ConstantTimeEq as _;

use super::{Context, Fault, Kind};

/// Returns the response to a request without the correct key, or `None` if the key is correct.
pub fn refusal(context: &Context, request: &web::HttpRequest) -> Option<web::HttpResponse> {
    let header = request.headers().get(ntex::http::header::AUTHORIZATION);
    let given = header.and_then(|value| value.to_str().ok()?.strip_prefix("Bearer "));
    let expected = context.node.settings.operator_key.as_bytes();
    let is_correct = given.is_some_and(|key| key.as_bytes().ct_eq(expected).into());
    (!is_correct).then(|| {
        let message = "the operators' key is missing or wrong; send the `operator-key` from \
                       the daemons' settings";
        Fault::response(Kind::Unauthorized, message)
    })
}

/// The maximum size in bytes of a request body from an operator.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Reads the body of a request with the correct key.
///
/// # Errors
///
/// Returns the response to a request without the key, or whose body cannot be read.
pub async fn read_body(
    context: &Context,
    request: &web::HttpRequest,
    payload: web::types::Payload,
) -> Result<budget::Complete, web::HttpResponse> {
    let mut payload = payload.into_inner();
    body::limit_read_ahead(&payload);
    if let Some(refusal) = refusal(context, request) {
        return Err(lingering::linger(refusal, payload));
    }
    let length = body::stated_length(request.headers());
    let options = body::Options { limit: MAX_BODY_BYTES, length, ..body::Options::default() };
    body::read(&context.node.bodies, &mut payload, options).await.map_err(|error| {
        context.node.metrics.shed(error.as_str());
        lingering::linger(Fault::response(Kind::Invalid, &error.to_string()), payload)
    })
}
