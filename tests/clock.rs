//! The clock includes the time during which a machine was suspended.

use std::cell::Cell;
use std::fs;
use std::future::pending;
use std::time::Duration;

use pumicelatch::clock::{Clock, since_boot};
use pumicelatch::timeout;

#[test]
fn since_boot_matches_kernel_uptime_including_suspension() {
    let uptime = fs::read_to_string("/proc/uptime").unwrap();
    let seconds: f64 = uptime.split(' ').next().unwrap().parse().unwrap();
    let difference = since_boot().as_secs_f64() - seconds;
    assert!((0.0..10.0).contains(&difference), "{difference} s");
}

#[test]
fn clock_advances_with_time_since_boot() {
    let (clock, boot) = (Clock::default(), since_boot());
    let began = clock.now();
    std::thread::sleep(Duration::from_millis(50));
    let (passed, of_boot) = (clock.now().since(began), since_boot() - boot);
    assert!(passed >= Duration::from_millis(50) && passed <= of_boot);
}

/// After a suspension of three seconds, the clock has advanced but the runtime's timers have not. A
/// limit that expired meanwhile must not wait for the timers.
#[test]
fn timeout_that_expired_during_suspension_is_detected_soon() {
    actix_rt::System::new().block_on(async {
        let (clock, woken) = (Clock::default(), Cell::new(Duration::ZERO));
        let now = || clock.now() + woken.get();
        let suspend = async {
            actix_rt::time::sleep(Duration::from_millis(50)).await;
            woken.set(Duration::from_secs(3));
        };
        let wait = timeout::within(now, Duration::from_millis(2_900), pending::<()>());
        let began = clock.now();
        let (ended, ()) = futures_util::join!(wait, suspend);
        assert!(ended.is_none());
        assert!(clock.now().since(began) < Duration::from_millis(1_000));
    });
}

#[test]
fn ready_result_is_returned_after_its_limit() {
    actix_rt::System::new().block_on(async {
        let clock = Clock::default();
        let step = timeout::within(|| clock.now(), Duration::ZERO, async { 7 });
        assert_eq!(step.await, Some(7));
    });
}
