//! Cuts of the stand-in's network. The tests guard against process tests in which a cut is none.

use std::{io, io::Read as _, io::Write as _, net, thread, time};

use gl_standin::fleet::network::{Cut, Network, Scope, State};

const CUT: time::Duration = time::Duration::from_millis(500);

/// A target in the failure domain 1, and the address at which the domain 0 reaches it.
struct Link {
    network: Network,
    target: net::TcpListener,
    address: net::SocketAddr,
}

impl Link {
    fn new() -> Self {
        let network = Network::start(2).unwrap();
        let target = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).unwrap();
        let real = target.local_addr().unwrap();
        network.connect_domains(1, real).unwrap();
        let address = network.address(0, real);
        assert_ne!(address, real);
        assert_eq!(network.target(address), real);
        assert_eq!(network.address(1, real), real, "connections within a domain are direct");
        let link = Self { network, target, address };
        link.wait_until(|connected| connected.is_ok());
        link
    }

    /// Tries to connect until the outcome is the expected one.
    fn wait_until(&self, is_expected: impl Fn(io::Result<net::TcpStream>) -> bool) {
        let deadline = time::Instant::now() + time::Duration::from_secs(5);
        while !is_expected(net::TcpStream::connect(self.address)) {
            assert!(time::Instant::now() < deadline, "the link does not change");
            thread::sleep(time::Duration::from_millis(5));
        }
    }

    fn set(&self, state: State) {
        self.network.cut(&[Cut { domain: 1, scope: Scope::Domains, state }]);
    }

    /// Opens a connection through which a byte has passed; returns both ends.
    fn connect(&self) -> (net::TcpStream, net::TcpStream) {
        let mut caller = net::TcpStream::connect(self.address).unwrap();
        caller.write_all(b"a").unwrap();
        // The target may have accepted probes before, which are closed.
        loop {
            let (mut accepted, _) = self.target.accept().unwrap();
            if accepted.read_exact(&mut [0]).is_ok() {
                return (caller, accepted);
            }
        }
    }
}

#[test]
fn bytes_on_a_held_link_arrive_once_it_is_open_again() {
    let link = Link::new();
    let (mut caller, mut target) = link.connect();
    link.set(State::Held);
    // The caller has given up, but what it has sent is still transmitted.
    caller.write_all(b"b").unwrap();
    drop(caller);
    target.set_read_timeout(Some(CUT)).unwrap();
    let mut byte = [0];
    let read = target.read(&mut byte).map_err(|e| e.kind());
    assert_eq!(read, Err(io::ErrorKind::WouldBlock));
    link.network.cut(&[]);
    target.set_read_timeout(None).unwrap();
    assert_eq!(target.read(&mut byte).unwrap(), 1);
    assert_eq!(byte, *b"b");
    assert_eq!(target.read(&mut byte).unwrap(), 0, "the stream ends");
}

#[test]
fn connection_that_was_given_up_on_a_held_link_is_never_established() {
    let link = Link::new();
    link.set(State::Held);
    let mut abandoned = net::TcpStream::connect(link.address).unwrap();
    abandoned.write_all(b"b").unwrap();
    drop(abandoned);
    thread::sleep(CUT);
    link.network.cut(&[]);
    let (mut caller, mut target) = link.connect();
    target.write_all(b"c").unwrap();
    let mut byte = [0];
    caller.read_exact(&mut byte).unwrap();
    assert_eq!(byte, *b"c");
}

#[test]
fn reset_link_ends_connections_and_refused_link_accepts_none() {
    let link = Link::new();
    for state in [State::Reset, State::Refused] {
        let (mut caller, mut target) = link.connect();
        link.set(state);
        for end in [&mut caller, &mut target] {
            let read = end.read(&mut [0]).map_err(|e| e.kind());
            assert_eq!(read, Err(io::ErrorKind::ConnectionReset), "{state:?}");
        }
        if state == State::Refused {
            let refused = io::ErrorKind::ConnectionRefused;
            link.wait_until(|connected| connected.is_err_and(|e| e.kind() == refused));
        }
        link.network.cut(&[]);
        link.wait_until(|connected| connected.is_ok());
    }
}

#[test]
fn target_that_refuses_connections_refuses_them_through_the_network() {
    let link = Link::new();
    let real = link.target.local_addr().unwrap();
    let Link { network, target, address } = link;
    drop(target);
    let unbound = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).unwrap();
    let link = Link { network, target: unbound, address };
    let refused = io::ErrorKind::ConnectionRefused;
    link.wait_until(|connected| connected.is_err_and(|e| e.kind() == refused));
    let _target = net::TcpListener::bind(real).unwrap();
    link.wait_until(|connected| connected.is_ok());
}

#[test]
fn cut_of_the_store_leaves_the_links_between_failure_domains_open() {
    let network = Network::start(3).unwrap();
    network.cut(&[Cut { domain: 1, scope: Scope::Store, state: State::Held }]);
    assert_eq!([0, 1, 2].map(|domain| network.reaches_store(domain)), [true, false, true]);
    network.cut(&[Cut { domain: 1, scope: Scope::Domains, state: State::Held }]);
    assert!(network.reaches_store(1));
    network.cut(&[Cut { domain: 1, scope: Scope::All, state: State::Held }]);
    assert!(!network.reaches_store(1));
}
