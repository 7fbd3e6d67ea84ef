//! Compares failure detectors on the same simulated delays and losses.
//!
//! `cargo run --release --example detectors`
//!
//! Prints for each detector the time to detect a member that stops answering, the wrong suspicions
//! per hour and the bytes per second.

use std::time::Duration;

use larkfall::decisions::detect::Detector;
use larkfall::decisions::detect::adaptive::Adaptive;
use larkfall::decisions::detect::baseline::{Baseline, Settings};
use larkfall::decisions::detect::fixed::Fixed;
use larkfall::trial::sample::Sample;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Size of one probe and its answer on the wire.
const BYTES_PER_PROBE: f64 = 476.0;
const STEP: Duration = Duration::from_millis(1);
const TRACE_HOURS: u64 = 4;
const CRASHES: u64 = 200;

/// Round-trip times by the millisecond of sending, `None` for lost messages.
struct Trace {
    name: &'static str,
    round_trips: Vec<Option<Duration>>,
}

fn simulate(
    name: &'static str,
    loss: f64,
    jitter_ms: f64,
    pauses_per_minute: f64,
    seed: u64,
) -> Trace {
    let mut rng = SmallRng::seed_from_u64(seed);
    let length = TRACE_HOURS as usize * 3_600_000;
    let mut round_trips = Vec::with_capacity(length);
    let mut pause_left = 0u64;
    for _ in 0..length {
        if pause_left == 0 && rng.random_bool(pauses_per_minute / 60_000.0) {
            pause_left = rng.random_range(100..600);
        }
        let exponential = -jitter_ms * (1.0 - rng.random::<f64>()).ln();
        let base = Duration::from_secs_f64((3.0 + exponential) / 1_000.0);
        let pause = Duration::from_millis(pause_left);
        pause_left = pause_left.saturating_sub(1);
        let lost = rng.random_bool(loss);
        round_trips.push((!lost).then_some(base + pause));
    }
    Trace { name, round_trips }
}

struct Measurement {
    detection: Sample,
    wrong_suspicions: u64,
    wrong_time: Duration,
    probes: u64,
    length: Duration,
}

/// Runs a detector over a trace in which the member doesn't crash.
fn run_without_crashes(trace: &Trace, mut detector: Box<dyn Detector>) -> Measurement {
    let mut pending_answers: Vec<(Duration, Duration)> = Vec::new();
    let mut measured = Measurement {
        detection: Sample::default(),
        wrong_suspicions: 0,
        wrong_time: Duration::ZERO,
        probes: 0,
        length: STEP * trace.round_trips.len() as u32,
    };
    let mut suspected = false;
    for (i, round_trip) in trace.round_trips.iter().enumerate() {
        let now = STEP * i as u32;
        pending_answers.retain(|(arrives, sent)| {
            let arrived = *arrives <= now;
            if arrived {
                detector.record_answer(*sent, now);
            }
            !arrived
        });
        if now >= detector.probe_due() {
            detector.record_probe(now);
            measured.probes += 1;
            if let Some(round_trip) = round_trip {
                pending_answers.push((now + *round_trip, now));
            }
        }
        let now_suspected = detector.suspects(now);
        measured.wrong_suspicions += u64::from(now_suspected && !suspected);
        measured.wrong_time += STEP * u32::from(now_suspected);
        suspected = now_suspected;
    }
    measured
}

/// Measures the time from a crash to the suspicion, for crashes at random times of the trace.
fn measure_detection(trace: &Trace, make: &dyn Fn(Duration) -> Box<dyn Detector>) -> Sample {
    let mut sample = Sample::default();
    let mut rng = SmallRng::seed_from_u64(7);
    for _ in 0..CRASHES {
        let start = rng.random_range(0..trace.round_trips.len() as u64 - 60_000);
        let crash = Duration::from_millis(start + 20_000 + rng.random_range(0..2_000));
        let mut detector = make(Duration::from_millis(start));
        let mut pending_answers: Vec<(Duration, Duration)> = Vec::new();
        for i in start..start + 60_000 {
            let now = Duration::from_millis(i);
            pending_answers.retain(|(arrives, sent)| {
                let arrived = *arrives <= now;
                if arrived && *arrives <= crash {
                    detector.record_answer(*sent, now);
                }
                !arrived
            });
            if now >= detector.probe_due() {
                detector.record_probe(now);
                if let Some(round_trip) = trace.round_trips[i as usize] {
                    pending_answers.push((now + round_trip, now));
                }
            }
            if now > crash && detector.suspects(now) {
                sample.add(now - crash);
                break;
            }
        }
    }
    sample
}

fn main() {
    let ms = Duration::from_millis;
    type MakeDetector = Box<dyn Fn(Duration) -> Box<dyn Detector>>;
    let baseline = |period, interval, tries| -> MakeDetector {
        Box::new(move |now| {
            let settings = Settings {
                period: Duration::from_millis(period),
                interval: Duration::from_millis(interval),
                tries,
            };
            Box::new(Baseline::new(settings, now))
        })
    };
    let detectors: Vec<(&str, MakeDetector)> = vec![
        (
            "fixed, 1000 ms, timeout 1500",
            Box::new(move |now| Box::new(Fixed::new(ms(1_000), ms(1_500), now))),
        ),
        (
            "fixed, 1000 ms, timeout 2500",
            Box::new(move |now| Box::new(Fixed::new(ms(1_000), ms(2_500), now))),
        ),
        (
            "fixed, 200 ms, timeout 800",
            Box::new(move |now| Box::new(Fixed::new(ms(200), ms(800), now))),
        ),
        (
            "adaptive, 1000 ms, margin 500",
            Box::new(move |now| Box::new(Adaptive::new(ms(1_000), ms(500), now))),
        ),
        (
            "adaptive, 200 ms, margin 600",
            Box::new(move |now| Box::new(Adaptive::new(ms(200), ms(600), now))),
        ),
        ("retransmitting, 1000 ms, 3 x 100", baseline(1_000, 100, 3)),
        ("retransmitting, 1000 ms, 3 x 200", baseline(1_000, 200, 3)),
        ("retransmitting, 1000 ms, 5 x 200", baseline(1_000, 200, 5)),
        ("retransmitting, 2000 ms, 4 x 200", baseline(2_000, 200, 4)),
    ];
    let traces = [
        simulate("calm: 3 ms, jitter 0.3 ms", 0.0, 0.3, 0.0, 1),
        simulate("lossy: 2% lost, jitter 5 ms", 0.02, 5.0, 0.0, 2),
        simulate(
            "pausing: 2 pauses a minute of 100 to 600 ms, 0.5% lost",
            0.005,
            1.0,
            2.0,
            3,
        ),
    ];
    for trace in &traces {
        println!("{} ({TRACE_HOURS} h, {CRASHES} crashes)", trace.name);
        for (name, make) in &detectors {
            let mut measured = run_without_crashes(trace, make(Duration::ZERO));
            measured.detection = measure_detection(trace, make);
            let hours = measured.length.as_secs_f64() / 3_600.0;
            println!(
                "  {name:34} detection p50 {:5.0} p99 {:5.0} ms  wrong suspicions {:7.1}/h  wrong for {:6.0} ms/h  {:6.0} B/s",
                measured.detection.quantile(0.5).as_secs_f64() * 1_000.0,
                measured.detection.quantile(0.99).as_secs_f64() * 1_000.0,
                measured.wrong_suspicions as f64 / hours,
                measured.wrong_time.as_secs_f64() * 1_000.0 / hours,
                measured.probes as f64 * BYTES_PER_PROBE / measured.length.as_secs_f64(),
            );
        }
    }
}
