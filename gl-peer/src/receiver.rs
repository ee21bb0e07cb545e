//! The receiving side of the connections from all peers.

use std::{net, sync};

use futures_util::StreamExt as _;
use tokio::sync::mpsc;
use tokio_tungstenite::tungstenite;

use crate::{error, frame, mesh};

/// Accepts connections from peers on `socket` and forwards their frames to `inbox`.
///
/// # Errors
///
/// Returns an error if the socket cannot be used.
pub fn start(
    address: net::SocketAddr,
    socket: net::TcpListener,
    inbox: mpsc::Sender<mesh::Received>,
    traffic: sync::Arc<mesh::Traffic>,
) -> Result<(), error::Error> {
    let to_error = |e: std::io::Error| error::Error::Listen { address, detail: e.to_string() };
    socket.set_nonblocking(true).map_err(to_error)?;
    let socket = tokio::net::TcpListener::from_std(socket).map_err(to_error)?;
    tokio::spawn(async move {
        while !inbox.is_closed() {
            let Ok((stream, _)) = socket.accept().await else {
                continue;
            };
            tokio::spawn(connection(stream, inbox.clone(), sync::Arc::clone(&traffic)));
        }
    });
    Ok(())
}

async fn connection(
    stream: tokio::net::TcpStream,
    inbox: mpsc::Sender<mesh::Received>,
    traffic: sync::Arc<mesh::Traffic>,
) {
    let limits = tungstenite::protocol::WebSocketConfig::default()
        .max_message_size(Some(frame::MAX_BYTES))
        .max_frame_size(Some(frame::MAX_BYTES));
    let accepted = tokio_tungstenite::accept_async_with_config(stream, Some(limits)).await;
    let Ok(mut socket) = accepted else { return };
    let mut from = None;
    while let Some(Ok(message)) = socket.next().await {
        let tungstenite::Message::Binary(bytes) = message else {
            continue;
        };
        traffic.received.fetch_add(bytes.len() as u64, sync::atomic::Ordering::Relaxed);
        // A frame of a newer version that this one cannot decode is skipped.
        let Ok(frame) = frame::decode(&bytes) else {
            continue;
        };
        if let frame::Frame::Hello(row) = &frame {
            from = Some(row.id.clone());
        }
        let Some(from) = from.clone() else { return };
        if inbox.send(mesh::Received { from, frame }).await.is_err() {
            return;
        }
    }
}
