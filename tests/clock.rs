//! The clock counts the time for which a machine was suspended.

use std::cell::Cell;
use std::fs;
use std::future::pending;
use std::time::Duration;

use pumicelatch::clock::{Clock, since_boot};
use pumicelatch::timeout;

#[test]
fn time_since_boot_is_the_kernels_uptime_which_counts_suspended_time() {
    let uptime = fs::read_to_string("/proc/uptime").unwrap();
    let seconds: f64 = uptime.split(' ').next().unwrap().parse().unwrap();
    let difference = since_boot().as_secs_f64() - seconds;
    assert!((0.0..10.0).contains(&difference), "{difference} s");
}

#[test]
fn the_clock_goes_on_with_it() {
    let (clock, boot) = (Clock::default(), since_boot());
    let began = clock.now();
    std::thread::sleep(Duration::from_millis(50));
    let (passed, of_boot) = (clock.now().since(began), since_boot() - boot);
    assert!(passed >= Duration::from_millis(50) && passed <= of_boot);
}

/// After a suspension of three seconds the clock has gone on, and the runtime's timers have not.
#[test]
fn a_limit_that_was_over_while_the_machine_was_suspended_is_noticed_soon() {
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
fn what_is_ready_is_taken_though_its_limit_is_over() {
    actix_rt::System::new().block_on(async {
        let clock = Clock::default();
        let step = timeout::within(|| clock.now(), Duration::ZERO, async { 7 });
        assert_eq!(step.await, Some(7));
    });
}
