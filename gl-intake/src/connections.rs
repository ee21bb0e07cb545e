//! The connections of one socket.

use std::{cell, collections, rc};

use ntex::{
    io::{self, Io, IoRef},
    service::{Service, ServiceCtx, ServiceFactory},
};

/// The open connections of one thread, and which of them wait for their clients.
///
/// If a connection is opened and there are too many, the connection that has waited longest for its
/// client is closed: for a request, or for the rest of one. Those of clients that send without pauses
/// wait for a short time only.
#[derive(Debug)]
pub struct Connections {
    limit: usize,
    state: cell::RefCell<State>,
}

#[derive(Debug, Default)]
struct State {
    next: u64,
    open: collections::HashMap<io::Id, Connection>,
    /// The connections that wait for their clients, in the order in which they began to.
    waiting: collections::BTreeMap<u64, io::Id>,
    closed: u64,
}

#[derive(Debug)]
struct Connection {
    io: IoRef,
    /// The place in the order of those that wait; `None` while a request is carried out.
    since: Option<u64>,
}

impl State {
    fn wait(&mut self, id: io::Id) {
        let number = self.next;
        self.next += 1;
        if let Some(connection) = self.open.get_mut(&id) {
            if let Some(since) = connection.since.replace(number) {
                self.waiting.remove(&since);
            }
            self.waiting.insert(number, id);
        }
    }

    fn remove(&mut self, id: io::Id) -> Option<Connection> {
        let connection = self.open.remove(&id)?;
        if let Some(since) = connection.since {
            self.waiting.remove(&since);
        }
        Some(connection)
    }
}

impl Connections {
    /// Creates a table for `limit` connections at most.
    pub fn new(limit: usize) -> Self {
        Self { limit, state: cell::RefCell::default() }
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.state.borrow().open.len()
    }

    /// Returns the number of connections that were closed as there were too many.
    pub fn closed(&self) -> u64 {
        self.state.borrow().closed
    }

    /// Adds a connection, and closes others if there are too many. Returns false if none can be
    /// closed.
    fn add(&self, io: IoRef) -> bool {
        let mut state = self.state.borrow_mut();
        while state.open.len() >= self.limit {
            let oldest = state.waiting.first_key_value().map(|(_, id)| *id);
            let Some(connection) = oldest.and_then(|id| state.remove(id)) else {
                return false;
            };
            state.closed += 1;
            connection.io.terminate();
        }
        let id = io.id();
        state.open.insert(id, Connection { io, since: None });
        state.wait(id);
        true
    }

    /// Records that a request on a connection is complete and is carried out until the returned guard
    /// is dropped. The connection is not closed meanwhile.
    pub fn carry_out(self: &rc::Rc<Self>, io: Option<&IoRef>) -> InProgress {
        let id = io.map(IoRef::id);
        let mut state = self.state.borrow_mut();
        let since = id.and_then(|id| state.open.get_mut(&id)?.since.take());
        if let Some(since) = since {
            state.waiting.remove(&since);
        }
        InProgress { connections: rc::Rc::clone(self), id }
    }
}

/// A request that is carried out.
#[derive(Debug)]
pub struct InProgress {
    connections: rc::Rc<Connections>,
    id: Option<io::Id>,
}

impl Drop for InProgress {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.connections.state.borrow_mut().wait(id);
        }
    }
}

/// Removes a connection from the table when it has ended.
struct OpenConnection {
    connections: rc::Rc<Connections>,
    id: io::Id,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.state.borrow_mut().remove(self.id);
    }
}

/// A service for connections, or its factory, that keeps them within the limit of a table.
#[derive(Debug)]
pub struct Limited<S> {
    inner: S,
    connections: rc::Rc<Connections>,
}

impl<S> Limited<S> {
    /// Wraps a service or a factory.
    pub const fn new(inner: S, connections: rc::Rc<Connections>) -> Self {
        Self { inner, connections }
    }
}

impl<F, S, C> ServiceFactory<Io<F>, C> for Limited<S>
where
    F: io::Filter,
    S: ServiceFactory<Io<F>, C>,
    S::Response: Default,
{
    type Response = S::Response;
    type Error = S::Error;
    type Service = Limited<S::Service>;
    type InitError = S::InitError;

    async fn create(&self, config: C) -> Result<Self::Service, Self::InitError> {
        let inner = self.inner.create(config).await?;
        Ok(Limited { inner, connections: rc::Rc::clone(&self.connections) })
    }
}

impl<F, S> Service<Io<F>> for Limited<S>
where
    F: io::Filter,
    S: Service<Io<F>>,
    S::Response: Default,
{
    type Response = S::Response;
    type Error = S::Error;

    async fn call(
        &self,
        io: Io<F>,
        context: ServiceCtx<'_, Self>,
    ) -> Result<Self::Response, Self::Error> {
        if !self.connections.add(io.get_ref()) {
            io.terminate();
            return Ok(S::Response::default());
        }
        let connections = rc::Rc::clone(&self.connections);
        let _open = OpenConnection { connections, id: io.id() };
        context.call(&self.inner, io).await
    }

    ntex::service::forward_ready!(inner);
    ntex::service::forward_poll!(inner);
    ntex::service::forward_shutdown!(inner);
}
