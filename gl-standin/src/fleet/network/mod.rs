//! The network between failure domains: forwarders on loopback, whose traffic can be cut.
//!
//! Connections within a failure domain are direct. Each other connection, and each to the store,
//! passes a forwarder, which has an address of its own for each failure domain of callers.

mod connection;
mod forwarder;

use std::{collections, io, net, thread};

use parking_lot::Mutex;
use tokio::{runtime, sync::watch};

/// What a link does with its traffic.
#[gl_derive::tag]
#[derive(Default)]
pub enum State {
    /// It is delivered.
    #[default]
    Open,
    /// Bytes are delivered once the link is open again, at the time at which TCP would retransmit
    /// them. New connections are established then, if the caller still waits.
    Held,
    /// Connections are reset, new ones after they were accepted.
    Reset,
    /// Connections are reset, and new ones are refused.
    Refused,
}

/// The links that a cut affects.
#[gl_derive::tag]
pub enum Scope {
    /// Those to the store and to the other failure domains.
    All,
    /// Those to the other failure domains.
    Domains,
    /// That to the store.
    Store,
}

/// A cut of links of a failure domain.
#[gl_derive::domain]
pub struct Cut {
    /// The index of the failure domain.
    pub domain: usize,
    /// The links.
    pub scope: Scope,
    /// The state of these links.
    pub state: State,
}

/// An end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum End {
    Domain(usize),
    Store,
}

impl Cut {
    fn affects(&self, (one, other): (End, End)) -> bool {
        let domain = End::Domain(self.domain);
        let is_store = other == End::Store;
        (one == domain || other == domain)
            && match self.scope {
                Scope::All => true,
                Scope::Domains => !is_store,
                Scope::Store => is_store,
            }
    }
}

/// The addresses of the forwarders.
#[derive(Default)]
struct Routes {
    /// By the callers' failure domain and the target.
    forwarders: collections::HashMap<(usize, net::SocketAddr), net::SocketAddr>,
    /// The targets of the forwarders.
    targets: collections::HashMap<net::SocketAddr, net::SocketAddr>,
}

/// The links of the failure domains, and the forwarders that carry their traffic.
pub struct Network {
    /// The ends of a link are in ascending order.
    links: collections::BTreeMap<(End, End), watch::Sender<State>>,
    routes: Mutex<Routes>,
    runtime: runtime::Handle,
}

impl Network {
    /// Creates the network of `domains` failure domains. Its forwarders run on a thread of their own
    /// until the process ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub fn start(domains: usize) -> io::Result<Self> {
        let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let run = move || runtime.block_on(std::future::pending::<()>());
        thread::Builder::new().name("network".to_owned()).spawn(run)?;
        let ends = (0..domains).map(End::Domain).chain([End::Store]);
        let others = |one: End| ends.clone().filter(move |other| one < *other);
        let links = ends.clone().flat_map(|one| others(one).map(move |other| (one, other)));
        let links = links.map(|link| (link, watch::Sender::default())).collect();
        Ok(Self { links, routes: Mutex::default(), runtime: handle })
    }

    /// Replaces all cuts by these. A link that several affect is in the last of their states.
    pub fn cut(&self, cuts: &[Cut]) {
        for (link, state) in &self.links {
            let affecting = cuts.iter().filter(|cut| cut.affects(*link));
            let new = affecting.map(|cut| cut.state).max().unwrap_or_default();
            state.send_if_modified(|state| std::mem::replace(state, new) != new);
        }
    }

    /// Returns whether a failure domain reaches the store.
    pub fn reaches_store(&self, domain: usize) -> bool {
        let link = self.links.get(&(End::Domain(domain), End::Store));
        link.is_some_and(|state| *state.borrow() == State::Open)
    }

    /// Starts the forwarder by which callers in the domain `from` reach the store at `target`, and
    /// returns its address.
    ///
    /// # Errors
    ///
    /// Returns an error if no socket can be bound.
    pub fn connect_store(
        &self,
        from: usize,
        target: net::SocketAddr,
    ) -> io::Result<net::SocketAddr> {
        self.forward(from, (End::Domain(from), End::Store), target)
    }

    /// Starts the forwarders by which the other failure domains reach `target` in `domain`.
    ///
    /// # Errors
    ///
    /// Returns an error if no socket can be bound.
    pub fn connect_domains(&self, domain: usize, target: net::SocketAddr) -> io::Result<()> {
        let domains = self.links.keys().filter(|(_, other)| *other == End::Store).count();
        for from in (0..domains).filter(|from| *from != domain) {
            let link = (End::Domain(from.min(domain)), End::Domain(from.max(domain)));
            self.forward(from, link, target)?;
        }
        Ok(())
    }

    /// Returns the address at which callers in the domain `from` reach `target`.
    pub fn address(&self, from: usize, target: net::SocketAddr) -> net::SocketAddr {
        self.routes.lock().forwarders.get(&(from, target)).copied().unwrap_or(target)
    }

    /// Returns the target of the forwarder at `address`, or `address` if there is none.
    pub fn target(&self, address: net::SocketAddr) -> net::SocketAddr {
        self.routes.lock().targets.get(&address).copied().unwrap_or(address)
    }

    fn forward(
        &self,
        from: usize,
        link: (End, End),
        target: net::SocketAddr,
    ) -> io::Result<net::SocketAddr> {
        let state = self.links.get(&link).map(watch::Sender::subscribe);
        let state = state.ok_or_else(|| io::Error::other("no such failure domain"))?;
        let _guard = self.runtime.enter();
        let forwarder = forwarder::Forwarder::bind(state, target)?;
        let address = forwarder.address();
        self.runtime.spawn(forwarder.run());
        let mut routes = self.routes.lock();
        routes.forwarders.insert((from, target), address);
        routes.targets.insert(address, target);
        Ok(address)
    }
}
