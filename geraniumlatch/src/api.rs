//! HTTP requests to the daemons.

use std::net;

use gl_model::plan;
use ntex::{client, http};
use serde::de;

use crate::error::Error;

/// The largest response that is accepted, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// The time-out of a request.
const TIMEOUT: ntex::time::Millis = ntex::time::Millis(15_000);

/// A client of the daemons' operator interface.
pub struct Api {
    servers: Vec<net::SocketAddr>,
    key: String,
    client: client::Client,
}

/// The body of a daemon's error response.
#[derive(serde::Deserialize)]
struct ErrorBody {
    message: String,
}

/// The body of the response to the confirmation of a plan whose state has changed.
#[derive(serde::Deserialize)]
struct StaleBody {
    fault: ErrorBody,
    fresh: Box<plan::Plan>,
}

/// A daemon's response.
struct Response {
    status: http::StatusCode,
    body: Vec<u8>,
}

/// The result of a confirmation.
pub enum Confirmation {
    /// The plan is in force.
    InForce(Box<plan::Plan>),
    /// Nothing was changed, because the state has changed since the plan was made.
    Stale {
        /// The message of the daemon.
        message: String,
        /// A new plan, made from the current state.
        fresh: Box<plan::Plan>,
    },
}

impl Api {
    /// Returns a client of the daemons at `servers`.
    pub async fn new(servers: Vec<net::SocketAddr>, key: String) -> Self {
        Self { servers, key, client: client::Client::new().await }
    }

    /// Sends a request to the first daemon that accepts a connection. After an error, a read is
    /// sent to the next daemon; a change only if it was certainly not sent, because otherwise it
    /// may have taken effect.
    async fn send(
        &self,
        method: &http::Method,
        path: &str,
        body: Option<&str>,
    ) -> Result<Response, Error> {
        let mut errors = Vec::new();
        for server in &self.servers {
            let request = self
                .client
                .request(method.clone(), format!("http://{server}{path}"))
                .bearer_auth(&self.key)
                .timeout(TIMEOUT);
            let sent = match body {
                Some(body) => {
                    request.content_type("application/json").send_body(body.to_owned()).await
                }
                None => request.send().await,
            };
            match sent {
                Ok(response) => return read(response).await,
                Err(error) if gl_platform::is_unsent(&error) => {
                    errors.push(format!("{server}: {error}"));
                }
                Err(error) if *method == http::Method::GET => {
                    errors.push(format!("{server}: {error}"));
                }
                Err(error) => {
                    return Err(Error::ResponseLost { detail: format!("{server}: {error}") });
                }
            }
        }
        Err(Error::Unreachable { detail: errors.join("; ") })
    }

    /// Sends a GET request to `path`.
    ///
    /// # Errors
    ///
    /// Returns an error if no daemon responds, or it refuses the request.
    pub async fn get<T: de::DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        decode(&self.send(&http::Method::GET, path, None).await?)
    }

    /// Sends a POST request with `body` to `path`.
    ///
    /// # Errors
    ///
    /// Returns an error if no daemon responds, or it refuses the request.
    pub async fn post<T: de::DeserializeOwned>(&self, path: &str, body: &str) -> Result<T, Error> {
        decode(&self.send(&http::Method::POST, path, Some(body)).await?)
    }

    /// Sends a DELETE request to `path`.
    ///
    /// # Errors
    ///
    /// Returns an error if no daemon responds, or it refuses the request.
    pub async fn delete<T: de::DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        decode(&self.send(&http::Method::DELETE, path, None).await?)
    }

    /// Confirms a plan.
    ///
    /// # Errors
    ///
    /// Returns an error if no daemon responds, or it refuses for another reason than a changed
    /// state.
    pub async fn confirm(&self, plan: &str) -> Result<Confirmation, Error> {
        let path = format!("/v1/plans/{plan}/confirm");
        let response = self.send(&http::Method::POST, &path, Some("")).await?;
        if response.status == http::StatusCode::CONFLICT
            && let Ok(stale) = serde_json::from_slice::<StaleBody>(&response.body)
        {
            let message = stale.fault.message;
            return Ok(Confirmation::Stale { message, fresh: stale.fresh });
        }
        decode(&response).map(|plan| Confirmation::InForce(Box::new(plan)))
    }
}

async fn read(response: client::ClientResponse) -> Result<Response, Error> {
    let status = response.status();
    let body = response.body().limit(MAX_RESPONSE_BYTES).await;
    let body = body.map_err(|e| Error::ResponseLost { detail: e.to_string() })?.to_vec();
    Ok(Response { status, body })
}

fn decode<T: de::DeserializeOwned>(response: &Response) -> Result<T, Error> {
    if response.status.is_success() {
        return serde_json::from_slice(&response.body).map_err(|e| Error::Refused {
            message: format!("{e}; use compatible versions of the client and the daemons"),
        });
    }
    let error: Option<ErrorBody> = serde_json::from_slice(&response.body).ok();
    let text = || String::from_utf8_lossy(&response.body).into_owned();
    let message = error.map_or_else(text, |error| error.message);
    if response.status == http::StatusCode::CONFLICT {
        return Err(Error::Stale { message });
    }
    Err(Error::Refused { message })
}
