//! The receiving side of the connections from all peers.

use std::{net, sync, time};

use futures_util::StreamExt as _;
use gl_intake::budget;
use tokio::sync::mpsc;
use tokio_tungstenite::tungstenite;

use crate::{error, frame, mesh, metered};

/// The memory for frames that are arriving on all connections, in bytes. If it is short, the connection
/// whose frame began first is closed; a frame that is alone may be larger.
const ARRIVING_BYTES: usize = 32 << 20;
/// The most connections that are kept. Further ones wait.
const MAX_CONNECTIONS: usize = 512;
/// The time-out of the handshake of a connection.
const HANDSHAKE_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// The time without a complete frame after which a connection is closed; many times the interval of
/// heartbeats.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// The size of the read buffer of a connection.
const READ_BUFFER_BYTES: usize = 16 << 10;
/// The wait before the next attempt to accept a connection.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(300);

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
    let arriving = budget::Settings::with_limit(ARRIVING_BYTES);
    let budget = sync::Arc::new(budget::Budget::new(arriving));
    let places = sync::Arc::new(tokio::sync::Semaphore::new(MAX_CONNECTIONS));
    tokio::spawn(async move {
        while !inbox.is_closed() {
            let place = sync::Arc::clone(&places).acquire_owned().await;
            let Ok((stream, _)) = socket.accept().await else {
                // Out of file descriptors: other files have to be closed first.
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let arriving = metered::Arriving::new(&budget);
            let (inbox, traffic) = (inbox.clone(), sync::Arc::clone(&traffic));
            tokio::spawn(async move {
                let _place = place;
                tokio::select! {
                    () = connection(stream, &arriving, inbox, traffic) => {}
                    () = arriving.evicted() => {}
                }
            });
        }
    });
    Ok(())
}

async fn connection(
    stream: tokio::net::TcpStream,
    arriving: &sync::Arc<metered::Arriving>,
    inbox: mpsc::Sender<mesh::Received>,
    traffic: sync::Arc<mesh::Traffic>,
) {
    let limits = tungstenite::protocol::WebSocketConfig::default()
        .max_message_size(Some(frame::MAX_BYTES))
        .max_frame_size(Some(frame::MAX_BYTES))
        .read_buffer_size(READ_BUFFER_BYTES);
    let stream = metered::Metered::new(stream, sync::Arc::clone(arriving));
    let accepted = tokio_tungstenite::accept_async_with_config(stream, Some(limits));
    let Ok(Ok(mut socket)) = tokio::time::timeout(HANDSHAKE_TIMEOUT, accepted).await else {
        return;
    };
    let mut from = None;
    while let Ok(Some(Ok(message))) = tokio::time::timeout(IDLE_TIMEOUT, socket.next()).await {
        arriving.complete();
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
