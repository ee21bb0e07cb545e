//! A caller that sends calls through any daemon, checks every answer, and counts by request.

use std::{net, rc, sync, time};

use gl_model::call;
use ntex::client;
use parking_lot::Mutex;

/// The daemons that the platform's balancer sends calls to.
pub type Balancer = sync::Arc<Mutex<Vec<net::SocketAddr>>>;

/// How calls are sent.
#[derive(Clone)]
pub struct Settings {
    /// The daemons; may change meanwhile.
    pub balancer: Balancer,
    /// The service.
    pub service: String,
    /// The start of every request's identity.
    pub name: String,
    /// How many requests.
    pub calls: u32,
    /// The time between two of them.
    pub pause: time::Duration,
    /// How long a backend server takes for one, in milliseconds.
    pub work_ms: u64,
    /// Each call's timeout, in milliseconds.
    pub timeout_ms: u64,
    /// How long a request is tried again before it counts by its last answer.
    pub patience: time::Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            balancer: Balancer::default(),
            service: "booking".to_owned(),
            name: "r".to_owned(),
            calls: 100,
            pause: time::Duration::from_millis(5),
            work_ms: 5,
            timeout_ms: 3_000,
            patience: time::Duration::from_secs(20),
        }
    }
}

/// What became of all requests.
#[gl_derive::domain]
#[derive(Default)]
pub struct Counts {
    /// Requests sent.
    pub sent: u32,
    /// Whole answers to the own request.
    pub complete: u32,
    /// Requests that did not run.
    pub not_run: u32,
    /// Requests that may have run.
    pub unknown: u32,
    /// Requests without any final answer.
    pub lost: u32,
    /// Answers that belong to another request.
    pub wrong: u32,
    /// Connections that ended in the middle of a call.
    pub cut: u32,
    /// Requests that were sent again.
    pub again: u32,
    /// The identities of requests that did not run, for checks against the workers' logs.
    pub unrun: Vec<String>,
}

/// How one try of a request ended.
enum Try {
    Complete,
    NotRun(time::Duration),
    Unknown,
    Claimed,
    Wrong,
    Cut,
    Unreached,
}

/// Connections that are open at once.
const CONNECTIONS: usize = 8_192;

/// Sends all requests and waits for their ends.
pub async fn run(settings: Settings) -> Counts {
    let connector = client::Connector::default().limit(CONNECTIONS);
    let client = client::Client::builder()
        .connector::<()>(connector)
        .disable_timeout()
        .build(ntex::SharedCfg::default())
        .await;
    let Ok(client) = client else {
        return Counts::default();
    };
    let counts = rc::Rc::new(Mutex::new(Counts::default()));
    let mut running = Vec::new();
    let pause = settings.pause;
    for number in 0..settings.calls {
        let (client, settings, counts) = (client.clone(), settings.clone(), counts.clone());
        running.push(ntex::rt::spawn(async move {
            request(&client, &settings, number, &counts).await;
        }));
        ntex::time::sleep(pause).await;
    }
    for request in running {
        let _ = request.await;
    }
    std::mem::take(&mut counts.lock())
}

/// Sends one request until it has a final answer or patience ends. Even numbers are
/// unrepeatable and carry a key, odd ones are repeatable.
async fn request(
    client: &client::Client,
    settings: &Settings,
    number: u32,
    counts: &Mutex<Counts>,
) {
    let name = format!("{}-{number}", settings.name);
    let until = time::Instant::now() + settings.patience;
    let mut last = Try::Unreached;
    counts.lock().sent += 1;
    for round in 0_u32.. {
        if round > 0 {
            counts.lock().again += 1;
        }
        last = once(client, settings, &name, number, round).await;
        if matches!(last, Try::Cut) {
            counts.lock().cut += 1;
        }
        let pause = match &last {
            Try::Complete | Try::Unknown | Try::Wrong => break,
            Try::NotRun(after) => *after,
            Try::Claimed => time::Duration::from_millis(500),
            Try::Cut | Try::Unreached => time::Duration::from_millis(50),
        };
        if time::Instant::now() + pause >= until {
            break;
        }
        ntex::time::sleep(pause).await;
    }
    let mut counts = counts.lock();
    match last {
        Try::Complete => counts.complete += 1,
        Try::NotRun(_) => {
            counts.not_run += 1;
            counts.unrun.push(name);
        }
        Try::Unknown | Try::Claimed => counts.unknown += 1,
        Try::Wrong => counts.wrong += 1,
        Try::Cut | Try::Unreached => counts.lost += 1,
    }
}

async fn once(
    client: &client::Client,
    settings: &Settings,
    name: &str,
    number: u32,
    round: u32,
) -> Try {
    let daemons = settings.balancer.lock().clone();
    if daemons.is_empty() {
        return Try::Unreached;
    }
    let daemon = daemons[(number + round) as usize % daemons.len()];
    let url =
        format!("http://{daemon}/v1/call/{}/echo?work_ms={}", settings.service, settings.work_ms);
    let request = client.post(url).header(call::TIMEOUT, settings.timeout_ms.to_string());
    let request = if number.is_multiple_of(2) {
        request.header(call::REPEAT, "never").header(call::KEY, name)
    } else {
        request.header(call::REPEAT, "safe")
    };
    let response = match request.send_body(name.to_owned()).await {
        Ok(response) => response,
        Err(error) if gl_platform::is_unsent(&error) => return Try::Unreached,
        Err(error) => {
            eprintln!("cut off: {name} round {round} at {daemon}: {error:?}");
            return Try::Cut;
        }
    };
    judge(&response, name).await
}

async fn judge(response: &client::ClientResponse, name: &str) -> Try {
    let header = |name: &str| {
        response.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
    };
    let outcome: Option<call::Outcome> = header(call::OUTCOME).and_then(|text| text.parse().ok());
    let after = header("retry-after").and_then(|text| text.parse().ok());
    let body = match response.body().limit(1 << 20).await {
        Ok(body) => body,
        Err(error) => {
            eprintln!("cut off: {name} in the body: {error:?}");
            return Try::Cut;
        }
    };
    match outcome {
        Some(call::Outcome::Complete) if body == name.as_bytes() => Try::Complete,
        Some(call::Outcome::Complete) | None => {
            eprintln!("wrong answer to {name}: {} {outcome:?} {body:?}", response.status());
            Try::Wrong
        }
        Some(call::Outcome::NotRun) => Try::NotRun(time::Duration::from_secs(after.unwrap_or(1))),
        Some(call::Outcome::Unknown) if after.is_some() => Try::Claimed,
        Some(call::Outcome::Unknown) => Try::Unknown,
    }
}
