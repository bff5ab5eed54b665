//! The machines of a fleet: names, addresses, settings and files.

use super::FleetError;
use common::frames::SocketAddress;
use common::rules::Rule;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::path::{Path, PathBuf};

/// The number of controllers that a fleet begins with.
const CONTROLLERS: usize = 3;

/// The address that other processes use for a process, and the one that it listens on behind its network proxy.
pub type Endpoints = (SocketAddress, SocketAddress);

/// One process of a fleet and how it is started.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Its name.
    pub name: String,
    /// The kind of program: `controller`, `daemon` or `platform-stub`.
    pub program: &'static str,
    /// The path of the executable.
    pub binary: PathBuf,
    /// The command-line arguments.
    pub arguments: Vec<String>,
    /// The address for callers; daemons only.
    pub ingress: Option<SocketAddress>,
    /// The address of the operator API; controllers only.
    pub operators: Option<SocketAddress>,
    /// Its zone; empty for the platform.
    pub zone: String,
    /// The address that other processes use, and the one that it listens on behind its network proxy.
    pub endpoints: Option<Endpoints>,
}

/// The size of a fleet, and which test programs replace the real ones.
#[derive(Clone, Debug)]
pub struct Sizes {
    /// The number of daemons.
    pub daemons: usize,
    /// The number of zones.
    pub zones: usize,
    /// The number of workers.
    pub workers: usize,
    /// The memory of each worker, in megabytes.
    pub worker_mb: u64,
    /// Whether faults can be injected into the controllers' disks.
    pub has_faulty_disks: bool,
    /// The rule that the daemons are to run without, if any.
    pub without: Option<Rule>,
}

/// The machines of a fleet and the addresses that they use.
#[derive(Clone, Debug)]
pub struct Layout {
    /// The folder of settings, logs and records.
    pub folder: PathBuf,
    /// Every machine by name.
    pub machines: BTreeMap<String, Machine>,
    /// The address of the platform.
    pub platform: SocketAddress,
    /// The folder of the executables.
    pub programs: PathBuf,
    /// The addresses of the three first controllers, which every process gets as seeds.
    pub seeds: Vec<String>,
    has_faulty_disks: bool,
    without: Option<Rule>,
    /// The number of controllers and daemons; gives the next one its loopback address.
    machine_count: usize,
}

/// Unused ports on the common loopback address.
fn free_addresses(count: usize) -> std::io::Result<Vec<SocketAddress>> {
    let listeners = (0..count)
        .map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)))
        .collect::<std::io::Result<Vec<TcpListener>>>()?;
    listeners
        .iter()
        .map(|listener| {
            let port = listener.local_addr()?.port();
            Ok(SocketAddress(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)))
        })
        .collect()
}

/// Two unused ports on a loopback address that only this machine uses.
fn machine_addresses(number: usize) -> std::io::Result<Endpoints> {
    let ip = Ipv4Addr::new(127, 0, 1 + (number / 250) as u8, 1 + (number % 250) as u8);
    let first = TcpListener::bind((ip, 0))?;
    let second = TcpListener::bind((ip, 0))?;
    let address_of = |listener: &TcpListener| {
        listener
            .local_addr()
            .map(|address| SocketAddress(SocketAddrV4::new(ip, address.port())))
    };
    Ok((address_of(&first)?, address_of(&second)?))
}

impl Layout {
    /// Lays out a fleet in a folder, which is created, and writes the settings of its machines there.
    ///
    /// # Errors
    /// Fails if no ports are free or a file cannot be written.
    pub fn new(
        folder: &Path,
        programs: &Path,
        sizes: &Sizes,
        seed: u64,
        reuse_ports: bool,
    ) -> Result<Self, FleetError> {
        let at = |error| FleetError::Machine(folder.to_owned(), error);
        std::fs::create_dir_all(folder).map_err(at)?;
        let machine_count = CONTROLLERS + sizes.daemons;
        // The first address is the platform's, the others are for operators and callers.
        let addresses = free_addresses(1 + machine_count).map_err(at)?;
        let endpoints = (0..machine_count)
            .map(machine_addresses)
            .collect::<std::io::Result<Vec<Endpoints>>>()
            .map_err(at)?;
        let mut layout = Self {
            folder: folder.to_owned(),
            machines: BTreeMap::new(),
            platform: addresses[0],
            programs: programs.to_owned(),
            seeds: endpoints[..CONTROLLERS]
                .iter()
                .map(|(address, _)| address.to_string())
                .collect(),
            has_faulty_disks: sizes.has_faulty_disks,
            without: sizes.without,
            machine_count,
        };
        let zone_of = |number: usize| format!("locality-{}", number % sizes.zones + 1);
        let (controllers, daemons) = endpoints.split_at(CONTROLLERS);
        let (operators, ingresses) = addresses[1..].split_at(CONTROLLERS);
        for (number, endpoints) in controllers.iter().enumerate() {
            let name = format!("controller-{}", number + 1);
            layout.put_controller(&name, &zone_of(number), operators[number], *endpoints)?;
        }
        for (number, endpoints) in daemons.iter().enumerate() {
            let name = format!("daemon-{:02}", number + 1);
            layout.put_daemon(&name, &zone_of(number), ingresses[number], *endpoints)?;
        }
        layout.put_platform_stub(sizes, ingresses, seed, reuse_ports);
        Ok(layout)
    }

