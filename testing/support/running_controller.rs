//! A controller that runs in the process of the test, on local ports.

use common::readers::SettingsSource;
use controlplane::drivers::{Controller, ControllerAdapters};
use controlplane::settings::ControllerSettings;
use controlplane::storage::{DiskFaultHook, NoFaults};
use serde_json::json;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use tokio::sync::watch;

/// A controller that runs in the process of the test.
pub(crate) struct RunningController {
    /// The address at which it serves operators.
    pub(crate) operators: SocketAddr,
    /// The address at which it serves other processes.
    pub(crate) address: SocketAddr,
    /// Stops the controller when set to true.
    #[allow(dead_code)]
    pub(crate) stop: watch::Sender<bool>,
}

fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address")
}

/// Starts a controller on free ports. If another program has taken one in the meantime, other ports are tried.
pub(crate) async fn start_controller(
    seed: Option<SocketAddr>,
    data: Option<&Path>,
) -> RunningController {
    start_controller_with_faults(seed, data, || Box::new(NoFaults)).await
}

/// Starts a controller like [`start_controller`], with a fault hook for its disk.
pub(crate) async fn start_controller_with_faults(
    seed: Option<SocketAddr>,
    data: Option<&Path>,
    fault_hook: impl Fn() -> Box<dyn DiskFaultHook>,
) -> RunningController {
    for _ in 0..20 {
        let (address, operators) = (free_address(), free_address());
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
            return RunningController {
                operators,
                address,
                stop: stop_sender,
            };
        }
    }
    panic!("no port is free");
}

/// Creates the data directory of a controller.
pub(crate) fn create_data_directory(name: &str) -> PathBuf {
    let folder =
        std::env::temp_dir().join(format!("controller-forms-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}
