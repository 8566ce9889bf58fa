//! The event reader must return exactly the complete events of a stream, however the network splits
//! its bytes, and must reject ids that don't increase.

use std::time::{Duration, Instant};

use hawthornrouter::forward::event_reader::EventReader;
use hawthornrouter::forward::relay_progress::RelayProgress;
use proptest::prelude::*;

fn event(id: u64, data: &str) -> String {
    format!("id: {id}\ndata: {data}\n\n")
}

proptest! {
    #[test]
    fn any_split_gives_all_events(
        sizes in prop::collection::vec(1usize..40, 1..60),
        data in prop::collection::vec("[a-z:\n]{0,12}", 1..12),
        crlf in any::<bool>(),
    ) {
        let mut text = String::new();
        for (id, data) in data.iter().enumerate() {
            // A blank line in the data would end the event early.
            let data = data.replace('\n', "\ndata:");
            text += &event(id as u64, &data);
        }
        if crlf {
            text = text.replace('\n', "\r\n");
        }
        let mut reader = EventReader::new(None);
        let mut progress = RelayProgress::default();
        let mut out = Vec::new();
        let mut rest = text.as_bytes();
        for size in sizes.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (chunk, after) = rest.split_at((*size).min(rest.len()));
            rest = after;
            let complete = progress.relay(reader.push(chunk).expect("ids increase"));
            prop_assert!(complete.is_empty()
                || complete.ends_with(b"\n\n")
                || complete.ends_with(b"\r\n\r\n"));
            out.extend_from_slice(&complete);
        }
        prop_assert_eq!(out, text.as_bytes());
        prop_assert_eq!(progress.event_count(), data.len() as u64);
        prop_assert_eq!(progress.last_id(), Some(data.len() as u64 - 1));
        prop_assert_eq!(reader.partial_bytes(), 0);
    }

    #[test]
    fn any_cuts_give_one_stream(
        cuts in prop::collection::vec((0usize..120, any::<bool>()), 0..6),
        sizes in prop::collection::vec(1usize..40, 1..20),
    ) {
        let events: Vec<String> = (0..6).map(|id| event(id, "some words")).collect();
        let mut progress = RelayProgress::default();
        let mut out = Vec::new();
        // The last attempt is sound.
        let attempts = cuts.into_iter().map(Some).chain([None]);
        for cut in attempts {
            let from = progress.last_id().map_or(0, |last| last as usize + 1);
            let mut body = events[from..].concat();
            if let Some((length, is_spoilt)) = cut {
                body.truncate(length);
                let sent = from + length / event(0, "some words").len();
                if is_spoilt && (1..=events.len()).contains(&sent) {
                    // A sound part, then an event once more.
                    body = events[from..sent].concat() + &events[sent - 1];
                }
            }
            let mut reader = EventReader::new(progress.last_id());
            let mut rest = body.as_bytes();
            for size in sizes.iter().cycle() {
                let (chunk, after) = rest.split_at((*size).min(rest.len()));
                rest = after;
                let Ok(batch) = reader.push(chunk) else { break };
                out.extend_from_slice(&progress.relay(batch));
                if rest.is_empty() {
                    break;
                }
            }
        }
        prop_assert_eq!(String::from_utf8(out).unwrap(), events.concat());
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..80), 0..20)
    ) {
        let mut reader = EventReader::new(Some(3));
        for chunk in chunks {
            if reader.push(&chunk).is_err() {
                break;
            }
        }
    }
}

#[test]
fn non_increasing_ids_are_rejected() {
    for (first, second) in [(4, 4), (4, 3)] {
        let mut reader = EventReader::new(None);
        reader.push(event(first, "a").as_bytes()).unwrap();
        assert!(reader.push(event(second, "b").as_bytes()).is_err());
    }
    let mut reader = EventReader::new(Some(7));
    assert!(reader.push(event(7, "a").as_bytes()).is_err());
}

#[test]
fn events_before_bad_one_are_not_skipped() {
    let mut progress = RelayProgress::default();
    let mut reader = EventReader::new(None);
    progress.relay(reader.push(event(0, "a").as_bytes()).unwrap());
    let spoilt = event(1, "b") + &event(2, "c") + &event(2, "d");
    assert!(reader.push(spoilt.as_bytes()).is_err());
    assert_eq!((progress.last_id(), progress.event_count()), (Some(0), 1));
}

#[test]
fn batch_without_ids_keeps_last_id() {
    let mut progress = RelayProgress::new(Some(4));
    assert!(!progress.has_begun());
    let mut reader = EventReader::new(progress.last_id());
    let bytes = progress.relay(reader.push(b": comment\n\nid: 5\nda").unwrap());
    assert_eq!(bytes, ": comment\n\n");
    assert_eq!((progress.last_id(), reader.partial_bytes()), (Some(4), 8));
}

/// Reads 1 MB of a body in pieces of `size` bytes and returns the shortest time of several tries.
fn read_time(text: &str, size: usize) -> Duration {
    let body = text.repeat((1 << 20) / text.len());
    let tries = (0..7).map(|_| {
        let start = Instant::now();
        let mut reader = EventReader::new(None);
        for piece in body.as_bytes().chunks(size) {
            reader.push(piece).expect("the body is sound");
        }
        start.elapsed()
    });
    tries.min().expect("there are tries")
}

/// Guards against a search that goes over the whole buffer after each event: large pieces must take
/// no longer than small ones.
#[test]
fn time_grows_with_length_only() {
    for text in ["data: x\n\n", "data: x\r\n\r\n", "\n", ":\n\n"] {
        let (small, large) = (read_time(text, 4 << 10), read_time(text, 400 << 10));
        assert!(
            large < 3 * small,
            "{text:?}: {small:?} in small pieces, {large:?} in large ones"
        );
    }
}
