//! Requests to the daemons.

use std::net;

use gl_model::plan;
use ntex::{client, http};
use serde::de;

use crate::error::Error;

/// The largest answer that is read, in bytes.
const ANSWER_LIMIT: usize = 64 << 20;
/// How long an answer may take.
const TIMEOUT: ntex::time::Millis = ntex::time::Millis(15_000);

/// The daemons and the operators' key.
pub struct Api {
    servers: Vec<net::SocketAddr>,
    key: String,
    client: client::Client,
}

/// The body of a daemon's error answer.
#[derive(serde::Deserialize)]
struct Fault {
    message: String,
}

/// The answer to a confirm that came too late.
#[derive(serde::Deserialize)]
struct Stale {
    fault: Fault,
    fresh: Box<plan::Plan>,
}

/// A daemon's answer.
struct Answer {
    status: http::StatusCode,
    body: Vec<u8>,
}

/// What became of a confirm.
pub enum Confirmed {
    /// The plan is in force.
    InForce(Box<plan::Plan>),
    /// Nothing changed; this is a plan made from the present state.
    Stale {
        /// What the daemon said.
        message: String,
        /// The fresh plan.
        fresh: Box<plan::Plan>,
    },
}

impl Api {
    /// A client of the daemons at `servers`.
    pub async fn new(servers: Vec<net::SocketAddr>, key: String) -> Self {
        Self { servers, key, client: client::Client::new().await }
    }

    /// Sends a request to the first daemon that takes a connection.
    async fn send(
        &self,
        method: &http::Method,
        path: &str,
        body: Option<&str>,
    ) -> Result<Answer, Error> {
        let mut detail = Vec::new();
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
                    detail.push(format!("{server}: {error}"));
                }
                Err(error) if *method == http::Method::GET => {
                    detail.push(format!("{server}: {error}"));
                }
                Err(error) => {
                    return Err(Error::Open { detail: format!("{server}: {error}") });
                }
            }
        }
        Err(Error::Unreachable { detail: detail.join("; ") })
    }

    /// Reads `path`.
    ///
    /// # Errors
    ///
    /// If no daemon answers, or it refuses.
    pub async fn get<T: de::DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        parsed(&self.send(&http::Method::GET, path, None).await?)
    }

    /// Sends `body` to `path`.
    ///
    /// # Errors
    ///
    /// If no daemon answers, or it refuses.
    pub async fn post<T: de::DeserializeOwned>(&self, path: &str, body: &str) -> Result<T, Error> {
        parsed(&self.send(&http::Method::POST, path, Some(body)).await?)
    }

    /// Deletes `path`.
    ///
    /// # Errors
    ///
    /// If no daemon answers, or it refuses.
    pub async fn delete<T: de::DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        parsed(&self.send(&http::Method::DELETE, path, None).await?)
    }

    /// Confirms a plan.
    ///
    /// # Errors
    ///
    /// If no daemon answers, or it refuses for another reason than a changed state.
    pub async fn confirm(&self, plan: &str) -> Result<Confirmed, Error> {
        let path = format!("/v1/plans/{plan}/confirm");
        let answer = self.send(&http::Method::POST, &path, Some("")).await?;
        if answer.status == http::StatusCode::CONFLICT
            && let Ok(stale) = serde_json::from_slice::<Stale>(&answer.body)
        {
            let message = stale.fault.message;
            return Ok(Confirmed::Stale { message, fresh: stale.fresh });
        }
        parsed(&answer).map(|plan| Confirmed::InForce(Box::new(plan)))
    }
}

async fn read(response: client::ClientResponse) -> Result<Answer, Error> {
    let status = response.status();
    let body = response.body().limit(ANSWER_LIMIT).await;
    let body = body.map_err(|e| Error::Open { detail: e.to_string() })?.to_vec();
    Ok(Answer { status, body })
}

fn parsed<T: de::DeserializeOwned>(answer: &Answer) -> Result<T, Error> {
    if answer.status.is_success() {
        return serde_json::from_slice(&answer.body).map_err(|e| Error::Refused {
            message: format!("{e}; use a client and daemons of versions that go together"),
        });
    }
    let fault: Option<Fault> = serde_json::from_slice(&answer.body).ok();
    let text = || String::from_utf8_lossy(&answer.body).into_owned();
    let message = fault.map_or_else(text, |fault| fault.message);
    if answer.status == http::StatusCode::CONFLICT {
        return Err(Error::Stale { message });
    }
    Err(Error::Refused { message })
}
