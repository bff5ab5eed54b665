//! The cases: each starts a small deployment, brings its disruption about, and checks its rule by what the clients, the
//! runners, the operator and the platform have seen.

use crate::callers::{Client, Operator, Outcome, Route, config};
use crate::fleet::{Fleet, free_net};
use crate::platform::{Arrival, DutyCall, Platform, Service, Settings, Worker};
use crate::record::Record;
use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const HOST: &str = "dese56.example";
/// `max_lag_ms`, `drain_ms`, `evac_ms` and `contact_ms` of the site, and `lease_ms` of the duties.
const LIST_LAG: Duration = ms(800);
const DRAIN: Duration = ms(3000);
const EVAC: Duration = ms(5000);
const CONTACT: Duration = ms(4000);
const LEASE: Duration = ms(3000);

/// How a run ended.
pub enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

type CaseResult = Result<Verdict, Box<dyn Error>>;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Runs a case. An error says why it could not run.
pub fn run(case: &str, is_troubled: bool, record: &Arc<Record>) -> CaseResult {
    match case {
        "renamed-kinds" => renamed_kinds(is_troubled, record),
        "renamed-routes" => renamed_routes(is_troubled, record),
        "service-put-back" => service_put_back(is_troubled, record),
        "surplus-answers" => surplus_answers(is_troubled, record),
        "read-back" => read_back(is_troubled, record),
        "leaving-runner" => leaving_runner(is_troubled, record),
        "starting-runner" => starting_runner(is_troubled, record),
        _ => Err(format!("there is no case {case}").into()),
    }
}

fn verdict(rule: &str, broken: &[String]) -> CaseResult {
    if broken.is_empty() {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!("{rule}, {} times: {}", broken.len(), broken.join("; "))))
}

/// What a case runs on.
struct Stage {
    platform: Arc<Platform>,
    fleet: Fleet,
    client: Client,
    operator: Operator,
}

impl Stage {
    /// Starts the platform and the processes, has the operator's first configuration taken, and waits until all machines
    /// are in touch.
    fn start(
        record: &Arc<Record>,
        services: &[&Service],
        workers: Vec<Worker>,
        first_config: &str,
    ) -> Result<Self, Box<dyn Error>> {
        let net = free_net().ok_or("there are no free addresses")?;
        let settings = Settings {
            net,
            lag: LIST_LAG,
            // A leaving runner serves on for `drain_ms` and a second longer.
            serves_on: DRAIN + ms(1000),
            services: services.iter().map(|service| (*service).clone()).collect(),
            workers,
        };
        let platform = Platform::start(settings, record.clone())?;
        let fleet = Fleet::start(net, platform.address, LIST_LAG, record.clone())?;
        let operator = Operator { ctl: fleet.ctl.clone(), record: record.clone() };
        let until = Instant::now() + ms(20_000);
        while operator.replace(0, first_config) != 200 {
            if Instant::now() > until {
                return Err("the first configuration was not taken".into());
            }
        }
        if !fleet.await_ready() {
            return Err("the daemons are not ready".into());
        }
        thread::sleep(CONTACT + ms(1000));
        let client = Client { host: HOST, record: record.clone() };
        Ok(Self { platform, fleet, client, operator })
    }

    fn door(&self, number: usize) -> SocketAddr {
        self.fleet.doors[number % self.fleet.doors.len()]
    }

    /// Sends a request from a thread of its own.
    fn send(&self, number: usize, method: &'static str, path: String, deadline: Duration) -> JoinHandle<Outcome> {
        let (client, door) = (self.client.clone(), self.door(number));
        thread::spawn(move || client.send(door, method, &path, deadline))
    }

    /// Sends requests until one succeeds.
    fn warm_up(&self, path: &str) -> Result<(), Box<dyn Error>> {
        let until = Instant::now() + ms(20_000);
        while self.client.send(self.door(0), "GET", path, CONTACT).status() != 200 {
            if Instant::now() > until {
                return Err(format!("{path} does not answer").into());
            }
            thread::sleep(ms(300));
        }
        Ok(())
    }

    fn replace(&self, based_on: u64, config: &str) -> Result<(), Box<dyn Error>> {
        match self.operator.replace(based_on, config) {
            200 => Ok(()),
            status => Err(format!("a configuration got {status}").into()),
        }
    }

