//! What other routers have said that they can do. A router that is silent about a fact may or may not
//! have it.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use crate::fleet::member_table::MemberRecord;
use crate::ids::IncarnationId;

/// What a process says of itself in its heartbeats. `false` means that it has not said so.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MemberFacts {
    /// It says since when it has run, and so whether it has the records of streams.
    pub tells_uptime: bool,
    /// It takes a version for the only one after a read of the store alone.
    pub proves_versions: bool,
    /// It answers questions for the upstreams that have parts of prompts cached.
    pub answers_parts: bool,
}

/// Number of routers without each fact.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RoutersWithout {
    /// Routers that are known by the word of others alone; the other counts leave them out.
    pub heartbeat: usize,
    pub uptime: usize,
    pub version_proof: usize,
    pub part_answers: usize,
}

impl RoutersWithout {
    /// The counts with their names in metrics.
    pub fn labelled(self) -> [(&'static str, usize); 4] {
        [
            ("heartbeat", self.heartbeat),
            ("uptime_s", self.uptime),
            ("proves_versions", self.version_proof),
            ("answers_parts", self.part_answers),
        ]
    }
}

/// What the present process at each address has said. Another build may run there after the next start.
#[derive(Clone, Debug, Default)]
pub struct FactTable {
    runs: BTreeMap<Ipv4Addr, (IncarnationId, MemberFacts)>,
}

impl FactTable {
    /// Records what a heartbeat says of its sender.
    pub fn record(&mut self, sender: &MemberRecord, facts: MemberFacts) {
        self.runs
            .insert(sender.address, (sender.incarnation, facts));
    }

    /// What this run has said; `None` if no heartbeat of it was received.
    pub fn facts(&self, record: &MemberRecord) -> Option<MemberFacts> {
        let (incarnation, facts) = self.runs.get(&record.address)?;
        (*incarnation == record.incarnation).then_some(*facts)
    }

    /// Forgets runs that are not among `known`.
    pub fn retain(&mut self, known: &[MemberRecord]) {
        let known: BTreeMap<Ipv4Addr, IncarnationId> = known
            .iter()
            .map(|record| (record.address, record.incarnation))
            .collect();
        self.runs
            .retain(|address, (incarnation, _)| known.get(address) == Some(incarnation));
    }

    /// Counts the routers without each fact.
    pub fn count_without<'a, I>(&self, routers: I) -> RoutersWithout
    where
        I: Iterator<Item = &'a MemberRecord>,
    {
        let mut without = RoutersWithout::default();
        for record in routers {
            match self.facts(record) {
                None => without.heartbeat += 1,
                Some(facts) => {
                    without.uptime += usize::from(!facts.tells_uptime);
                    without.version_proof += usize::from(!facts.proves_versions);
                    without.part_answers += usize::from(!facts.answers_parts);
                }
            }
        }
        without
    }
}
