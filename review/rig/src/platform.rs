//! The platform and its runners, as PROTOCOL.md describes them.

use crate::http::{is_gone, json_text, write_answer, ReadEnd, Reader};
use crate::record::Record;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Worker {
    pub name: String,
    pub zone: String,
    pub mem_mb: u32,
}

#[derive(Clone, Copy)]
pub struct Service {
    pub mem_mb: u32,
    pub startup_ms: u64,
    pub slots: usize,
}

#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub svc: String,
    pub worker: String,
    pub zone: String,
    pub address: SocketAddr,
    pub ready_at: u64,
    pub stopped_at: Option<u64>,
    pub ended_at: Option<u64>,
    pub running: usize,
}

/// A start or a stop as it arrived.
#[derive(Clone, Debug)]
pub struct Order {
    pub at: u64,
    pub what: &'static str,
    pub svc: String,
    pub holder: String,
    pub fence: u64,
    pub runner: String,
    pub status: u16,
}

/// A request that reached a runner.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: u64,
    pub svc: String,
    pub runner: String,
    pub attempt: String,
    pub method: String,
    pub target: String,
    pub body: Vec<u8>,
    /// Whether the runner began work on it.
    pub has_run: bool,
    pub ended: Option<u64>,
    pub end: &'static str,
}

/// In which form a runner answers.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Form {
    /// With a length.
    WithLength,
    /// Without one: the answer ends with its connection, in order.
    UntilClose,
}

type FormOf = Box<dyn Fn(&str) -> Form + Send + Sync>;
type StartMs = Box<dyn Fn(&str, usize) -> u64 + Send + Sync>;

#[derive(Default)]
pub struct State {
    pub workers: Vec<Worker>,
    pub services: BTreeMap<String, Service>,
    pub runners: BTreeMap<String, Runner>,
    pub by_nonce: BTreeMap<(String, String), String>,
    pub orders: Vec<Order>,
    pub arrivals: Vec<Arrival>,
    pub starts: BTreeMap<String, usize>,
    pub next_runner: usize,
}

pub struct Platform {
    pub record: Record,
    pub state: Mutex<State>,
    pub address: SocketAddr,
    pub net: u8,
    /// The port of every runner; each has an address of its own.
    pub runner_port: u16,
    pub lag_ms: u64,
    /// By service.
    pub form: FormOf,
    /// How long a start takes: by service and by how many it had before.
    pub start_ms: StartMs,
}

pub fn body_of(attempt: &str) -> Vec<u8> {
    let mut hash = 0xcbf29ce484222325u64;
    for byte in attempt.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x100000001b3);
    }
    let mut body = format!("answer to {attempt} ").into_bytes();
    while body.len() < 2400 {
        hash = hash.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        body.extend_from_slice(format!("{hash:016x}").as_bytes());
    }
    body
}

pub fn seal_of(attempt: &str) -> String {
    format!("seal.{attempt}.{}", body_of(attempt).len())
}

/// The work of a request, which its target names: `/.../wMILLISECONDS-.../`.
pub fn work_ms(target: &str) -> u64 {
    let part = target.split('/').find_map(|part| part.strip_prefix('w'));
    part.and_then(|text| text.split('-').next()?.parse().ok()).unwrap_or(40)
}