    fn put_controller(
        &mut self,
        name: &str,
        zone: &str,
        operators: SocketAddress,
        endpoints: Endpoints,
    ) -> Result<(), FleetError> {
        let settings = json!({
            "place": endpoints.0.to_string(),
            "listen": endpoints.1.to_string(),
            "operators": operators.to_string(),
            "locality": zone,
            "seeds": self.seeds,
            "data": self.folder.join(format!("{name}.data")).display().to_string(),
            "platform": self.platform.to_string(),
        });
        let machine = Machine {
            operators: Some(operators),
            ..self.process_machine(name, "controller", zone, endpoints)
        };
        self.put_with_settings(machine, &settings)
    }

    fn put_daemon(
        &mut self,
        name: &str,
        zone: &str,
        ingress: SocketAddress,
        endpoints: Endpoints,
    ) -> Result<(), FleetError> {
        let settings = json!({
            "member": name,
            "place": endpoints.0.to_string(),
            "listen": endpoints.1.to_string(),
            "door": ingress.to_string(),
            "locality": zone,
            "seeds": self.seeds,
            "platform": self.platform.to_string(),
            "threads": 2,
        });
        let machine = Machine {
            ingress: Some(ingress),
            ..self.process_machine(name, "daemon", zone, endpoints)
        };
        self.put_with_settings(machine, &settings)
    }

    fn put_platform_stub(
        &mut self,
        sizes: &Sizes,
        ingresses: &[SocketAddress],
        seed: u64,
        reuse_ports: bool,
    ) {
        let name = "platform-stub";
        let records = self.folder.join("platform-stub.jsonl");
        let ingresses: Vec<String> = ingresses.iter().map(ToString::to_string).collect();
        let options = [
            ("--place", self.platform.to_string()),
            ("--workers", sizes.workers.to_string()),
            ("--memory", sizes.worker_mb.to_string()),
            ("--localities", sizes.zones.to_string()),
            ("--doors", ingresses.join(",")),
            ("--seed", seed.to_string()),
            ("--records", records.display().to_string()),
        ];
        let mut arguments: Vec<String> = options
            .into_iter()
            .flat_map(|(flag, value)| [flag.to_owned(), value])
            .collect();
        if reuse_ports {
            arguments.push("--reuse".to_owned());
        }
        let machine = Machine {
            name: name.to_owned(),
            program: name,
            binary: self.programs.join(name),
            arguments,
            ingress: None,
            operators: None,
            zone: String::new(),
            endpoints: None,
        };
        self.machines.insert(name.to_owned(), machine);
    }

    /// A controller or daemon behind a network proxy, without addresses for callers and operators.
    fn process_machine(
        &self,
        name: &str,
        program: &'static str,
        zone: &str,
        endpoints: Endpoints,
    ) -> Machine {
        let mut arguments = vec![
            "--boot".to_owned(),
            self.settings_path(name).display().to_string(),
        ];
        if let Some(rule) = self.without.filter(|_| program == "daemon") {
            arguments.extend(["--without".to_owned(), rule.to_string()]);
        }
        Machine {
            name: name.to_owned(),
            program,
            binary: self.programs.join(self.binary_name(program)),
            arguments,
            ingress: None,
            operators: None,
            zone: zone.to_owned(),
            endpoints: Some(endpoints),
        }
    }

    fn settings_path(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.json"))
    }

    fn put_with_settings(&mut self, machine: Machine, settings: &Value) -> Result<(), FleetError> {
        let path = self.settings_path(&machine.name);
        let text = serde_json::to_string_pretty(settings).unwrap_or_default();
        std::fs::write(&path, text).map_err(|error| FleetError::Machine(path, error))?;
        self.machines.insert(machine.name.clone(), machine);
        Ok(())
    }

    /// The name of the executable. Controllers with disk faults and daemons without a rule are test programs around
    /// the same libraries.
    fn binary_name(&self, program: &'static str) -> &'static str {
        match program {
            "controller" if self.has_faulty_disks => "ailing-controller",
            "daemon" if self.without.is_some() => "flawed-daemon",
            "controller" => "rudder-controller",
            "daemon" => "rudderd",
            _ => program,
        }
    }

    /// The file that controls the fault of a controller's disk; without it the disk works.
    pub fn disk_file(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.json.disk"))
    }

    /// Adds a controller with new addresses and an empty disk in the given zone.
    ///
    /// # Errors
    /// Fails if no ports are free or its settings cannot be written.
    pub fn add_controller(&mut self, name: &str, zone: &str) -> Result<(), FleetError> {
        let at = |error| FleetError::Machine(self.folder.clone(), error);
        let operators = free_addresses(1).map_err(at)?[0];
        let endpoints = machine_addresses(self.machine_count).map_err(at)?;
        self.machine_count += 1;
        self.put_controller(name, zone, operators, endpoints)
    }

    /// The operator API addresses of all controllers.
    pub fn operators(&self) -> Vec<SocketAddress> {
        self.machines
            .values()
            .filter_map(|machine| machine.operators)
            .collect()
    }

    /// The ingress addresses of all daemons.
    pub fn ingresses(&self) -> Vec<SocketAddress> {
        self.machines
            .values()
            .filter_map(|machine| machine.ingress)
            .collect()
    }
}