    /// Evacuates a zone. Returns when this was acknowledged.
    fn evacuate(&self, zone: &str) -> Result<Instant, Box<dyn Error>> {
        match self.operator.begin_drain(zone) {
            200 => Ok(Instant::now()),
            status => Err(format!("the evacuation of {zone} got {status}").into()),
        }
    }

    fn join(sends: Vec<JoinHandle<Outcome>>) -> Vec<Outcome> {
        sends.into_iter().filter_map(|sent| sent.join().ok()).collect()
    }
}

/// Twelve workers in three zones, of which one in each zone has room for `mem_mb` and the others are too small for most
/// services.
fn workers(mem_mb: u64) -> Vec<Worker> {
    let zones = crate::fleet::ZONES.into_iter().cycle();
    let names = ["w-1", "w-2", "w-3", "w-4", "w-5", "w-6", "w-7", "w-8", "w-9", "w-10", "w-11", "w-12"];
    let worker = |(index, (name, zone))| Worker { name, zone, mem_mb: if index < 3 { mem_mb } else { 256 } };
    names.into_iter().zip(zones).enumerate().map(worker).collect()
}

/// While clients still send the bodies of their requests, the operator sends a configuration in which a mutating and an
/// idempotent route of one service have each other's names. Some answers of the runners are lost, with and without it.
fn renamed_kinds(is_troubled: bool, record: &Arc<Record>) -> CaseResult {
    let shop = Service {
        name: "shop",
        mem_mb: 192,
        concurrency: 8,
        boot_ms: 750,
        work_ms: 60,
        cold_rate_s: 0.0,
        loses_each: Some(20),
        fails_each: None,
        surplus_each: None,
    };
    let svcs = [&shop];
    let route =
        |name, prefix, kind| Route { name, prefix, kind, svc: "shop", timeout_ms: 2500, target_ms: 1200, tries: 2 };
    let first = [route("r-1", "/order/", "mutating"), route("r-2", "/look/", "idempotent")];
    let second = [route("r-1", "/look/", "idempotent"), route("r-2", "/order/", "mutating")];
    let stage = Stage::start(record, &svcs, workers(8974), &config(3, HOST, &first, &svcs))?;
    stage.warm_up("/look/warm")?;
    let sends = (0..120).map(|number| {
        let (client, door) = (stage.client.clone(), stage.door(number));
        let path = format!("/order/{number}");
        thread::spawn(move || client.send_slowly(door, "POST", &path, ms(2500), b"an order", ms(900)))
    });
    let sends: Vec<_> = sends.collect();
    thread::sleep(ms(200));
    if is_troubled {
        stage.replace(3, &config(5, HOST, &second, &svcs))?;
    }
    let outcomes = Stage::join(sends);
    thread::sleep(ms(1000));
    // `/order/` is mutating in both configurations.
    let arrivals = stage.platform.arrivals();
    let doubled: Vec<String> = outcomes
        .iter()
        .filter_map(|outcome| {
            let is_run = |arrival: &&Arrival| arrival.ran && arrival.attempt == outcome.attempt;
            let count = arrivals.iter().filter(is_run).count();
            (count > 1).then(|| format!("{} of {} ran {count} times", outcome.attempt, outcome.path))
        })
        .collect();
    verdict("TWICE", &doubled)
}

/// While requests wait for a runner to start, the operator sends a configuration in which the routes of two services have
/// each other's names.
fn renamed_routes(is_troubled: bool, record: &Arc<Record>) -> CaseResult {
    let formula = Service {
        name: "formula",
        mem_mb: 192,
        concurrency: 2,
        boot_ms: 750,
        work_ms: 60,
        cold_rate_s: 0.0,
        loses_each: None,
        fails_each: None,
        surplus_each: None,
    };
    let gallery = Service { name: "gallery", ..formula.clone() };
    let svcs = [&formula, &gallery];
    let route =
        |name, prefix, kind, svc| Route { name, prefix, kind, svc, timeout_ms: 2500, target_ms: 1200, tries: 2 };
    let first = [route("r-1", "/formula/", "mutating", "formula"), route("r-2", "/gallery/", "idempotent", "gallery")];
    let second = [route("r-1", "/gallery/", "idempotent", "gallery"), route("r-2", "/formula/", "mutating", "formula")];
    let stage = Stage::start(record, &svcs, workers(8974), &config(3, HOST, &first, &svcs))?;
    stage.warm_up("/gallery/warm")?;
    let sends = (0..6).map(|number| stage.send(number, "POST", format!("/formula/{number}"), ms(2500)));
    let sends: Vec<_> = sends.collect();
    thread::sleep(ms(200));
    if is_troubled {
        stage.replace(3, &config(5, HOST, &second, &svcs))?;
    }
    let outcomes = Stage::join(sends);
    thread::sleep(ms(500));
    // In both configurations `/formula/` leads to formula alone, and `/gallery/` to gallery alone.
    let arrivals = stage.platform.arrivals();
    let strays =
        arrivals.iter().filter(|arrival| arrival.ran && !arrival.path.starts_with(&format!("/{}/", arrival.svc)));
    let strays: Vec<String> = strays
        .map(|arrival| {
            let outcome = outcomes.iter().find(|outcome| outcome.attempt == arrival.attempt);
            let status = outcome.map_or(0, Outcome::status);
            format!("{} ran {}, and its client got {status}", arrival.svc, arrival.path)
        })
        .collect();
    verdict("ROUTE", &strays)
}

