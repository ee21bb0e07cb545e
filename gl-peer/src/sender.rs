//! The sending side of one connection to a peer.

use std::{net, sync, time};

use futures_util::SinkExt as _;
use tokio::sync::mpsc;
use tokio_tungstenite::tungstenite;

use crate::{frame, mesh};

/// The wait before the next attempt to connect to a peer.
const RECONNECT_DELAY: time::Duration = time::Duration::from_millis(500);
/// The time-out for establishing a connection and for sending a frame.
const SEND_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Keeps a connection to `address` and sends the queued frames over it. Frames that are queued
/// while there is no connection are dropped, because the next connection begins with a snapshot.
pub async fn run(
    address: net::SocketAddr,
    hello: frame::Frame,
    snapshot: mesh::Snapshot,
    mut frames: mpsc::Receiver<sync::Arc<Vec<u8>>>,
    traffic: sync::Arc<mesh::Traffic>,
) {
    loop {
        let _ = connection(address, &hello, &snapshot, &mut frames, &traffic).await;
        if frames.is_closed() {
            return;
        }
        tokio::time::sleep(RECONNECT_DELAY).await;
        while frames.try_recv().is_ok() {}
    }
}

/// The reason for which a connection ended. After `TimedOut` and `Failed`, a new one is opened.
enum Disconnect {
    TimedOut,
    Failed,
    Closed,
}

async fn connection(
    address: net::SocketAddr,
    hello: &frame::Frame,
    snapshot: &mesh::Snapshot,
    frames: &mut mpsc::Receiver<sync::Arc<Vec<u8>>>,
    traffic: &mesh::Traffic,
) -> Result<(), Disconnect> {
    let url = format!("ws://{address}/");
    let connected = tokio::time::timeout(SEND_TIMEOUT, tokio_tungstenite::connect_async(url)).await;
    let (mut socket, _) =
        connected.map_err(|_| Disconnect::TimedOut)?.map_err(|_| Disconnect::Failed)?;
    let mut first = vec![hello.clone()];
    first.extend(snapshot());
    for frame in &first {
        let bytes = frame::encode(frame).map_err(|_| Disconnect::Failed)?;
        send(&mut socket, bytes, traffic).await?;
    }
    loop {
        let bytes = frames.recv().await.ok_or(Disconnect::Closed)?;
        send(&mut socket, bytes.as_ref().clone(), traffic).await?;
    }
}

type Socket =
    tokio_tungstenite::WebSocketStream<tokio_tungstenite::MaybeTlsStream<tokio::net::TcpStream>>;

async fn send(
    socket: &mut Socket,
    bytes: Vec<u8>,
    traffic: &mesh::Traffic,
) -> Result<(), Disconnect> {
    traffic.sent.fetch_add(bytes.len() as u64, sync::atomic::Ordering::Relaxed);
    let message = tungstenite::Message::Binary(bytes.into());
    let sent = tokio::time::timeout(SEND_TIMEOUT, socket.send(message)).await;
    sent.map_err(|_| Disconnect::TimedOut)?.map_err(|_| Disconnect::Failed)
}
