use crate::plane::Plane;
use prometheus::{Encoder, IntCounter, IntGauge, Registry, TextEncoder};

/// The surveyor's metrics.
pub struct Gauges {
    registry: Registry,
    leads: IntGauge,
    term: IntGauge,
    serial: IntGauge,
    in_force: IntGauge,
    desk: Vec<(&'static str, IntGauge)>,
    rejected: IntCounter,
    /// Frames from daemons.
    pub frames_up: IntCounter,
    /// Frames to daemons.
    pub frames_down: IntCounter,
    /// Bytes of specs and changes pushed to daemons.
    pub pushed_bytes: IntCounter,
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let new_gauge = IntGauge::new(name, help).unwrap_or_else(|_| unreachable_gauge());
    let _ = registry.register(Box::new(new_gauge.clone()));
    new_gauge
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let made = IntCounter::new(name, help).expect("a constant name is valid");
    let _ = registry.register(Box::new(made.clone()));
    made
}

fn unreachable_gauge() -> IntGauge {
    IntGauge::with_opts(prometheus::Opts::new("rudder_unnamed", "unnamed"))
        .expect("a constant name is valid")
}

impl Gauges {
    /// All at zero.
    pub fn new() -> Self {
        let registry = Registry::new();
        let rejected = IntCounter::new(
            "rudder_frames_rejected_total",
            "connections closed for what they sent",
        )
        .expect("a constant name is valid");
        let _ = registry.register(Box::new(rejected.clone()));
        let frames_up = counter(&registry, "rudder_stream_frames_up_total", "frames from daemons");
        let frames_down =
            counter(&registry, "rudder_stream_frames_down_total", "frames to daemons");
        let pushed_bytes =
            counter(&registry, "rudder_pushed_bytes_total", "bytes of specs and changes pushed");
        Self {
            frames_up,
            frames_down,
            pushed_bytes,
            leads: gauge(&registry, "rudder_core_leads", "1 while this surveyor leads"),
            term: gauge(&registry, "rudder_core_term", "the present term"),
            serial: gauge(&registry, "rudder_core_committed_serial", "the newest committed serial"),
            in_force: gauge(
                &registry,
                "rudder_core_in_force_serial",
                "the newest serial in force everywhere",
            ),
            desk: vec![
                ("members", gauge(&registry, "rudder_desk_members", "daemons with a stream here")),
                ("holders", gauge(&registry, "rudder_desk_holders", "functions held")),
                ("runners", gauge(&registry, "rudder_desk_runners", "runners placed")),
                (
                    "workers_used",
                    gauge(&registry, "rudder_desk_workers_used", "workers with a runner"),
                ),
            ],
            rejected,
            registry,
        }
    }

    /// Takes the plane's present state.
    pub fn set(&self, plane: &Plane) {
        let core = plane.core();
        self.leads.set(i64::from(core.is_leader()));
        self.term.set(core.term().0 as i64);
        self.serial.set(core.committed().serial.0 as i64);
        let desk_counts = plane.desk().map(|desk| desk.counts());
        self.in_force.set(plane.desk().map_or(0, |desk| desk.in_force().0 as i64));
        for (place, (_, desk_gauge)) in self.desk.iter().enumerate() {
            desk_gauge.set(desk_counts.map_or(0, |counts| counts[place].1 as i64));
        }
    }

    /// Counts a connection closed for what it sent.
    pub fn count_rejected(&self) {
        self.rejected.inc();
    }

    /// The metrics page.
    pub fn page(&self) -> Vec<u8> {
        let mut page_bytes = Vec::new();
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut page_bytes);
        page_bytes
    }
}