/// The operator takes a service away and puts it back a tenth of a second later.
fn service_put_back(is_troubled: bool, record: &Arc<Record>) -> CaseResult {
    let bundle = Service {
        name: "bundle",
        mem_mb: 512,
        concurrency: 4,
        boot_ms: 500,
        work_ms: 300,
        cold_rate_s: 0.0,
        loses_each: None,
        fails_each: None,
        surplus_each: None,
    };
    let other = Service {
        name: "other",
        mem_mb: 192,
        concurrency: 4,
        boot_ms: 500,
        work_ms: 60,
        cold_rate_s: 0.0,
        loses_each: None,
        fails_each: None,
        surplus_each: None,
    };
    let route =
        |name, prefix, svc| Route { name, prefix, kind: "mutating", svc, timeout_ms: 4000, target_ms: 1500, tries: 1 };
    let both = [route("r-1", "/bundle/", "bundle"), route("r-2", "/other/", "other")];
    let one = [route("r-2", "/other/", "other")];
    let svcs = [&bundle, &other];
    let stage = Stage::start(record, &svcs, workers(8974), &config(3, HOST, &both, &svcs))?;
    stage.warm_up("/bundle/warm")?;
    let sends = (0..3).map(|number| stage.send(number, "POST", format!("/bundle/a{number}"), ms(4000)));
    let mut sends: Vec<_> = sends.collect();
    thread::sleep(ms(30));
    if is_troubled {
        stage.replace(3, &config(5, HOST, &one, &[&other]))?;
        thread::sleep(ms(100));
        stage.replace(5, &config(7, HOST, &both, &svcs))?;
    }
    for number in 0..6 {
        sends.push(stage.send(number, "POST", format!("/bundle/b{number}"), ms(4000)));
        thread::sleep(ms(30));
    }
    Stage::join(sends);
    thread::sleep(ms(3000));
    let calls = stage.platform.duty_calls();
    let calls: Vec<&DutyCall> = calls.iter().filter(|call| call.svc == "bundle").collect();
    let mut broken = Vec::new();
    for (index, call) in calls.iter().enumerate() {
        let earlier = &calls[..index];
        if let Some(highest) = earlier.iter().max_by_key(|known| known.fence).filter(|known| known.fence > call.fence) {
            broken.push(format!(
                "a {} of {} with fence {} comes after a {} of {} with fence {}",
                call.kind, call.holder, call.fence, highest.kind, highest.holder, highest.fence
            ));
        }
        let last_own = earlier.iter().rposition(|known| known.holder == call.holder);
        if let Some(last_own) = last_own.filter(|last_own| last_own + 1 < index) {
            let after = call.at.saturating_duration_since(earlier[last_own].at);
            if after < LEASE {
                broken.push(format!(
                    "{}, {} and {} again act in this order within {} ms",
                    call.holder,
                    earlier[last_own + 1].holder,
                    call.holder,
                    after.as_millis()
                ));
            }
        }
    }
    verdict("ONE", &broken)
}

