//! Reads the body of a request within a budget.

use std::{sync, time};

use ntex::http;

use crate::budget;

/// The limits of one body.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The largest body, in bytes.
    pub limit: usize,
    /// The length that the request states, in bytes, if it states one.
    pub length: Option<usize>,
    /// The time in which the whole body has to arrive.
    pub timeout: time::Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self { limit: 1 << 20, length: None, timeout: time::Duration::from_secs(30) }
    }
}

/// The error returned by [`read()`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The body is larger than permitted.
    #[error("the body exceeds {limit} bytes; make it smaller")]
    TooLarge {
        /// The largest permitted body, in bytes.
        limit: usize,
    },
    /// The body has not arrived in time.
    #[error("the body has not arrived within {} s; send it without pauses", timeout.as_secs())]
    TooSlow {
        /// The time in which it has to arrive.
        timeout: time::Duration,
    },
    /// The body was given up, as the memory was short.
    #[error("{0}; send the request again later")]
    Evicted(#[from] budget::Evicted),
    /// The connection was closed before the body was complete, or the body is malformed.
    #[error("the body was truncated; send it again")]
    Truncated,
}

impl Error {
    /// Returns the error as a metric label.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::TooLarge { .. } => "too-large",
            Self::TooSlow { .. } => "too-slow",
            Self::Evicted(_) => "memory",
            Self::Truncated => "truncated",
        }
    }
}

/// Returns the length of the body that a request states, in bytes.
pub fn stated_length(headers: &http::HeaderMap) -> Option<usize> {
    headers.get(http::header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// The bytes of a body that the HTTP library may read ahead of [`read()`].
const READ_AHEAD_BYTES: usize = 4 << 10;

/// Bounds what the HTTP library reads ahead of [`read()`], which no budget counts. To be called as soon as
/// the head of the request is known.
pub fn limit_read_ahead(payload: &http::Payload) {
    if let http::Payload::H1(payload) = payload {
        payload.max_buffer_size(READ_AHEAD_BYTES);
    }
}

/// Reads a complete body.
///
/// # Errors
///
/// If the body is too large or too slow, was given up for others, or ends early. What has not been read
/// of `payload` then is left to the caller.
pub async fn read(
    budget: &sync::Arc<budget::Budget>,
    payload: &mut http::Payload,
    options: Options,
) -> Result<budget::Complete, Error> {
    let Options { limit, length, timeout } = options;
    let too_large = Error::TooLarge { limit };
    if length.is_some_and(|length| length > limit) {
        return Err(too_large);
    }
    let expected = length.unwrap_or(limit);
    let body = budget.open();
    let deadline = tokio::time::sleep(timeout);
    tokio::pin!(deadline);
    loop {
        let part = tokio::select! {
            biased;
            () = body.evicted() => return Err(Error::Evicted(budget::Evicted)),
            part = payload.recv() => part,
            () = &mut deadline => return Err(Error::TooSlow { timeout }),
        };
        let Some(part) = part else { break };
        let part = part.map_err(|_| Error::Truncated)?;
        if body.len() + part.len() > limit {
            return Err(too_large);
        }
        body.push(&part, expected)?;
    }
    Ok(body.finish()?)
}
