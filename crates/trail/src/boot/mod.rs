//! The trailhead's boot settings.

use std::time::Duration;
use waymark::frames::Place;
use waymark::identity::{Locality, MemberName};
use waymark::readers::{BootFault, BootSource, read_listen, read_place, read_places};

/// What a trailhead needs to know before it starts.
#[derive(Clone, Debug)]
pub struct TrailheadBoot {
    /// Where the settings came from, for fault messages.
    pub source: String,
    /// Its name.
    pub member: MemberName,
    /// Its locality.
    pub locality: Locality,
    /// Where other processes reach it, over TCP and UDP.
    pub place: Place,
    /// Where it listens for them, if that is another port.
    pub listen: Place,
    /// Where callers reach it.
    pub door: Place,
    /// The three surveyors' places.
    pub seeds: Vec<Place>,
    /// The platform.
    pub platform: Place,
    /// The largest body taken from a caller or a runner.
    pub largest_body: usize,
    /// How long a daemon may take to leave.
    pub grace: Duration,
    /// Worker threads; zero lets the machine decide.
    pub threads: usize,
}

impl TrailheadBoot {
    /// Reads and checks the settings.
    pub fn read(boot_source: &BootSource) -> Result<Self, BootFault> {
        boot_source.read(|root| {
            root.only(&[
                "member",
                "locality",
                "place",
                "listen",
                "door",
                "seeds",
                "platform",
                "largest_body",
                "grace_ms",
                "threads",
            ]);
            let member = root.field("member").text();
            let locality = root.field("locality").text();
            let place = read_place(&root.field("place"));
            let listen = read_listen(root, place);
            let door = read_place(&root.field("door"));
            let seeds = read_places(&root.field("seeds"), 3);
            let platform = read_place(&root.field("platform"));
            let largest_body = root.field("largest_body").number_or(1..=64 << 20, 1 << 20);
            let grace_ms = root.field("grace_ms").number_or(500..=60_000, 5_600);
            let threads = root.field("threads").number_or(0..=256, 0);
            Some(Self {
                source: boot_source.name().to_owned(),
                member: MemberName::from(member?),
                locality: Locality::from(locality?),
                place: place?,
                listen: listen?,
                door: door?,
                seeds: seeds?,
                platform: platform?,
                largest_body: largest_body as usize,
                grace: Duration::from_millis(grace_ms),
                threads: threads as usize,
            })
        })
    }
}
