//! Bodies without end, several at a time, must leave room for the responses of other calls.

use hawthornrouter::forward::body_budget::BodyBudget;

const SMALL: usize = 64 << 10;
const CHUNK: usize = 16 << 10;

#[test]
fn small_bodies_find_room() {
    let budget = BodyBudget::default();
    let mut endless: Vec<_> = (0..100).map(|_| budget.open()).collect();
    let mut sizes = vec![0; endless.len()];
    let mut total = 0;
    for _ in 0..10_000 {
        for (body, size) in endless.iter_mut().zip(&mut sizes) {
            if body.grow_to(*size + CHUNK) {
                *size += CHUNK;
                total += CHUNK;
            }
        }
    }
    assert!(total <= 64 << 20, "{total} bytes");
    let mut small = budget.open();
    assert!(small.grow_to(SMALL));
    assert!(!small.grow_to(SMALL + CHUNK));
    drop(endless);
    assert!(small.grow_to(1 << 20), "room is returned");
}

#[test]
fn one_body_has_a_limit() {
    let mut body = BodyBudget::default().open();
    assert!(body.grow_to(16 << 20));
    assert!(!body.grow_to((16 << 20) + 1));
}
