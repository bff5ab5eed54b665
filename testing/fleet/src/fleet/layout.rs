//! The machines of a fleet: names, places, settings and files.

use super::FleetError;
use common::frames::SocketAddress;
use common::rules::Rule;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::path::{Path, PathBuf};

/// One process and how it is started.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Its name.
    pub name: String,
    /// Which program it runs.
    pub program: &'static str,
    /// The program's file.
    pub binary: PathBuf,
    /// Its arguments.
    pub arguments: Vec<String>,
    /// Where callers reach it.
    pub ingress: Option<SocketAddress>,
    /// Where operators reach it.
    pub operators: Option<SocketAddress>,
    /// Its zone.
    pub zone: String,
    /// Where other processes reach it, and where it listens behind its relay.
    pub endpoints: Option<(SocketAddress, SocketAddress)>,
}

/// The fleet's sizes.
#[derive(Clone, Debug)]
pub struct Sizes {
    /// Daemon machines.
    pub daemons: usize,
    /// Localities.
    pub zones: usize,
    /// Workers.
    pub workers: usize,
    /// Memory of one worker in megabytes.
    pub worker_mb: u64,
    /// Whether the controllers' disks can be made to ail.
    pub has_faulty_disks: bool,
    /// The rule that the daemons lack, if any.
    pub without: Option<Rule>,
}

/// Who stands where.
#[derive(Clone, Debug)]
pub struct Layout {
    /// The folder of settings, logs and records.
    pub folder: PathBuf,
    /// Every process by name.
    pub machines: BTreeMap<String, Machine>,
    /// The platform.
    pub platform: SocketAddress,
    /// The folder of the programs.
    pub programs: PathBuf,
    /// The three seed addresses.
    pub seeds: Vec<String>,
    has_faulty_disks: bool,
    without: Option<Rule>,
    machine_count: usize,
}

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

