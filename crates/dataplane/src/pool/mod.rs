//! Which kept connection to a runner is used, and which are dropped. No I/O.

use common::clock::Moment;
use common::identity::RunnerId;
use std::collections::BTreeMap;
use std::time::Duration;

/// The longest that a connection is kept without a transaction.
const LONGEST_IDLE: Duration = Duration::from_secs(10);
/// A runner's own limit is not waited out: it may end the connection while a transaction is on its way.
const BEFORE_ITS_END: Duration = Duration::from_secs(1);

/// Names a connection in this process.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct LinkNumber(pub u64);

/// Where a transaction goes.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Draw {
    /// On a kept connection.
    Kept(LinkNumber),
    /// On a new one, which has to be opened.
    Open(LinkNumber),
    /// Nowhere: the runner takes no more connections.
    Full,
}

struct Link {
    number: LinkNumber,
    /// Until when it may be drawn; none while a transaction is on it.
    idle_until: Option<Moment>,
}

/// The connections to runners, one transaction at a time on each.
#[derive(Default)]
pub struct Pool {
    links: BTreeMap<RunnerId, Vec<Link>>,
    last_number: u64,
}

impl Pool {
    /// A connection for one transaction: the kept one used last, or a new one while the runner takes more.
    pub fn draw(&mut self, now: Moment, runner: RunnerId, most: u32) -> Draw {
        let links = self.links.entry(runner).or_default();
        let fresh_link =
            links.iter_mut().rev().find(|link| link.idle_until.is_some_and(|until| now < until));
        if let Some(link) = fresh_link {
            link.idle_until = None;
            return Draw::Kept(link.number);
        }
        self.draw_new(runner, most)
    }

    /// A new connection, though others may be kept; those are none the better for one that just failed.
    pub fn draw_new(&mut self, runner: RunnerId, most: u32) -> Draw {
        let links = self.links.entry(runner).or_default();
        if links.len() >= most as usize {
            return Draw::Full;
        }
        self.last_number += 1;
        let number = LinkNumber(self.last_number);
        links.push(Link { number, idle_until: None });
        Draw::Open(number)
    }

    /// A believed answer came whole; false when the connection is to be dropped all the same. `kept_for`
    /// is how long the runner keeps it idle, if it says so.
    pub fn give_back(
        &mut self,
        now: Moment,
        runner: RunnerId,
        number: LinkNumber,
        kept_for: Option<Duration>,
    ) -> bool {
        let own_span = kept_for.map(|span| span.saturating_sub(BEFORE_ITS_END));
        let idle_span = own_span.map_or(LONGEST_IDLE, |span| span.min(LONGEST_IDLE));
        if idle_span.is_zero() {
            self.drop_link(runner, number);
            return false;
        }
        let Some(links) = self.links.get_mut(&runner) else { return false };
        let Some(place) = links.iter().position(|link| link.number == number) else { return false };
        let mut link = links.remove(place);
        link.idle_until = Some(now + idle_span);
        links.push(link);
        true
    }

    /// A connection has ended, or brought what nobody asked for, or is not trusted any more.
    pub fn drop_link(&mut self, runner: RunnerId, number: LinkNumber) {
        if let Some(links) = self.links.get_mut(&runner) {
            links.retain(|link| link.number != number);
            if links.is_empty() {
                self.links.remove(&runner);
            }
        }
    }

    /// Drops what has been idle for too long.
    pub fn sweep(&mut self, now: Moment) -> Vec<LinkNumber> {
        let mut dropped_numbers = Vec::new();
        self.links.retain(|_, links| {
            links.retain(|link| {
                let is_kept = link.idle_until.is_none_or(|until| now < until);
                if !is_kept {
                    dropped_numbers.push(link.number);
                }
                is_kept
            });
            !links.is_empty()
        });
        dropped_numbers
    }

    /// A runner is being stopped: its idle connections go, those in use when their transactions end.
    pub fn forget(&mut self, runner: RunnerId) -> Vec<LinkNumber> {
        let Some(links) = self.links.get_mut(&runner) else { return Vec::new() };
        let idle_links = links.extract_if(.., |link| link.idle_until.is_some());
        let dropped_numbers = idle_links.map(|link| link.number).collect();
        if links.is_empty() {
            self.links.remove(&runner);
        }
        dropped_numbers
    }

    /// How many connections there are to a runner.
    pub fn count(&self, runner: RunnerId) -> usize {
        self.links.get(&runner).map_or(0, Vec::len)
    }
}
