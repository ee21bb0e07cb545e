//! The sending side of one connection.

use std::{net, sync, time};

use futures_util::SinkExt as _;
use tokio::sync::mpsc;
use tokio_tungstenite::tungstenite;

use crate::{frame, mesh};

/// The wait before a peer is dialled again.
const REDIAL: time::Duration = time::Duration::from_millis(500);
/// How long a connection or a message may take.
const SEND_LIMIT: time::Duration = time::Duration::from_secs(2);

/// Keeps a connection to `address` and sends the queued frames over it. Frames that come while
/// there is no connection are dropped, as the greeting states all that is known.
pub async fn run(
    address: net::SocketAddr,
    hello: frame::Frame,
    greeting: mesh::Snapshot,
    mut frames: mpsc::Receiver<sync::Arc<Vec<u8>>>,
    traffic: sync::Arc<mesh::Traffic>,
) {
    loop {
        let _ = connection(address, &hello, &greeting, &mut frames, &traffic).await;
        if frames.is_closed() {
            return;
        }
        tokio::time::sleep(REDIAL).await;
        while frames.try_recv().is_ok() {}
    }
}

/// Why a connection ended; there is nothing to do about any of it but to dial again.
enum End {
    Slow,
    Broken,
    Closed,
}

async fn connection(
    address: net::SocketAddr,
    hello: &frame::Frame,
    greeting: &mesh::Snapshot,
    frames: &mut mpsc::Receiver<sync::Arc<Vec<u8>>>,
    traffic: &mesh::Traffic,
) -> Result<(), End> {
    let url = format!("ws://{address}/");
    let dialled = tokio::time::timeout(SEND_LIMIT, tokio_tungstenite::connect_async(url)).await;
    let (mut socket, _) = dialled.map_err(|_| End::Slow)?.map_err(|_| End::Broken)?;
    let mut first = vec![hello.clone()];
    first.extend(greeting());
    for frame in &first {
        let bytes = frame::encode(frame).map_err(|_| End::Broken)?;
        send(&mut socket, bytes, traffic).await?;
    }
    loop {
        let bytes = frames.recv().await.ok_or(End::Closed)?;
        send(&mut socket, bytes.as_ref().clone(), traffic).await?;
    }
}

type Socket =
    tokio_tungstenite::WebSocketStream<tokio_tungstenite::MaybeTlsStream<tokio::net::TcpStream>>;

async fn send(socket: &mut Socket, bytes: Vec<u8>, traffic: &mesh::Traffic) -> Result<(), End> {
    traffic.sent.fetch_add(bytes.len() as u64, sync::atomic::Ordering::Relaxed);
    let message = tungstenite::Message::Binary(bytes.into());
    let sent = tokio::time::timeout(SEND_LIMIT, socket.send(message)).await;
    sent.map_err(|_| End::Slow)?.map_err(|_| End::Broken)
}
