//! A stand-in of the platform and its runners, as PROTOCOL.md describes them: it starts and stops runners on workers,
//! lists both with a lag, and lets the runners of a draining worker end in order.

use crate::http::{Answer, Message, serve_connection};
use crate::record::Record;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A service whose runners the platform starts.
#[derive(Clone)]
pub struct Service {
    pub name: &'static str,
    pub mem_mb: u64,
    pub concurrency: usize,
    /// How long the start of a runner takes, always as long as the configuration says.
    pub boot_ms: u64,
    /// How long a runner works on a request.
    pub work_ms: u64,
    /// `cold_rate_s` of its configuration. Its `cold_after_s` is 0, so it means nothing to the runners.
    pub cold_rate_s: f64,
    /// Every second runner loses each answer whose number is a multiple of this: it has run the request, and closes the
    /// connection.
    pub loses_each: Option<usize>,
    /// A runner answers each request whose number is a multiple of this with a 500 of its own.
    pub fails_each: Option<usize>,
    /// Every second runner sends a surplus answer after each answer whose number is a multiple of this.
    pub surplus_each: Option<usize>,
}

pub struct Worker {
    pub name: &'static str,
    pub zone: &'static str,
    pub mem_mb: u64,
}

struct WorkerState {
    name: &'static str,
    zone: &'static str,
    mem_mb: u64,
    draining_since: Option<Instant>,
}

pub struct Runner {
    pub id: String,
    pub svc: &'static str,
    pub worker: &'static str,
    pub zone: &'static str,
    /// The daemon that had it started.
    pub holder: String,
    nonce: String,
    address: SocketAddr,
    mem_mb: u64,
    concurrency: usize,
    work: Duration,
    loses_each: Option<usize>,
    fails_each: Option<usize>,
    surplus_each: Option<usize>,
    answers: AtomicUsize,
    /// When its start is complete.
    pub ready_at: Instant,
    busy: AtomicUsize,
    /// It listens no longer, and ends once its work is done.
    stopping: AtomicBool,
    times: Mutex<RunnerTimes>,
}

#[derive(Clone, Copy, Default)]
pub struct RunnerTimes {
    pub draining_since: Option<Instant>,
    pub ended_at: Option<Instant>,
}

impl Runner {
    fn sealed_answer(&self, status: u16, attempt: &str, body: String) -> Answer {
        let seal = format!("{}.{:x}", self.id, body.len());
        Answer::new(status, body)
            .with("Rudderstream-Reply-Seal", &seal)
            .with("Rudderstream-Attempt-Id", attempt)
            .with("Rudderstream-Instance", &self.id)
    }

    pub fn times(&self) -> RunnerTimes {
        *self.times.lock().unwrap()
    }
}

/// A request that a runner has received.
#[derive(Clone)]
pub struct Arrival {
    pub at: Instant,
    pub attempt: String,
    pub path: String,
    pub runner: String,
    pub svc: &'static str,
    pub worker: &'static str,
    pub zone: &'static str,
    /// Whether the runner began work on it.
    pub ran: bool,
}

/// A call that starts or stops a runner.
#[derive(Clone)]
pub struct DutyCall {
    pub at: Instant,
    /// `begin` or `stop`.
    pub kind: &'static str,
    pub svc: &'static str,
    pub holder: String,
    pub fence: u64,
}

pub struct Settings {
    /// The second number of all loopback addresses of this run.
    pub net: u8,
    /// How far the lists run behind.
    pub lag: Duration,
    /// How long a leaving runner serves on from the moment at which the list shows it.
    pub serves_on: Duration,
    pub services: Vec<Service>,
    pub workers: Vec<Worker>,
}

struct State {
    workers: Vec<WorkerState>,
    runners: Vec<Arc<Runner>>,
    arrivals: Vec<Arrival>,
    duty_calls: Vec<DutyCall>,
}

pub struct Platform {
    pub address: SocketAddr,
    net: u8,
    lag: Duration,
    serves_on: Duration,
    services: Vec<Service>,
    record: Arc<Record>,
    state: Mutex<State>,
}

