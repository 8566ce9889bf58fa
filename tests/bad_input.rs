//! Bad input makes no panic and no hang, and its error names what was wrong.

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
    fn documents(at in 0..SETTINGS.len(), junk in "\\PC{0,12}") {
        let mut text = SETTINGS.to_owned();
        if text.is_char_boundary(at) {
            text.insert_str(at, &junk);
        }
        if let Err(error) = parse_yaml::<RouterSettings>("router.yaml", &text) {
            prop_assert!(error.to_string().starts_with("router.yaml:"));
        }
        let _ = parse_yaml::<RuleBook>("rules.yaml", &junk);
    }

    #[test]
    fn register_cuts(from in 0..REGISTER.len(), length in 0_usize..80) {
        let to = (from + length).min(REGISTER.len());
        let text = format!("{}{}", &REGISTER[..from], &REGISTER[to..]);
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
    fn forged_tickets(text in "[A-Za-z0-9_-]{0,200}", flip in 0_usize..100) {
        let _ = text.parse::<CallTicket>();
        let mut ledger = ledger();
        let life = std::time::Duration::from_mins(1);
        let account = AccountKey(3);
        let ticket = ledger.mint(MonoTime::default(), account, ServiceKey(4), life, 9);
        let mut forged = ticket.expect("ticket").to_string().into_bytes();
        let flip = flip % forged.len();
        forged[flip] = if forged[flip] == b'A' { b'B' } else { b'A' };
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
    fn crossed_events(events in proptest::collection::vec((any::<bool>(), 0_u64..6), 0..40)) {
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
        // A damaged part refuses nothing: another source may have it whole.
        prop_assert_eq!(state.rejected().is_none(), damaged);
    }
}
