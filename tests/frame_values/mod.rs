//! What routers tell each other, with at least one value of each kind, and the messages that the build
//! under test makes of it. Each value is one that its message expresses exactly.

use std::net::Ipv4Addr;
use std::time::Duration;

use bytes::Bytes;
use hawthornrouter::dialect::LoadReport;
use hawthornrouter::fleet::member_table::{MemberRecord, MemberStage};
use hawthornrouter::fleet::store_stamp::StoreStamp;
use hawthornrouter::fleet::store_view::{StoreChange, StoreItem};
use hawthornrouter::fleet::version_history::{HistoryReport, VersionUse, history_time};
use hawthornrouter::gossip::frames::{
    DocumentFrame, DocumentRequest, DocumentResponse, HeartbeatFrame, LoadColumns, MemberColumns,
    RateColumns, StreamColumns, SuspectColumns, VersionColumns,
};
use hawthornrouter::ids::{
    CallTag, DataCenterTag, IncarnationId, PartTag, ServiceKey, StreamTag, SuspectTag,
    UpstreamStart, VersionTag,
};
use hawthornrouter::mono::MonoTime;
use hawthornrouter::policy::latest_loads::{UpstreamLoad, UpstreamTag};
use hawthornrouter::policy::leaving_upstreams::LeavingReport;
use hawthornrouter::policy::rate_limits::RateReport;
use hawthornrouter::policy::spent_attempts::{AccountSubject, SpentAttempts};
use hawthornrouter::policy::stream_versions::StreamReport;
use hawthornrouter::policy::suspect_reports::{CrashReport, SoundReport, SuspectReports};
use hawthornrouter::policy::suspect_work::suspect_time;
use hawthornrouter::units::RequestRate;
use prost::Message;

/// Time of the sender and of the receiver.
pub const NOW: MonoTime = MonoTime(Duration::from_mins(10));

pub const CONFIG_VERSION: u64 = 41;
pub const STORE_REVISION: u64 = 90_001;
pub const STORE_ERA: u64 = 3;
pub const STORE_AGE_MS: u64 = 450;
pub const COVERED_S: u32 = 19;
pub const UPTIME_S: u32 = 7;

/// The router that passes a call on, and the call.
pub const SENDER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
pub const INCARNATION: IncarnationId = IncarnationId(0x1234_5678_9abc_def0);
pub const SUBJECT: AccountSubject<'_> = AccountSubject {
    request_id: b"id-1",
    work: 7,
};

pub const ASKED: [u64; 2] = [11, 12];
pub const MISSING: [u64; 1] = [13];

fn before(age_ms: u64) -> MonoTime {
    NOW.saturating_sub(Duration::from_millis(age_ms))
}

/// The records of members with their ages; the first one is that of the sender.
pub fn members() -> Vec<(MemberRecord, Duration)> {
    let stages = [
        MemberStage::Serving,
        MemberStage::Booting,
        MemberStage::Leaving,
    ];
    let numbered = (1_u8..).zip(stages);
    numbered
        .map(|(number, stage)| {
            let record = MemberRecord {
                address: Ipv4Addr::new(10, 0, 0, number),
                incarnation: IncarnationId(u64::MAX - u64::from(number)),
                stage,
                data_center: DataCenterTag(16_000 + u16::from(number)),
            };
            (record, Duration::from_millis(u64::from(number - 1) * 333))
        })
        .collect()
}

pub fn loads() -> Vec<UpstreamLoad> {
    let load = |tag, running, waiting, age_ms| UpstreamLoad {
        upstream: UpstreamTag(tag),
        load: LoadReport {
            running,
            waiting,
            ..LoadReport::default()
        },
        at: before(age_ms),
    };
    vec![load(u32::MAX, 64, 0, 0), load(7, 300, 12, 1270)]
}