impl Platform {
    pub fn start(settings: Settings, record: Arc<Record>) -> io::Result<Arc<Self>> {
        let address = SocketAddr::from((Ipv4Addr::new(127, settings.net, 200, 109), 8029));
        let listener = TcpListener::bind(address)?;
        let workers = settings.workers.iter();
        let workers = workers.map(|worker| WorkerState {
            name: worker.name,
            zone: worker.zone,
            mem_mb: worker.mem_mb,
            draining_since: None,
        });
        let platform = Arc::new(Self {
            address,
            net: settings.net,
            lag: settings.lag,
            serves_on: settings.serves_on,
            services: settings.services,
            record,
            state: Mutex::new(State {
                workers: workers.collect(),
                runners: Vec::new(),
                arrivals: Vec::new(),
                duty_calls: Vec::new(),
            }),
        });
        let serving = platform.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let platform = serving.clone();
                thread::spawn(move || serve_connection(stream, |request| Some(platform.answer(&request))));
            }
        });
        Ok(platform)
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state.lock().unwrap().arrivals.clone()
    }

    pub fn duty_calls(&self) -> Vec<DutyCall> {
        self.state.lock().unwrap().duty_calls.clone()
    }

    /// Notes a call that the platform has received. Returns the holder and the fence that it names, or `None` if one of
    /// them is missing.
    fn note_duty_call(&self, kind: &'static str, svc: &'static str, request: &Message) -> Option<(String, u64)> {
        let holder = request.header("rudderstream-duty-holder")?.to_owned();
        let fence = request.header("rudderstream-fence")?.parse().ok()?;
        let call = DutyCall { at: Instant::now(), kind, svc, holder: holder.clone(), fence };
        self.state.lock().unwrap().duty_calls.push(call);
        Some((holder, fence))
    }

    pub fn runners(&self) -> Vec<Arc<Runner>> {
        self.state.lock().unwrap().runners.clone()
    }

    /// The runners of a service that have started and not ended.
    pub fn running(&self, svc: &str) -> Vec<Arc<Runner>> {
        let now = Instant::now();
        let mut runners = self.runners();
        runners.retain(|runner| {
            runner.svc == svc
                && runner.ready_at <= now
                && runner.times().ended_at.is_none()
                && !runner.stopping.load(Ordering::SeqCst)
        });
        runners
    }

    /// Empties a worker: it takes no new runners, and its runners leave in order.
    pub fn drain_worker(self: &Arc<Self>, name: &str) {
        let now = Instant::now();
        self.record.line(&format!("platform: worker {name} is drained"));
        let mut state = self.state.lock().unwrap();
        for worker in state.workers.iter_mut().filter(|worker| worker.name == name) {
            worker.draining_since = Some(now);
        }
        for runner in state.runners.iter().filter(|runner| runner.worker == name) {
            if runner.times().ended_at.is_some() {
                continue;
            }
            runner.times.lock().unwrap().draining_since = Some(now);
            let (platform, runner) = (self.clone(), runner.clone());
            thread::spawn(move || {
                thread::sleep(platform.lag + platform.serves_on);
                platform.end(&runner);
            });
        }
    }

    fn end(&self, runner: &Runner) {
        runner.stopping.store(true, Ordering::SeqCst);
        while runner.busy.load(Ordering::SeqCst) > 0 {
            thread::sleep(Duration::from_millis(2));
        }
        let mut times = runner.times.lock().unwrap();
        if times.ended_at.is_none() {
            times.ended_at = Some(Instant::now());
            self.record.line(&format!("platform: runner {} of {} has ended", runner.id, runner.svc));
        }
    }

    fn answer(self: &Arc<Self>, request: &Message) -> Answer {
        let path = request.target().split('?').next().unwrap_or("").to_owned();
        match (request.method(), path.as_str()) {
            ("GET", "/servers") => self.list_runners(),
            ("GET", "/rudderstream/workers") => self.list_workers(),
            ("POST", "/rudderstream/begin") => self.begin(request),
            ("POST", "/rudderstream/stop") => self.stop(request),
            _ => Answer::new(404, ""),
        }
    }

    fn list_runners(&self) -> Answer {
        let now = Instant::now();
        let state = self.state.lock().unwrap();
        let rows: Vec<String> = state
            .runners
            .iter()
            .filter(|runner| runner.ready_at + self.lag <= now)
            .filter(|runner| runner.times().ended_at.is_none_or(|ended_at| ended_at + self.lag > now))
            .map(|runner| {
                let draining_since = runner.times().draining_since;
                let is_draining = draining_since.is_some_and(|since| since + self.lag <= now);
                format!(
                    r#"{{"svc":"{}","address":"{}","zone":"{}","gen":"v1","slots":{},"state":"{}","cold_left_ms":0,"id":"{}","worker_node":"{}"}}"#,
                    runner.svc,
                    runner.address,
                    runner.zone,
                    runner.concurrency,
                    if is_draining { "draining" } else { "warm" },
                    runner.id,
                    runner.worker,
                )
            })
            .collect();
        Answer::json(200, format!(r#"{{"servers":[{}],"next_token":null}}"#, rows.join(",")))
    }

    fn used_mb(state: &State, worker: &str) -> u64 {
        let present = state.runners.iter().filter(|runner| runner.worker == worker);
        present.filter(|runner| runner.times().ended_at.is_none()).map(|runner| runner.mem_mb).sum()
    }

    fn list_workers(&self) -> Answer {
        let now = Instant::now();
        let state = self.state.lock().unwrap();
        let rows: Vec<String> = state
            .workers
            .iter()
            .map(|worker| {
                let is_draining = worker.draining_since.is_some_and(|since| since + self.lag <= now);
                format!(
                    r#"{{"name":"{}","zone":"{}","mem_mb":{},"mem_free_mb":{},"state":"{}"}}"#,
                    worker.name,
                    worker.zone,
                    worker.mem_mb,
                    worker.mem_mb.saturating_sub(Self::used_mb(&state, worker.name)),
                    if is_draining { "draining" } else { "warm" },
                )
            })
            .collect();
        Answer::json(200, format!(r#"{{"worker_nodes":[{}]}}"#, rows.join(",")))
    }

    fn begin(self: &Arc<Self>, request: &Message) -> Answer {
        let body = request.text();
        let (svc, worker, nonce) =
            (json_text(&body, "svc"), json_text(&body, "worker_node"), json_text(&body, "nonce"));
        let Some(service) = self.services.iter().find(|service| service.name == svc) else {
            return Answer::json(400, "{}".to_owned());
        };
        let Some((holder, fence)) = self.note_duty_call("begin", service.name, request) else {
            return Answer::json(400, "{}".to_owned());
        };
        let mut state = self.state.lock().unwrap();
        let known = state.runners.iter().find(|runner| runner.svc == svc && runner.nonce == nonce);
        if let Some(known) = known {
            return Answer::json(200, format!(r#"{{"id":"{}","address":"{}"}}"#, known.id, known.address));
        }
        let Some(found) = state.workers.iter().find(|known| known.name == worker) else {
            return Answer::json(409, "{}".to_owned());
        };
        let (worker, zone, mem_mb) = (found.name, found.zone, found.mem_mb);
        if found.draining_since.is_some() || Self::used_mb(&state, worker) + service.mem_mb > mem_mb {
            return Answer::json(409, "{}".to_owned());
        }
        let number = state.runners.len();
        let earlier = state.runners.iter().filter(|runner| runner.svc == svc).count();
        let boot = Duration::from_millis(service.boot_ms);
        let ip = Ipv4Addr::new(127, self.net, 100 + (number / 250) as u8, (number % 250) as u8 + 1);
        let runner = Arc::new(Runner {
            id: format!("i-{number:04x}{:04x}", std::process::id() & 0xffff),
            svc: service.name,
            worker,
            zone,
            holder: holder.clone(),
            nonce,
            address: SocketAddr::from((ip, 8080)),
            mem_mb: service.mem_mb,
            concurrency: service.concurrency,
            work: Duration::from_millis(service.work_ms),
            loses_each: service.loses_each.filter(|_| earlier.is_multiple_of(2)),
            fails_each: service.fails_each,
            surplus_each: service.surplus_each.filter(|_| !earlier.is_multiple_of(2)),
            answers: AtomicUsize::new(0),
            ready_at: Instant::now() + boot,
            busy: AtomicUsize::new(0),
            stopping: AtomicBool::new(false),
            times: Mutex::default(),
        });
        self.record.line(&format!(
            "platform: {holder} with fence {fence} begins runner {} of {svc} on {worker} in {zone}, ready in {} ms",
            runner.id,
            boot.as_millis()
        ));
        state.runners.push(runner.clone());
        let answer = format!(r#"{{"id":"{}","address":"{}"}}"#, runner.id, runner.address);
        let platform = self.clone();
        thread::spawn(move || platform.run(&runner));
        Answer::json(200, answer)
    }

    fn stop(self: &Arc<Self>, request: &Message) -> Answer {
        let id = json_text(&request.text(), "id");
        let Some(runner) = self.runners().into_iter().find(|runner| runner.id == id) else {
            return Answer::json(404, "{}".to_owned());
        };
        let Some((holder, fence)) = self.note_duty_call("stop", runner.svc, request) else {
            return Answer::json(400, "{}".to_owned());
        };
        self.record.line(&format!("platform: {holder} with fence {fence} stops runner {id} of {}", runner.svc));
        runner.stopping.store(true, Ordering::SeqCst);
        let platform = self.clone();
        thread::spawn(move || platform.end(&runner));
        Answer::json(200, "{}".to_owned())
    }

    /// The life of a runner: it refuses connections until it has started, and takes no more once it stops.
    fn run(self: &Arc<Self>, runner: &Arc<Runner>) {
        thread::sleep(runner.ready_at.saturating_duration_since(Instant::now()));
        if runner.stopping.load(Ordering::SeqCst) {
            return;
        }
        let listener = match TcpListener::bind(runner.address) {
            Ok(listener) => listener,
            Err(error) => {
                self.record.line(&format!("platform: runner {} cannot listen: {error}", runner.id));
                return;
            }
        };
        let _ = listener.set_nonblocking(true);
        self.record.line(&format!("platform: runner {} of {} is ready", runner.id, runner.svc));
        while !runner.stopping.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let (platform, runner) = (self.clone(), runner.clone());
                    thread::spawn(move || platform.serve_runner(&runner, stream));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn serve_runner(&self, runner: &Arc<Runner>, stream: TcpStream) {
        serve_connection(stream, |request| {
            if runner.times().ended_at.is_some() {
                return None;
            }
            let attempt = request.header("rudderstream-attempt-id").unwrap_or("").to_owned();
            let target = request.header("rudderstream-target-instance");
            let is_other = target.is_some_and(|target| target != runner.id);
            let busy = runner.busy.fetch_add(1, Ordering::SeqCst);
            let runs = !is_other && !attempt.is_empty() && busy < runner.concurrency;
            let arrival = Arrival {
                at: Instant::now(),
                attempt: attempt.clone(),
                path: request.target().to_owned(),
                runner: runner.id.clone(),
                svc: runner.svc,
                worker: runner.worker,
                zone: runner.zone,
                ran: runs,
            };
            self.record.line(&format!(
                "runner {} of {} in {}: {} {} {} {}",
                runner.id,
                runner.svc,
                runner.zone,
                if runs { "runs" } else { "turns away" },
                attempt,
                request.method(),
                request.target()
            ));
            self.state.lock().unwrap().arrivals.push(arrival);
            let answer = if is_other {
                Answer::new(421, "").with("Rudderstream-Not-Run", "1")
            } else if attempt.is_empty() {
                Answer::new(400, "").with("Rudderstream-Not-Run", "1")
            } else if !runs {
                Answer::new(503, "").with("Rudderstream-Not-Run", "1")
            } else {
                thread::sleep(runner.work);
                let number = runner.answers.fetch_add(1, Ordering::SeqCst) + 1;
                if runner.loses_each.is_some_and(|each| number.is_multiple_of(each)) {
                    self.record
                        .line(&format!("runner {} of {}: the answer to {attempt} is lost", runner.id, runner.svc));
                    runner.busy.fetch_sub(1, Ordering::SeqCst);
                    return None;
                }
                let is_due = |each: Option<usize>| each.is_some_and(|each| number.is_multiple_of(each));
                let status = if is_due(runner.fails_each) { 500 } else { 200 };
                let mut answer =
                    runner.sealed_answer(status, &attempt, format!("{} {} {}", runner.svc, attempt, request.target()));
                if is_due(runner.surplus_each) {
                    self.record
                        .line(&format!("runner {}: a surplus answer to {attempt} follows a {status}", runner.id));
                    let surplus = runner.sealed_answer(200, &attempt, format!("surplus {attempt}"));
                    answer.surplus = Some((Duration::from_millis(10), Box::new(surplus)));
                }
                answer
            };
            runner.busy.fetch_sub(1, Ordering::SeqCst);
            let mut answer = match answer.header("rudderstream-attempt-id") {
                Some(_) => answer,
                None => answer.with("Rudderstream-Attempt-Id", &attempt).with("Rudderstream-Instance", &runner.id),
            };
            answer.close = runner.times().draining_since.is_some() || runner.stopping.load(Ordering::SeqCst);
            Some(answer)
        });
    }
}

/// Returns the text of a field of a flat JSON object.
fn json_text(body: &str, name: &str) -> String {
    let key = format!("\"{name}\"");
    let after = body.split_once(&key).map_or("", |(_, after)| after);
    after.split('"').nth(1).unwrap_or("").to_owned()
}
