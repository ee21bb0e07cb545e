//! Guards against requests that are reported as unsent although the peer may have received them,
//! against truncated or misattributed responses, and against one unresponsive peer that delays
//! requests to others.

use std::{
    io::{Read as _, Write as _},
    net, thread,
};

use assert_matches::assert_matches;
use ntex::client;

/// Serves connections one after another: reads the request, writes a response, and closes.
fn server(responses: Vec<&'static str>) -> net::SocketAddr {
    let socket = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    thread::spawn(move || {
        for response in responses {
            let (mut stream, _) = socket.accept().unwrap();
            let mut request = Vec::new();
            while !request.ends_with(b"body") {
                let mut chunk = [0; 4_096];
                let length = stream.read(&mut chunk).unwrap();
                request.extend_from_slice(&chunk[..length]);
            }
            stream.write_all(response.as_bytes()).unwrap();
        }
    });
    address
}

async fn post(address: net::SocketAddr) -> Result<Vec<u8>, client::error::ClientError> {
    let client = client::Client::new().await;
    let response = client.post(format!("http://{address}/")).send_body("body").await?;
    let body = response.body().await;
    Ok(body.map(|bytes| bytes.to_vec()).unwrap_or_default())
}

#[ntex::test]
async fn refused_connection_is_unsent() {
    let address = {
        let socket = net::TcpListener::bind("127.0.0.1:0").unwrap();
        socket.local_addr().unwrap()
    };
    let error = post(address).await.unwrap_err();
    assert!(gl_platform::is_unsent(&error), "{error:?}");
}

#[ntex::test]
async fn connection_closed_before_the_response_is_not_unsent() {
    let error = post(server(vec![""])).await.unwrap_err();
    assert!(!gl_platform::is_unsent(&error), "{error:?}");
}

#[ntex::test]
async fn connection_closed_within_the_response_head_is_not_unsent() {
    let error = post(server(vec!["HTTP/1.1 200 OK\r\ncont"])).await.unwrap_err();
    assert!(!gl_platform::is_unsent(&error), "{error:?}");
}

/// Serves one connection: answers `answered` requests, and resets the connection after it has read the
/// next one.
fn resetting_server(answered: usize) -> net::SocketAddr {
    let socket = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = socket.accept().unwrap();
        for n in 0..=answered {
            let mut request = Vec::new();
            while !request.ends_with(b"body") {
                let mut chunk = [0; 4_096];
                let length = stream.read(&mut chunk).unwrap();
                request.extend_from_slice(&chunk[..length]);
            }
            if n < answered {
                stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").unwrap();
            }
        }
        let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build().unwrap();
        let _guard = runtime.enter();
        stream.set_nonblocking(true).unwrap();
        tokio::net::TcpStream::from_std(stream).unwrap().set_zero_linger().unwrap();
    });
    address
}

/// Guards against tasks that run twice where a network resets connections: a worker has received the
/// order, and the owner starts the task elsewhere.
#[ntex::test]
async fn connection_reset_after_the_request_was_read_is_not_unsent() {
    for answered in [0, 1] {
        let address = resetting_server(answered);
        let client = client::Client::new().await;
        for n in 0..=answered {
            let result = client.post(format!("http://{address}/")).send_body("body").await;
            if n < answered {
                assert_matches!(result, Ok(_));
                continue;
            }
            let error = result.unwrap_err();
            assert!(!gl_platform::is_unsent(&error), "after {answered} responses: {error:?}");
        }
    }
}

#[ntex::test]
async fn truncated_response_body_is_an_error() {
    for text in [
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nshort\r\n",
    ] {
        let client = client::Client::new().await;
        let address = server(vec![text]);
        let response = client.post(format!("http://{address}/")).send_body("body").await.unwrap();
        let body = response.body().await;
        assert_matches!(body, Err(_), "{text}");
    }
}

#[ntex::test]
async fn request_after_an_unread_response_gets_its_own_response() {
    let client = client::Client::new().await;
    let first = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst";
    let second = "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nsecond";
    let address = server(vec![first, second]);
    let url = format!("http://{address}/");
    drop(client.post(&url).send_body("body").await.unwrap());
    let response = client.post(&url).send_body("body").await.unwrap();
    assert_eq!(response.body().await.unwrap(), b"second"[..]);
}

/// Serves one request on each of `calls` connections, and responds to none before all have arrived.
fn barrier_server(calls: usize) -> net::SocketAddr {
    let socket = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    thread::spawn(move || {
        let mut streams: Vec<net::TcpStream> =
            (0..calls).map(|_| socket.accept().unwrap().0).collect();
        for stream in &mut streams {
            let mut request = [0; 4_096];
            let _ = stream.read(&mut request).unwrap();
            let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
            stream.write_all(response).unwrap();
        }
    });
    address
}

/// Calls to one backend server run concurrently, each on a connection of its own.
#[ntex::test]
async fn requests_to_one_address_run_concurrently() {
    const CALLS: usize = 24;
    let address = barrier_server(CALLS);
    let client = client::Client::new().await;
    let send = || {
        let request = client.get(format!("http://{address}/")).force_close();
        ntex::rt::spawn(async move { request.send().await.is_ok() })
    };
    let sending: Vec<_> = (0..CALLS).map(|_| send()).collect();
    for call in sending {
        assert!(call.await.unwrap());
    }
}

/// One unresponsive agent must not delay the messages to all others.
#[ntex::test]
async fn messages_to_agents_are_sent_concurrently() {
    use gl_platform::Agents as _;
    const AGENTS: usize = 24;
    let address = barrier_server(AGENTS);
    let http = gl_platform::Http::new(gl_platform::Settings::default()).await.unwrap();
    let message = gl_model::worker::Sync {
        epoch: gl_model::id::Epoch(1),
        seq: 1,
        boot: None,
        until: gl_model::time::Timestamp(0),
        orders: None,
        report_version: 0,
    };
    let send = || {
        let (http, message) = (http.clone(), message.clone());
        ntex::rt::spawn(async move { http.sync(address, &message).await })
    };
    let sending: Vec<_> = (0..AGENTS).map(|_| send()).collect();
    for reply in sending {
        let error = reply.await.unwrap().unwrap_err();
        assert!(!error.to_string().contains("Timeout"), "{error}");
    }
}
