//! The clock counts the time for which a machine was suspended.

use std::fs;
use std::time::Duration;

use pumicelatch::clock::{Clock, since_boot};

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
