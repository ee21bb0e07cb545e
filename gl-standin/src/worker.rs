//! The stand-in of a worker: an agent that handles sync messages, and its tasks. Tasks of services
//! serve calls; batch tasks just let their run time pass.

use std::{collections, io, net, rc, sync};

use gl_model::{call, id, size, time, vm, worker};
use ntex::{util, web};
use parking_lot::Mutex;

use crate::{http, runs};

/// Injected faults.
#[gl_derive::domain]
#[derive(Default)]
#[serde(default)]
pub struct Faults {
    /// Every task fails immediately after its start.
    pub fail_all: bool,
    /// Every n-th response is truncated; zero for none.
    #[serde(rename = "truncate")]
    pub truncate_every: u64,
    /// Every n-th response carries the identity and the body of another call; zero for none.
    #[serde(rename = "mix-up")]
    pub mix_up_every: u64,
    /// The delay of each request, in milliseconds.
    #[serde(rename = "late-ms")]
    pub delay_ms: u64,
    /// The agent processes sync messages but does not reply.
    #[serde(rename = "mute")]
    pub drops_replies: bool,
    /// Neither sync messages nor calls are processed.
    #[serde(rename = "cut")]
    pub is_partitioned: bool,
    /// A single pause of all processing, in milliseconds.
    pub pause_ms: u64,
    /// The process exits immediately.
    pub crash: bool,
}

struct Task {
    order: worker::Order,
    phase: worker::Phase,
    run_index: usize,
    progress: u64,
    in_flight: u32,
}

struct State {
    vm: vm::Vm,
    boot: u64,
    epoch: id::Epoch,
    seq: u64,
    report_version: u64,
    lease_expiry: time::Timestamp,
    tasks: collections::BTreeMap<id::TaskId, Task>,
    log: runs::Log,
    faults: Faults,
    response_count: u64,
    sampled_at: time::Timestamp,
    unreported_usage: Vec<worker::Usage>,
    speedup: u64,
}

type Shared = sync::Arc<Mutex<State>>;

/// The interval between two updates of the state of all tasks.
const TICK: time::Span = time::Span::millis(20);
/// The interval between usage measurements, and the minimum age of a measurement that is reported.
const USAGE_INTERVAL: time::Span = time::Span::seconds(1);
/// The slowdown that each co-located batch task adds to a service task.
const SLOWDOWN_PER_TASK: f64 = 0.05;

impl State {
    fn start_task(&mut self, order: &worker::Order, now: time::Timestamp) {
        let initial_progress =
            order.checkpoint.as_deref().and_then(|c| c.parse().ok()).unwrap_or(0);
        self.log.runs.push(runs::Run {
            task: order.task.clone(),
            incarnation: order.incarnation,
            vm: self.vm.id.clone(),
            is_service: order.is_service,
            started_at: now,
            ended_at: None,
            initial_progress,
            is_done: false,
        });
        let address = order.is_service.then_some(self.vm.agent);
        let task = Task {
            order: order.clone(),
            phase: worker::Phase::Running(address),
            run_index: self.log.runs.len() - 1,
            progress: initial_progress,
            in_flight: 0,
        };
        self.tasks.insert(order.task.clone(), task);
        self.report_version += 1;
        if self.faults.fail_all {
            self.end_task(&order.task, worker::Phase::Failed("switched on".to_owned()), now);
        }
    }

    fn end_task(&mut self, task: &id::TaskId, phase: worker::Phase, now: time::Timestamp) {
        let Some(task) = self.tasks.get_mut(task) else {
            return;
        };
        let run = &mut self.log.runs[task.run_index];
        if run.ended_at.is_none() {
            run.ended_at = Some(now);
            run.is_done = phase == worker::Phase::Done;
            task.phase = phase;
            self.report_version += 1;
        }
    }

    fn is_running(&self, task: &id::TaskId) -> bool {
        self.tasks.get(task).is_some_and(|task| self.log.runs[task.run_index].ended_at.is_none())
    }