/// Times of these reports are of the clock of [`suspect_time`].
pub fn suspects() -> SuspectReports {
    let at = |age_ms| suspect_time(before(age_ms));
    SuspectReports {
        crashes: vec![
            CrashReport {
                tag: SuspectTag::Part(PartTag(u64::MAX)),
                upstream: UpstreamTag(7),
                at: at(20),
            },
            CrashReport {
                tag: SuspectTag::Call(CallTag(5)),
                upstream: UpstreamTag(8),
                at: at(59_990),
            },
        ],
        sound: vec![
            SoundReport {
                tag: SuspectTag::Call(CallTag(6)),
                at: at(0),
            },
            SoundReport {
                tag: SuspectTag::Part(PartTag(9)),
                at: at(130),
            },
        ],
    }
}

/// Reports about parts alone, which name no kinds.
pub fn part_suspects() -> SuspectReports {
    let mut suspects = suspects();
    suspects.crashes.truncate(1);
    suspects.sound.remove(0);
    suspects
}

pub fn rates() -> Vec<RateReport> {
    let rate = |tag, limit, age_ms| RateReport {
        upstream: UpstreamTag(tag),
        limit,
        at: before(age_ms),
    };
    vec![
        rate(7, Some(RequestRate::from_milli(2500)), 10),
        rate(8, Some(RequestRate::from_milli(0)), 20),
        rate(9, None, 30),
    ]
}

pub fn leaving() -> Vec<LeavingReport> {
    let leaving = |start, age_ms| LeavingReport {
        upstream: UpstreamStart(start),
        at: before(age_ms),
    };
    vec![leaving(u64::MAX, 0), leaving(3, 2_000)]
}

pub fn history() -> HistoryReport {
    let at = |age_ms| history_time(before(age_ms));
    let version = |service, version, age_ms| VersionUse {
        service: ServiceKey(service),
        version: VersionTag(version),
        last_used: at(age_ms),
    };
    HistoryReport {
        uses: vec![
            version(1, u64::MAX, 0),
            version(1, 22, 30_001),
            version(2, 23, 1),
        ],
        covered_since: Some(at(119_999)),
        covered_until: at(451),
    }
}

/// What a router says that knows of no time since when its history is whole.
pub fn gap_history() -> HistoryReport {
    HistoryReport {
        covered_since: None,
        ..history()
    }
}

/// A report as its receiver has it: what is known ends a millisecond sooner, for the rounding of ages.
pub fn heard(report: HistoryReport) -> HistoryReport {
    let covered_until = report
        .covered_until
        .saturating_sub(Duration::from_millis(1));
    HistoryReport {
        covered_until,
        ..report
    }
}

pub fn streams() -> Vec<StreamReport> {
    let stream = |stream, version, left_ms| StreamReport {
        stream: StreamTag(stream),
        version: VersionTag(version),
        until: NOW + Duration::from_millis(left_ms),
    };
    vec![stream(u64::MAX, 21, 17_999), stream(10, u64::MAX, 1)]
}

pub fn documents() -> Vec<StoreChange> {
    let item = |key: &str, revision| StoreItem {
        key: key.to_owned(),
        value: Bytes::from(format!("content of {key}")),
        stamp: StoreStamp::new(STORE_ERA, revision),
    };
    vec![
        StoreChange::Written(item("op/config", 88_000)),
        StoreChange::Withheld {
            item: item("servers/i-1", 88_001),
            span: Duration::from_secs(9),
        },
        StoreChange::Removed {
            key: "servers/i-2".to_owned(),
            stamp: StoreStamp::new(STORE_ERA, STORE_REVISION),
            grace: Duration::from_millis(1_234),
        },
        StoreChange::Removed {
            key: "servers/i-3".to_owned(),
            stamp: StoreStamp::new(STORE_ERA, 88_002),
            grace: Duration::ZERO,
        },
    ]
}

/// A heartbeat without reports.
pub fn plain_heartbeat() -> HeartbeatFrame {
    let mut columns = MemberColumns::default();
    for (record, age) in members() {
        columns.push(&record, age);
    }
    HeartbeatFrame {
        members: Some(columns),
        config_version: CONFIG_VERSION,
        store_revision: STORE_REVISION,
        store_era: STORE_ERA,
        store_age_ms: Some(STORE_AGE_MS),
        covered_s: Some(COVERED_S),
        uptime_s: Some(UPTIME_S),
        ..HeartbeatFrame::default()
    }
}

