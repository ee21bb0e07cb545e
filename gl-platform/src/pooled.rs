//! An HTTP client whose idle connections to one address can be discarded together.
//!
//! Connections can fall silent for good while the peer and new connections work, and often several at
//! once. The client's pool cannot tell a silent connection from an idle one, and a request on it
//! waits for its whole time-out.

use std::{cell, collections, convert, io as std_io, net, rc, time};

use ntex::{client, connect, http, io, service, util};

/// The error returned if an HTTP client cannot be set up.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("cannot set up the HTTP client ({detail}); check the limits of the process")]
pub struct SetupError {
    /// The cause.
    pub detail: String,
}

/// Builds an HTTP client.
///
/// # Errors
///
/// If the HTTP library refuses its settings.
pub async fn build_client(
    connector: client::Connector,
    config: ntex::SharedCfg,
) -> Result<client::Client, SetupError> {
    let built = client::Client::builder().connector::<()>(connector).build(config).await;
    built.map_err(|e| SetupError { detail: e.to_string() })
}

/// An HTTP client that keeps track of its connections.
#[derive(Clone)]
pub struct PooledClient {
    client: client::Client,
    connections: Connections,
}

impl PooledClient {
    /// Creates a client with the limits of `connector`.
    ///
    /// # Errors
    ///
    /// If the HTTP library refuses its settings.
    pub async fn new(
        connector: client::Connector,
        config: ntex::SharedCfg,
    ) -> Result<Self, SetupError> {
        let connections = Connections::default();
        let connector = connector.connector(Connector { connections: connections.clone() });
        Ok(Self { client: build_client(connector, config).await?, connections })
    }

    /// Returns the HTTP client.
    pub const fn client(&self) -> &client::Client {
        &self.client
    }

    /// Closes the idle connections to all addresses that have received nothing since `since`. The pool
    /// by itself closes an idle connection only when the next request to its address would use it.
    pub fn close_idle(&self, since: time::Instant) {
        self.connections.close_idle(since);
    }

    /// Closes the idle connections to `address` that have received nothing since `since`, after a
    /// response was lost. Connections that received something later are known to work, and those
    /// on which a request is in progress are left to its own time-out.
    pub fn discard_idle(&self, address: net::SocketAddr, since: time::Instant) {
        self.connections.discard_idle(address, since);
    }
}

/// The open connections, by the address of the peer.
#[derive(Clone, Default)]
struct Connections(rc::Rc<cell::RefCell<collections::BTreeMap<net::SocketAddr, Vec<Connection>>>>);

struct Connection {
    io: io::IoRef,
    activity: rc::Rc<Activity>,
}

impl Connection {
    /// Closes the connection if it is idle and has received nothing since `since`, and returns whether
    /// it is open.
    fn is_kept(&self, since: time::Instant) -> bool {
        if self.activity.answered_at.get().is_some_and(|at| at < since) {
            self.io.terminate();
        }
        !self.io.is_closed()
    }
}

/// The last activity of a connection.
#[derive(Debug, Default)]
struct Activity {
    /// The time at which data was last received; `None` while a request is unanswered, and before
    /// the first request.
    answered_at: cell::Cell<Option<time::Instant>>,
}

impl Connections {
    fn add(&self, address: net::SocketAddr, connection: Connection) {
        let mut all = self.0.borrow_mut();
        let is_new = !all.contains_key(&address);
        if is_new {
            // Peers that are gone leave only closed connections behind.
            all.retain(|_, open| open.iter().any(|known| !known.io.is_closed()));
        }
        let open = all.entry(address).or_default();
        open.retain(|known| !known.io.is_closed());
        open.push(connection);
    }

    fn discard_idle(&self, address: net::SocketAddr, since: time::Instant) {
        if let Some(open) = self.0.borrow_mut().get_mut(&address) {
            open.retain(|connection| connection.is_kept(since));
        }
    }

    fn close_idle(&self, since: time::Instant) {
        self.0.borrow_mut().retain(|_, open| {
            open.retain(|connection| connection.is_kept(since));
            !open.is_empty()
        });
    }
}

/// Opens connections and records them.
struct Connector {
    connections: Connections,
}

struct ConnectorService {
    inner: connect::ConnectorService<http::Uri>,
    connections: Connections,
}

impl service::ServiceFactory<connect::Connect<http::Uri>, ntex::SharedCfg> for Connector {
    type Response = io::Io<io::Layer<Recorder>>;
    type Error = connect::ConnectError;
    type Service = ConnectorService;
    type InitError = convert::Infallible;

    async fn create(&self, config: ntex::SharedCfg) -> Result<Self::Service, Self::InitError> {
        let inner = connect::ConnectorService::with(config);
        Ok(ConnectorService { inner, connections: self.connections.clone() })
    }
}

impl service::Service<connect::Connect<http::Uri>> for ConnectorService {
    type Response = io::Io<io::Layer<Recorder>>;
    type Error = connect::ConnectError;

    async fn call(
        &self,
        target: connect::Connect<http::Uri>,
        _: service::ServiceCtx<'_, Self>,
    ) -> Result<Self::Response, Self::Error> {
        let io = self.inner.connect(target).await?;
        let peer = io.query::<io::types::PeerAddr>().get();
        let activity = rc::Rc::new(Activity::default());
        let io = io.add_filter(Recorder(rc::Rc::clone(&activity)));
        if let Some(peer) = peer {
            self.connections.add(peer.0, Connection { io: io.get_ref(), activity });
        }
        Ok(io)
    }
}

/// Records the activity of a connection, and passes all data on unchanged.
#[derive(Debug)]
struct Recorder(rc::Rc<Activity>);

impl io::FilterLayer for Recorder {
    fn process_read_buf(&self, buffer: &io::FilterBuf<'_>) -> std_io::Result<()> {
        buffer.with_read_buffers(|received, passed| {
            let Some(received) = received.as_mut().filter(|data| !data.is_empty()) else { return };
            self.0.answered_at.set(Some(ntex::time::now()));
            move_bytes(received, passed);
        });
        Ok(())
    }

    fn process_write_buf(&self, buffer: &io::FilterBuf<'_>) -> std_io::Result<()> {
        buffer.with_write_buffers(|written, passed| {
            if !written.is_empty() {
                self.0.answered_at.set(None);
                written.move_to(passed);
            }
        });
        Ok(())
    }
}

fn move_bytes(from: &mut util::BytesMut, to: &mut util::BytesMut) {
    if to.is_empty() {
        std::mem::swap(from, to);
    } else {
        to.extend_from_slice(from);
        from.clear();
    }
}
