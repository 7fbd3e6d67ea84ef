//! What one decision about a queue costs with few and many requests waiting in it:
//! `cargo run --release --example queue`.

use std::sync::Arc;
use std::time::{Duration, Instant};

use larkfall::decisions::fair::Queue;

const ROUNDS: u64 = 200;
const WAITING: [u64; 3] = [10, 1_000, 100_000];
const FAR: Duration = Duration::from_secs(1_000_000);

/// A queue of one place in which this many requests wait.
fn filled(waiting: u64, partner: &Arc<str>) -> Queue {
    let mut fair = Queue::new(1, Duration::from_nanos(1));
    for id in 0..=waiting {
        fair.admit(id, partner, 1, Duration::ZERO, FAR);
    }
    fair
}

/// Nanoseconds that one call takes on the average.
fn each(mut call: impl FnMut(u64)) -> u128 {
    let began = Instant::now();
    for round in 0..ROUNDS {
        call(round);
    }
    began.elapsed().as_nanos() / u128::from(ROUNDS)
}

fn main() {
    let partner: Arc<str> = "a".into();
    println!("waiting  arrive and withdraw the last  expire, nobody late  release");
    for waiting in WAITING {
        let mut fair = filled(waiting, &partner);
        let withdraw = each(|round| {
            let id = 1_000_000 + round;
            fair.admit(id, &partner, 1, Duration::ZERO, FAR);
            fair.remove(id);
        });
        let expire = each(|_| {
            fair.expire(Duration::ZERO);
        });
        let release = each(|round| {
            fair.finish(Duration::from_nanos(1));
            fair.admit(2_000_000 + round, &partner, 1, Duration::ZERO, FAR);
        });
        println!("{waiting:7}  {withdraw:26} ns  {expire:17} ns  {release:4} ns");
    }
}
