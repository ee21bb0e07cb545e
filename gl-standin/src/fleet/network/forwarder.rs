//! Accepts connections on an address of its own and forwards them to a target.

use std::{io, net, time};

use tokio::{net as sockets, sync::watch};

use super::{State, connection};

/// The number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// The interval at which a target that refuses connections is probed.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// A forwarder of the connections to a target.
pub struct Forwarder {
    /// Keeps the port while nothing listens on it.
    bound: sockets::TcpSocket,
    address: net::SocketAddr,
    target: net::SocketAddr,
    link: watch::Receiver<State>,
}

fn bind(address: net::SocketAddr) -> io::Result<sockets::TcpSocket> {
    let socket = sockets::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

impl Forwarder {
    /// Reserves an address for the connections to `target`, which are carried by a link. Must be
    /// called within a runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if no socket can be bound.
    pub fn bind(link: watch::Receiver<State>, target: net::SocketAddr) -> io::Result<Self> {
        let bound = bind((net::Ipv4Addr::LOCALHOST, 0).into())?;
        let address = bound.local_addr()?;
        Ok(Self { bound, address, target, link })
    }

    /// Returns the address.
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Forwards connections for the life of the process. Nothing listens while the link or the target
    /// refuses connections.
    pub async fn run(mut self) {
        loop {
            while connection::is_refused(self.target).await {
                tokio::time::sleep(PROBE_INTERVAL).await;
            }
            if self.link.wait_for(|state| *state != State::Refused).await.is_err() {
                return;
            }
            match bind(self.bound.local_addr().unwrap_or(self.address))
                .and_then(|s| s.listen(BACKLOG))
            {
                Ok(listener) => self.accept(&listener).await,
                Err(error) => {
                    eprintln!("cannot listen on {}: {error}", self.address);
                    tokio::time::sleep(PROBE_INTERVAL).await;
                }
            }
        }
    }

    /// Accepts connections until the link or the target refuses them.
    async fn accept(&self, listener: &sockets::TcpListener) {
        let (refusals, mut refused) = tokio::sync::mpsc::channel(1);
        let mut link = self.link.clone();
        loop {
            tokio::select! {
                _ = link.wait_for(|state| *state == State::Refused) => return,
                _ = refused.recv() => return,
                accepted = listener.accept() => {
                    let Ok((caller, _)) = accepted else { continue };
                    let connection =
                        connection::Connection { caller, target: self.target, link: self.link.clone() };
                    let refusals = refusals.clone();
                    tokio::spawn(async move {
                        if connection.run().await == connection::End::TargetRefuses {
                            let _ = refusals.try_send(());
                        }
                    });
                }
            }
        }
    }
}