    /// Applies a complete list of orders: starts, updates, or stops and removes tasks accordingly.
    fn apply_orders(&mut self, orders: &[worker::Order], now: time::Timestamp) {
        for order in orders {
            let known = self.tasks.get(&order.task).map(|task| task.order.incarnation);
            if known.is_some_and(|known| known >= order.incarnation) {
                if let Some(task) = self.tasks.get_mut(&order.task) {
                    task.order = order.clone();
                }
            } else {
                self.end_task(&order.task, worker::Phase::Stopped(None), now);
                self.start_task(order, now);
            }
        }
        let unlisted: Vec<id::TaskId> = self
            .tasks
            .keys()
            .filter(|task| !orders.iter().any(|order| order.task == **task))
            .cloned()
            .collect();
        for task in unlisted {
            self.end_task(&task, worker::Phase::Stopped(None), now);
            self.tasks.remove(&task);
            self.report_version += 1;
        }
    }

    /// Handles a sync message. It is accepted if it is newer than the last one, is addressed to this
    /// process, and either lists the orders or belongs to the epoch whose orders are known.
    fn sync(&mut self, message: &worker::Sync, now: time::Timestamp) -> worker::Report {
        let is_newer = (message.epoch, message.seq) > (self.epoch, self.seq);
        let has_base_orders = message.orders.is_some() || message.epoch == self.epoch;
        let is_accepted = is_newer && message.boot == Some(self.boot) && has_base_orders;
        if message.epoch > self.epoch {
            self.epoch = message.epoch;
            self.seq = 0;
        }
        if is_accepted {
            self.seq = message.seq;
            self.lease_expiry = message.until;
            if let Some(orders) = &message.orders {
                self.apply_orders(orders, now);
            }
        }
        self.tick(now);
        let is_known = is_accepted && message.report_version == self.report_version;
        let status = |(id, task): (&id::TaskId, &Task)| worker::Status {
            task: id.clone(),
            incarnation: task.order.incarnation,
            phase: task.phase.clone(),
        };
        worker::Report {
            boot: self.boot,
            is_accepted,
            epoch: self.epoch,
            version: self.report_version,
            tasks: (!is_known).then(|| self.tasks.iter().map(status).collect()),
            usage: self.take_usage(now),
        }
    }

    fn take_usage(&mut self, now: time::Timestamp) -> Vec<worker::Usage> {
        let (due, recent) = std::mem::take(&mut self.unreported_usage)
            .into_iter()
            .partition(|u| now.since(u.at) >= USAGE_INTERVAL);
        self.unreported_usage = recent;
        due
    }

    fn tick(&mut self, now: time::Timestamp) {
        let names: Vec<id::TaskId> = self.tasks.keys().cloned().collect();
        for name in names {
            self.tick_task(&name, now);
        }
        if now.since(self.sampled_at) >= USAGE_INTERVAL {
            self.sampled_at = now;
            self.sample_usage(now);
        }
    }

    fn tick_task(&mut self, name: &id::TaskId, now: time::Timestamp) {
        if !self.is_running(name) {
            return;
        }
        let Some(task) = self.tasks.get_mut(name) else {
            return;
        };
        let elapsed = now.since(self.log.runs[task.run_index].started_at).0;
        let progress = task.progress + elapsed * self.speedup;
        let checkpoint = Some(progress.to_string());
        let desired = task.order.desired;
        let is_batch = !task.order.is_service;
        if now >= self.lease_expiry {
            // No call starts after the expiry, so the run ended then, even if the process was paused.
            let kept_checkpoint = if is_batch { checkpoint } else { None };
            self.end_task(name, worker::Phase::Stopped(kept_checkpoint), self.lease_expiry);
        } else if is_batch && progress >= task.order.run.0 {
            self.end_task(name, worker::Phase::Done, now);
        } else if desired == worker::DesiredState::Checkpoint {
            self.end_task(name, worker::Phase::Stopped(checkpoint), now);
        } else if desired == worker::DesiredState::Stop
            || desired == worker::DesiredState::Drain && (is_batch || task.in_flight == 0)
        {
            self.end_task(name, worker::Phase::Stopped(None), now);
        }
    }

