//! A caller that sends calls through any of the daemons, checks every response, and counts the
//! final outcomes of its requests.

use std::{net, rc, sync, time};

use gl_model::call;
use ntex::client;
use parking_lot::Mutex;

/// The addresses of the daemons that the platform's load balancer forwards calls to.
pub type Balancer = sync::Arc<Mutex<Vec<net::SocketAddr>>>;

/// Settings of a caller.
#[derive(Clone)]
pub struct Settings {
    /// The daemons to send to; the list may change while the caller runs.
    pub balancer: Balancer,
    /// The service to call.
    pub service: String,
    /// The prefix of the identities of all requests.
    pub prefix: String,
    /// The number of requests.
    pub calls: u32,
    /// The time between the starts of two consecutive requests.
    pub interval: time::Duration,
    /// The time that a backend server takes for a request, in milliseconds.
    pub work_ms: u64,
    /// The time-out of each call, in milliseconds.
    pub timeout_ms: u64,
    /// The time during which a request is retried; after that, its last outcome counts.
    pub retry_timeout: time::Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            balancer: Balancer::default(),
            service: "booking".to_owned(),
            prefix: "r".to_owned(),
            calls: 100,
            interval: time::Duration::from_millis(5),
            work_ms: 5,
            timeout_ms: 3_000,
            retry_timeout: time::Duration::from_secs(20),
        }
    }
}

/// The number of requests by outcome.
#[gl_derive::domain]
#[derive(Default)]
pub struct Counts {
    /// Requests sent, not counting retries.
    pub sent: u32,
    /// Requests that received their own complete response.
    pub complete: u32,
    /// Requests that were reported not to have run.
    pub not_run: u32,
    /// Requests whose outcome is unknown: they may have run.
    pub unknown: u32,
    /// Requests without a final response.
    pub lost: u32,
    /// Requests that got another request's response, or a response without an outcome.
    #[serde(rename = "wrong")]
    pub mixed_up: u32,
    /// Connections that were closed during a call.
    #[serde(rename = "cut")]
    pub cut_off: u32,
    /// Retries of requests.
    #[serde(rename = "again")]
    pub retries: u32,
    /// The identities of the requests that were reported not to have run, to be checked against the
    /// workers' logs.
    #[serde(rename = "unrun")]
    pub unexecuted: Vec<String>,
}

/// The outcome of one attempt at a request.
enum AttemptOutcome {
    /// The response is complete and belongs to the request.
    Complete,
    /// The call did not run; the duration is the advised wait before a retry.
    NotRun(time::Duration),
    /// The call may have run.
    Unknown,
    /// The key is claimed by an earlier attempt; a retry may get its response.
    Claimed,
    /// The response belongs to another request or has no outcome.
    MixedUp,
    /// The connection was closed during the call.
    CutOff,
    /// The request reached no daemon.
    NotSent,
}

/// The maximum number of simultaneous connections.
const MAX_CONNECTIONS: usize = 8_192;

/// Sends all requests and waits until each has its final outcome.
pub async fn run(settings: Settings) -> Counts {
    let connector = client::Connector::default().limit(MAX_CONNECTIONS);
    let client = client::Client::builder()
        .connector::<()>(connector)
        .disable_timeout()
        .build(ntex::SharedCfg::default())
        .await;
    let Ok(client) = client else {
        return Counts::default();
    };
    let counts = rc::Rc::new(Mutex::new(Counts::default()));
    let mut tasks = Vec::new();
    let interval = settings.interval;
    for number in 0..settings.calls {
        let (client, settings, counts) = (client.clone(), settings.clone(), counts.clone());
        tasks.push(ntex::rt::spawn(async move {
            send_until_final(&client, &settings, number, &counts).await;
        }));
        ntex::time::sleep(interval).await;
    }
    for task in tasks {
        let _ = task.await;
    }
    std::mem::take(&mut counts.lock())
}

