//! The check of the operators' key.

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
