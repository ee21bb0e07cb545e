//! Many connections to the socket at which a daemon serves other daemons.

use std::net;

use gl_standin::crowd;

use super::{LIMITS, check_daemons, check_ordinary_request, run_alone, start};

/// The length of the messages, which is the longest that is accepted from other daemons.
const MESSAGE_BYTES: usize = 1 << 20;

/// Sends unfinished messages on open WebSockets.
pub async fn start_crowd(address: net::SocketAddr, count: usize, length: usize) -> crowd::Crowd {
    let settings = crowd::Settings {
        handshake: Some(crowd::web_socket_handshake()),
        ..crowd::Settings::default()
    };
    let messages = vec![crowd::unfinished_frame(length); count];
    crowd::Crowd::start_with(address, messages, settings).await
}

#[ntex::test]
async fn messages_of_other_daemons_that_lack_their_last_byte() {
    let _alone = run_alone().await;
    let mut hosted = start(1, LIMITS).await;
    let crowd = start_crowd(hosted.daemons[0].mesh_address, 100, MESSAGE_BYTES).await;
    check_ordinary_request(hosted.address(0)).await;
    check_daemons(&mut hosted, LIMITS).await;
    drop(crowd);
}
