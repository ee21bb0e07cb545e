//! Loopback ports that are chosen by the system and given to a daemon that starts later.

use std::{io, io::Read as _, net};

/// Reserves a loopback port for the next minute and returns it. A program that binds it explicitly
/// with `SO_REUSEADDR`, as daemons do, gets it; the system gives it to no other socket.
///
/// The reservation is the `TIME_WAIT` state of a connection that this end closed first.
///
/// # Errors
///
/// Returns an error if the system has no free port.
pub fn reserve_port() -> io::Result<u16> {
    reserve(0)
}

/// Reserves two consecutive loopback ports as [`reserve_port()`] does and returns the first.
///
/// # Errors
///
/// Returns an error if the system has no free port.
pub fn reserve_port_pair() -> io::Result<u16> {
    loop {
        let first = reserve_port()?;
        let Some(next) = first.checked_add(1) else { continue };
        if reserve(next).is_ok() {
            return Ok(first);
        }
    }
}

fn reserve(port: u16) -> io::Result<u16> {
    let listener = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, port))?;
    let address = listener.local_addr()?;
    let mut client = net::TcpStream::connect(address)?;
    let (accepted, _) = listener.accept()?;
    drop(accepted);
    // The other end closes second, after it has read the end of the stream.
    client.read_to_end(&mut Vec::new())?;
    Ok(address.port())
}
