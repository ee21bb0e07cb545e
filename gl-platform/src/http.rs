//! The HTTP client of the platform, which sends JSON bodies to paths below `/v1`.

use std::{net, rc};

use gl_model::{time, txn, vm, worker};
use ntex::{client, http, util};
use serde::de;

use crate::{error::Error, pooled, unsent};

/// The largest response body that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// The largest number of simultaneous connections.
const MAX_CONNECTIONS: usize = 8_192;
/// The largest number of rows in one page of a scan.
const PAGE_ROWS: usize = 2_000;

/// Settings of the client.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The addresses of the platform. The next one is tried if one accepts no connection.
    pub addresses: Vec<net::SocketAddr>,
    /// The time within which a reply must be received.
    pub timeout: time::Span,
}

impl Default for Settings {
    fn default() -> Self {
        Self { addresses: Vec::new(), timeout: time::Span::seconds(2) }
    }
}

/// The HTTP client of the platform and the agents.
#[derive(Clone)]
pub struct Http {
    settings: rc::Rc<Settings>,
    pooled: pooled::PooledClient,
}

/// The query that selects one row or object.
#[derive(serde::Serialize)]
struct ByKey<'a> {
    key: &'a str,
}

/// The query that selects a page of rows.
#[derive(serde::Serialize)]
struct ByPrefix<'a> {
    prefix: &'a str,
    after: &'a str,
    limit: usize,
}

impl Http {
    /// Creates a client.
    ///
    /// The client's default limit of a few connections is raised, because with it one unresponsive
    /// agent would delay the messages to all others.
    ///
    /// # Errors
    ///
    /// If the HTTP library refuses its settings.
    pub async fn new(settings: Settings) -> Result<Self, pooled::SetupError> {
        let connector = client::Connector::default().limit(MAX_CONNECTIONS);
        let pooled = pooled::PooledClient::new(connector, ntex::SharedCfg::default()).await?;
        Ok(Self { settings: rc::Rc::new(settings), pooled })
    }

    fn client(&self) -> &client::Client {
        self.pooled.client()
    }

    /// Sends a request to each address in turn until one accepts a connection.
    async fn send_to_platform<T: de::DeserializeOwned>(
        &self,
        operation: &'static str,
        build: impl Fn(net::SocketAddr) -> client::ClientRequest,
        body: Option<String>,
    ) -> Result<T, Error> {
        let mut last = None;
        for address in &self.settings.addresses {
            match self.send(operation, *address, build(*address), body.clone()).await {
                Err(error @ Error::Unreachable { .. }) => last = Some(error),
                other => return other,
            }
        }
        let detail = "no address of the platform is configured".to_owned();
        Err(last.unwrap_or(Error::Unreachable { operation, detail }))
    }

    async fn send<T: de::DeserializeOwned>(
        &self,
        operation: &'static str,
        address: net::SocketAddr,
        request: client::ClientRequest,
        body: Option<String>,
    ) -> Result<T, Error> {
        let result = self.exchange(operation, request, body).await;
        if matches!(result, Err(Error::Lost { .. })) {
            // Connections that answered in the second half of the time-out are known to work.
            let now = ntex::time::now();
            let since = now.checked_sub(std::time::Duration::from(self.settings.timeout) / 2);
            self.pooled.discard_idle(address, since.unwrap_or(now));
        }
        let (status, body) = result?;
        if !status.is_success() {
            return Err(Error::Refused { operation, status: status.as_u16() });
        }
        serde_json::from_slice(&body).map_err(|e| Error::Lost { operation, detail: e.to_string() })
    }

    /// Sends a request and reads the complete response.
    async fn exchange(
        &self,
        operation: &'static str,
        request: client::ClientRequest,
        body: Option<String>,
    ) -> Result<(http::StatusCode, util::Bytes), Error> {
        let millis = u32::try_from(self.settings.timeout.as_millis()).unwrap_or(u32::MAX);
        let request = request.timeout(ntex::time::Millis(millis));
        let sent = match body {
            Some(body) => request.content_type("application/json").send_body(body).await,
            None => request.send().await,
        };
        let response = sent.map_err(|error| send_error(operation, &error))?;
        let status = response.status();
        let lost = |detail: String| Error::Lost { operation, detail };
        let body =
            response.body().limit(MAX_RESPONSE_BYTES).await.map_err(|e| lost(e.to_string()))?;
        Ok((status, body))
    }
}