/// Two free ports on a loopback address of a machine's own.
fn machine_addresses(number: usize) -> std::io::Result<(SocketAddress, SocketAddress)> {
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
    /// Lays out a fleet in a folder, which is made.
    pub fn new(
        folder: &Path,
        programs: &Path,
        sizes: &Sizes,
        seed: u64,
        reuse_ports: bool,
    ) -> Result<Self, FleetError> {
        let at = |error| FleetError::Machine(folder.to_owned(), error);
        std::fs::create_dir_all(folder).map_err(at)?;
        let addresses = free_addresses(4 + sizes.daemons).map_err(at)?;
        let platform = addresses[0];
        let endpoints = (0..3 + sizes.daemons)
            .map(machine_addresses)
            .collect::<std::io::Result<Vec<(SocketAddress, SocketAddress)>>>()
            .map_err(at)?;
        let seeds: Vec<String> = endpoints[..3]
            .iter()
            .map(|(address, _)| address.to_string())
            .collect();
        let mut layout = Self {
            folder: folder.to_owned(),
            machines: BTreeMap::new(),
            platform,
            programs: programs.to_owned(),
            seeds: seeds.clone(),
            has_faulty_disks: sizes.has_faulty_disks,
            without: sizes.without,
            machine_count: 3 + sizes.daemons,
        };
        for number in 0..3 {
            let name = format!("controller-{}", number + 1);
            let zone = format!("locality-{}", number % sizes.zones + 1);
            let operators = addresses[1 + number];
            let settings = json!({
                "place": seeds[number],
                "listen": endpoints[number].1.to_string(),
                "operators": operators.to_string(),
                "locality": zone,
                "seeds": seeds,
                "data": folder.join(format!("{name}.data")).display().to_string(),
                "platform": platform.to_string(),
            });
            layout.add(
                &name,
                "controller",
                &settings,
                None,
                Some(operators),
                zone,
                endpoints[number],
            )?;
        }
        let mut ingresses = Vec::new();
        for number in 0..sizes.daemons {
            let name = format!("daemon-{:02}", number + 1);
            let zone = format!("locality-{}", number % sizes.zones + 1);
            let ingress = addresses[4 + number];
            let (address, listen) = endpoints[3 + number];
            let settings = json!({
                "member": name,
                "place": address.to_string(),
                "listen": listen.to_string(),
                "door": ingress.to_string(),
                "locality": zone,
                "seeds": seeds,
                "platform": platform.to_string(),
                "threads": 2,
            });
            ingresses.push(ingress.to_string());
            let own_endpoints = (address, listen);
            layout.add(
                &name,
                "daemon",
                &settings,
                Some(ingress),
                None,
                zone,
                own_endpoints,
            )?;
        }
        let mut stub_arguments: Vec<String> = [
            ("--place", platform.to_string()),
            ("--workers", sizes.workers.to_string()),
            ("--memory", sizes.worker_mb.to_string()),
            ("--localities", sizes.zones.to_string()),
            ("--doors", ingresses.join(",")),
            ("--seed", seed.to_string()),
            (
                "--records",
                folder.join("platform-stub.jsonl").display().to_string(),
            ),
        ]
        .into_iter()
        .flat_map(|(flag, value)| [flag.to_owned(), value])
        .collect();
        if reuse_ports {
            stub_arguments.push("--reuse".to_owned());
        }
        let platform_stub = Machine {
            name: "platform-stub".to_owned(),
            program: "platform-stub",
            binary: programs.join("platform-stub"),
            arguments: stub_arguments,
            ingress: None,
            operators: None,
            zone: String::new(),
            endpoints: None,
        };
        layout
            .machines
            .insert("platform-stub".to_owned(), platform_stub);
        Ok(layout)
    }

    #[allow(clippy::too_many_arguments)]
    fn add(
        &mut self,
        name: &str,
        program: &'static str,
        settings: &Value,
        ingress: Option<SocketAddress>,
        operators: Option<SocketAddress>,
        zone: String,
        endpoints: (SocketAddress, SocketAddress),
    ) -> Result<(), FleetError> {
        let boot_path = self.folder.join(format!("{name}.json"));
        let text = serde_json::to_string_pretty(settings).unwrap_or_default();
        std::fs::write(&boot_path, text)
            .map_err(|error| FleetError::Machine(boot_path.clone(), error))?;
        let mut arguments = vec!["--boot".to_owned(), boot_path.display().to_string()];
        if let Some(rule) = self.without.filter(|_| program == "daemon") {
            arguments.extend(["--without".to_owned(), rule.to_string()]);
        }
        let machine = Machine {
            name: name.to_owned(),
            program,
            binary: self.programs.join(self.binary_name(program)),
            arguments,
            ingress,
            operators,
            zone,
            endpoints: Some(endpoints),
        };
        self.machines.insert(name.to_owned(), machine);
        Ok(())
    }

    /// Controllers whose disks can be made to ail, and daemons that lack a rule, come from programs of the
    /// proving tools around the same libraries.
    fn binary_name(&self, program: &'static str) -> &'static str {
        match program {
            "controller" if self.has_faulty_disks => "ailing-controller",
            "daemon" if self.without.is_some() => "flawed-daemon",
            "controller" => "rudder-controller",
            "daemon" => "rudderd",
            _ => program,
        }
    }

    /// The file that says how a controller's disk ails.
    pub fn disk_file(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.json.disk"))
    }

    /// One more controller at an address of its own, with an empty disk, in another's zone.
    pub fn add_controller(&mut self, name: &str, zone: &str) -> Result<(), FleetError> {
        let at = |error| FleetError::Machine(self.folder.clone(), error);
        let operators = free_addresses(1).map_err(at)?[0];
        let endpoints = machine_addresses(self.machine_count).map_err(at)?;
        self.machine_count += 1;
        let settings = json!({
            "place": endpoints.0.to_string(),
            "listen": endpoints.1.to_string(),
            "operators": operators.to_string(),
            "locality": zone,
            "seeds": self.seeds,
            "data": self.folder.join(format!("{name}.data")).display().to_string(),
            "platform": self.platform.to_string(),
        });
        self.add(
            name,
            "controller",
            &settings,
            None,
            Some(operators),
            zone.to_owned(),
            endpoints,
        )
    }

    /// Where operators reach the controllers.
    pub fn operators(&self) -> Vec<SocketAddress> {
        self.machines
            .values()
            .filter_map(|machine| machine.operators)
            .collect()
    }

    /// Where callers reach the daemons.
    pub fn ingresses(&self) -> Vec<SocketAddress> {
        self.machines
            .values()
            .filter_map(|machine| machine.ingress)
            .collect()
    }
}
