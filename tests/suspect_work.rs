//! Guards against holds of prompt parts that crash nothing, and against parts that crash upstreams
//! and are not held.

use std::net::Ipv4Addr;
use std::time::Duration;

use hawthornrouter::ids::{PartTag, SuspectTag};
use hawthornrouter::mono::MonoTime;
use hawthornrouter::policy::latest_loads::UpstreamTag;
use hawthornrouter::policy::suspect_reports::{CrashReport, SoundReport, SuspectReports};
use hawthornrouter::policy::suspect_work::{SuspectChange, SuspectDecision, SuspectWork};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SHARED: SuspectTag = SuspectTag::Part(PartTag(1));
const OTHER: SuspectTag = SuspectTag::Part(PartTag(2));
const BAD: SuspectTag = SuspectTag::Part(PartTag(0xdead));

fn part_tag(hash: u64) -> SuspectTag {
    SuspectTag::Part(PartTag(hash))
}

fn at(ms: u64) -> MonoTime {
    MonoTime(Duration::from_millis(1_000_000 + ms))
}

fn router(index: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, index)
}

/// Decides about a call at the only router of a fleet.
fn decide(suspects: &mut SuspectWork, parts: &[SuspectTag], ms: u64) -> SuspectDecision {
    suspects.decide(parts, router(1), [router(1)].into_iter(), at(ms))
}

fn is_held(suspects: &mut SuspectWork, tag: SuspectTag, ms: u64) -> bool {
    matches!(
        decide(suspects, &[tag], ms),
        SuspectDecision::Hold { .. } | SuspectDecision::Trial(_)
    )
}

/// Crashes of `count` upstreams under calls with `parts`, half a second apart.
fn crash(suspects: &mut SuspectWork, parts: &[SuspectTag], count: u32, from_ms: u64) {
    for number in 0..count {
        let ms = from_ms + 500 * u64::from(number);
        suspects.record_crash(parts, UpstreamTag(from_ms as u32 + number), at(ms));
    }
}

proptest! {
    #[test]
    fn part_at_any_position_is_held(count in 1u64..10, position in 0usize..10) {
        let mut parts: Vec<SuspectTag> = (1..=count).map(part_tag).collect();
        let mut suspects = SuspectWork::default();
        suspects.record_sound(&parts, at(0));
        parts.insert(position.min(parts.len()), BAD);
        crash(&mut suspects, &parts, 3, 2000);
        prop_assert!(is_held(&mut suspects, BAD, 3501));
        for part in (1..=count).map(part_tag) {
            prop_assert!(!is_held(&mut suspects, part, 3501), "{part} is held");
        }
    }
}

#[test]
fn two_crashing_parts() {
    let second = part_tag(0xbad);
    let mut suspects = SuspectWork::default();
    suspects.record_sound(&[SHARED], at(0));
    crash(&mut suspects, &[SHARED, BAD], 3, 2000);
    crash(&mut suspects, &[SHARED, second], 3, 2250);
    assert!(is_held(&mut suspects, BAD, 4000));
    assert!(is_held(&mut suspects, second, 4000));
    assert!(!is_held(&mut suspects, SHARED, 4000));
}

#[test]
fn part_that_was_sound_before() {
    let mut suspects = SuspectWork::default();
    suspects.record_sound(&[BAD], at(0));
    crash(&mut suspects, &[BAD], 5, 200);
    assert!(is_held(&mut suspects, BAD, 2800));
}

#[test]
fn answers_clear_parts() {
    // Just before the last crash, beside it, and after it.
    for sound_ms in [2200, 3000, 3600] {
        let mut suspects = SuspectWork::default();
        for (ms, upstream) in [(2000, 1), (2500, 2), (3000, 3)] {
            if sound_ms <= ms {
                suspects.record_sound(&[SHARED], at(sound_ms));
            }
            suspects.record_crash(&[SHARED], UpstreamTag(upstream), at(ms));
        }
        suspects.record_sound(&[SHARED], at(sound_ms));
        assert!(!is_held(&mut suspects, SHARED, 4000), "sound at {sound_ms}");
    }
}

