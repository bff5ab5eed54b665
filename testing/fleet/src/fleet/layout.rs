//! The layout of a fleet: its machines with their names, addresses, settings and files.

use super::FleetError;
use super::address_block::AddressBlock;
use common::frames::SocketAddress;
use common::rules::Rule;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The number of controllers in a new fleet.
const CONTROLLERS: usize = 3;

/// The address of a process's network proxy, which other processes use, and the address on which the process itself
/// listens.
pub type Endpoints = (SocketAddress, SocketAddress);

/// One process of a fleet and how it is started.
#[derive(Clone, Debug)]
pub struct Machine {
    /// The name of the machine.
    pub name: String,
    /// The kind of program: `controller`, `daemon` or `platform-stub`.
    pub program: &'static str,
    /// The path of the executable.
    pub binary: PathBuf,
    /// The command-line arguments.
    pub arguments: Vec<String>,
    /// The ingress address for callers; daemons only.
    pub ingress: Option<SocketAddress>,
    /// The address of the operator API; controllers only.
    pub operators: Option<SocketAddress>,
    /// The zone of the machine; empty for the platform.
    pub zone: String,
    /// The addresses of the network proxy and of the process behind it; none for the platform.
    pub endpoints: Option<Endpoints>,
}

/// The size of a fleet, and whether test programs replace the real ones.
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
    /// The safety rule that is disabled in the daemons, if any.
    pub disabled_rule: Option<Rule>,
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
    /// The addresses of the initial controllers, which are the seeds in every process's settings.
    pub seeds: Vec<String>,
    has_faulty_disks: bool,
    disabled_rule: Option<Rule>,
    /// The number of controllers and daemons added so far, from which the next one's loopback address is derived.
    machine_count: usize,
    /// The addresses stay reserved as long as the layout or a clone of it exists.
    address_block: Arc<AddressBlock>,
}

impl Layout {
    /// Lays out a fleet, creates its folder and writes the machines' settings there. With `reuse_ports`, the platform
    /// gives new runners the ports of stopped ones.
    ///
    /// # Errors
    /// Fails if no loopback addresses are free or a file cannot be written.
    pub fn new(
        folder: &Path,
        programs: &Path,
        sizes: &Sizes,
        seed: u64,
        reuse_ports: bool,
    ) -> Result<Self, FleetError> {
        let at = |error| FleetError::Io(folder.to_owned(), error);
        std::fs::create_dir_all(folder).map_err(at)?;
        let address_block = AddressBlock::reserve().map_err(at)?;
        let mut layout = Self {
            folder: folder.to_owned(),
            machines: BTreeMap::new(),
            platform: address_block.platform(),
            programs: programs.to_owned(),
            seeds: (0..CONTROLLERS)
                .map(|machine| address_block.proxy_of(machine).to_string())
                .collect(),
            has_faulty_disks: sizes.has_faulty_disks,
            disabled_rule: sizes.disabled_rule,
            machine_count: 0,
            address_block: Arc::new(address_block),
        };
        let zone_of = |number: usize| format!("locality-{}", number % sizes.zones + 1);
        for number in 0..CONTROLLERS {
            let name = format!("controller-{}", number + 1);
            layout.add_controller(&name, &zone_of(number))?;
        }
        for number in 0..sizes.daemons {
            let name = format!("daemon-{:02}", number + 1);
            layout.add_daemon(&name, &zone_of(number))?;
        }
        layout.add_platform_stub(sizes, seed, reuse_ports);
        Ok(layout)
    }

    /// Adds a controller with new addresses and an empty disk in the given zone.
    ///
    /// # Errors
    /// Fails if its settings cannot be written.
    pub fn add_controller(&mut self, name: &str, zone: &str) -> Result<(), FleetError> {
        let (endpoints, operators) = self.next_addresses();
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
            ..self.new_machine(name, "controller", zone, endpoints)
        };
        self.add_with_settings(machine, &settings)
    }

    fn add_daemon(&mut self, name: &str, zone: &str) -> Result<(), FleetError> {
        let (endpoints, ingress) = self.next_addresses();
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
            ..self.new_machine(name, "daemon", zone, endpoints)
        };
        self.add_with_settings(machine, &settings)
    }

    /// Returns the addresses of the next machine: its endpoints, and its address for operators or callers.
    fn next_addresses(&mut self) -> (Endpoints, SocketAddress) {
        let machine = self.machine_count;
        self.machine_count += 1;
        let endpoints = (
            self.address_block.proxy_of(machine),
            self.address_block.listen_of(machine),
        );
        (endpoints, self.address_block.client_address_of(machine))
    }

    fn add_platform_stub(&mut self, sizes: &Sizes, seed: u64, reuse_ports: bool) {
        let name = "platform-stub";
        let records = self.folder.join("platform-stub.jsonl");
        let ingresses: Vec<String> = self.ingresses().iter().map(ToString::to_string).collect();
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

    /// Creates a controller or daemon behind a network proxy, without an address for callers or operators.
    fn new_machine(
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
        if let Some(rule) = self.disabled_rule.filter(|_| program == "daemon") {
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

    fn add_with_settings(&mut self, machine: Machine, settings: &Value) -> Result<(), FleetError> {
        let path = self.settings_path(&machine.name);
        let text = serde_json::to_string_pretty(settings).unwrap_or_default();
        std::fs::write(&path, text).map_err(|error| FleetError::Io(path, error))?;
        self.machines.insert(machine.name.clone(), machine);
        Ok(())
    }

    /// Returns the name of the executable. Controllers with disk faults and daemons with a disabled rule are test
    /// programs built from the same libraries.
    fn binary_name(&self, program: &'static str) -> &'static str {
        match program {
            "controller" if self.has_faulty_disks => "ailing-controller",
            "daemon" if self.disabled_rule.is_some() => "flawed-daemon",
            "controller" => "rudder-controller",
            "daemon" => "rudderd",
            _ => program,
        }
    }

    /// Returns the path of the file that injects a fault into a controller's disk. The disk works if there is no such
    /// file.
    pub fn disk_file(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.json.disk"))
    }

    /// Returns the operator API addresses of all controllers.
    pub fn operators(&self) -> Vec<SocketAddress> {
        self.machines
            .values()
            .filter_map(|machine| machine.operators)
            .collect()
    }

    /// Returns the ingress addresses of all daemons.
    pub fn ingresses(&self) -> Vec<SocketAddress> {
        self.machines
            .values()
            .filter_map(|machine| machine.ingress)
            .collect()
    }
}
