//! What routers tell each other about suspects: crashes of upstreams, and sound answers.

use crate::ids::SuspectTag;
use crate::mono::MonoTime;
use crate::policy::latest_loads::UpstreamTag;

/// An upstream crashed before it answered a call that has this suspect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CrashReport {
    pub tag: SuspectTag,
    /// The upstream that crashed.
    pub upstream: UpstreamTag,
    /// Time of the crash, on this router's clock.
    pub at: MonoTime,
}

/// An upstream answered a call that has this suspect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SoundReport {
    pub tag: SuspectTag,
    /// Time of the answer, on this router's clock.
    pub at: MonoTime,
}

/// The reports about suspects in one heartbeat.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SuspectReports {
    pub crashes: Vec<CrashReport>,
    pub sound: Vec<SoundReport>,
}

impl SuspectReports {
    /// Number of reports of both kinds.
    pub fn len(&self) -> usize {
        self.crashes.len() + self.sound.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