/// The operator evacuates a zone and empties the worker there while a queue of requests waits for its runner.
fn leaving_runner(is_troubled: bool, record: &Arc<Record>) -> CaseResult {
    let profile = Service {
        name: "profile",
        mem_mb: 512,
        concurrency: 2,
        boot_ms: 500,
        work_ms: 300,
        cold_rate_s: 0.0,
        loses_each: None,
        fails_each: None,
        surplus_each: None,
    };
    let routes = [Route {
        name: "r-1",
        prefix: "/profile/",
        kind: "idempotent",
        svc: "profile",
        timeout_ms: 5000,
        target_ms: 1000,
        tries: 2,
    }];
    let svcs = [&profile];
    // One worker in each zone has room for one runner.
    let stage = Stage::start(record, &svcs, workers(900), &config(3, HOST, &routes, &svcs))?;
    for number in 0..12 {
        stage.client.send(stage.door(number), "GET", "/profile/warm", ms(5000));
    }
    let runner = stage.platform.running("profile").into_iter().next().ok_or("profile has no runner")?;
    if !runner.holder.contains(runner.zone) {
        return Err("the runner is not in its holder's zone".into());
    }
    let drained_at = Instant::now();
    if is_troubled {
        stage.platform.drain_worker(runner.worker);
    }
    let mut sends = Vec::new();
    for number in 0..90 {
        sends.push(stage.send(number, "GET", format!("/profile/{number}"), ms(5000)));
        thread::sleep(ms(6));
    }
    if is_troubled {
        stage.evacuate(runner.zone)?;
    }
    Stage::join(sends);
    let shown_at = drained_at + LIST_LAG;
    let arrivals = stage.platform.arrivals();
    let is_late = |arrival: &&Arrival| is_troubled && arrival.worker == runner.worker && arrival.at > shown_at + DRAIN;
    let late: Vec<String> = arrivals
        .iter()
        .filter(is_late)
        .map(|arrival| {
            let after = arrival.at.saturating_duration_since(shown_at).as_millis();
            format!(
                "{} reached runner {} {after} ms after the list showed it as draining",
                arrival.attempt, arrival.runner
            )
        })
        .collect();
    verdict("DRAIN", &late)
}

/// The operator evacuates the zone of a runner that is still starting.
fn starting_runner(is_troubled: bool, record: &Arc<Record>) -> CaseResult {
    let tint = Service {
        name: "tint",
        mem_mb: 512,
        concurrency: 4,
        boot_ms: 5600,
        work_ms: 300,
        cold_rate_s: 0.0,
        loses_each: None,
        fails_each: None,
        surplus_each: None,
    };
    let routes = [Route {
        name: "r-1",
        prefix: "/tint/",
        kind: "idempotent",
        svc: "tint",
        timeout_ms: 4000,
        target_ms: 1500,
        tries: 2,
    }];
    let svcs = [&tint];
    // One worker in each zone has room for one runner, so the second runner starts in another zone than the first.
    let stage = Stage::start(record, &svcs, workers(900), &config(3, HOST, &routes, &svcs))?;
    stage.warm_up("/tint/warm")?;
    let first_zone = stage.platform.running("tint").first().map(|runner| runner.zone);
    let until = Instant::now() + ms(14_000);
    let clients = (0..24).map(|number| {
        let (client, door) = (stage.client.clone(), stage.door(number));
        thread::spawn(move || client.keep_sending(door, "GET", &format!("/tint/{number}"), ms(4000), until))
    });
    let clients: Vec<_> = clients.collect();
    let starting = loop {
        let now = Instant::now();
        let mut runners = stage.platform.runners().into_iter();
        let found = runners.find(|runner| runner.ready_at > now + ms(5300) && Some(runner.zone) != first_zone);
        match found {
            Some(runner) => break runner,
            None if now > until => return Err("no second runner was started".into()),
            None => thread::sleep(ms(2)),
        }
    };
    let acknowledged_at = if is_troubled { stage.evacuate(starting.zone)? } else { Instant::now() };
    for client in clients {
        let _ = client.join();
    }
    let arrivals = stage.platform.arrivals();
    let is_late =
        |arrival: &&Arrival| is_troubled && arrival.zone == starting.zone && arrival.at > acknowledged_at + EVAC;
    let late: Vec<String> = arrivals
        .iter()
        .filter(is_late)
        .map(|arrival| {
            let after = arrival.at.saturating_duration_since(acknowledged_at).as_millis();
            format!(
                "{} reached runner {} in {} {after} ms after the evacuation was acknowledged",
                arrival.attempt, arrival.runner, arrival.zone
            )
        })
        .collect();
    verdict("EVAC", &late)
}

