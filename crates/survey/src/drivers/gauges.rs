use crate::plane::Plane;
use prometheus::{IntCounter, IntGauge};
use waymark::metrics::Page;

/// The surveyor's metrics.
pub struct Gauges {
    page: Page,
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

impl Gauges {
    /// All at zero.
    pub fn new() -> Self {
        let page = Page::new();
        Self {
            frames_up: page.counter("rudder_stream_frames_up_total", "frames from daemons"),
            frames_down: page.counter("rudder_stream_frames_down_total", "frames to daemons"),
            pushed_bytes: page
                .counter("rudder_pushed_bytes_total", "bytes of specs and changes pushed"),
            leads: page.gauge("rudder_core_leads", "1 while this surveyor leads"),
            term: page.gauge("rudder_core_term", "the present term"),
            serial: page.gauge("rudder_core_committed_serial", "the newest committed serial"),
            in_force: page
                .gauge("rudder_core_in_force_serial", "the newest serial in force everywhere"),
            desk: vec![
                ("members", page.gauge("rudder_desk_members", "daemons with a stream here")),
                ("holders", page.gauge("rudder_desk_holders", "functions held")),
                ("runners", page.gauge("rudder_desk_runners", "runners placed")),
                ("workers_used", page.gauge("rudder_desk_workers_used", "workers with a runner")),
            ],
            rejected: page
                .counter("rudder_frames_rejected_total", "connections closed for what they sent"),
            page,
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
        self.page.text()
    }
}