/// A heartbeat with reports of all kinds.
pub fn full_heartbeat() -> HeartbeatFrame {
    let mut frame = plain_heartbeat();
    frame.loads = Some(LoadColumns::new(&loads(), NOW));
    frame.suspects = Some(SuspectColumns::new(&suspects(), suspect_time(NOW)));
    frame.rates = Some(RateColumns::new(&rates(), NOW));
    frame.set_leaving(&leaving(), NOW);
    frame.versions = Some(VersionColumns::new(&history(), NOW));
    frame
}

/// A notice of a router that has not reached the store, and has run and known all versions for long.
pub fn notice() -> HeartbeatFrame {
    let mut frame = plain_heartbeat();
    frame.members = Some(MemberColumns::default());
    if let (Some(columns), Some((own, age))) = (&mut frame.members, members().first()) {
        columns.push(own, *age);
    }
    frame.store_age_ms = None;
    frame.covered_s = None;
    frame.uptime_s = None;
    let suspects = part_suspects();
    frame.suspects = Some(SuspectColumns::new(&suspects, suspect_time(NOW)));
    frame
}

pub fn records() -> HeartbeatFrame {
    HeartbeatFrame::with_streams(StreamColumns::new(&streams(), NOW))
}

pub fn questions() -> HeartbeatFrame {
    HeartbeatFrame::with_streams(StreamColumns {
        asked: ASKED.to_vec(),
        ..StreamColumns::default()
    })
}

/// The answer to questions, one of which is for an unknown stream.
pub fn answers() -> HeartbeatFrame {
    HeartbeatFrame::with_streams(StreamColumns {
        missing: MISSING.to_vec(),
        ..StreamColumns::new(&streams(), NOW)
    })
}

pub fn document_request() -> DocumentRequest {
    DocumentRequest {
        config_version: CONFIG_VERSION,
        store_revision: STORE_REVISION,
        store_era: STORE_ERA,
    }
}

pub fn document_response() -> DocumentResponse {
    DocumentResponse {
        documents: documents().into_iter().map(DocumentFrame::from).collect(),
        store_revision: STORE_REVISION,
        full: true,
        store_era: STORE_ERA,
        base_revision: 87_000,
        versions: Some(VersionColumns::new(&gap_history(), NOW)),
        evacuations: None,
    }
}

/// The encoded heartbeats by name.
pub fn heartbeats() -> Vec<(&'static str, HeartbeatFrame)> {
    vec![
        ("heartbeat", full_heartbeat()),
        ("plain-heartbeat", plain_heartbeat()),
        ("notice", notice()),
        ("records", records()),
        ("questions", questions()),
        ("answers", answers()),
    ]
}

/// A heartbeat of a router that says that it can't read the store and that it proves versions.
pub fn capabilities() -> HeartbeatFrame {
    HeartbeatFrame {
        lacks_store: true,
        proves_versions: true,
        ..plain_heartbeat()
    }
}

/// What a call that is passed on says of its attempts.
pub fn account() -> String {
    let spent = SpentAttempts {
        arrivals: 1,
        sends: 2,
        connects: 3,
        tried: vec![UpstreamStart(5), UpstreamStart(u64::MAX)],
    };
    spent.seal(SENDER, INCARNATION, SUBJECT)
}

/// All that is kept of a landing: the messages that ebd3ef4 knows, and later ones.
pub fn kept() -> Vec<(&'static str, Vec<u8>)> {
    let mut messages = encoded();
    messages.push(("capabilities", capabilities().encode_to_vec()));
    messages.push(("account", account().into_bytes()));
    messages
}

/// The messages that ebd3ef4 knows by name, as the build under test encodes them.
pub fn encoded() -> Vec<(&'static str, Vec<u8>)> {
    let heartbeats = heartbeats().into_iter();
    let mut messages: Vec<_> = heartbeats
        .map(|(name, frame)| (name, frame.encode_to_vec()))
        .collect();
    messages.push(("document-request", document_request().encode_to_vec()));
    messages.push(("document-response", document_response().encode_to_vec()));
    messages
}