#[test]
fn calls_beside_crashing_part() {
    // Calls with `OTHER` were at each crashed upstream too, but not in every crash.
    let mut suspects = SuspectWork::default();
    for number in 0..5 {
        let ms = 2000 + 500 * u64::from(number);
        suspects.record_crash(&[BAD], UpstreamTag(number), at(ms));
        if number < 4 {
            suspects.record_crash(&[OTHER], UpstreamTag(number), at(ms));
        }
    }
    assert!(is_held(&mut suspects, BAD, 5000));
    assert!(!is_held(&mut suspects, OTHER, 5000));
}

#[test]
fn upstreams_that_fail_together() {
    let mut suspects = SuspectWork::default();
    for number in 0..40 {
        let ms = 2000 + 5 * u64::from(number);
        suspects.record_crash(&[SHARED, OTHER], UpstreamTag(number), at(ms));
    }
    assert!(!is_held(&mut suspects, SHARED, 3000));
    assert!(!is_held(&mut suspects, OTHER, 3000));
}

#[test]
fn one_crash_seen_by_many() {
    // Several calls of one upstream, and the same crash as other routers saw it.
    let mut suspects = SuspectWork::default();
    for ms in [2000, 2001, 2400, 2800, 3300] {
        suspects.record_crash(&[OTHER], UpstreamTag(7), at(ms));
    }
    assert!(!is_held(&mut suspects, OTHER, 4000));
}

#[test]
fn hold_doubles_after_failed_trial() {
    // Crashes before the hold do not prolong it.
    for crashes in [3, 6, 20] {
        let mut suspects = SuspectWork::default();
        crash(&mut suspects, &[BAD], crashes, 0);
        let last_ms = 500 * u64::from(crashes - 1);
        let SuspectDecision::Hold { held, retry_after } =
            decide(&mut suspects, &[SHARED, BAD], last_ms + 1000)
        else {
            panic!("not held");
        };
        assert_eq!((held.tag, held.crashes), (BAD, crashes.min(8) as usize));
        assert_eq!(retry_after, Duration::from_secs(59));
        let trial_ms = last_ms + 61_000;
        let SuspectDecision::Trial(_) = decide(&mut suspects, &[BAD], trial_ms) else {
            panic!("no trial");
        };
        // Only one call is sent.
        let second = decide(&mut suspects, &[BAD], trial_ms + 10);
        assert!(matches!(second, SuspectDecision::Hold { .. }), "{second:?}");
        suspects.record_crash(&[BAD], UpstreamTag(99_999), at(trial_ms + 100));
        let SuspectDecision::Hold { retry_after, .. } =
            decide(&mut suspects, &[BAD], trial_ms + 100)
        else {
            panic!("not held");
        };
        assert_eq!(retry_after, Duration::from_mins(2));
    }
}

#[test]
fn second_appearance_after_quiet_minute() {
    let mut suspects = SuspectWork::default();
    crash(&mut suspects, &[BAD], 5, 0);
    for minute in 1..10 {
        suspects.remove_expired(at(60_000 * minute));
    }
    // One trial of the whole fleet is due, and nothing more.
    let sent = (0..100).filter(|call| {
        let decision = decide(&mut suspects, &[BAD], 600_000 + call);
        !matches!(decision, SuspectDecision::Hold { .. })
    });
    assert_eq!(sent.count(), 1);
}

#[test]
fn answered_trial_ends_hold() {
    let mut suspects = SuspectWork::default();
    crash(&mut suspects, &[BAD], 3, 0);
    let changes = suspects.take_changes(at(60_000));
    assert!(matches!(changes[..], [SuspectChange::Held(held)] if held.tag == BAD));
    suspects.record_sound(&[BAD], at(70_000));
    assert_eq!(decide(&mut suspects, &[BAD], 70_001), SuspectDecision::Send);
    let changes = suspects.take_changes(at(70_001));
    assert_eq!(changes, [SuspectChange::Released(BAD)]);
}

