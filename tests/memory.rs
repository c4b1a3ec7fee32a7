//! The memory that a process holds for its callers, whatever they do: its bound, what is returned,
//! and which streams are paused while it is short.

use pumicelatch::limit::memory::{
    self, Budget, READ_AHEAD_MAX, READ_MAX, RESPONSE_MIN, Reservation, Sort, Usual, Verdict,
    WHOLE_MAX,
};
use quickcheck::quickcheck;

/// The budget of an entry on the smallest box.
const LIMIT: u64 = 28 << 20;

const SORTS: [Sort; 3] = Sort::ALL;

/// Guards against a sum over all requests that exceeds the bound, and against bytes that are not
/// returned.
#[test]
fn what_is_held_never_exceeds_the_bound_and_is_returned() {
    fn property(limit: u32, steps: Vec<(u8, u8, u32)>) -> bool {
        let limit = u64::from(limit);
        let budget = Budget::new(limit);
        let mut held: Vec<Reservation> = Vec::new();
        for (action, pick, bytes) in steps {
            let bytes = u64::from(bytes) % (limit / 2 + 1);
            let index = usize::from(pick) % held.len().max(1);
            match action % 4 {
                0 => held.extend(budget.reserve(SORTS[usize::from(pick) % 3], bytes)),
                1 if !held.is_empty() => drop(held.swap_remove(index)),
                2 if !held.is_empty() => {
                    held[index].set(bytes);
                }
                3 if !held.is_empty() => held[index].lower(bytes),
                _ => {}
            }
            let counted: u64 = held.iter().map(Reservation::reserved).sum();
            if budget.total() > limit || budget.total() != counted {
                return false;
            }
        }
        drop(held);
        SORTS.iter().all(|sort| budget.held(*sort) == 0)
    }
    quickcheck(property as fn(u32, Vec<(u8, u8, u32)>) -> bool);
}

/// Streams that hold these bytes.
fn streams(budget: &Budget, sizes: &[u32]) -> Vec<Reservation> {
    let reserve = |size: &u32| {
        let mut stream = budget.reserve(Sort::Stream, RESPONSE_MIN)?;
        let size = u64::from(*size) % (READ_AHEAD_MAX - READ_MAX);
        stream.set(size).then_some(stream)
    };
    sizes.iter().map_while(reserve).collect()
}

/// Guards against pauses of streams whose callers read, for the sake of those whose callers don't.
#[test]
fn the_streams_that_hold_most_are_paused_first() {
    fn property(limit: u32, sizes: Vec<u32>) -> bool {
        let budget = Budget::new(u64::from(limit) % (4 << 20));
        let streams = streams(&budget, &sizes);
        let mean = budget.total() / streams.len().max(1) as u64;
        let has_reserve = budget.total() + READ_MAX <= budget.limit() / 8 * 7;
        let goes_on = |stream: &Reservation| stream.may_read(READ_MAX) == Verdict::Read;
        let small = |stream: &&Reservation| stream.reserved() < mean;
        if has_reserve && !streams.iter().filter(small).all(goes_on) {
            return false;
        }
        let is_paused = |stream: &&Reservation| stream.may_read(READ_MAX) == Verdict::Paused;
        let paused = streams.iter().filter(is_paused).map(Reservation::reserved);
        let read = streams.iter().filter(|stream| !is_paused(stream));
        let largest_read = read.map(Reservation::reserved).max();
        let fits = budget.total() + READ_MAX <= budget.limit();
        // Those that hold less go on while anything fits.
        !fits
            || paused
                .min()
                .is_none_or(|least| largest_read.is_none_or(|most| most <= least))
    }
    quickcheck(property as fn(u32, Vec<u32>) -> bool);
}

/// Guards against streams that are cut off by their replicas although memory is free.
#[test]
fn no_stream_is_paused_while_there_is_room() {
    fn property(sizes: Vec<u32>) -> bool {
        let budget = Budget::new(LIMIT);
        let streams = streams(&budget, &sizes);
        let room = budget.total() + READ_MAX <= LIMIT / 4 * 3;
        let may_read = |stream: &Reservation| stream.may_read(READ_MAX) == Verdict::Read;
        !room || streams.iter().all(may_read)
    }
    quickcheck(property as fn(Vec<u32>) -> bool);
}

/// Guards against a few streams that take all memory, so that new requests are refused.
#[test]
fn streams_that_nobody_reads_leave_an_eighth_to_new_requests() {
    let budget = Budget::new(LIMIT);
    let mut streams = streams(&budget, &[0; 400]);
    let mut progress = true;
    while std::mem::take(&mut progress) {
        for stream in &mut streams {
            if stream.may_read(READ_MAX) == Verdict::Read && stream.used() < READ_AHEAD_MAX {
                progress |= stream.set(stream.used() + READ_MAX);
            }
        }
    }
    assert!(budget.total() <= LIMIT / 8 * 7);
    let most = streams.iter().map(Reservation::used).max().unwrap();
    let least = streams.iter().map(Reservation::used).min().unwrap();
    assert!(most - least <= READ_MAX, "{least} to {most}");
    assert!(budget.reserve(Sort::Answer, WHOLE_MAX).is_some());
}

/// Guards against a response that waits for memory that only it would return.
#[test]
fn what_was_reserved_can_be_used_when_nothing_is_left() {
    let budget = Budget::new(LIMIT);
    let mut stream = budget.reserve(Sort::Stream, RESPONSE_MIN).unwrap();
    let rest = budget.reserve(Sort::Body, LIMIT - RESPONSE_MIN);
    assert!(rest.is_some() && budget.reserve(Sort::Answer, 1).is_none());
    assert_eq!(stream.may_read(READ_MAX), Verdict::Read);
    assert!(stream.set(READ_MAX) && !stream.set(READ_MAX + 1));
    assert_eq!(stream.may_read(READ_MAX), Verdict::Paused);
    drop(rest);
    assert_eq!(stream.may_read(READ_MAX), Verdict::Read);
    assert!(stream.set(READ_AHEAD_MAX));
    assert_eq!(stream.may_read(READ_MAX), Verdict::Full);
}

/// Guards against connections at rest that together take the memory of the process.
#[test]
fn more_connections_than_the_process_has_memory_for_leave_less_to_requests() {
    let budget = Budget::new(LIMIT);
    let few: Vec<_> = (0..1_000).map(|_| budget.connect()).collect();
    let all = budget.reserve(Sort::Answer, LIMIT);
    assert!(all.is_some(), "connections of usual numbers cost nothing");
    drop(all);
    let many: Vec<_> = (0..1_000).map(|_| budget.connect()).collect();
    assert!(budget.reserve(Sort::Answer, LIMIT).is_none());
    drop((few, many));
    assert!(budget.reserve(Sort::Answer, LIMIT).is_some());
}

#[test]
fn the_usual_size_follows_responses_and_is_bounded() {
    let mut usual = Usual::default();
    assert_eq!(usual.need(), RESPONSE_MIN);
    usual.record(8 << 20);
    assert_eq!(usual.need(), WHOLE_MAX);
    for _ in 0..40 {
        usual.record(100);
    }
    assert_eq!(usual.need(), RESPONSE_MIN);
}

#[test]
fn budgets_are_parts_of_the_machines_memory() {
    assert_eq!(memory::for_entry(112 << 20), 28 << 20);
    assert_eq!(memory::for_sidecar(128 << 20), 16 << 20);
}
