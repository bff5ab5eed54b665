//! The machines of a fleet: names, places, settings and files.

use super::FleetFault;
use common::frames::Place;
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
    pub door: Option<Place>,
    /// Where operators reach it.
    pub operators: Option<Place>,
    /// Its zone.
    pub zone: String,
    /// Where other processes reach it, and where it listens behind its relay.
    pub ways: Option<(Place, Place)>,
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
    pub disks_ail: bool,
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
    pub platform: Place,
    /// The folder of the programs.
    pub programs: PathBuf,
    /// The three seed addresses.
    pub seeds: Vec<String>,
    disks_ail: bool,
    without: Option<Rule>,
    machine_count: usize,
}

fn free_places(count: usize) -> std::io::Result<Vec<Place>> {
    let listeners = (0..count)
        .map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)))
        .collect::<std::io::Result<Vec<TcpListener>>>()?;
    listeners
        .iter()
        .map(|listener| {
            let port = listener.local_addr()?.port();
            Ok(Place(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)))
        })
        .collect()
}

/// Two free ports on a loopback address of a machine's own.
fn machine_places(number: usize) -> std::io::Result<(Place, Place)> {
    let ip = Ipv4Addr::new(127, 0, 1 + (number / 250) as u8, 1 + (number % 250) as u8);
    let first = TcpListener::bind((ip, 0))?;
    let second = TcpListener::bind((ip, 0))?;
    let place_of = |listener: &TcpListener| {
        listener.local_addr().map(|address| Place(SocketAddrV4::new(ip, address.port())))
    };
    Ok((place_of(&first)?, place_of(&second)?))
}

impl Layout {
    /// Lays out a fleet in a folder, which is made.
    pub fn new(
        folder: &Path,
        programs: &Path,
        sizes: &Sizes,
        seed: u64,
        reuse: bool,
    ) -> Result<Self, FleetFault> {
        let at = |fault| FleetFault::Machine(folder.to_owned(), fault);
        std::fs::create_dir_all(folder).map_err(at)?;
        let places = free_places(4 + sizes.daemons).map_err(at)?;
        let platform = places[0];
        let ways = (0..3 + sizes.daemons)
            .map(machine_places)
            .collect::<std::io::Result<Vec<(Place, Place)>>>()
            .map_err(at)?;
        let seeds: Vec<String> = ways[..3].iter().map(|(place, _)| place.to_string()).collect();
        let mut layout = Self {
            folder: folder.to_owned(),
            machines: BTreeMap::new(),
            platform,
            programs: programs.to_owned(),
            seeds: seeds.clone(),
            disks_ail: sizes.disks_ail,
            without: sizes.without,
            machine_count: 3 + sizes.daemons,
        };
        for number in 0..3 {
            let name = format!("controller-{}", number + 1);
            let zone = format!("locality-{}", number % sizes.zones + 1);
            let operators = places[1 + number];
            let settings = json!({
                "place": seeds[number],
                "listen": ways[number].1.to_string(),
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
                ways[number],
            )?;
        }
        let mut doors = Vec::new();
        for number in 0..sizes.daemons {
            let name = format!("daemon-{:02}", number + 1);
            let zone = format!("locality-{}", number % sizes.zones + 1);
            let door = places[4 + number];
            let (place, listen) = ways[3 + number];
            let settings = json!({
                "member": name,
                "place": place.to_string(),
                "listen": listen.to_string(),
                "door": door.to_string(),
                "locality": zone,
                "seeds": seeds,
                "platform": platform.to_string(),
                "threads": 2,
            });
            doors.push(door.to_string());
            let own_ways = (place, listen);
            layout.add(&name, "daemon", &settings, Some(door), None, zone, own_ways)?;
        }
        let mut stub_arguments: Vec<String> = [
            ("--place", platform.to_string()),
            ("--workers", sizes.workers.to_string()),
            ("--memory", sizes.worker_mb.to_string()),
            ("--localities", sizes.zones.to_string()),
            ("--doors", doors.join(",")),
            ("--seed", seed.to_string()),
            ("--records", folder.join("platform-stub.jsonl").display().to_string()),
        ]
        .into_iter()
        .flat_map(|(flag, value)| [flag.to_owned(), value])
        .collect();
        if reuse {
            stub_arguments.push("--reuse".to_owned());
        }
        let platform_stub = Machine {
            name: "platform-stub".to_owned(),
            program: "platform-stub",
            binary: programs.join("platform-stub"),
            arguments: stub_arguments,
            door: None,
            operators: None,
            zone: String::new(),
            ways: None,
        };
        layout.machines.insert("platform-stub".to_owned(), platform_stub);
        Ok(layout)
    }

    #[allow(clippy::too_many_arguments)]
    fn add(
        &mut self,
        name: &str,
        program: &'static str,
        settings: &Value,
        door: Option<Place>,
        operators: Option<Place>,
        zone: String,
        ways: (Place, Place),
    ) -> Result<(), FleetFault> {
        let boot_path = self.folder.join(format!("{name}.json"));
        let text = serde_json::to_string_pretty(settings).unwrap_or_default();
        std::fs::write(&boot_path, text)
            .map_err(|fault| FleetFault::Machine(boot_path.clone(), fault))?;
        let mut arguments = vec!["--boot".to_owned(), boot_path.display().to_string()];
        if let Some(rule) = self.without.filter(|_| program == "daemon") {
            arguments.extend(["--without".to_owned(), rule.to_string()]);
        }
        let machine = Machine {
            name: name.to_owned(),
            program,
            binary: self.programs.join(self.binary_of(program)),
            arguments,
            door,
            operators,
            zone,
            ways: Some(ways),
        };
        self.machines.insert(name.to_owned(), machine);
        Ok(())
    }

    /// Controllers whose disks can be made to ail, and daemons that lack a rule, come from programs of the
    /// proving tools around the same libraries.
    fn binary_of(&self, program: &'static str) -> &'static str {
        match program {
            "controller" if self.disks_ail => "ailing-controller",
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
    pub fn add_controller(&mut self, name: &str, zone: &str) -> Result<(), FleetFault> {
        let at = |fault| FleetFault::Machine(self.folder.clone(), fault);
        let operators = free_places(1).map_err(at)?[0];
        let ways = machine_places(self.machine_count).map_err(at)?;
        self.machine_count += 1;
        let settings = json!({
            "place": ways.0.to_string(),
            "listen": ways.1.to_string(),
            "operators": operators.to_string(),
            "locality": zone,
            "seeds": self.seeds,
            "data": self.folder.join(format!("{name}.data")).display().to_string(),
            "platform": self.platform.to_string(),
        });
        self.add(name, "controller", &settings, None, Some(operators), zone.to_owned(), ways)
    }

    /// Where operators reach the controllers.
    pub fn operators(&self) -> Vec<Place> {
        self.machines.values().filter_map(|machine| machine.operators).collect()
    }

    /// Where callers reach the daemons.
    pub fn doors(&self) -> Vec<Place> {
        self.machines.values().filter_map(|machine| machine.door).collect()
    }
}
