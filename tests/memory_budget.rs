//! Guards against memory that stays reserved after its call has ended, so that a router refuses
//! calls for ever, and against ordinary calls that large bodies push out.

use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use hawthornrouter::mono::MonoTime;
use hawthornrouter::policy::memory_budget::{
    BodyId, BudgetTerms, ClientKey, MemoryBudget, MemoryUse, SMALL_BODY_BYTES,
};
use proptest::prelude::*;

const MAX_BODY: usize = 4 << 20;

/// The terms of the smallest VM.
fn smallest() -> BudgetTerms {
    BudgetTerms::new(Some(112 << 20), Some(2870))
}

fn client(number: u8) -> ClientKey {
    ClientKey {
        address: Some(IpAddr::V4(Ipv4Addr::new(10, 0, 0, number))),
        account: None,
    }
}

fn at(ms: u64) -> MonoTime {
    MonoTime(Duration::from_millis(ms))
}

#[test]
fn ordinary_load_fits() {
    let mut budget = MemoryBudget::new(smallest());
    budget.set_connections(400);
    for number in 0..200 {
        let body = budget.open_body(client(number), Some(72_000), MAX_BODY, at(0));
        assert!(budget.grow_body(body.unwrap(), 72_000, at(0)).is_granted);
    }
    assert!(budget.has_connection());
}

#[test]
fn single_large_body_fits() {
    let mut budget = MemoryBudget::new(smallest());
    let body = budget.open_body(client(1), Some(MAX_BODY), MAX_BODY, at(0));
    assert!(budget.grow_body(body.unwrap(), MAX_BODY, at(0)).is_granted);
}

#[test]
fn small_body_displaces_large_one() {
    let mut budget = MemoryBudget::new(smallest());
    let large: Vec<BodyId> = (0..40)
        .filter_map(|_| budget.open_body(client(1), Some(MAX_BODY), MAX_BODY, at(0)))
        .collect();
    for &body in large.iter().cycle().take(40 * 64) {
        budget.grow_body(body, MAX_BODY / 64 - 1, at(0));
    }
    for number in 0..100 {
        let body = budget.open_body(client(2), Some(72_000), MAX_BODY, at(0));
        let decision = budget.grow_body(body.unwrap(), 72_000, at(0));
        assert!(decision.is_granted, "{number}");
    }
}

#[test]
fn client_with_most_open_loses() {
    let mut budget = MemoryBudget::new(smallest());
    let single = budget
        .open_body(client(1), Some(MAX_BODY), MAX_BODY, at(0))
        .unwrap();
    assert!(budget.grow_body(single, MAX_BODY / 2, at(0)).is_granted);
    let mut dropped = Vec::new();
    for _ in 0..40 {
        if let Some(body) = budget.open_body(client(2), Some(MAX_BODY), MAX_BODY, at(0)) {
            dropped.extend(budget.grow_body(body, MAX_BODY - 1, at(0)).dropped);
        }
    }
    assert!(budget.grow_body(single, MAX_BODY / 2, at(0)).is_granted);
    assert!(!dropped.contains(&single));
}

#[test]
fn stalled_body_loses_first() {
    let mut budget = MemoryBudget::new(smallest());
    let stalled = budget.open_body(client(1), None, MAX_BODY, at(0)).unwrap();
    assert!(budget.grow_body(stalled, MAX_BODY - 1, at(0)).is_granted);
    let mut dropped = Vec::new();
    while dropped.is_empty() {
        let body = budget
            .open_body(client(2), None, MAX_BODY, at(2000))
            .unwrap();
        dropped = budget.grow_body(body, MAX_BODY / 2, at(2000)).dropped;
    }
    assert_eq!(dropped, [stalled]);
}

/// A step of a body or a response.
#[derive(Clone, Copy, Debug)]
enum Step {
    Open(u8, Option<usize>),
    Grow(usize, usize),
    Complete(usize),
    Close(usize),
    Respond(usize),
    Return(usize),
}

fn any_step() -> impl Strategy<Value = Step> {
    let bytes = 0..MAX_BODY;
    prop_oneof![
        (0..5_u8, proptest::option::of(bytes.clone())).prop_map(|(c, a)| Step::Open(c, a)),
        (any::<usize>(), bytes.clone()).prop_map(|(body, bytes)| Step::Grow(body, bytes)),
        any::<usize>().prop_map(Step::Complete),
        any::<usize>().prop_map(Step::Close),
        bytes.prop_map(Step::Respond),
        any::<usize>().prop_map(Step::Return),
    ]
}

proptest! {
    #[test]
    fn all_room_is_returned(steps in proptest::collection::vec((any_step(), 0..500_u64), 1..300)) {
        let terms = smallest();
        let mut budget = MemoryBudget::new(terms);
        let (mut bodies, mut responses, mut now) = (Vec::new(), Vec::new(), 0);
        let pick = |list: &[BodyId], index: usize| list.get(index % list.len().max(1)).copied();
        for (step, ms) in steps {
            now += ms;
            match step {
                Step::Open(number, announced) => {
                    bodies.extend(budget.open_body(client(number), announced, MAX_BODY, at(now)));
                }
                Step::Grow(index, bytes) => {
                    if let Some(body) = pick(&bodies, index) {
                        let decision = budget.grow_body(body, bytes, at(now));
                        prop_assert!(!decision.dropped.contains(&body));
                    }
                }
                Step::Complete(index) => {
                    if let Some(body) = pick(&bodies, index) {
                        budget.complete_body(body);
                    }
                }
                Step::Close(index) => {
                    if let Some(body) = pick(&bodies, index) {
                        budget.close_body(body);
                    }
                }
                Step::Respond(bytes) => {
                    if budget.reserve_response(bytes, bytes, at(now)).is_granted {
                        responses.push(bytes);
                    }
                }
                Step::Return(index) => {
                    if !responses.is_empty() {
                        let bytes = responses.swap_remove(index % responses.len());
                        budget.return_response(bytes);
                    }
                }
            }
            let sum: usize = MemoryUse::ALL.iter().map(|&kind| budget.reserved(kind)).sum();
            prop_assert!(sum <= terms.bytes);
        }
        for body in bodies {
            budget.close_body(body);
        }
        for bytes in responses {
            budget.return_response(bytes);
        }
        for kind in MemoryUse::ALL {
            prop_assert_eq!(budget.reserved(kind), 0);
        }
        prop_assert!(SMALL_BODY_BYTES < terms.small_reserve);
    }
}