#[test]
fn one_router_tries() {
    let mut suspects = SuspectWork::default();
    crash(&mut suspects, &[BAD], 3, 0);
    for minute in 0..5 {
        let ms = 61_500 + 60_000 * minute;
        let trials = (1..=200).filter(|&index| {
            let routers = (1..=200).map(router);
            let decision = suspects
                .clone()
                .decide(&[BAD], router(index), routers, at(ms));
            matches!(decision, SuspectDecision::Trial(_))
        });
        assert_eq!(trials.count(), 1, "minute {minute}");
    }
}

#[test]
fn call_of_second_crash_is_not_repeated() {
    let mut suspects = SuspectWork::default();
    let parts = [SHARED, BAD];
    crash(&mut suspects, &parts, 1, 0);
    assert!(suspects.may_repeat(&parts));
    crash(&mut suspects, &parts, 1, 500);
    assert!(!suspects.may_repeat(&parts));
    assert!(suspects.may_repeat(&[OTHER]));
}

#[test]
fn old_reports_do_not_revive_hold() {
    let mut suspects = SuspectWork::default();
    crash(&mut suspects, &[BAD], 3, 0);
    let stale = suspects.clone();
    suspects.record_sound(&[BAD], at(5000));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for round in 0..50 {
        let reports = stale.reports(at(5000 + 250 * round), &mut rng);
        suspects.merge(&reports, at(5000 + 250 * round));
        assert!(!is_held(&mut suspects, BAD, 5000 + 250 * round));
    }
}

#[test]
fn reports_of_others_count() {
    let mut suspects = SuspectWork::default();
    let report = |upstream, ms| CrashReport {
        tag: BAD,
        upstream: UpstreamTag(upstream),
        at: at(ms),
    };
    let crashes = SuspectReports {
        crashes: vec![report(1, 0), report(2, 500), report(3, 1000)],
        sound: Vec::new(),
    };
    suspects.merge(&crashes, at(1200));
    assert!(!is_held(&mut suspects, BAD, 1600), "no time to object");
    assert!(is_held(&mut suspects, BAD, 1700));
    let sound = SuspectReports {
        crashes: Vec::new(),
        sound: vec![SoundReport {
            tag: BAD,
            at: at(1100),
        }],
    };
    suspects.merge(&sound, at(1800));
    assert!(!is_held(&mut suspects, BAD, 1800));
}

/// Memory of [`SuspectWork`] is at most 4,096 parts with crashes and 16,384 that were answered.
#[test]
fn memory_is_bounded() {
    let mut suspects = SuspectWork::default();
    crash(&mut suspects, &[BAD], 3, 0);
    for part in 0..1_000_000 {
        suspects.record_sound(&[part_tag(1 << 32 | part)], at(2000));
    }
    for part in 0..20_000u64 {
        let parts = [part_tag(1 << 40 | part)];
        suspects.record_crash(&parts, UpstreamTag(part as u32), at(2000 + part));
    }
    assert!(suspects.remembered() <= 4096 + 2 * 8192);
    assert!(
        is_held(&mut suspects, BAD, 22_000),
        "others displace the part"
    );
}

#[test]
fn objection_to_announced_hold() {
    // One router has seen the crashes, the other an answer after them.
    let mut accuser = SuspectWork::default();
    let mut witness = SuspectWork::default();
    witness.record_sound(&[SHARED], at(2000));
    crash(&mut accuser, &[SHARED], 3, 1000);
    let announcement = accuser.take_notice();
    assert_eq!(announcement.crashes.len(), 3);
    let objection = witness.merge(&announcement, at(2010));
    assert_eq!(objection.sound.len(), 1);
    accuser.merge(&objection, at(2020));
    assert!(!is_held(&mut accuser, SHARED, 3000));
}
