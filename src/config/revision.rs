//! Revisions of the store as one ordered number.
//!
//! A store that comes back from an older copy gives out the same revisions again. Each time it
//! begins a new era, and a revision of a later era is newer whatever its number. Processes of
//! releases without eras, and stores that name none, use era 0.

/// Bits of a revision that hold its number; the others hold the era.
const NUMBER_BITS: u32 = 48;

const NUMBER_MAX: u64 = (1 << NUMBER_BITS) - 1;

const ERA_MAX: u64 = u64::MAX >> NUMBER_BITS;

/// The revision with `number` in `era`.
pub fn combine(era: u64, number: u64) -> u64 {
    era.min(ERA_MAX) << NUMBER_BITS | number.min(NUMBER_MAX)
}

/// The era of `revision`.
pub fn era(revision: u64) -> u64 {
    revision >> NUMBER_BITS
}

/// The number that the store gave out for `revision`.
pub fn number(revision: u64) -> u64 {
    revision & NUMBER_MAX
}
