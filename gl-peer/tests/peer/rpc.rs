//! Questions and answers between two daemons.

use std::{net, rc, time};

use gl_peer::rpc;

const LIMIT: time::Duration = time::Duration::from_secs(5);

/// Numbers are doubled; odd ones take a while.
struct Doubling;

impl rpc::Protocol for Doubling {
    type Request = u32;
    type Response = u32;
}

fn answerer() -> rpc::Handler<Doubling> {
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

/// Asks until the connection stands.
async fn ask_until_answered(client: &rpc::Client<Doubling>, n: u32) -> u32 {
    let until = time::Instant::now() + LIMIT;
    loop {
        if let Some(answer) = client.request(n, time::Duration::from_millis(500)).await {
            return answer;
        }
        assert!(time::Instant::now() < until, "no answer");
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

#[test]
fn a_slow_answer_does_not_hold_up_others() {
    run(async {
        let (socket, address) = socket();
        rpc::serve::<Doubling>(address, socket, answerer()).unwrap();
        let client = rpc::Client::<Doubling>::new(address);
        assert_eq!(ask_until_answered(&client, 2).await, 4);
        let begun = time::Instant::now();
        let (slow, fast) = tokio::join!(client.request(3, LIMIT), async {
            let answer = client.request(4, LIMIT).await;
            (answer, begun.elapsed())
        });
        assert_eq!((slow, fast.0), (Some(6), Some(8)));
        assert!(fast.1 < begun.elapsed(), "{:?}", fast.1);
    });
}

#[test]
fn an_address_where_nobody_listens_is_told_from_one_that_is_silent() {
    run(async {
        let (socket, address) = socket();
        drop(socket);
        let refused = rpc::Client::<Doubling>::new(address);
        assert_eq!(refused.request(2, time::Duration::from_millis(300)).await, None);
        assert!(refused.is_refused());
        let (_kept, address) = self::socket();
        let silent = rpc::Client::<Doubling>::new(address);
        assert_eq!(silent.request(2, time::Duration::from_millis(300)).await, None);
        assert!(!silent.is_refused());
    });
}

#[test]
fn a_connection_that_went_silent_is_dialled_anew() {
    run(async {
        let (first, address) = socket();
        let client = rpc::Client::<Doubling>::new(address);
        for _ in 0..3 {
            assert_eq!(client.request(2, time::Duration::from_millis(50)).await, None);
        }
        rpc::serve::<Doubling>(address, first, answerer()).unwrap();
        assert_eq!(ask_until_answered(&client, 2).await, 4);
    });
}
