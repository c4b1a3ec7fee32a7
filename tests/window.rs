//! Receive buffers of connections to replicas: which of them grow, and how far together.

use std::time::Duration;

use pumicelatch::clock::Time;
use pumicelatch::limit::window::{Pool, SIZE_MAX, SIZE_MIN, Window};

/// Has a sender fill the buffer and its reader empty it `times` times, each in `time`.
fn transfer(window: &mut Window, times: u64, time: Duration) {
    let mut now = Time::from_millis(1_000);
    for _ in 0..times {
        window.record_read(window.size() / 4, now);
        now = now + time;
        window.record_read(window.size() / 4, now);
        window.record_empty(now);
    }
}

const FAST: Duration = Duration::from_millis(40);

/// Guards against transfers over long links that stay as slow as the smallest buffer makes them.
#[test]
fn a_buffer_that_limits_its_transfer_grows_to_the_maximum() {
    let pool = Pool::default();
    let mut window = pool.window();
    transfer(&mut window, 20, FAST);
    assert_eq!(window.size(), SIZE_MAX);
    assert_eq!(pool.taken(), SIZE_MAX - SIZE_MIN);
}

/// Guards against token streams that take the pool although their buffers are never full.
#[test]
fn a_slow_stream_keeps_the_smallest_buffer() {
    let mut window = Pool::default().window();
    transfer(&mut window, 1_000, Duration::from_millis(500));
    assert_eq!(window.size(), SIZE_MIN);
}

/// Guards against a rate that is taken over the whole of a stream.
#[test]
fn a_stream_that_becomes_fast_gets_a_larger_buffer() {
    let mut window = Pool::default().window();
    let slow = Time::from_millis(1_000);
    window.record_read(1 << 10, slow);
    assert!(!window.record_empty(slow));
    let fast = Time::from_millis(5_000);
    window.record_read(SIZE_MIN / 2, fast);
    assert!(window.record_empty(fast));
}

/// Guards against buffers that grow for a reader that takes long to read what is there.
#[test]
fn a_buffer_that_is_read_late_does_not_grow() {
    let mut window = Pool::default().window();
    window.record_read(SIZE_MIN / 2, Time::from_millis(1_000));
    assert!(!window.record_empty(Time::from_millis(2_000)));
    assert_eq!(window.size(), SIZE_MIN);
}

/// Guards against buffers that grow for readers that are slower than their senders.
#[test]
fn a_buffer_that_is_never_empty_does_not_grow() {
    let mut window = Pool::default().window();
    for step in 0..10_000 {
        window.record_read(16 << 10, Time::from_millis(step));
    }
    assert_eq!(window.size(), SIZE_MIN);
}

/// Guards against a bound for each connection without one for all of them.
#[test]
fn all_buffers_together_stay_within_the_pool() {
    const LIMIT: u64 = 4 << 20;
    let pool = Pool::new(LIMIT);
    let mut windows: Vec<Window> = (0..100).map(|_| pool.window()).collect();
    for _ in 0..10 {
        windows
            .iter_mut()
            .for_each(|window| transfer(window, 1, FAST));
        assert!(pool.taken() <= LIMIT);
    }
    assert!(pool.taken() > LIMIT - SIZE_MIN, "it is used");
    let rest = windows.iter().filter(|window| window.may_rest());
    assert!(rest.clone().count() < windows.len());
    assert!(rest.clone().all(|window| window.size() == SIZE_MIN));
    drop(windows);
    assert_eq!(pool.taken(), 0, "all is given back");
}
