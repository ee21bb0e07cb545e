//! Handles operators' requests: plans, status, configuration, drains and the burn report.

mod access;
mod burn;
mod config;
mod drain;
mod plans;
mod status;

use std::{rc, sync};

use ntex::web;

use crate::node;

/// The state with which one server thread handles operators' requests.
#[derive(Clone)]
pub struct Context {
    /// The daemon.
    pub node: sync::Arc<node::Node>,
    /// The client of the platform.
    pub platform: rc::Rc<gl_platform::Http>,
}

/// The body of every error response.
#[gl_derive::domain]
pub struct Fault {
    /// The kind of error, for programs.
    pub kind: Kind,
    /// The error and its remedy.
    pub message: String,
}

/// The kinds of errors.
#[gl_derive::tag]
pub enum Kind {
    /// The request is invalid.
    #[serde(rename = "bad")]
    Invalid,
    /// The state has changed since the plan or the configuration was read.
    Stale,
    /// The requested item does not exist.
    #[serde(rename = "missing")]
    NotFound,
    /// The platform cannot be reached or refused the request; nothing was changed.
    Platform,
    /// The platform's reply was lost; the change may be in force.
    #[serde(rename = "open")]
    OutcomeUnknown,
    /// The operators' key is missing or wrong.
    #[serde(rename = "key")]
    Unauthorized,
}

impl Fault {
    /// Returns the response with an error.
    pub fn response(kind: Kind, message: &str) -> web::HttpResponse {
        let mut response = match kind {
            Kind::Invalid => web::HttpResponse::BadRequest(),
            Kind::Stale => web::HttpResponse::Conflict(),
            Kind::NotFound => web::HttpResponse::NotFound(),
            Kind::Platform => web::HttpResponse::ServiceUnavailable(),
            Kind::OutcomeUnknown => web::HttpResponse::GatewayTimeout(),
            Kind::Unauthorized => web::HttpResponse::Unauthorized(),
        };
        response.json(&Self { kind, message: message.to_owned() })
    }

    /// Returns the response to a request that failed without effect.
    pub fn platform_error(error: &gl_platform::Error) -> web::HttpResponse {
        let message = format!("{error}; nothing was changed");
        Self::response(Kind::Platform, &message)
    }

    /// Returns the response to a change that may be in force.
    pub fn outcome_unknown(error: &gl_platform::Error) -> web::HttpResponse {
        let message = format!("{error}; check the state before you repeat the change");
        Self::response(Kind::OutcomeUnknown, &message)
    }
}

async fn healthz() -> &'static str {
    "ok\n"
}

async fn readyz(node: web::types::State<sync::Arc<node::Node>>) -> web::HttpResponse {
    if node.is_ready() {
        web::HttpResponse::Ok().body("ready\n")
    } else {
        web::HttpResponse::ServiceUnavailable().body("not ready\n")
    }
}

async fn metrics(node: web::types::State<sync::Arc<node::Node>>) -> web::HttpResponse {
    web::HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(node.metrics.render())
}

/// Adds the routes for operators.
pub fn routes(config: &mut web::ServiceConfig) {
    config.service((
        web::resource("/healthz").route(web::get().to(healthz)),
        web::resource("/readyz").route(web::get().to(readyz)),
        web::resource("/metrics").route(web::get().to(metrics)),
        web::resource("/v1/plans")
            .route(web::post().to(plans::submit))
            .route(web::get().to(plans::list)),
        web::resource("/v1/plans/{id}").route(web::get().to(plans::show)),
        web::resource("/v1/plans/{id}/confirm").route(web::post().to(plans::confirm)),
        web::resource("/v1/cancel").route(web::post().to(plans::cancel)),
        web::resource("/v1/status").route(web::get().to(status::status)),
        web::resource("/v1/config")
            .route(web::get().to(config::show))
            .route(web::post().to(config::apply)),
        web::resource("/v1/config/history").route(web::get().to(config::history)),
        web::resource("/v1/drain/daemon").route(web::post().to(drain::daemon)),
        web::resource("/v1/drain/vm/{vm}")
            .route(web::post().to(drain::vm))
            .route(web::delete().to(drain::undo)),
        web::resource("/v1/burn").route(web::get().to(burn::burn)),
    ));
}