impl Platform {
    pub fn start(self: &Arc<Self>) {
        let listener = TcpListener::bind(self.address).expect("the platform's address");
        let platform = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let platform = platform.clone();
                std::thread::spawn(move || platform.serve(stream));
            }
        });
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().expect("a socket");
        let mut reader = Reader::new(stream);
        while let ReadEnd::Whole(request) = reader.read(Instant::now() + Duration::from_secs(30), false) {
            let (method, target) = request.request_line();
            let holder = request.header("rudderstream-duty-holder").unwrap_or("").to_owned();
            let fence = request.header("rudderstream-fence").and_then(|text| text.parse().ok());
            let (status, body) = match (method.as_str(), target.split('?').next().unwrap_or("")) {
                ("GET", "/rudderstream/workers") => (200, self.workers()),
                ("GET", "/servers") => (200, self.servers()),
                ("POST", "/rudderstream/begin") => self.begin(&request.body, &holder, fence),
                ("POST", "/rudderstream/stop") => self.stop(&request.body, &holder, fence),
                _ => (404, "{}".to_owned()),
            };
            let headers = [("Content-Type", "application/json")];
            if write_answer(&mut writer, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn workers(&self) -> String {
        let state = self.state.lock().unwrap();
        let at = self.record.now();
        let rows: Vec<String> = state
            .workers
            .iter()
            .map(|worker| {
                let used = state.used_mb(&worker.name, at);
                let free = worker.mem_mb.saturating_sub(used);
                format!(
                    r#"{{"name":"{}","zone":"{}","mem_mb":{},"mem_free_mb":{free},"state":"warm"}}"#,
                    worker.name, worker.zone, worker.mem_mb
                )
            })
            .collect();
        format!(r#"{{"worker_nodes":[{}]}}"#, rows.join(","))
    }

    /// The list of runners, as it was a while ago.
    fn servers(&self) -> String {
        let shown = self.record.now().saturating_sub(self.lag_ms);
        let state = self.state.lock().unwrap();
        let rows: Vec<String> = state
            .runners
            .values()
            .filter(|runner| runner.ready_at <= shown && runner.ended_at.is_none_or(|ended| ended > shown))
            .filter(|runner| runner.stopped_at.is_none_or(|stopped| stopped > shown))
            .map(|runner| {
                let slots = state.services.get(&runner.svc).map_or(1, |service| service.slots);
                format!(
                    r#"{{"svc":"{}","address":"{}","zone":"{}","gen":"v1","slots":{slots},"state":"warm","cold_left_ms":0,"id":"{}","worker_node":"{}"}}"#,
                    runner.svc,
                    runner.address,
                    runner.zone,
                    runner.id,
                    runner.worker
                )
            })
            .collect();
        format!(r#"{{"servers":[{}],"next_token":null}}"#, rows.join(","))
    }

    fn note_order(&self, state: &mut State, order: Order) {
        self.record.note(format!(
            "platform {} svc={} runner={} holder={} fence={} -> {}",
            order.what, order.svc, order.runner, order.holder, order.fence, order.status
        ));
        state.orders.push(order);
    }

    fn begin(self: &Platform, body: &[u8], holder: &str, fence: Option<u64>) -> (u16, String) {
        let (svc, worker) = (json_text(body, "svc"), json_text(body, "worker_node"));
        let nonce = json_text(body, "nonce");
        let (Some(svc), Some(worker), Some(nonce), Some(fence)) = (svc, worker, nonce, fence) else {
            return (400, "{}".to_owned());
        };
        let at = self.record.now();
        let mut state = self.state.lock().unwrap();
        let mut order = Order {
            at,
            what: "begin",
            svc: svc.clone(),
            holder: holder.to_owned(),
            fence,
            runner: String::new(),
            status: 200,
        };
        let answer = |runner: &Runner| format!(r#"{{"id":"{}","address":"{}"}}"#, runner.id, runner.address);
        if let Some(known) = state.by_nonce.get(&(svc.clone(), nonce.clone())).cloned() {
            order.runner = known.clone();
            let text = answer(&state.runners[&known]);
            self.note_order(&mut state, order);
            return (200, text);
        }
        let Some(service) = state.services.get(&svc).copied() else {
            order.status = 400;
            self.note_order(&mut state, order);
            return (400, "{}".to_owned());
        };
        let room = state.workers.iter().find(|known| known.name == worker).cloned();
        let fits = room
            .as_ref()
            .is_some_and(|known| state.used_mb(&known.name, at) + service.mem_mb <= known.mem_mb);
        let Some(room) = room.filter(|_| fits) else {
            order.status = 409;
            self.note_order(&mut state, order);
            return (409, "{}".to_owned());
        };
        state.next_runner += 1;
        let number = state.next_runner;
        let ip = Ipv4Addr::new(127, self.net, 100 + (number / 250) as u8, (number % 250 + 1) as u8);
        let count = state.starts.entry(svc.clone()).or_default();
        let start_ms = (self.start_ms)(&svc, *count);
        *count += 1;
        let runner = Runner {
            id: format!("i-{number:04}"),
            svc: svc.clone(),
            worker,
            zone: room.zone,
            address: SocketAddr::V4(SocketAddrV4::new(ip, self.runner_port)),
            ready_at: at + start_ms,
            stopped_at: None,
            ended_at: None,
            running: 0,
        };
        order.runner = runner.id.clone();
        state.by_nonce.insert((svc, nonce), runner.id.clone());
        state.runners.insert(runner.id.clone(), runner.clone());
        self.note_order(&mut state, order);
        let text = answer(&runner);
        drop(state);
        crate::platform::spawn_runner(runner);
        (200, text)
    }

    fn stop(&self, body: &[u8], holder: &str, fence: Option<u64>) -> (u16, String) {
        let (Some(id), Some(fence)) = (json_text(body, "id"), fence) else {
            return (400, "{}".to_owned());
        };
        let at = self.record.now();
        let mut state = self.state.lock().unwrap();
        let svc = state.runners.get(&id).map(|runner| runner.svc.clone());
        let status = if svc.is_some() { 200 } else { 404 };
        let order = Order {
            at,
            what: "stop",
            svc: svc.unwrap_or_default(),
            holder: holder.to_owned(),
            fence,
            runner: id.clone(),
            status,
        };
        self.note_order(&mut state, order);
        if let Some(runner) = state.runners.get_mut(&id) {
            runner.stopped_at.get_or_insert(at);
            if runner.running == 0 {
                runner.ended_at.get_or_insert(at);
            }
        }
        (status, "{}".to_owned())
    }

    fn runner(&self, id: &str) -> Runner {
        self.state.lock().unwrap().runners[id].clone()
    }
}

impl State {
    fn used_mb(&self, worker: &str, at: u64) -> u32 {
        let live = self
            .runners
            .values()
            .filter(|runner| runner.worker == worker && runner.ended_at.is_none_or(|ended| ended > at));
        live.filter_map(|runner| self.services.get(&runner.svc))
            .map(|service| service.mem_mb)
            .sum()
    }
}

static PLATFORM: std::sync::OnceLock<Arc<Platform>> = std::sync::OnceLock::new();

pub fn set_platform(platform: Arc<Platform>) {
    let _ = PLATFORM.set(platform);
}

fn platform() -> &'static Arc<Platform> {
    PLATFORM.get().expect("a platform")
}

fn spawn_runner(runner: Runner) {
    std::thread::spawn(move || {
        let platform = platform();
        while platform.record.now() < runner.ready_at {
            std::thread::sleep(Duration::from_millis(2));
        }
        if platform.runner(&runner.id).ended_at.is_some() {
            return;
        }
        let listener = TcpListener::bind(runner.address).expect("a runner's address");
        let _ = listener.set_nonblocking(true);
        platform.record.note(format!(
            "runner {} of {} in {} is started",
            runner.id, runner.svc, runner.zone
        ));
        loop {
            let now_runner = platform.runner(&runner.id);
            let stops = now_runner.stopped_at.is_some_and(|at| at <= platform.record.now());
            if stops || now_runner.ended_at.is_some() {
                return;
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let id = runner.id.clone();
                    std::thread::spawn(move || serve_runner(&id, stream));
                }
                Err(_) => std::thread::sleep(Duration::from_millis(2)),
            }
        }
    });
}

/// True once the runner has ended, or has been stopped and works on nothing.
fn has_ended(id: &str) -> bool {
    let runner = platform().runner(id);
    runner.ended_at.is_some()
}

fn serve_runner(id: &str, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut writer = stream.try_clone().expect("a socket");
    let mut reader = Reader::new(stream);
    loop {
        let request = loop {
            match reader.read(Instant::now() + Duration::from_millis(100), false) {
                ReadEnd::Whole(request) => break request,
                ReadEnd::Timeout if !has_ended(id) => {}
                _ => return,
            }
        };
        if has_ended(id) || !answer(id, &request, &mut writer) {
            return;
        }
    }
}

/// Runs one request; false when the connection ends with it.
fn answer(id: &str, request: &crate::http::Message, writer: &mut TcpStream) -> bool {
    let platform = platform();
    let at = platform.record.now();
    let (method, target) = request.request_line();
    let attempt = request.header("rudderstream-attempt-id").unwrap_or("").to_owned();
    let deadline_ms = request
        .header("rudderstream-deadline-ms")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let is_other = request
        .header("rudderstream-target-instance")
        .is_some_and(|meant| meant != id);
    let (index, runs, svc) = {
        let mut state = platform.state.lock().unwrap();
        let runner = state.runners[id].clone();
        let slots = state.services.get(&runner.svc).map_or(1, |service| service.slots);
        let runs = !is_other && runner.running < slots;
        if runs {
            state.runners.get_mut(id).unwrap().running += 1;
        }
        state.arrivals.push(Arrival {
            at,
            svc: runner.svc.clone(),
            runner: id.to_owned(),
            attempt: attempt.clone(),
            method: method.clone(),
            target: target.clone(),
            body: request.body.clone(),
            has_run: runs,
            ended: None,
            end: "",
        });
        (state.arrivals.len() - 1, runs, runner.svc)
    };
    platform.record.note(format!(
        "runner {id} of {svc} {} {method} {target} attempt={attempt} deadline={deadline_ms}",
        if runs {
            "runs"
        } else if is_other {
            "421"
        } else {
            "is full for"
        }
    ));
    let common = [("Rudderstream-Attempt-Id", attempt.as_str())];
    if !runs {
        let status = if is_other { 421 } else { 503 };
        let headers = [common[0], ("Rudderstream-Not-Run", "1")];
        return write_answer(writer, status, &headers, b"").is_ok();
    }
    let form = (platform.form)(&svc);
    let work_until = Instant::now() + Duration::from_millis(work_ms(&target));
    let give_up = Instant::now() + Duration::from_millis(deadline_ms.max(1));
    let mut end = "answered";
    while Instant::now() < work_until {
        let left = work_until.saturating_duration_since(Instant::now());
        std::thread::sleep(left.min(Duration::from_millis(5)));
        if Instant::now() >= give_up {
            end = "deadline";
            break;
        }
        let ended = platform.runner(id).ended_at.is_some();
        if ended || is_gone(writer) {
            end = if ended { "crashed" } else { "caller gone" };
            break;
        }
    }
    {
        let mut state = platform.state.lock().unwrap();
        let now = platform.record.now();
        state.arrivals[index].ended = Some(now);
        state.arrivals[index].end = end;
        let runner = state.runners.get_mut(id).unwrap();
        runner.running -= 1;
        if runner.running == 0 && runner.stopped_at.is_some_and(|stopped| stopped <= now) {
            runner.ended_at.get_or_insert(now);
        }
    }
    platform
        .record
        .note(format!("runner {id} of {svc} ends attempt={attempt}: {end}"));
    let seal = seal_of(&attempt);
    let headers = [common[0], ("Rudderstream-Reply-Seal", seal.as_str())];
    match (end, form) {
        ("answered", Form::WithLength) => write_answer(writer, 200, &headers, &body_of(&attempt)).is_ok(),
        ("answered", Form::UntilClose) => {
            use std::io::Write;
            let head = format!(
                "HTTP/1.1 200 OK\r\nRudderstream-Attempt-Id: {attempt}\r\nRudderstream-Reply-Seal: {seal}\r\nConnection: close\r\n\r\n"
            );
            let _ = writer.write_all(head.as_bytes());
            let _ = writer.write_all(&body_of(&attempt));
            let _ = writer.shutdown(std::net::Shutdown::Write);
            let until = Instant::now() + Duration::from_secs(2);
            while Instant::now() < until && !is_gone(writer) {
                std::thread::sleep(Duration::from_millis(5));
            }
            false
        }
        ("deadline", _) => write_answer(writer, 504, &headers, b"late").is_ok(),
        _ => false,
    }
}