    fn sample_usage(&mut self, now: time::Timestamp) {
        let batch = self.tasks.values().filter(|t| !t.order.is_service).count();
        for (name, task) in &self.tasks {
            if self.log.runs[task.run_index].ended_at.is_some() {
                continue;
            }
            let slots = f64::from(self.vm.slots);
            self.unreported_usage.push(worker::Usage {
                task: name.clone(),
                at: now,
                used: size::Size { cores: task.order.size.cores / 2, ..task.order.size },
                slowdown: task.order.is_service.then_some(1.0 + SLOWDOWN_PER_TASK * batch as f64),
                load: f64::from(task.in_flight) / slots,
            });
        }
    }

    /// Admits a call to the task that it names (`TASK#INCARNATION`), or returns why it is refused.
    fn admit(&mut self, target: &str, now: time::Timestamp) -> Result<id::TaskId, &'static str> {
        let (task, incarnation) = target.split_once('#').ok_or("the call names no task")?;
        let name = id::TaskId::from(task);
        let lease_expiry = self.lease_expiry;
        let running = self.is_running(&name);
        let task = self.tasks.get_mut(&name).ok_or("the task is unknown")?;
        if task.order.incarnation.to_string() != incarnation {
            return Err("another incarnation of the task runs");
        }
        if !running || now >= lease_expiry {
            return Err("the task has stopped");
        }
        if task.order.desired != worker::DesiredState::Run
            && task.order.desired != worker::DesiredState::Throttle
        {
            return Err("the task is draining");
        }
        if task.in_flight >= self.vm.connections {
            return Err("too many requests");
        }
        task.in_flight += 1;
        Ok(name)
    }

    fn in_flight(&self) -> u32 {
        self.tasks.values().map(|task| task.in_flight).sum()
    }
}

/// The query parameters of a call.
#[derive(serde::Deserialize)]
struct WorkQuery {
    /// The execution time of the call, in milliseconds.
    #[serde(default)]
    work_ms: u64,
    /// The length of the response's body, in bytes; the body of the call is returned if it is zero.
    #[serde(default)]
    answer_bytes: usize,
}

/// Counts a call as in flight at its task until it is dropped.
struct InFlightRequest {
    state: Shared,
    task: id::TaskId,
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        let mut state = self.state.lock();
        if let Some(task) = state.tasks.get_mut(&self.task) {
            task.in_flight = task.in_flight.saturating_sub(1);
        }
    }
}

fn refusal(state: &Shared, reason: &str) -> web::HttpResponse {
    web::HttpResponse::ServiceUnavailable()
        .header(call::REFUSED, "not-run")
        .header(call::LOAD, state.lock().in_flight().to_string())
        .body(reason.to_owned())
}

/// The longest body of a call, in bytes.
const MAX_BODY_BYTES: usize = 2 << 20;

