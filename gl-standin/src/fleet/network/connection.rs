//! A connection that is forwarded over a link.

use std::{io, net, time};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net as sockets,
    sync::watch,
};

use super::State;

/// The bytes that are read at a time. Further ones wait in the buffers of the sockets.
const BUFFER_BYTES: usize = 8 << 10;
/// The time after which TCP retransmits bytes for the first time. It doubles with each attempt.
const FIRST_RETRANSMISSION: time::Duration = time::Duration::from_millis(200);

/// Why a connection has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It was closed or reset.
    Closed,
    /// Nothing listens at the target.
    TargetRefuses,
}

/// A connection that was accepted from a caller.
pub struct Connection {
    /// The caller's side.
    pub caller: sockets::TcpStream,
    /// The address to which it is forwarded.
    pub target: net::SocketAddr,
    /// The state of the link that carries it.
    pub link: watch::Receiver<State>,
}

/// Returns whether `target` refuses a connection.
pub async fn is_refused(target: net::SocketAddr) -> bool {
    let connected = sockets::TcpStream::connect(target).await;
    connected.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
}

const fn is_broken(state: &State) -> bool {
    matches!(state, State::Reset | State::Refused)
}

impl Connection {
    /// Forwards the connection until it ends.
    pub async fn run(mut self) -> End {
        let Ok(first) = self.wait_until_established().await else {
            return reset(&[&self.caller]);
        };
        let mut target = match sockets::TcpStream::connect(self.target).await {
            Ok(target) => target,
            Err(error) => {
                reset(&[&self.caller]);
                let is_refused = error.kind() == io::ErrorKind::ConnectionRefused;
                return if is_refused { End::TargetRefuses } else { End::Closed };
            }
        };
        let _ = self.caller.set_nodelay(true);
        let _ = target.set_nodelay(true);
        let mut link = self.link.clone();
        let is_closed = {
            let (mut caller_in, mut caller_out) = self.caller.split();
            let (mut target_in, mut target_out) = target.split();
            let request = async {
                target_out.write_all(&first).await?;
                copy(&mut caller_in, &mut target_out, self.link.clone()).await
            };
            let response = copy(&mut target_in, &mut caller_out, self.link.clone());
            tokio::select! {
                _ = link.wait_for(is_broken) => false,
                copied = async { tokio::try_join!(request, response) } => copied.is_ok(),
            }
        };
        if is_closed { End::Closed } else { reset(&[&self.caller, &target]) }
    }

    /// Waits while the link holds traffic, and returns the bytes that the caller has sent meanwhile.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is not established: the link breaks connections, or the
    /// caller has not waited.
    async fn wait_until_established(&mut self) -> io::Result<Vec<u8>> {
        let mut sent = Vec::new();
        let mut buffer = [0; BUFFER_BYTES];
        while *self.link.borrow_and_update() == State::Held {
            tokio::select! {
                changed = self.link.changed() => changed.map_err(io::Error::other)?,
                read = self.caller.read(&mut buffer) => match read? {
                    0 => return Err(io::ErrorKind::ConnectionAborted.into()),
                    count => sent.extend_from_slice(&buffer[..count]),
                },
            }
        }
        if is_broken(&self.link.borrow()) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(sent)
    }
}

/// Has the sockets send a reset when they are closed.
fn reset(sockets: &[&sockets::TcpStream]) -> End {
    for socket in sockets {
        let _ = socket.set_zero_linger();
    }
    End::Closed
}

/// Copies bytes, and the end of the stream, as the link lets them pass.
async fn copy(
    from: &mut sockets::tcp::ReadHalf<'_>,
    to: &mut sockets::tcp::WriteHalf<'_>,
    mut link: watch::Receiver<State>,
) -> io::Result<()> {
    let mut buffer = [0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).await?;
        wait_for_delivery(&mut link).await?;
        if count == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..count]).await?;
    }
}

/// Waits until bytes that are sent now are delivered: at once if the link is open, else with the
/// first retransmission that finds it open.
async fn wait_for_delivery(link: &mut watch::Receiver<State>) -> io::Result<()> {
    let mut interval = FIRST_RETRANSMISSION;
    while *link.borrow_and_update() == State::Held {
        tokio::time::sleep(interval).await;
        interval *= 2;
    }
    if is_broken(&link.borrow()) { Err(io::ErrorKind::ConnectionReset.into()) } else { Ok(()) }
}
