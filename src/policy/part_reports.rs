//! What routers tell each other about prompt parts: crashes of upstreams, and sound answers.

use crate::ids::PartTag;
use crate::mono::MonoTime;
use crate::policy::latest_loads::UpstreamTag;

/// An upstream crashed before it answered a call whose prompt has this part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CrashReport {
    pub part: PartTag,
    /// The upstream that crashed.
    pub upstream: UpstreamTag,
    /// Time of the crash, on this router's clock.
    pub at: MonoTime,
}

/// An upstream answered a call whose prompt has this part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SoundReport {
    pub part: PartTag,
    /// Time of the answer, on this router's clock.
    pub at: MonoTime,
}

/// The reports about prompt parts in one heartbeat.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PartReports {
    pub crashes: Vec<CrashReport>,
    pub sound: Vec<SoundReport>,
}

impl PartReports {
    /// Number of reports of both kinds.
    pub fn len(&self) -> usize {
        self.crashes.len() + self.sound.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
