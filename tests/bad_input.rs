//! Random, damaged or forged input must cause neither a panic nor a hang. Errors name the document;
//! forged tickets, events of other requests and damaged parts are rejected.

use bytes::Bytes;
use hawthornrouter::bundle::{ConfigManifest, PackedBundle, PartDigest, PartsByDigest};
use hawthornrouter::config::parse_yaml;
use hawthornrouter::fleet::config_state::ConfigState;
use hawthornrouter::ids::{AccountKey, IncarnationId, RevisionNumber, ServiceKey, VmKey};
use hawthornrouter::mono::MonoTime;
use hawthornrouter::policy::response_check::{EventVerdict, ResponseCheck};
use hawthornrouter::policy::ticket::CallTicket;
use hawthornrouter::policy::ticket_ledger::{SpendVerdict, TicketLedger};
use hawthornrouter::register::AssetRegister;
use hawthornrouter::rules::RuleBook;
use hawthornrouter::settings::RouterSettings;
use hawthornrouter::units::{ByteSize, ShareRatio, TimeSpan};
use hawthornrouter::wire::PeerFrame;
use proptest::prelude::*;
use prost::Message;

const REGISTER: &str = include_str!("../examples/bennani/register.yaml");
const SETTINGS: &str = include_str!("../examples/router.yaml");

fn ledger() -> TicketLedger {
    TicketLedger::new(VmKey(1), IncarnationId(2), [7; 32])
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn peer_frames(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        let _ = PeerFrame::decode(Bytes::from(bytes));
    }

    #[test]
    fn settings_with_inserted_text(at in 0..SETTINGS.len(), inserted in "\\PC{0,12}") {
        let mut text = SETTINGS.to_owned();
        if text.is_char_boundary(at) {
            text.insert_str(at, &inserted);
        }
        if let Err(error) = parse_yaml::<RouterSettings>("router.yaml", &text) {
            prop_assert!(error.to_string().starts_with("router.yaml:"));
        }
        let _ = parse_yaml::<RuleBook>("rules.yaml", &inserted);
    }

    #[test]
    fn register_with_removed_text(start in 0..REGISTER.len(), length in 0_usize..80) {
        let end = (start + length).min(REGISTER.len());
        let text = format!("{}{}", &REGISTER[..start], &REGISTER[end..]);
        if let Ok(register) = parse_yaml::<AssetRegister>("register.yaml", &text) {
            let _ = hawthornrouter::config::check_register("register.yaml", &text, &register);
        }
    }

    #[test]
    fn quantities(text in "\\PC{0,24}") {
        if let Ok(span) = text.parse::<TimeSpan>() {
            prop_assert_eq!(span.to_string().parse::<TimeSpan>().ok(), Some(span));
        }
        if let Ok(size) = text.parse::<ByteSize>() {
            prop_assert_eq!(size.to_string().parse::<ByteSize>().ok(), Some(size));
        }
        let _ = text.parse::<ShareRatio>();
    }

    #[test]
    fn forged_tickets(text in "[A-Za-z0-9_-]{0,200}", position in 0_usize..100) {
        let _ = text.parse::<CallTicket>();
        let mut ledger = ledger();
        let life = std::time::Duration::from_mins(1);
        let account = AccountKey(3);
        let ticket = ledger.mint(MonoTime::default(), account, ServiceKey(4), life, 9);
        let mut forged = ticket.expect("ticket").to_string().into_bytes();
        let position = position % forged.len();
        forged[position] = if forged[position] == b'A' { b'B' } else { b'A' };
        let forged = String::from_utf8(forged).expect("text");
        if let Ok(forged) = forged.parse::<CallTicket>()
            && forged != ticket.expect("ticket")
        {
            let verdict =
                ledger.spend(MonoTime::default(), &forged, account, ServiceKey(4), 0);
            prop_assert!(matches!(verdict, SpendVerdict::Ended(_)), "{:?}", verdict);
        }
    }

    #[test]
    fn foreign_events(events in proptest::collection::vec((any::<bool>(), 0_u64..6), 0..40)) {
        let mut check = ResponseCheck::new("own");
        let mut relayed = Vec::new();
        for (own, sequence) in events {
            let request = if own { "own" } else { "other" };
            if check.verify_event(request, sequence) == EventVerdict::Relay {
                prop_assert!(own);
                relayed.push(sequence);
            }
        }
        prop_assert_eq!(relayed, (0..check.relayed()).collect::<Vec<u64>>());
    }

    #[test]
    fn register_parts(part in "\\PC{0,200}", damaged in any::<bool>()) {
        let digest = PartDigest::of(&part);
        let manifest = ConfigManifest {
            revision: RevisionNumber(5),
            parts: vec![digest.clone()],
        };
        let text = if damaged { format!("{part}x") } else { part };
        let parts: PartsByDigest = [(digest, text)].into_iter().collect();
        let packed = PackedBundle { manifest: manifest.clone(), parts: parts.clone() };
        prop_assert!(packed.unpack().is_err());
        let mut state = ConfigState::default();
        prop_assert!(!state.complete(&manifest, parts));
        // A damaged part does not reject the revision, because another source may supply it intact.
        // An intact part with invalid records does.
        prop_assert_eq!(state.rejected().is_none(), damaged);
    }
}

/// Guards against a parser that follows nested values by recursion until its stack overflows.
#[test]
fn nested_documents() {
    let depth = 10_000;
    let arrays = format!("{}{}", "[".repeat(depth), "]".repeat(depth));
    let objects = format!("{}1{}", "{\"a\":".repeat(depth), "}".repeat(depth));
    let open = "[".repeat(depth);
    for text in [&arrays, &open, &format!("vm: {objects}")] {
        assert!(parse_yaml::<RouterSettings>("router.yaml", text).is_err());
        assert!(parse_yaml::<AssetRegister>("register.yaml", text).is_err());
        assert!(parse_yaml::<RuleBook>("rules.yaml", text).is_err());
    }
    for text in [&arrays, &objects, &open] {
        for part in [
            text.clone(),
            format!("{{\"kind\":\"rules\",\"value\":{text}}}"),
        ] {
            let digest = PartDigest::of(&part);
            let manifest = ConfigManifest {
                revision: RevisionNumber(5),
                parts: vec![digest.clone()],
            };
            let parts = [(digest, part)].into_iter().collect();
            assert!(PackedBundle { manifest, parts }.unpack().is_err());
        }
        assert!(serde_json::from_str::<ConfigManifest>(text).is_err());
    }
}
