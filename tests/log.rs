//! Bounds on the lines that are logged.

use std::time::Duration;

use pumicelatch::clock::Time;
use pumicelatch::log::Allowance;

/// Guards against lines without a bound, against a kind that stays silent after a burst, and against lines that are left out
/// without a count.
#[test]
fn lines_beyond_the_allowance_are_counted_and_others_follow_later() {
    let allowance = Allowance::new(10, 5);
    let start = Time::from_millis(1_000);
    let written = (0..100).filter(|_| allowance.take(start)).count();
    assert_eq!((written, allowance.take_left_out()), (5, 95));
    let second = Duration::from_secs(1);
    let written = (1..=100)
        .filter(|step| allowance.take(start + second / 50 * *step))
        .count();
    assert_eq!(written, 20, "ten a second for two seconds");
    assert_eq!(allowance.take_left_out(), 80);
    assert_eq!(allowance.take_left_out(), 0);
}
