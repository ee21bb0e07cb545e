//! A worker: an agent that takes syncs, and its tasks, which answer calls or count time.

use std::{collections, io, net, rc, sync};

use gl_model::{call, id, size, time, vm, worker};
use ntex::{util, web};
use parking_lot::Mutex;

use crate::{http, runs};

/// Faults that are switched on.
#[gl_derive::domain]
#[derive(Default)]
#[serde(default)]
pub struct Faults {
    /// Every task fails as soon as it starts.
    pub fail_all: bool,
    /// Every n-th answer breaks off; zero for none.
    pub truncate: u64,
    /// Every n-th answer is another call's, with its identity and body; zero for none.
    pub mix_up: u64,
    /// Each request takes this much longer, in milliseconds.
    pub late_ms: u64,
    /// The agent doesn't answer, though it takes the messages.
    pub mute: bool,
    /// Neither the agent nor the tasks take anything.
    pub cut: bool,
    /// Everything stands still for this long, in milliseconds, once.
    pub pause_ms: u64,
    /// The process ends at once.
    pub crash: bool,
}

struct Task {
    order: worker::Order,
    phase: worker::Phase,
    run: usize,
    progress: u64,
    flight: u32,
}

struct State {
    vm: vm::Vm,
    boot: u64,
    epoch: id::Epoch,
    seq: u64,
    version: u64,
    until: time::Timestamp,
    tasks: collections::BTreeMap<id::TaskId, Task>,
    log: runs::Log,
    faults: Faults,
    answers: u64,
    sampled: time::Timestamp,
    usage: Vec<worker::Usage>,
    speed: u64,
}

type Shared = sync::Arc<Mutex<State>>;

/// How often the agent looks after its tasks.
const TICK: time::Span = time::Span::millis(20);
/// How often usage is measured, and how old it is when it is reported.
const USAGE_LAG: time::Span = time::Span::seconds(1);
/// How much slower one batch task makes a service beside it.
const HARM: f64 = 0.05;

impl State {
    fn begin(&mut self, order: &worker::Order, now: time::Timestamp) {
        let resumed = order.checkpoint.as_deref().and_then(|c| c.parse().ok()).unwrap_or(0);
        self.log.runs.push(runs::Run {
            task: order.task.clone(),
            incarnation: order.incarnation,
            vm: self.vm.id.clone(),
            serving: order.is_service,
            from: now,
            to: None,
            resumed,
            done: false,
        });
        let address = order.is_service.then_some(self.vm.agent);
        let task = Task {
            order: order.clone(),
            phase: worker::Phase::Running(address),
            run: self.log.runs.len() - 1,
            progress: resumed,
            flight: 0,
        };
        self.tasks.insert(order.task.clone(), task);
        self.version += 1;
        if self.faults.fail_all {
            self.end(&order.task, worker::Phase::Failed("switched on".to_owned()), now);
        }
    }

    fn end(&mut self, task: &id::TaskId, phase: worker::Phase, now: time::Timestamp) {
        let Some(task) = self.tasks.get_mut(task) else {
            return;
        };
        let run = &mut self.log.runs[task.run];
        if run.to.is_none() {
            run.to = Some(now);
            run.done = phase == worker::Phase::Done;
            task.phase = phase;
            self.version += 1;
        }
    }

    fn is_running(&self, task: &id::TaskId) -> bool {
        self.tasks.get(task).is_some_and(|task| self.log.runs[task.run].to.is_none())
    }

    /// Takes the orders in: starts what is new, and forgets what ended and is no longer listed.
    fn take(&mut self, orders: &[worker::Order], now: time::Timestamp) {
        for order in orders {
            let known = self.tasks.get(&order.task).map(|task| task.order.incarnation);
            if known.is_some_and(|known| known >= order.incarnation) {
                if let Some(task) = self.tasks.get_mut(&order.task) {
                    task.order = order.clone();
                }
            } else {
                self.end(&order.task, worker::Phase::Stopped(None), now);
                self.begin(order, now);
            }
        }
        let unlisted: Vec<id::TaskId> = self
            .tasks
            .keys()
            .filter(|task| !orders.iter().any(|order| order.task == **task))
            .cloned()
            .collect();
        for task in unlisted {
            self.end(&task, worker::Phase::Stopped(None), now);
            self.tasks.remove(&task);
            self.version += 1;
        }
    }

