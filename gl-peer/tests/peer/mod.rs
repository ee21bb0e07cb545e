mod rpc;

use std::{net, sync, time};

use gl_model::{daemon, id};
use gl_peer::{
    frame::{self, Frame},
    mesh::{Mesh, Received},
};
use tokio::sync::mpsc;

const LIMIT: time::Duration = time::Duration::from_secs(20);

struct Node {
    mesh: Mesh,
    inbox: mpsc::Receiver<Received>,
    address: net::SocketAddr,
}

fn node(name: &str, socket: net::TcpListener) -> Node {
    let address = socket.local_addr().unwrap();
    let me = daemon::Row {
        id: id::DaemonId::from(name),
        domain: id::DomainId::from("one"),
        listen: address,
        mesh: address,
        config: id::Version(0),
        heartbeat: gl_model::time::Timestamp(0),
    };
    let snapshot = sync::Arc::new(|| vec![Frame::JobsChanged]);
    let (mesh, inbox) = Mesh::start(&me, socket, snapshot).unwrap();
    Node { mesh, inbox, address }
}

fn socket() -> net::TcpListener {
    net::TcpListener::bind("127.0.0.1:0").unwrap()
}

async fn next(node: &mut Node) -> Received {
    tokio::time::timeout(LIMIT, node.inbox.recv()).await.unwrap().unwrap()
}

#[tokio::test]
async fn connection_begins_with_hello_and_a_snapshot() {
    let (first, mut second) = (node("d1", socket()), node("d2", socket()));
    first.mesh.set_peers(&[second.address, first.address]);
    let hello = next(&mut second).await;
    assert_eq!(hello.from, id::DaemonId::from("d1"));
    assert!(matches!(hello.frame, Frame::Hello(_)));
    assert_eq!(next(&mut second).await.frame, Frame::JobsChanged);
    first.mesh.broadcast(&Frame::Bye);
    assert_eq!(next(&mut second).await.frame, Frame::Bye);
}

#[tokio::test]
async fn replaced_peer_gets_hello_again() {
    let first = node("d1", socket());
    let mut second = node("d2", socket());
    let address = second.address;
    first.mesh.set_peers(&[address]);
    next(&mut second).await;
    let (stopped, replacement) = (second, socket());
    drop(stopped);
    // The replacement runs on another VM and therefore has another address.
    let mut second = node("d2", replacement);
    first.mesh.set_peers(&[second.address]);
    assert!(matches!(next(&mut second).await.frame, Frame::Hello(_)));
}

#[tokio::test]
async fn undecodable_frames_are_skipped() {
    use futures_util::SinkExt as _;
    use tokio_tungstenite::tungstenite::Message;
    let mut node = node("d1", socket());
    let url = format!("ws://{}/", node.address);
    let (mut stream, _) = tokio_tungstenite::connect_async(url).await.unwrap();
    stream.send(Message::Binary(vec![0xff, 0x00].into())).await.unwrap();
    let me = daemon::Row {
        id: id::DaemonId::from("raw"),
        domain: id::DomainId::from("one"),
        listen: node.address,
        mesh: node.address,
        config: id::Version(0),
        heartbeat: gl_model::time::Timestamp(0),
    };
    let hello = frame::encode(&Frame::Hello(me)).unwrap();
    stream.send(Message::Binary(hello.into())).await.unwrap();
    assert_eq!(next(&mut node).await.from, id::DaemonId::from("raw"));
}

#[test]
fn truncated_frame_is_not_decoded() {
    let bytes = frame::encode(&Frame::CallCounts(Vec::new())).unwrap();
    assert!(frame::decode(&bytes[..bytes.len() - 1]).is_err());
    assert_eq!(frame::decode(&bytes), Ok(Frame::CallCounts(Vec::new())));
}
