//! What the client's errors say of a request, seen against a raw socket.

use std::{
    io::{Read as _, Write as _},
    net, thread,
};

use assert_matches::assert_matches;
use ntex::client;

/// Serves connections one after another: reads the request, writes an answer, and closes.
fn server(answers: Vec<&'static str>) -> net::SocketAddr {
    let socket = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    thread::spawn(move || {
        for answer in answers {
            let (mut stream, _) = socket.accept().unwrap();
            let mut request = Vec::new();
            while !request.ends_with(b"body") {
                let mut chunk = [0; 4_096];
                let length = stream.read(&mut chunk).unwrap();
                request.extend_from_slice(&chunk[..length]);
            }
            stream.write_all(answer.as_bytes()).unwrap();
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
async fn a_refused_connection_proves_that_nothing_was_sent() {
    let address = {
        let socket = net::TcpListener::bind("127.0.0.1:0").unwrap();
        socket.local_addr().unwrap()
    };
    let error = post(address).await.unwrap_err();
    assert!(gl_platform::is_unsent(&error), "{error:?}");
}

#[ntex::test]
async fn a_connection_closed_before_the_answer_proves_nothing() {
    let error = post(server(vec![""])).await.unwrap_err();
    assert!(!gl_platform::is_unsent(&error), "{error:?}");
}

#[ntex::test]
async fn a_connection_closed_within_the_head_proves_nothing() {
    let error = post(server(vec!["HTTP/1.1 200 OK\r\ncont"])).await.unwrap_err();
    assert!(!gl_platform::is_unsent(&error), "{error:?}");
}

#[ntex::test]
async fn a_body_that_is_too_short_is_an_error() {
    for answer in [
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nshort\r\n",
    ] {
        let client = client::Client::new().await;
        let address = server(vec![answer]);
        let response = client.post(format!("http://{address}/")).send_body("body").await.unwrap();
        let body = response.body().await;
        assert_matches!(body, Err(_), "{answer}");
    }
}

#[ntex::test]
async fn after_an_answer_dropped_unread_the_next_request_gets_its_own() {
    let client = client::Client::new().await;
    let first = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst";
    let second = "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nsecond";
    let address = server(vec![first, second]);
    let url = format!("http://{address}/");
    drop(client.post(&url).send_body("body").await.unwrap());
    let response = client.post(&url).send_body("body").await.unwrap();
    assert_eq!(response.body().await.unwrap(), b"second"[..]);
}

/// Serves one request on each of `calls` connections, and answers none before all have come.
fn rendezvous(calls: usize) -> net::SocketAddr {
    let socket = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    thread::spawn(move || {
        let mut streams: Vec<net::TcpStream> =
            (0..calls).map(|_| socket.accept().unwrap().0).collect();
        for stream in &mut streams {
            let mut request = [0; 4_096];
            let _ = stream.read(&mut request).unwrap();
            let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
            stream.write_all(answer).unwrap();
        }
    });
    address
}

/// Calls to one backend server run side by side, each on a connection of its own.
#[ntex::test]
async fn requests_to_one_address_do_not_wait_for_each_other() {
    const CALLS: usize = 24;
    let address = rendezvous(CALLS);
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

/// One silent agent must not hold up the messages to all others.
#[ntex::test]
async fn messages_to_many_agents_do_not_wait_for_each_other() {
    use gl_platform::Agents as _;
    const AGENTS: usize = 24;
    let address = rendezvous(AGENTS);
    let http = gl_platform::Http::new(gl_platform::Settings::default()).await;
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
    for answer in sending {
        let error = answer.await.unwrap().unwrap_err();
        assert!(!error.to_string().contains("Timeout"), "{error}");
    }
}