    fn sync(&mut self, message: &worker::Sync, now: time::Timestamp) -> worker::Report {
        let is_newer = (message.epoch, message.seq) > (self.epoch, self.seq);
        let holds = message.orders.is_some() || message.epoch == self.epoch;
        let is_accepted = is_newer && message.boot == Some(self.boot) && holds;
        if message.epoch > self.epoch {
            self.epoch = message.epoch;
            self.seq = 0;
        }
        if is_accepted {
            self.seq = message.seq;
            self.until = message.until;
            if let Some(orders) = &message.orders {
                self.take(orders, now);
            }
        }
        self.tick(now);
        let is_known = is_accepted && message.report_version == self.version;
        let status = |(id, task): (&id::TaskId, &Task)| worker::Status {
            task: id.clone(),
            incarnation: task.order.incarnation,
            phase: task.phase.clone(),
        };
        worker::Report {
            boot: self.boot,
            is_accepted,
            epoch: self.epoch,
            version: self.version,
            tasks: (!is_known).then(|| self.tasks.iter().map(status).collect()),
            usage: self.take_usage(now),
        }
    }

    fn take_usage(&mut self, now: time::Timestamp) -> Vec<worker::Usage> {
        let (old, young) =
            std::mem::take(&mut self.usage).into_iter().partition(|u| now.since(u.at) >= USAGE_LAG);
        self.usage = young;
        old
    }

    fn tick(&mut self, now: time::Timestamp) {
        let names: Vec<id::TaskId> = self.tasks.keys().cloned().collect();
        for name in names {
            self.tick_task(&name, now);
        }
        if now.since(self.sampled) >= USAGE_LAG {
            self.sampled = now;
            self.sample(now);
        }
    }

    fn tick_task(&mut self, name: &id::TaskId, now: time::Timestamp) {
        if !self.is_running(name) {
            return;
        }
        let Some(task) = self.tasks.get_mut(name) else {
            return;
        };
        let ran = now.since(self.log.runs[task.run].from).0;
        let progress = task.progress + ran * self.speed;
        let checkpoint = Some(progress.to_string());
        let wish = task.order.desired;
        let is_batch = !task.order.is_service;
        if now >= self.until {
            // Nothing begins after the lease, also when the process was paused past its end.
            let kept = if is_batch { checkpoint } else { None };
            self.end(name, worker::Phase::Stopped(kept), self.until);
        } else if is_batch && progress >= task.order.run.0 {
            self.end(name, worker::Phase::Done, now);
        } else if wish == worker::DesiredState::Checkpoint {
            self.end(name, worker::Phase::Stopped(checkpoint), now);
        } else if wish == worker::DesiredState::Stop
            || wish == worker::DesiredState::Drain && (is_batch || task.flight == 0)
        {
            self.end(name, worker::Phase::Stopped(None), now);
        }
    }

    fn sample(&mut self, now: time::Timestamp) {
        let batch = self.tasks.values().filter(|t| !t.order.is_service).count();
        for (name, task) in &self.tasks {
            if self.log.runs[task.run].to.is_some() {
                continue;
            }
            let slots = f64::from(self.vm.slots);
            self.usage.push(worker::Usage {
                task: name.clone(),
                at: now,
                used: size::Size { cores: task.order.size.cores / 2, ..task.order.size },
                slowdown: task.order.is_service.then_some(1.0 + HARM * batch as f64),
                load: f64::from(task.flight) / slots,
            });
        }
    }

    /// Takes a slot of the task that a call names, or says why not.
    fn enter(&mut self, target: &str, now: time::Timestamp) -> Result<id::TaskId, &'static str> {
        let (task, incarnation) = target.split_once('#').ok_or("no task named")?;
        let name = id::TaskId::from(task);
        let until = self.until;
        let running = self.is_running(&name);
        let task = self.tasks.get_mut(&name).ok_or("no such task")?;
        if task.order.incarnation.to_string() != incarnation {
            return Err("another start of the task");
        }
        if !running || now >= until {
            return Err("the task has stopped");
        }
        if task.order.desired != worker::DesiredState::Run
            && task.order.desired != worker::DesiredState::Throttle
        {
            return Err("the task drains");
        }
        if task.flight >= self.vm.connections {
            return Err("too many requests");
        }
        task.flight += 1;
        Ok(name)
    }

    fn flight(&self) -> u32 {
        self.tasks.values().map(|task| task.flight).sum()
    }
}

/// The work that a call asks for.
#[derive(serde::Deserialize)]
struct Work {
    /// How long it takes, in milliseconds.
    #[serde(default)]
    work_ms: u64,
}

struct Visit {
    state: Shared,
    task: id::TaskId,
}

impl Drop for Visit {
    fn drop(&mut self) {
        let mut state = self.state.lock();
        if let Some(task) = state.tasks.get_mut(&self.task) {
            task.flight = task.flight.saturating_sub(1);
        }
    }
}

fn refused(state: &Shared, why: &str) -> web::HttpResponse {
    web::HttpResponse::ServiceUnavailable()
        .header(call::REFUSED, "not-run")
        .header(call::LOAD, state.lock().flight().to_string())
        .body(why.to_owned())
}