fn send_error(operation: &'static str, error: &client::error::ClientError) -> Error {
    let detail = error.to_string();
    if unsent::is_unsent(error) {
        Error::Unreachable { operation, detail }
    } else {
        Error::Lost { operation, detail }
    }
}

fn encode<T: serde::Serialize>(operation: &'static str, value: &T) -> Result<String, Error> {
    let unreachable =
        |e: serde_json::Error| Error::Unreachable { operation, detail: e.to_string() };
    serde_json::to_string(value).map_err(unreachable)
}

fn with_query<Q: serde::Serialize>(
    operation: &'static str,
    base: &str,
    query: &Q,
) -> Result<String, Error> {
    let unreachable =
        |e: serde_urlencoded::ser::Error| Error::Unreachable { operation, detail: e.to_string() };
    Ok(format!("{base}?{}", serde_urlencoded::to_string(query).map_err(unreachable)?))
}

#[async_trait::async_trait(?Send)]
impl crate::Table for Http {
    async fn transact(&self, txn: &txn::Txn) -> Result<txn::Outcome, Error> {
        let body = encode("transact", txn)?;
        let build = |address| self.client().post(format!("http://{address}/v1/table/transact"));
        self.send_to_platform("transact", build, Some(body)).await
    }

    async fn read(&self, key: &str) -> Result<Option<txn::Row>, Error> {
        let path = with_query("read", "/v1/table/row", &ByKey { key })?;
        let build = |address| self.client().get(format!("http://{address}{path}"));
        self.send_to_platform("read", build, None).await
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<txn::Row>, Error> {
        let mut rows: Vec<txn::Row> = Vec::new();
        loop {
            let after = rows.last().map_or("", |row| row.key.as_str()).to_owned();
            let read = self.page(prefix, &after, PAGE_ROWS).await?;
            let is_last = read.len() < PAGE_ROWS;
            rows.extend(read);
            if is_last {
                return Ok(rows);
            }
        }
    }

    async fn page(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<txn::Row>, Error> {
        let page = ByPrefix { prefix, after, limit };
        let path = with_query("scan", "/v1/table/scan", &page)?;
        let build = |address| self.client().get(format!("http://{address}{path}"));
        self.send_to_platform("scan", build, None).await
    }
}

/// The body of an object.
#[derive(serde::Serialize, serde::Deserialize)]
struct Body {
    body: String,
}

#[async_trait::async_trait(?Send)]
impl crate::Objects for Http {
    async fn put(&self, key: &str, body: String) -> Result<(), Error> {
        let path = with_query("put", "/v1/object", &ByKey { key })?;
        let body = encode("put", &Body { body })?;
        let build = |address| self.client().put(format!("http://{address}{path}"));
        self.send_to_platform("put", build, Some(body)).await
    }

    async fn get(&self, key: &str) -> Result<Option<String>, Error> {
        let path = with_query("get", "/v1/object", &ByKey { key })?;
        let build = |address| self.client().get(format!("http://{address}{path}"));
        let body: Option<Body> = self.send_to_platform("get", build, None).await?;
        Ok(body.map(|body| body.body))
    }
}

#[async_trait::async_trait(?Send)]
impl crate::Vms for Http {
    async fn list(&self) -> Result<vm::List, Error> {
        let build = |address| self.client().get(format!("http://{address}/v1/vms"));
        self.send_to_platform("list", build, None).await
    }
}

#[async_trait::async_trait(?Send)]
impl crate::Agents for Http {
    async fn sync(
        &self,
        agent: net::SocketAddr,
        message: &worker::Sync,
    ) -> Result<worker::Report, Error> {
        let body = encode("sync", message)?;
        let request = self.client().post(format!("http://{agent}/v1/sync"));
        self.send("sync", agent, request, Some(body)).await
    }
}
