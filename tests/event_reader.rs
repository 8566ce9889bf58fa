//! Whole events out of any pieces.

use hawthornrouter::forward::event_reader::EventReader;
use proptest::prelude::*;

fn event(id: u64, data: &str) -> String {
    format!("id: {id}\ndata: {data}\n\n")
}

proptest! {
    #[test]
    fn any_pieces(
        sizes in prop::collection::vec(1usize..40, 1..60),
        data in prop::collection::vec("[a-z:\n]{0,12}", 1..12),
        crlf in any::<bool>(),
    ) {
        let mut text = String::new();
        for (id, data) in data.iter().enumerate() {
            // A blank line would end the event.
            let data = data.replace('\n', "\ndata:");
            text += &event(id as u64, &data);
        }
        if crlf {
            text = text.replace('\n', "\r\n");
        }
        let mut reader = EventReader::new(None);
        let mut out = Vec::new();
        let mut rest = text.as_bytes();
        for size in sizes.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (piece, after) = rest.split_at((*size).min(rest.len()));
            rest = after;
            let whole = reader.push(piece).expect("ids rise");
            prop_assert!(whole.is_empty() || whole.ends_with(b"\n\n") || whole.ends_with(b"\r\n\r\n"));
            out.extend_from_slice(&whole);
        }
        prop_assert_eq!(out, text.as_bytes());
        prop_assert_eq!(reader.event_count(), data.len() as u64);
        prop_assert_eq!(reader.last_id(), Some(data.len() as u64 - 1));
        prop_assert!(!reader.is_partial());
    }

    #[test]
    fn any_bytes(pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..80), 0..20)) {
        let mut reader = EventReader::new(Some(3));
        for piece in pieces {
            if reader.push(&piece).is_err() {
                break;
            }
        }
    }
}

#[test]
fn falling_ids() {
    for (first, second) in [(4, 4), (4, 3)] {
        let mut reader = EventReader::new(None);
        reader.push(event(first, "a").as_bytes()).unwrap();
        assert!(reader.push(event(second, "b").as_bytes()).is_err());
    }
    let mut reader = EventReader::new(Some(7));
    assert!(reader.push(event(7, "a").as_bytes()).is_err());
}

#[test]
fn restart_keeps_last() {
    let mut reader = EventReader::new(None);
    reader.push(event(0, "a").as_bytes()).unwrap();
    reader.push(b"id: 1\nda").unwrap();
    assert!(reader.is_partial());
    reader.restart();
    assert!(!reader.is_partial());
    assert_eq!(reader.last_id(), Some(0));
    let whole = reader.push(event(1, "again").as_bytes()).unwrap();
    assert_eq!(whole, event(1, "again"));
}