/// Runs one call: it waits for one of the slots, takes its time, and echoes its body.
async fn serve(
    request: web::HttpRequest,
    body: util::Bytes,
    work: web::types::Query<Work>,
    state: web::types::State<Shared>,
    slots: web::types::State<rc::Rc<tokio::sync::Semaphore>>,
) -> web::HttpResponse {
    let header = |name: &str| {
        request.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or("").to_owned()
    };
    if state.lock().faults.cut {
        ntex::time::sleep(std::time::Duration::from_secs(3_600)).await;
    }
    let entered = state.lock().enter(&header(call::TASK), http::now());
    let task = match entered {
        Ok(task) => task,
        Err(why) => return refused(&state, why),
    };
    let visit = Visit { state: state.get_ref().clone(), task };
    let Ok(slot) = slots.acquire().await else {
        return refused(&state, "closed");
    };
    if http::now() >= state.lock().until {
        return refused(&state, "the lease has lapsed");
    }
    let name = String::from_utf8_lossy(&body).into_owned();
    let incarnation = {
        let state = state.lock();
        state.tasks.get(&visit.task).map(|task| task.order.incarnation).unwrap_or_default()
    };
    let ran =
        runs::Request { request: name, at: http::now(), task: visit.task.clone(), incarnation };
    state.lock().log.requests.push(ran);
    let faults = state.lock().faults.clone();
    let span = std::time::Duration::from_millis(work.work_ms + faults.late_ms);
    if !span.is_zero() {
        tokio::time::sleep(span).await;
    }
    drop(slot);
    drop(visit);
    let mut answers = state.lock();
    answers.answers += 1;
    let hits = |every: u64| every > 0 && answers.answers.is_multiple_of(every);
    let (is_cut, is_mixed) = (hits(faults.truncate), hits(faults.mix_up));
    let identity = if is_mixed { "another".to_owned() } else { header(call::CALL) };
    let mut response = web::HttpResponse::Ok();
    response.header(call::CALL, identity).header(call::LOAD, answers.flight().to_string());
    drop(answers);
    if is_cut {
        let announced = body.len() as u64 + http::NEVER_SENT;
        let body = http::Truncated { part: body, announced };
        return response.message_body(ntex::http::body::Body::from_message(body));
    }
    if is_mixed {
        return response.body("another call's answer");
    }
    response.content_type("text/plain").body(body)
}

async fn sync(
    state: web::types::State<Shared>,
    message: web::types::Json<worker::Sync>,
) -> web::HttpResponse {
    if state.lock().faults.cut {
        ntex::time::sleep(std::time::Duration::from_secs(3_600)).await;
    }
    let report = state.lock().sync(&message, http::now());
    if state.lock().faults.mute {
        ntex::time::sleep(std::time::Duration::from_secs(3_600)).await;
    }
    web::HttpResponse::Ok().json(&report)
}

async fn fault(
    state: web::types::State<Shared>,
    faults: web::types::Json<Faults>,
) -> web::HttpResponse {
    http::pause_or_crash(faults.pause_ms, faults.crash, &state);
    state.lock().faults = faults.into_inner();
    web::HttpResponse::Ok().finish()
}

async fn log(state: web::types::State<Shared>) -> web::HttpResponse {
    web::HttpResponse::Ok().json(&state.lock().log)
}

/// Serves the worker `vm` on `socket` until the process ends. Batch tasks run `speed` times as
/// fast as they declare.
///
/// # Errors
///
/// If the socket can't be used.
pub async fn run(socket: net::TcpListener, vm: vm::Vm, speed: u64) -> io::Result<()> {
    let slots = vm.slots as usize;
    let now = http::now();
    let state: Shared = sync::Arc::new(Mutex::new(State {
        vm,
        boot: now.0,
        epoch: id::Epoch::default(),
        seq: 0,
        version: 1,
        until: time::Timestamp::default(),
        tasks: collections::BTreeMap::new(),
        log: runs::Log::default(),
        faults: Faults::default(),
        answers: 0,
        sampled: now,
        usage: Vec::new(),
        speed,
    }));
    let ticking = state.clone();
    ntex::rt::spawn(async move {
        loop {
            ntex::time::sleep(std::time::Duration::from(TICK)).await;
            ticking.lock().tick(http::now());
        }
    });
    web::HttpServer::new(async move || {
        web::App::new()
            .state(state.clone())
            .state(rc::Rc::new(tokio::sync::Semaphore::new(slots)))
            .state(web::types::JsonConfig::default().limit(16 << 20))
            .service((
                web::resource("/v1/sync").route(web::post().to(sync)),
                web::resource("/admin/fault").route(web::post().to(fault)),
                web::resource("/admin/log").route(web::get().to(log)),
            ))
            .default_service(web::route().to(serve))
    })
    .workers(1)
    .listen(socket)?
    .run()
    .await
}
