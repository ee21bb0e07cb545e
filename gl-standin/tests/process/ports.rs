//! Ports that are reserved for daemons. The test guards against daemons that cannot listen because
//! the system gave their port to a connection of another test.

use std::{io, net};

use assert_matches::assert_matches;
use gl_standin::fleet::ports;

#[ntex::test]
async fn reserved_port_is_given_only_to_the_daemon_that_binds_it() {
    let pair = ports::reserve_port_pair().unwrap();
    for port in [ports::reserve_port().unwrap(), pair, pair + 1] {
        let address = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port));
        // The system chooses ports for other sockets by this check.
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        let refused = socket.bind(address).map_err(|e| e.kind());
        assert_matches!(refused, Err(io::ErrorKind::AddrInUse), "port {port}");
        net::TcpListener::bind(address).unwrap();
    }
}