/// The operator sends a configuration with numbers of many digits, and reads it back.
fn read_back(is_troubled: bool, record: &Arc<Record>) -> CaseResult {
    const NAMES: [&str; 12] = ["s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8", "s9", "s10", "s11", "s12"];
    // So many requests in 11 seconds, or else a number that needs few digits.
    let rate = |number: usize| if is_troubled { number as f64 / 11.0 } else { number as f64 / 8.0 };
    let service = |(index, name)| Service {
        name,
        mem_mb: 192,
        concurrency: 2,
        boot_ms: 500,
        work_ms: 60,
        cold_rate_s: rate(index + 1),
        loses_each: None,
        fails_each: None,
        surplus_each: None,
    };
    let services: Vec<Service> = NAMES.into_iter().enumerate().map(service).collect();
    let svcs: Vec<&Service> = services.iter().collect();
    let routes = [Route {
        name: "r-1",
        prefix: "/one/",
        kind: "idempotent",
        svc: "s1",
        timeout_ms: 5000,
        target_ms: 1000,
        tries: 2,
    }];
    let stage = Stage::start(record, &svcs, workers(8974), &config(3, HOST, &routes, &svcs))?;
    let mut broken = Vec::new();
    for address in &stage.fleet.ctl {
        let text = stage.operator.read(*address, CONTACT).ok_or("no controller reads the configuration back")?;
        if number_after(&text, "\"gen\":") != Some(3.0) {
            return Err("the configuration is not the one that was sent".into());
        }
        for service in &services {
            // A service is a flat object.
            let name = format!("\"name\":\"{}\"", service.name);
            let found = text.split('{').find(|item| item.contains(&name));
            let rate = found.and_then(|item| number_after(item, "\"cold_rate_s\":"));
            if rate != Some(service.cold_rate_s) {
                broken.push(format!(
                    "{address} has cold_rate_s {rate:?} for {}, which was sent as {:?}",
                    service.name, service.cold_rate_s
                ));
            }
        }
    }
    verdict("CONFIG", &broken)
}

/// Returns the number that follows a key in a JSON text.
fn number_after(text: &str, key: &str) -> Option<f64> {
    let (_, after) = text.split_once(key)?;
    let end = after.find([',', '}', ']'])?;
    after[..end].trim().parse().ok()
}

/// Runners send a surplus answer now and then, some of them after a failure of their own.
fn surplus_answers(is_troubled: bool, record: &Arc<Record>) -> CaseResult {
    // One answer in 17 is a 500 of the runner's own; at half of the runners a surplus answer follows one in 34.
    let tile = Service {
        name: "tile",
        mem_mb: 192,
        concurrency: 4,
        boot_ms: 500,
        work_ms: 40,
        cold_rate_s: 0.0,
        loses_each: None,
        fails_each: Some(17),
        surplus_each: is_troubled.then_some(34),
    };
    let routes = [Route {
        name: "r-1",
        prefix: "/tile/",
        kind: "idempotent",
        svc: "tile",
        timeout_ms: 2500,
        target_ms: 1000,
        tries: 2,
    }];
    let svcs = [&tile];
    let stage = Stage::start(record, &svcs, workers(8974), &config(3, HOST, &routes, &svcs))?;
    stage.warm_up("/tile/warm")?;
    let until = Instant::now() + ms(5000);
    let clients = (0..16).map(|number| {
        let (client, door) = (stage.client.clone(), stage.door(number));
        thread::spawn(move || {
            let mut outcomes = Vec::new();
            while Instant::now() < until {
                outcomes.push(client.send(door, "GET", &format!("/tile/{number}/{}", outcomes.len()), ms(2500)));
                thread::sleep(ms(60));
            }
            outcomes
        })
    });
    let clients: Vec<_> = clients.collect();
    let outcomes = clients.into_iter().filter_map(|client| client.join().ok()).flatten();
    // A runner answers with its service, the id of the try and the path.
    let foreign: Vec<String> = outcomes
        .filter(|outcome| outcome.status() == 200)
        .filter_map(|outcome| {
            let text = outcome.answer.as_ref()?.text();
            let is_own = text == format!("tile {} {}", outcome.attempt, outcome.path);
            (!is_own).then(|| format!("{} of {} got the body {text:?} with 200", outcome.attempt, outcome.path))
        })
        .collect();
    verdict("MIXED", &foreign)
}
