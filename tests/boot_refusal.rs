//! A fleet was restarted while the store is down, and callers come back once. Guards against
//! callers who return too early, are refused again and lost.

use std::time::Duration;

use hawthornrouter::policy::boot_refusal::boot_retry_after;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Callers who are refused during an outage of `outage_s` and are served by their one return, as a
/// share. They have `time_left_s` and wait a third of it at most.
fn served_share<F>(outage_s: f64, time_left_s: f64, mut wait: F) -> f64
where
    F: FnMut(f64) -> f64,
{
    const CALLERS: u32 = 1000;
    let served = (0..CALLERS).filter(|number| {
        let arrival = outage_s * f64::from(*number) / f64::from(CALLERS);
        arrival + wait(arrival).min(time_left_s / 3.0) >= outage_s
    });
    served.count() as f64 / f64::from(CALLERS)
}

#[test]
fn outlasts_an_outage() {
    for outage_s in [0.5, 1.0, 2.0, 3.0] {
        for time_left_s in [3.0, 12.0] {
            let mut rng = ChaCha8Rng::seed_from_u64(1);
            let growing = served_share(outage_s, time_left_s, |arrival| {
                let outage = Duration::from_secs_f64(arrival);
                boot_retry_after(outage, rng.random()).as_secs_f64()
            });
            let fixed = served_share(outage_s, time_left_s, |_| 0.2);
            println!("outage {outage_s} s, {time_left_s} s left: {growing:.2}, fixed {fixed:.2}");
            assert!(growing >= fixed);
            // Who can't wait for more than a third of the time left can't outlast a long outage.
            let reachable = (time_left_s / 3.0 / outage_s).min(0.5);
            assert!(growing >= 0.9 * reachable, "{growing} of {reachable}");
        }
    }
}

#[test]
fn short_where_the_store_responds() {
    for draw in [0.0, 0.5, 1.0] {
        let wait = boot_retry_after(Duration::from_millis(50), draw);
        assert!(wait >= Duration::from_millis(200) && wait <= Duration::from_millis(300));
    }
    let longest = boot_retry_after(Duration::from_hours(1), 1.0);
    assert!(longest <= Duration::from_secs(6));
}