/// Sends one request until it has a final outcome or the retry time-out has passed. Requests with
/// even numbers are unrepeatable and carry an idempotency key; those with odd numbers are
/// repeatable.
async fn send_until_final(
    client: &client::Client,
    settings: &Settings,
    number: u32,
    counts: &Mutex<Counts>,
) {
    let id = format!("{}-{number}", settings.prefix);
    let deadline = time::Instant::now() + settings.retry_timeout;
    let mut outcome = AttemptOutcome::NotSent;
    counts.lock().sent += 1;
    for retry in 0_u32.. {
        if retry > 0 {
            counts.lock().retries += 1;
        }
        outcome = attempt(client, settings, &id, number, retry).await;
        if matches!(outcome, AttemptOutcome::CutOff) {
            counts.lock().cut_off += 1;
        }
        let pause = match &outcome {
            AttemptOutcome::Complete | AttemptOutcome::Unknown | AttemptOutcome::MixedUp => break,
            AttemptOutcome::NotRun(retry_after) => *retry_after,
            AttemptOutcome::Claimed => time::Duration::from_millis(500),
            AttemptOutcome::CutOff | AttemptOutcome::NotSent => time::Duration::from_millis(50),
        };
        if time::Instant::now() + pause >= deadline {
            break;
        }
        ntex::time::sleep(pause).await;
    }
    let mut counts = counts.lock();
    match outcome {
        AttemptOutcome::Complete => counts.complete += 1,
        AttemptOutcome::NotRun(_) => {
            counts.not_run += 1;
            counts.unexecuted.push(id);
        }
        AttemptOutcome::Unknown | AttemptOutcome::Claimed => counts.unknown += 1,
        AttemptOutcome::MixedUp => counts.mixed_up += 1,
        AttemptOutcome::CutOff | AttemptOutcome::NotSent => counts.lost += 1,
    }
}

async fn attempt(
    client: &client::Client,
    settings: &Settings,
    id: &str,
    number: u32,
    retry: u32,
) -> AttemptOutcome {
    let daemons = settings.balancer.lock().clone();
    if daemons.is_empty() {
        return AttemptOutcome::NotSent;
    }
    let daemon = daemons[(number + retry) as usize % daemons.len()];
    let url =
        format!("http://{daemon}/v1/call/{}/echo?work_ms={}", settings.service, settings.work_ms);
    let request = client.post(url).header(call::TIMEOUT, settings.timeout_ms.to_string());
    let request = if number.is_multiple_of(2) {
        request.header(call::REPEAT, "never").header(call::KEY, id)
    } else {
        request.header(call::REPEAT, "safe")
    };
    let response = match request.send_body(id.to_owned()).await {
        Ok(response) => response,
        Err(error) if gl_platform::is_unsent(&error) => return AttemptOutcome::NotSent,
        Err(error) => {
            eprintln!("request {id}, retry {retry}: {daemon} closed the connection: {error:?}");
            return AttemptOutcome::CutOff;
        }
    };
    classify(&response, id).await
}

async fn classify(response: &client::ClientResponse, id: &str) -> AttemptOutcome {
    let header = |name: &str| {
        response.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
    };
    let outcome: Option<call::Outcome> = header(call::OUTCOME).and_then(|text| text.parse().ok());
    let retry_after = header("retry-after").and_then(|text| text.parse().ok());
    let body = match response.body().limit(1 << 20).await {
        Ok(body) => body,
        Err(error) => {
            eprintln!("request {id}: the connection was closed in the response body: {error:?}");
            return AttemptOutcome::CutOff;
        }
    };
    match outcome {
        Some(call::Outcome::Complete) if body == id.as_bytes() => AttemptOutcome::Complete,
        Some(call::Outcome::Complete) | None => {
            eprintln!(
                "request {id}: unexpected response: {} {outcome:?} {body:?}",
                response.status()
            );
            AttemptOutcome::MixedUp
        }
        Some(call::Outcome::NotRun) => {
            AttemptOutcome::NotRun(time::Duration::from_secs(retry_after.unwrap_or(1)))
        }
        Some(call::Outcome::Unknown) if retry_after.is_some() => AttemptOutcome::Claimed,
        Some(call::Outcome::Unknown) => AttemptOutcome::Unknown,
    }
}
