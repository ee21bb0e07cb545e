//! The platform's HTTP interface: JSON bodies on the paths below `/v1`.

use std::{net, rc};

use gl_model::{time, txn, vm, worker};
use ntex::client;
use serde::de;

use crate::{error::Error, unsent};

/// The largest answer that is read, in bytes.
const ANSWER_LIMIT: usize = 64 << 20;
/// Connections that are open at once.
const CONNECTIONS: usize = 8_192;
/// The rows that one page of a scan holds at most.
const PAGE_ROWS: usize = 2_000;

/// How the client is set up.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The platform's addresses; the next one is tried when one takes no connection.
    pub addresses: Vec<net::SocketAddr>,
    /// How long an answer may take.
    pub timeout: time::Span,
}

impl Default for Settings {
    fn default() -> Self {
        Self { addresses: Vec::new(), timeout: time::Span::seconds(2) }
    }
}

/// The platform and the agents, by HTTP.
#[derive(Clone)]
pub struct Http {
    settings: rc::Rc<Settings>,
    client: client::Client,
}

/// Which row to read.
#[derive(serde::Serialize)]
struct ByKey<'a> {
    key: &'a str,
}

/// Which rows to read.
#[derive(serde::Serialize)]
struct ByPrefix<'a> {
    prefix: &'a str,
    after: &'a str,
    limit: usize,
}

impl Http {
    /// A client for the platform.
    ///
    /// The client's own limit of a few connections is lifted, as one silent agent would hold up
    /// the messages to all others.
    pub async fn new(settings: Settings) -> Self {
        let connector = client::Connector::default().limit(CONNECTIONS);
        let built = client::Client::builder().connector::<()>(connector);
        let client = match built.build(ntex::SharedCfg::default()).await {
            Ok(client) => client,
            Err(_) => client::Client::new().await,
        };
        Self { settings: rc::Rc::new(settings), client }
    }

    /// Sends a request to each address in turn until one takes a connection.
    async fn platform<T: de::DeserializeOwned>(
        &self,
        operation: &'static str,
        make: impl Fn(net::SocketAddr) -> client::ClientRequest,
        body: Option<String>,
    ) -> Result<T, Error> {
        let mut last = None;
        for address in &self.settings.addresses {
            match self.send(operation, make(*address), body.clone()).await {
                Err(error @ Error::Unreachable { .. }) => last = Some(error),
                other => return other,
            }
        }
        let detail = "no address is given".to_owned();
        Err(last.unwrap_or(Error::Unreachable { operation, detail }))
    }

    async fn send<T: de::DeserializeOwned>(
        &self,
        operation: &'static str,
        request: client::ClientRequest,
        body: Option<String>,
    ) -> Result<T, Error> {
        let millis = u32::try_from(self.settings.timeout.as_millis()).unwrap_or(u32::MAX);
        let request = request.timeout(ntex::time::Millis(millis));
        let sent = match body {
            Some(body) => request.content_type("application/json").send_body(body).await,
            None => request.send().await,
        };
        let response = sent.map_err(|error| unsent(operation, &error))?;
        let status = response.status();
        let lost = |detail: String| Error::Lost { operation, detail };
        let body = response.body().limit(ANSWER_LIMIT).await.map_err(|e| lost(e.to_string()))?;
        if !status.is_success() {
            return Err(Error::Refused { operation, status: status.as_u16() });
        }
        serde_json::from_slice(&body).map_err(|e| lost(e.to_string()))
    }
}

fn unsent(operation: &'static str, error: &client::error::ClientError) -> Error {
    let detail = error.to_string();
    if unsent::is_unsent(error) {
        Error::Unreachable { operation, detail }
    } else {
        Error::Lost { operation, detail }
    }
}

fn json<T: serde::Serialize>(operation: &'static str, value: &T) -> Result<String, Error> {
    let unsent = |e: serde_json::Error| Error::Unreachable { operation, detail: e.to_string() };
    serde_json::to_string(value).map_err(unsent)
}

fn path<Q: serde::Serialize>(
    operation: &'static str,
    base: &str,
    query: &Q,
) -> Result<String, Error> {
    let unsent =
        |e: serde_urlencoded::ser::Error| Error::Unreachable { operation, detail: e.to_string() };
    Ok(format!("{base}?{}", serde_urlencoded::to_string(query).map_err(unsent)?))
}

#[async_trait::async_trait(?Send)]
impl crate::Table for Http {
    async fn transact(&self, txn: &txn::Txn) -> Result<txn::Outcome, Error> {
        let body = json("transact", txn)?;
        let make = |address| self.client.post(format!("http://{address}/v1/table/transact"));
        self.platform("transact", make, Some(body)).await
    }

    async fn read(&self, key: &str) -> Result<Option<txn::Row>, Error> {
        let path = path("read", "/v1/table/row", &ByKey { key })?;
        let make = |address| self.client.get(format!("http://{address}{path}"));
        self.platform("read", make, None).await
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
        let path = path("scan", "/v1/table/scan", &page)?;
        let make = |address| self.client.get(format!("http://{address}{path}"));
        self.platform("scan", make, None).await
    }
}

/// An object's body.
#[derive(serde::Serialize, serde::Deserialize)]
struct Body {
    body: String,
}

#[async_trait::async_trait(?Send)]
impl crate::Objects for Http {
    async fn put(&self, key: &str, body: String) -> Result<(), Error> {
        let path = path("put", "/v1/object", &ByKey { key })?;
        let body = json("put", &Body { body })?;
        let make = |address| self.client.put(format!("http://{address}{path}"));
        self.platform("put", make, Some(body)).await
    }

    async fn get(&self, key: &str) -> Result<Option<String>, Error> {
        let path = path("get", "/v1/object", &ByKey { key })?;
        let make = |address| self.client.get(format!("http://{address}{path}"));
        let body: Option<Body> = self.platform("get", make, None).await?;
        Ok(body.map(|body| body.body))
    }
}

#[async_trait::async_trait(?Send)]
impl crate::Vms for Http {
    async fn list(&self) -> Result<vm::List, Error> {
        let make = |address| self.client.get(format!("http://{address}/v1/vms"));
        self.platform("list", make, None).await
    }
}

#[async_trait::async_trait(?Send)]
impl crate::Agents for Http {
    async fn sync(
        &self,
        agent: net::SocketAddr,
        message: &worker::Sync,
    ) -> Result<worker::Report, Error> {
        let body = json("sync", message)?;
        let request = self.client.post(format!("http://{agent}/v1/sync"));
        self.send("sync", request, Some(body)).await
    }
}
