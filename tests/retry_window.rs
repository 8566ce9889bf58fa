//! Guards against retries of many routers that together exceed the fleet's retry budget, of which
//! each router spends its share without coordination.

use std::time::Duration;

use hawthornrouter::mono::MonoTime;
use hawthornrouter::policy::retry_window::{RetryTerms, RetryWindow};

const TERMS: RetryTerms = RetryTerms {
    ratio: 0.2,
    slack: 54.0,
    window: Duration::from_secs(10),
};

#[test]
fn fleet_stays_within_budget() {
    // Every call of every router fails and is repeated as often as its window allows. The repeats
    // of all routers together must stay within the fleet's budget in any window.
    for routers in [1, 4, 27] {
        let mut windows = vec![RetryWindow::default(); routers];
        let mut calls = Vec::new();
        let mut repeats = Vec::new();
        for step in 0..4000u64 {
            let now = MonoTime(Duration::from_millis(10 * step));
            let window = &mut windows[step as usize % routers];
            window.record_call(&TERMS, now);
            calls.push(now);
            while window.affordable(&TERMS, routers, now) {
                window.record_repeat(now);
                repeats.push(now);
            }
        }
        let within = |times: &[MonoTime], end: MonoTime| {
            times
                .iter()
                .filter(|&&at| at <= end && end.since(at) < TERMS.window)
                .count() as f64
        };
        for &end in calls.iter().step_by(50) {
            let allowed = TERMS.ratio * within(&calls, end) + TERMS.slack;
            assert!(within(&repeats, end) <= allowed, "{routers} routers");
        }
        assert!(
            repeats.len() > 400,
            "the fleet uses too little of the budget: {}",
            repeats.len()
        );
    }
}

#[test]
fn router_without_calls_uses_its_slack_share() {
    let mut window = RetryWindow::default();
    let now = MonoTime(Duration::from_secs(1));
    let mut spent = 0;
    while window.affordable(&TERMS, 4, now) {
        window.record_repeat(now);
        spent += 1;
    }
    assert!(
        (8..=13).contains(&spent),
        "not the router's share of the slack: {spent}"
    );
    let later = now + TERMS.window + Duration::from_millis(1);
    assert!(window.affordable(&TERMS, 4, later));
}
