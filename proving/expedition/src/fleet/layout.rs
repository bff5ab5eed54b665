use super::FleetFault;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::path::{Path, PathBuf};
use waymark::frames::Place;

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
    /// Its locality.
    pub locality: String,
}

/// The fleet's sizes.
#[derive(Clone, Debug)]
pub struct Sizes {
    /// Daemon machines.
    pub daemons: usize,
    /// Localities.
    pub localities: usize,
    /// Workers.
    pub workers: usize,
    /// Memory of one worker in megabytes.
    pub worker_mb: u64,
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
        let places = free_places(1 + 6 + sizes.daemons * 2).map_err(at)?;
        let platform = places[0];
        let seeds: Vec<String> = places[1..4].iter().map(Place::to_string).collect();
        let mut layout = Self {
            folder: folder.to_owned(),
            machines: BTreeMap::new(),
            platform,
            programs: programs.to_owned(),
            seeds: seeds.clone(),
        };
        for number in 0..3 {
            let name = format!("surveyor-{}", number + 1);
            let locality = format!("locality-{}", number % sizes.localities + 1);
            let operators = places[4 + number];
            let settings = json!({
                "place": seeds[number],
                "operators": operators.to_string(),
                "locality": locality,
                "seeds": seeds,
                "data": folder.join(format!("{name}.data")).display().to_string(),
                "platform": platform.to_string(),
            });
            layout.add(&name, "surveyor", &settings, None, Some(operators), locality)?;
        }
        let mut doors = Vec::new();
        for number in 0..sizes.daemons {
            let name = format!("trailhead-{:02}", number + 1);
            let locality = format!("locality-{}", number % sizes.localities + 1);
            let door = places[7 + number * 2 + 1];
            let settings = json!({
                "member": name,
                "place": places[7 + number * 2].to_string(),
                "door": door.to_string(),
                "locality": locality,
                "seeds": seeds,
                "platform": platform.to_string(),
                "threads": 2,
            });
            doors.push(door.to_string());
            layout.add(&name, "trailhead", &settings, Some(door), None, locality)?;
        }
        let mut hut_arguments: Vec<String> = [
            ("--place", platform.to_string()),
            ("--workers", sizes.workers.to_string()),
            ("--memory", sizes.worker_mb.to_string()),
            ("--localities", sizes.localities.to_string()),
            ("--doors", doors.join(",")),
            ("--seed", seed.to_string()),
            ("--records", folder.join("hut.jsonl").display().to_string()),
        ]
        .into_iter()
        .flat_map(|(flag, value)| [flag.to_owned(), value])
        .collect();
        if reuse {
            hut_arguments.push("--reuse".to_owned());
        }
        let hut = Machine {
            name: "hut".to_owned(),
            program: "hut",
            binary: programs.join("hut"),
            arguments: hut_arguments,
            door: None,
            operators: None,
            locality: String::new(),
        };
        layout.machines.insert("hut".to_owned(), hut);
        Ok(layout)
    }

    fn add(
        &mut self,
        name: &str,
        program: &'static str,
        settings: &Value,
        door: Option<Place>,
        operators: Option<Place>,
        locality: String,
    ) -> Result<(), FleetFault> {
        let boot_path = self.folder.join(format!("{name}.json"));
        let text = serde_json::to_string_pretty(settings).unwrap_or_default();
        std::fs::write(&boot_path, text)
            .map_err(|fault| FleetFault::Machine(boot_path.clone(), fault))?;
        let machine = Machine {
            name: name.to_owned(),
            program,
            binary: self.programs.join(program),
            arguments: vec!["--boot".to_owned(), boot_path.display().to_string()],
            door,
            operators,
            locality,
        };
        self.machines.insert(name.to_owned(), machine);
        Ok(())
    }

    /// One more surveyor at an address of its own, with an empty disk, in another's locality.
    pub fn add_surveyor(&mut self, name: &str, locality: &str) -> Result<(), FleetFault> {
        let at = |fault| FleetFault::Machine(self.folder.clone(), fault);
        let places = free_places(2).map_err(at)?;
        let settings = json!({
            "place": places[0].to_string(),
            "operators": places[1].to_string(),
            "locality": locality,
            "seeds": self.seeds,
            "data": self.folder.join(format!("{name}.data")).display().to_string(),
            "platform": self.platform.to_string(),
        });
        self.add(name, "surveyor", &settings, None, Some(places[1]), locality.to_owned())
    }

    /// Where operators reach the surveyors.
    pub fn operators(&self) -> Vec<Place> {
        self.machines.values().filter_map(|machine| machine.operators).collect()
    }

    /// Where callers reach the daemons.
    pub fn doors(&self) -> Vec<Place> {
        self.machines.values().filter_map(|machine| machine.door).collect()
    }
}
