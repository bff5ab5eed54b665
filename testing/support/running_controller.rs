//! A controller that runs within the test, on ports of this machine.

use common::readers::SettingsSource;
use controlplane::drivers::{Controller, ControllerAdapters};
use controlplane::settings::ControllerSettings;
use controlplane::storage::{DiskFaultHook, NoFaults};
use serde_json::json;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use tokio::sync::watch;

/// A controller that runs within the test.
pub(crate) struct Running {
    /// Where it serves operators.
    pub(crate) operators: SocketAddr,
    /// Where it serves other processes.
    pub(crate) address: SocketAddr,
    /// Stops it once it is true.
    #[allow(dead_code)]
    pub(crate) stop: watch::Sender<bool>,
}

fn free_port() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address")
}

/// Starts a controller on ports that were just free; if another program has taken one since, it tries others.
pub(crate) async fn started(seed: Option<SocketAddr>, data: Option<&Path>) -> Running {
    started_with(seed, data, || Box::new(NoFaults)).await
}

/// The same with a fault hook at its disk.
pub(crate) async fn started_with(
    seed: Option<SocketAddr>,
    data: Option<&Path>,
    fault_hook: impl Fn() -> Box<dyn DiskFaultHook>,
) -> Running {
    for _ in 0..20 {
        let (address, operators) = (free_port(), free_port());
        let settings = json!({
            "place": address.to_string(), "operators": operators.to_string(), "locality": "north",
            "seeds": [seed.unwrap_or(address).to_string()], "platform": "127.0.0.1:9",
            "found_first": data.is_some(), "data": data.map(|folder| folder.display().to_string()),
        });
        let settings = ControllerSettings::read(&SettingsSource::from_value("FILE", settings))
            .expect("settings");
        let adapters = ControllerAdapters::native(settings.platform);
        if let Ok(controller) = Controller::open_with(&settings, fault_hook(), adapters).await {
            let (stop_sender, stop) = watch::channel(false);
            tokio::spawn(controller.run(stop));
            return Running {
                operators,
                address,
                stop: stop_sender,
            };
        }
    }
    panic!("no port is free");
}

/// A new folder for its data.
pub(crate) fn folder(name: &str) -> PathBuf {
    let folder =
        std::env::temp_dir().join(format!("controller-forms-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}
