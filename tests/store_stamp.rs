//! Guards against an order of the store's states in which a revision from before a restore wins over
//! one that was given out again.

use hawthornrouter::fleet::store_stamp::StoreStamp;
use proptest::prelude::*;

proptest! {
    #[test]
    fn later_era_wins(era: u64, later: u64, first: u64, second: u64) {
        prop_assume!(era < later);
        prop_assert!(StoreStamp::new(era, first) < StoreStamp::new(later, second));
    }

    #[test]
    fn revisions_order_an_era(era: u64, first: u64, second: u64) {
        let order = StoreStamp::new(era, first).cmp(&StoreStamp::new(era, second));
        prop_assert_eq!(order, first.cmp(&second));
    }

    #[test]
    fn default_comes_first(era: u64, revision: u64) {
        prop_assert!(StoreStamp::default() <= StoreStamp::new(era, revision));
    }

    #[test]
    fn text_round_trip(era: u64, revision: u64) {
        let stamp = StoreStamp::new(era, revision);
        prop_assert_eq!(stamp.to_string().parse(), Ok(stamp));
    }
}

#[test]
fn invalid_texts() {
    for text in ["", ".", "1", "1.", ".1", "-1.2", "1.2.3", "1.x"] {
        assert!(text.parse::<StoreStamp>().is_err(), "{text}");
    }
}