/// Serves a call: waits for a slot, records it, lets its execution time pass, returns its body.
async fn serve_call(
    request: web::HttpRequest,
    body: util::Bytes,
    work: web::types::Query<WorkQuery>,
    state: web::types::State<Shared>,
    slots: web::types::State<rc::Rc<tokio::sync::Semaphore>>,
) -> web::HttpResponse {
    let header = |name: &str| {
        request.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or("").to_owned()
    };
    if state.lock().faults.is_partitioned {
        ntex::time::sleep(std::time::Duration::from_secs(3_600)).await;
    }
    let admitted = state.lock().admit(&header(call::TASK), http::now());
    let task = match admitted {
        Ok(task) => task,
        Err(reason) => return refusal(&state, reason),
    };
    let guard = InFlightRequest { state: state.get_ref().clone(), task };
    let Ok(slot) = slots.acquire().await else {
        return refusal(&state, "closed");
    };
    if http::now() >= state.lock().lease_expiry {
        return refusal(&state, "the lease has expired");
    }
    let name = String::from_utf8_lossy(&body).into_owned();
    let incarnation = {
        let state = state.lock();
        state.tasks.get(&guard.task).map(|task| task.order.incarnation).unwrap_or_default()
    };
    let record =
        runs::Request { id: name, started_at: http::now(), task: guard.task.clone(), incarnation };
    state.lock().log.requests.push(record);
    let faults = state.lock().faults.clone();
    let duration = std::time::Duration::from_millis(work.work_ms + faults.delay_ms);
    if !duration.is_zero() {
        tokio::time::sleep(duration).await;
    }
    drop(slot);
    drop(guard);
    let mut locked = state.lock();
    locked.response_count += 1;
    let is_nth = |n: u64| n > 0 && locked.response_count.is_multiple_of(n);
    let (is_truncated, is_mixed_up) = (is_nth(faults.truncate_every), is_nth(faults.mix_up_every));
    let identity = if is_mixed_up { "another".to_owned() } else { header(call::CALL) };
    let mut response = web::HttpResponse::Ok();
    response.header(call::CALL, identity).header(call::LOAD, locked.in_flight().to_string());
    drop(locked);
    if is_truncated {
        let content_length = body.len() as u64 + http::MISSING_BYTES;
        let body = http::TruncatedBody { sent: body, content_length };
        return response.message_body(ntex::http::body::Body::from_message(body));
    }
    if is_mixed_up {
        return response.body("another call's answer");
    }
    let body = if work.answer_bytes > 0 { vec![b'x'; work.answer_bytes].into() } else { body };
    response.content_type("text/plain").body(body)
}

async fn handle_sync(
    state: web::types::State<Shared>,
    message: web::types::Json<worker::Sync>,
) -> web::HttpResponse {
    if state.lock().faults.is_partitioned {
        ntex::time::sleep(std::time::Duration::from_secs(3_600)).await;
    }
    let report = state.lock().sync(&message, http::now());
    if state.lock().faults.drops_replies {
        ntex::time::sleep(std::time::Duration::from_secs(3_600)).await;
    }
    web::HttpResponse::Ok().json(&report)
}

async fn set_faults(
    state: web::types::State<Shared>,
    faults: web::types::Json<Faults>,
) -> web::HttpResponse {
    http::pause_or_crash(faults.pause_ms, faults.crash, &state);
    state.lock().faults = faults.into_inner();
    web::HttpResponse::Ok().finish()
}

async fn get_log(state: web::types::State<Shared>) -> web::HttpResponse {
    web::HttpResponse::Ok().json(&state.lock().log)
}

/// Serves the worker `vm` on `socket` until the process ends. Batch tasks run `speedup` times as
/// fast as declared.
///
/// # Errors
///
/// Returns an error if the socket cannot be served.
pub async fn run(socket: net::TcpListener, vm: vm::Vm, speedup: u64) -> io::Result<()> {
    let slots = vm.slots as usize;
    let now = http::now();
    let state: Shared = sync::Arc::new(Mutex::new(State {
        vm,
        boot: now.0,
        epoch: id::Epoch::default(),
        seq: 0,
        report_version: 1,
        lease_expiry: time::Timestamp::default(),
        tasks: collections::BTreeMap::new(),
        log: runs::Log::default(),
        faults: Faults::default(),
        response_count: 0,
        sampled_at: now,
        unreported_usage: Vec::new(),
        speedup,
    }));
    let ticker = state.clone();
    ntex::rt::spawn(async move {
        loop {
            ntex::time::sleep(std::time::Duration::from(TICK)).await;
            ticker.lock().tick(http::now());
        }
    });
    web::HttpServer::new(async move || {
        web::App::new()
            .state(web::types::PayloadConfig::new(MAX_BODY_BYTES))
            .state(state.clone())
            .state(rc::Rc::new(tokio::sync::Semaphore::new(slots)))
            .state(web::types::JsonConfig::default().limit(16 << 20))
            .service((
                web::resource("/v1/sync").route(web::post().to(handle_sync)),
                web::resource("/admin/fault").route(web::post().to(set_faults)),
                web::resource("/admin/log").route(web::get().to(get_log)),
            ))
            .default_service(web::route().to(serve_call))
    })
    .workers(1)
    .listen(socket)?
    .run()
    .await
}
