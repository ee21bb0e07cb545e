//! Guards against requests that block each other, and against connections that stay in use although
//! the peer no longer responds.

use std::{net, rc, time};

use gl_peer::rpc;

const LIMIT: time::Duration = time::Duration::from_secs(5);

/// A protocol whose responses are the doubled requests; odd numbers are handled slowly.
struct Doubling;

impl rpc::Protocol for Doubling {
    type Request = u32;
    type Response = u32;
}

fn handler() -> rpc::Handler<Doubling> {
    rc::Rc::new(|n: u32| {
        Box::pin(async move {
            if n % 2 == 1 {
                tokio::time::sleep(time::Duration::from_millis(200)).await;
            }
            n * 2
        })
    })
}

fn socket() -> (net::TcpListener, net::SocketAddr) {
    let socket = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = socket.local_addr().unwrap();
    (socket, address)
}

/// Repeats a request until the connection is established and the response arrives.
async fn request_until_answered(client: &rpc::Client<Doubling>, n: u32) -> u32 {
    let until = time::Instant::now() + LIMIT;
    loop {
        if let Some(response) = client.request(n, time::Duration::from_millis(500)).await {
            return response;
        }
        assert!(time::Instant::now() < until, "no response");
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

#[test]
fn slow_response_does_not_delay_others() {
    run(async {
        let (socket, address) = socket();
        rpc::serve::<Doubling>(address, socket, handler()).unwrap();
        let client = rpc::Client::<Doubling>::new(address);
        assert_eq!(request_until_answered(&client, 2).await, 4);
        let started = time::Instant::now();
        let (slow, fast) = tokio::join!(client.request(3, LIMIT), async {
            let response = client.request(4, LIMIT).await;
            (response, started.elapsed())
        });
        assert_eq!((slow, fast.0), (Some(6), Some(8)));
        assert!(fast.1 < started.elapsed(), "{:?}", fast.1);
    });
}

#[test]
fn refused_connection_is_distinguished_from_an_unresponsive_peer() {
    run(async {
        let (socket, address) = socket();
        drop(socket);
        let refused = rpc::Client::<Doubling>::new(address);
        assert_eq!(refused.request(2, time::Duration::from_millis(300)).await, None);
        assert!(refused.is_refused());
        let (_kept, address) = self::socket();
        let unresponsive = rpc::Client::<Doubling>::new(address);
        assert_eq!(unresponsive.request(2, time::Duration::from_millis(300)).await, None);
        assert!(!unresponsive.is_refused());
    });
}

#[test]
fn end_of_a_connection_is_notified_at_once() {
    run(async {
        let (socket, address) = socket();
        let client = rpc::Client::<Doubling>::new(address);
        let disconnected = client.disconnected();
        let (stream, _) = {
            socket.set_nonblocking(true).unwrap();
            tokio::net::TcpListener::from_std(socket).unwrap().accept().await.unwrap()
        };
        let server = tokio_tungstenite::accept_async(stream).await.unwrap();
        drop(server);
        assert!(tokio::time::timeout(LIMIT, disconnected.notified()).await.is_ok());
        assert!(rpc::is_refused(address).await, "nothing listens any more");
    });
}

#[test]
fn client_reconnects_after_unanswered_requests() {
    run(async {
        let (first, address) = socket();
        let client = rpc::Client::<Doubling>::new(address);
        for _ in 0..3 {
            assert_eq!(client.request(2, time::Duration::from_millis(50)).await, None);
        }
        rpc::serve::<Doubling>(address, first, handler()).unwrap();
        assert_eq!(request_until_answered(&client, 2).await, 4);
    });
}
