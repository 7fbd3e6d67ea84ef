//! Measures the cost of operations on the fair queue with few and many waiting requests:
//! `cargo run --release --example queue`.

use std::sync::Arc;
use std::time::{Duration, Instant};

use larkfall::decisions::fair::Queue;

const ROUNDS: u64 = 200;
const WAITING: [u64; 3] = [10, 1_000, 100_000];
const DEADLINE: Duration = Duration::from_secs(1_000_000);

/// Returns a queue with one slot in which `waiting` requests wait.
fn filled_queue(waiting: u64, partner: &Arc<str>) -> Queue {
    let mut queue = Queue::new(1, Duration::from_nanos(1));
    for id in 0..=waiting {
        queue.admit(id, partner, 1, Duration::ZERO, DEADLINE);
    }
    queue
}

/// Returns the average time of one call in nanoseconds.
fn mean_ns(mut call: impl FnMut(u64)) -> u128 {
    let began = Instant::now();
    for round in 0..ROUNDS {
        call(round);
    }
    began.elapsed().as_nanos() / u128::from(ROUNDS)
}

fn main() {
    let partner: Arc<str> = "a".into();
    println!("waiting  admit and remove the last one  expire, none overdue   finish");
    for waiting in WAITING {
        let mut queue = filled_queue(waiting, &partner);
        let remove = mean_ns(|round| {
            let id = 1_000_000 + round;
            queue.admit(id, &partner, 1, Duration::ZERO, DEADLINE);
            queue.remove(id);
        });
        let expire = mean_ns(|_| {
            queue.expire(Duration::ZERO);
        });
        let finish = mean_ns(|round| {
            queue.finish(Duration::from_nanos(1));
            queue.admit(2_000_000 + round, &partner, 1, Duration::ZERO, DEADLINE);
        });
        println!("{waiting:7}  {remove:26} ns  {expire:17} ns  {finish:4} ns");
    }
}
