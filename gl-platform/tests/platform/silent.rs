//! Connections to the platform that fall silent while new ones work.

use std::{
    io::{Read as _, Write as _},
    net,
    sync::{self, atomic},
    thread,
};

use assert_matches::assert_matches;
use gl_model::time;
use gl_platform::Vms as _;
use ntex::util;

/// The number of connections that are open when all of them fall silent.
const CONNECTIONS: usize = 4;

/// Serves lists of VMs. The first ones are answered once [`CONNECTIONS`] are in progress, and the
/// connections of these stay silent afterwards.
fn server() -> net::SocketAddr {
    let socket = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = socket.local_addr().unwrap();
    let all_open = sync::Arc::new(sync::Barrier::new(CONNECTIONS));
    let accepted = atomic::AtomicUsize::new(0);
    thread::spawn(move || {
        for stream in socket.incoming().map_while(Result::ok) {
            let n = accepted.fetch_add(1, atomic::Ordering::SeqCst);
            let all_open = sync::Arc::clone(&all_open);
            thread::spawn(move || serve(stream, n < CONNECTIONS, &all_open));
        }
    });
    address
}

fn serve(mut stream: net::TcpStream, falls_silent: bool, all_open: &sync::Barrier) {
    const RESPONSE: &[u8] =
        b"HTTP/1.1 200 X\r\ncontent-length: 22\r\n\r\n{\"version\":1,\"vms\":[]}";
    let mut request = [0; 4_096];
    let mut is_first = true;
    while stream.read(&mut request).is_ok_and(|n| n > 0) {
        if falls_silent && is_first {
            all_open.wait();
        }
        if is_first || !falls_silent {
            stream.write_all(RESPONSE).unwrap();
        }
        is_first = false;
    }
}

/// Guards against a daemon that tries one dead connection to the platform after the other, each for
/// a whole time-out, although new connections work.
#[ntex::test]
async fn second_call_after_all_connections_fell_silent_is_answered() {
    let settings =
        gl_platform::Settings { addresses: vec![server()], timeout: time::Span::millis(500) };
    let http = gl_platform::Http::new(settings).await.unwrap();
    let calls = (0..CONNECTIONS).map(|_| http.list());
    for reply in util::join_all(calls).await {
        assert_matches!(reply, Ok(_), "before the silence");
    }
    assert_matches!(http.list().await, Err(gl_platform::Error::Lost { .. }));
    assert_matches!(http.list().await, Ok(_));
}
