//! The pure plan of a burst: rings, sponsors, swarms, uploads, and the store behind them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use pumicelatch::clock::Time;
use pumicelatch::spread::Setting;
use pumicelatch::spread::ring::{self, Member};
use pumicelatch::spread::swarm::{Action, Notice, Outcome, Source, Swarm};
use pumicelatch::spread::upload::{Admission, Queue};
use pumicelatch::weight::{Digest, Error, Manifest, Store};

fn members(count: usize, halls: usize) -> Vec<Member> {
    (0..count)
        .map(|index| Member {
            name: format!("box-{index:03}").into(),
            hall: format!("hall-{}", index % halls).into(),
        })
        .collect()
}

fn version() -> Digest {
    Digest::of(b"version")
}

#[test]
fn everyone_is_followed_as_often_as_it_follows() {
    let members = members(90, 3);
    let mut followed: BTreeMap<_, usize> = BTreeMap::new();
    for own in &members {
        let chosen = ring::neighbours(version(), own, &members, 8, 0);
        assert_eq!(chosen.len(), 8);
        assert!(!chosen.contains(&own.name));
        for name in chosen {
            *followed.entry(name).or_default() += 1;
        }
    }
    assert_eq!(followed.len(), 90);
    assert!(followed.values().all(|count| *count == 8));
}

#[test]
fn sponsors_are_the_same_for_everyone_and_one_that_goes_changes_one() {
    let all = members(50, 3);
    let before = ring::sponsors(version(), &all, 6);
    let rest: Vec<Member> = all
        .iter()
        .filter(|member| member.name != before[0])
        .cloned()
        .collect();
    let after = ring::sponsors(version(), &rest, 6);
    assert_eq!(before[1..], after[..5]);
}

#[test]
fn a_version_has_one_first_substitute_in_each_hall_and_relays_before_others() {
    let all = members(30, 3);
    let relays: Vec<Arc<str>> = ["box-003", "box-006", "box-009"].map(Arc::from).into();
    for label in 0..20u8 {
        let version = Digest::of(&[label]);
        let rank = |own: &Member| ring::substitute_rank(version, own, &all, &relays);
        let ranks: BTreeMap<_, usize> = all
            .iter()
            .map(|own| (own.name.clone(), rank(own)))
            .collect();
        assert_eq!(
            ranks.values().filter(|rank| **rank == 0).count(),
            1,
            "one box first of all"
        );
        for hall in ["hall-0", "hall-1", "hall-2"] {
            let in_hall = all.iter().filter(|member| &*member.hall == hall);
            let distinct: BTreeSet<usize> = in_hall.map(|member| ranks[&member.name]).collect();
            assert_eq!(distinct.len(), 10, "no two of a hall step in together");
        }
        // All three relays stand in the first hall, and no other box of it comes before one.
        let first_hall = all.iter().filter(|member| &*member.hall == "hall-0");
        let best = first_hall.clone().map(|member| ranks[&member.name]).min();
        for member in first_hall {
            let behind = ranks[&member.name] - best.unwrap();
            assert_eq!(behind < 3, relays.contains(&member.name));
        }
    }
}

#[test]
fn an_origin_that_is_away_is_asked_by_a_few_and_not_by_the_whole_fleet() {
    // 40 relays and 45 boxes in three halls; the origin fails for 6 s, and then brings chunks again.
    let all = members(85, 3);
    let relays: Vec<Arc<str>> = all[..40].iter().map(|member| member.name.clone()).collect();
    let setting = Setting {
        settle: Duration::ZERO,
        ..Setting::for_few_halls()
    };
    let mut drawing = BTreeSet::new();
    for own in &all {
        let mut swarm = Swarm::new(version(), own.clone(), 96, setting, 1, Time::default());
        swarm.set_members_and_relays(all.clone(), relays.clone());
        for step in 0..600 {
            let now = Time::default() + Duration::from_millis(10 * step);
            for action in swarm.tick(now) {
                if let Action::Fetch { fetch, chunk, .. } = action {
                    drawing.insert(own.name.clone());
                    swarm.finish(fetch, chunk, Outcome::Failed, now);
                }
            }
        }
    }
    // Eight sponsors and two that stand by, and of three halls four, three and two.
    assert!(drawing.len() <= 19, "{} boxes draw", drawing.len());
}

#[test]
fn a_chunk_that_still_comes_over_a_crowded_link_is_not_begun_anew() {
    // 40 draws share 4.4 Mbit/s: each takes 1.8 s, and gets some bytes every 0.3 s; chunks from peers take 50 ms.
    let all = members(30, 3);
    let sponsor = ring::sponsors(version(), &all, 1)[0].clone();
    let own = all.iter().find(|member| member.name == sponsor).unwrap();
    let setting = Setting {
        settle: Duration::ZERO,
        ..Setting::for_few_halls()
    };
    let start = Time::default();
    let mut swarm = Swarm::new(version(), own.clone(), 96, setting, 1, start);
    swarm.set_members(all.clone());
    let peer = swarm.join("peer".into(), start);
    let notice = Notice {
        gained: &[90, 91, 92, 93],
        load: 0,
        drawing: &[],
        origin_age: None,
    };
    swarm.notice(peer, notice, start);
    let mut drawn = None;
    for step in 0..180 {
        let now = start + Duration::from_millis(10 * step);
        swarm.notice(
            peer,
            Notice {
                gained: &[],
                ..notice
            },
            now,
        );
        if let Some(fetch) = drawn
            && step % 30 == 0
        {
            swarm.progress(fetch, now);
        }
        for action in swarm.tick(now) {
            match action {
                Action::Fetch {
                    fetch,
                    source: Source::Origin,
                    ..
                } => {
                    assert_eq!(drawn.replace(fetch), None, "after {} ms", 10 * step);
                }
                Action::Fetch { fetch, chunk, .. } => {
                    let later = now + Duration::from_millis(50);
                    swarm.finish(fetch, chunk, Outcome::Stored, later);
                }
                Action::Cancel { fetch } => {
                    assert_ne!(Some(fetch), drawn, "after {} ms", 10 * step);
                }
            }
        }
    }
    assert!(drawn.is_some());
    // One that says nothing at all is given up.
    let late = start + Duration::from_millis(1_740) + setting.origin_stall;
    let actions = swarm.tick(late);
    let given_up = actions
        .iter()
        .any(|action| matches!(action, Action::Cancel { fetch } if Some(*fetch) == drawn));
    assert!(given_up, "{actions:?}");
}

fn swarm(own: &str, chunks: usize) -> Swarm {
    let all = members(30, 3);
    let own = all
        .iter()
        .find(|member| &*member.name == own)
        .unwrap()
        .clone();
    let mut swarm = Swarm::new(
        version(),
        own,
        chunks,
        Setting::default(),
        1,
        Time::default(),
    );
    swarm.set_members(all);
    swarm
}

/// A box that is no sponsor.
fn ordinary() -> String {
    let all = members(30, 3);
    let setting = Setting::default();
    let sponsors = ring::sponsors(version(), &all, setting.sponsors + setting.standbys);
    let other = all.iter().find(|member| !sponsors.contains(&member.name));
    other.unwrap().name.to_string()
}

fn fetches(actions: &[Action]) -> Vec<(u32, Source)> {
    let fetch = |action: &Action| match *action {
        Action::Fetch { chunk, source, .. } => Some((chunk, source)),
        Action::Cancel { .. } => None,
    };
    actions.iter().filter_map(fetch).collect()
}

#[test]
fn the_rarest_chunk_is_drawn_first() {
    let mut swarm = swarm(&ordinary(), 3);
    let now = Time::default();
    let peers: Vec<_> = (0..3)
        .map(|index| swarm.join(format!("peer-{index}").into(), now))
        .collect();
    for &peer in &peers {
        swarm.notice(
            peer,
            Notice {
                gained: &[0, 1],
                load: 0,
                drawing: &[],
                origin_age: None,
            },
            now,
        );
    }
    swarm.notice(
        peers[2],
        Notice {
            gained: &[2],
            load: 0,
            drawing: &[],
            origin_age: None,
        },
        now,
    );
    let drawn = fetches(&swarm.tick(now));
    assert_eq!(drawn[0], (2, Source::Peer(peers[2])));
    assert_eq!(drawn.len(), 3, "one from each peer");
}

#[test]
fn a_silent_peer_is_given_up_and_its_chunk_is_drawn_elsewhere() {
    let mut swarm = swarm(&ordinary(), 1);
    let start = Time::default();
    let first = swarm.join("first".into(), start);
    swarm.notice(
        first,
        Notice {
            gained: &[0],
            load: 0,
            drawing: &[],
            origin_age: None,
        },
        start,
    );
    assert_eq!(fetches(&swarm.tick(start)), [(0, Source::Peer(first))]);
    let later = start + Duration::from_secs(2);
    let second = swarm.join("second".into(), later);
    swarm.notice(
        second,
        Notice {
            gained: &[0],
            load: 0,
            drawing: &[],
            origin_age: None,
        },
        later,
    );
    let actions = swarm.tick(later);
    assert!(matches!(actions[0], Action::Cancel { .. }));
    assert_eq!(fetches(&actions), [(0, Source::Peer(second))]);
}

#[test]
fn a_peer_that_sent_a_bad_chunk_is_passed_over_for_longer_each_time() {
    let mut swarm = swarm(&ordinary(), 1);
    let mut now = Time::default();
    let peer = swarm.join("bad".into(), now);
    let mut pauses = Vec::new();
    for _ in 0..4 {
        let began = now;
        loop {
            swarm.notice(
                peer,
                Notice {
                    gained: &[0],
                    load: 0,
                    drawing: &[],
                    origin_age: None,
                },
                now,
            );
            if let Some(Action::Fetch { fetch, chunk, .. }) = swarm.tick(now).first().copied() {
                swarm.finish(fetch, chunk, Outcome::Corrupt, now);
                break;
            }
            now = now + Duration::from_millis(10);
        }
        pauses.push(now.since(began));
        now = now + Duration::from_millis(10);
    }
    assert!(pauses[1] < pauses[2] && pauses[2] < pauses[3], "{pauses:?}");
}

#[test]
fn sponsors_share_the_chunks_and_nobody_else_asks_the_origin() {
    let all = members(30, 3);
    let mut owners = [0; 40];
    for own in &all {
        let mut swarm = swarm(&own.name, 40);
        let mut now = Time::default();
        for _ in 0..40 {
            for action in swarm.tick(now) {
                if let Action::Fetch {
                    fetch,
                    chunk,
                    source,
                } = action
                {
                    assert_eq!(source, Source::Origin);
                    owners[chunk as usize] += 1;
                    swarm.finish(fetch, chunk, Outcome::Stored, now);
                }
            }
            now = now + Duration::from_millis(10);
        }
    }
    assert_eq!(owners, [1; 40], "each chunk is drawn once");
}

#[test]
fn sponsors_that_do_not_know_each_other_yet_begin_with_different_chunks() {
    let mut drawn = BTreeSet::new();
    for own in members(6, 3) {
        let mut swarm = Swarm::new(
            version(),
            own.clone(),
            96,
            Setting::default(),
            1,
            Time::default(),
        );
        swarm.set_members(vec![own]);
        let mut now = Time::default();
        for _ in 0..4 {
            for action in swarm.tick(now) {
                if let Action::Fetch { fetch, chunk, .. } = action {
                    drawn.insert(chunk);
                    swarm.finish(fetch, chunk, Outcome::Stored, now);
                }
            }
            now = now + Duration::from_millis(10);
        }
    }
    assert!(drawn.len() >= 18, "{} chunks of 24 draws", drawn.len());
}

#[test]
fn boxes_that_see_no_sponsor_draw_each_chunk_by_themselves_in_the_end() {
    let mut swarm = swarm(&ordinary(), 5);
    let mut now = Time::default();
    let mut drawn = BTreeSet::new();
    while drawn.len() < 5 && now.since(Time::default()) < Duration::from_secs(600) {
        for action in swarm.tick(now) {
            if let Action::Fetch { fetch, chunk, .. } = action {
                drawn.insert(chunk);
                swarm.finish(fetch, chunk, Outcome::Stored, now);
            }
        }
        now = now + Duration::from_millis(100);
    }
    assert!(swarm.complete());
}

#[test]
fn an_origin_that_fails_is_asked_less_and_less_and_never_given_up() {
    let all = members(30, 3);
    let sponsor = ring::sponsors(version(), &all, 1)[0].clone();
    let mut swarm = swarm(&sponsor, 40);
    let mut now = Time::default();
    let mut tries = Vec::new();
    while now.since(Time::default()) < Duration::from_secs(30) {
        for action in swarm.tick(now) {
            if let Action::Fetch { fetch, chunk, .. } = action {
                tries.push(now);
                swarm.finish(fetch, chunk, Outcome::Failed, now);
            }
        }
        now = now + Duration::from_millis(10);
    }
    assert!(
        (12..80).contains(&tries.len()),
        "{} tries in 30 s",
        tries.len()
    );
    assert!(
        now.since(*tries.last().unwrap()) < Duration::from_secs(3),
        "it still tries"
    );
}

#[test]
fn a_slow_reader_does_not_hold_a_slot() {
    let mut queue = Queue::new(1, 4);
    let start = Time::default();
    let Admission::Start(slow) = queue.request(0, start) else {
        panic!()
    };
    let Admission::Wait(next) = queue.request(1, start) else {
        panic!()
    };
    assert_eq!(queue.next(start), None, "the slot is taken");
    let later = start + Duration::from_secs(1);
    assert_eq!(
        queue.next(later),
        Some(next),
        "the slow reader lost its slot"
    );
    queue.finish(slow, true);
    queue.finish(next, true);
    assert_eq!(queue.load(), 0);
}

#[test]
fn waiting_uploads_are_bounded_and_the_first_copy_of_a_chunk_goes_first() {
    let mut queue = Queue::new(1, 2);
    let now = Time::default();
    let Admission::Start(first) = queue.request(0, now) else {
        panic!()
    };
    let Admission::Wait(again) = queue.request(0, now) else {
        panic!()
    };
    let Admission::Wait(fresh) = queue.request(1, now) else {
        panic!()
    };
    assert_eq!(queue.request(2, now), Admission::Busy);
    queue.finish(first, true);
    assert_eq!(queue.next(now), Some(fresh));
    queue.finish(fresh, true);
    assert_eq!(queue.next(now), Some(again));
}

fn manifest_and_chunks() -> (Manifest, Vec<Bytes>) {
    let model: Vec<u8> = (0..2_500u32).map(|number| number as u8).collect();
    let chunks = model.chunks(1_000).map(Bytes::copy_from_slice).collect();
    (Manifest::of(&model, 1_000), chunks)
}

#[test]
fn the_store_holds_only_what_the_manifest_lists() {
    let (manifest, chunks) = manifest_and_chunks();
    let version = manifest.digest();
    let mut store = Store::new(10_000);
    store.admit(version, manifest).unwrap();
    let mut wrong = store.receive(version, 0).unwrap();
    wrong.push(&chunks[1]).unwrap();
    assert!(matches!(
        wrong.finish(),
        Err(Error::ChunkDigest { index: 0, .. })
    ));
    let mut long = store.receive(version, 2).unwrap();
    assert!(
        long.push(&chunks[0]).is_err(),
        "longer than the manifest says"
    );
    for index in [2, 0, 1] {
        assert!(!store.complete(version));
        let mut receipt = store.receive(version, index).unwrap();
        for part in chunks[index as usize].chunks(77) {
            receipt.push(part).unwrap();
        }
        let chunk = receipt.finish().unwrap();
        assert!(store.put(chunk).unwrap());
    }
    assert!(store.complete(version));
    store.release(version);
    assert_eq!(store.usage(), (0, 10_000));
}

#[test]
fn a_manifest_under_a_wrong_name_or_too_large_is_refused() {
    let (manifest, _) = manifest_and_chunks();
    let mut store = Store::new(2_499);
    let other = Digest::of(b"other");
    assert!(matches!(
        store.admit(other, manifest.clone()),
        Err(Error::ManifestDigest { .. })
    ));
    let full = store.admit(manifest.digest(), manifest.clone());
    assert!(matches!(
        full,
        Err(Error::Capacity {
            needed: 2_500,
            free: 2_499,
            ..
        })
    ));
    let lying = Manifest {
        model_bytes: 9_999,
        ..manifest
    };
    assert!(matches!(
        lying.verify(lying.digest()),
        Err(Error::ManifestShape { .. })
    ));
}

#[test]
fn sponsors_draw_equally_many_chunks_and_step_in_for_each_other() {
    let all = members(20, 3);
    let sponsors = ring::sponsors(version(), &all, 8);
    let active: Vec<&str> = sponsors.iter().map(|name| &**name).collect();
    let mut drawn: BTreeMap<&str, u32> = BTreeMap::new();
    for chunk in 0..96 {
        let order = ring::drawers(version(), chunk, &sponsors, &active);
        assert_eq!(order.len(), 8);
        *drawn.entry(order[0]).or_default() += 1;
        let without: Vec<&str> = active
            .iter()
            .copied()
            .filter(|name| *name != order[0])
            .collect();
        let second = ring::drawers(version(), chunk, &sponsors, &without);
        assert_eq!(second[0], order[1]);
    }
    assert!(drawn.values().all(|count| *count == 12), "{drawn:?}");
}

#[test]
fn a_chunk_enters_a_hall_through_one_box_at_first_and_through_more_with_time() {
    let all = members(20, 3);
    let setting = Setting::for_few_halls();
    let sponsor = ring::sponsors(version(), &all, 1)[0].clone();
    let hall = |name: &str| {
        all.iter()
            .find(|member| &*member.name == name)
            .unwrap()
            .hall
            .clone()
    };
    let far = hall(&sponsor);
    let chunk = 5;
    let draws = |after: Duration| {
        let boxes = all.iter().filter(|member| member.hall != far);
        let drawing = boxes.filter(|own| {
            let began = Time::from_millis(1_000);
            let mut swarm = Swarm::new(version(), (*own).clone(), 96, setting, 1, began);
            swarm.set_members(all.clone());
            let peer = swarm.join(sponsor.clone(), began);
            let notice = Notice {
                gained: &[chunk],
                load: 0,
                drawing: &[],
                origin_age: None,
            };
            swarm.notice(peer, notice, began);
            let actions = swarm.tick(began + after);
            actions.iter().any(|action| {
                matches!(
                    action,
                    Action::Fetch {
                        chunk: 5,
                        source: Source::Peer(_),
                        ..
                    }
                )
            })
        });
        drawing.count()
    };
    // One box in each of the two other halls.
    assert_eq!(draws(Duration::ZERO), 2);
    assert_eq!(draws(setting.sponsor_wait), 4);
}

#[test]
fn a_box_that_joins_late_waits_for_its_peers_before_it_asks_the_origin() {
    let all = members(6, 1);
    let setting = Setting::for_few_halls();
    let began = Time::from_millis(1_000);
    let mut swarm = Swarm::new(version(), all[0].clone(), 96, setting, 1, began);
    swarm.set_members(all.clone());
    let origin = |actions: Vec<Action>| {
        actions.iter().any(|action| {
            matches!(
                action,
                Action::Fetch {
                    source: Source::Origin,
                    ..
                }
            )
        })
    };
    assert!(!origin(swarm.tick(began)));
    assert!(origin(swarm.tick(began + setting.settle)));
}

#[test]
fn chunks_are_verified_by_the_hash_that_their_origin_uses() {
    use pumicelatch::weight::Hash;

    let bytes = Bytes::from_static(b"some weights");
    let manifest = Manifest {
        model_bytes: bytes.len() as u64,
        chunk_bytes: bytes.len() as u32,
        chunks: vec![Hash::Sha256.of(&bytes)],
    };
    let mut store = Store::new(1_000);
    let label = Digest::of(b"model 2");
    store.admit_checked(label, manifest, Hash::Sha256).unwrap();
    let mut spoilt = store.receive(label, 0).unwrap();
    spoilt.push(b"some weightz").unwrap();
    assert!(matches!(spoilt.finish(), Err(Error::ChunkDigest { .. })));
    let mut receipt = store.receive(label, 0).unwrap();
    receipt.push(&bytes).unwrap();
    store.put(receipt.finish().unwrap()).unwrap();
    assert!(store.complete(label));
}

#[test]
fn relays_draw_from_the_origin_and_boxes_draw_from_relays() {
    let boxes = members(6, 1);
    let relays: Vec<Member> = ["relay-1", "relay-2"]
        .map(|name| Member {
            name: name.into(),
            hall: "hall-0".into(),
        })
        .to_vec();
    let names: Vec<_> = relays.iter().map(|relay| relay.name.clone()).collect();
    let all: Vec<Member> = boxes.iter().chain(&relays).cloned().collect();
    let setting = Setting {
        settle: Duration::ZERO,
        ..Setting::for_few_halls()
    };
    let began = Time::from_millis(1_000);
    let swarm_of = |own: &Member| {
        let mut swarm = Swarm::new(version(), own.clone(), 8, setting, 1, began);
        swarm.set_members_and_relays(all.clone(), names.clone());
        swarm
    };
    let from_origin = |own: &Member| {
        let actions = swarm_of(own).tick(began);
        actions.iter().any(|action| {
            matches!(
                action,
                Action::Fetch {
                    source: Source::Origin,
                    ..
                }
            )
        })
    };
    assert!(relays.iter().all(from_origin));
    assert!(!boxes.iter().any(from_origin));
    let mut swarm = swarm_of(&boxes[0]);
    let fellow = swarm.join(boxes[1].name.clone(), began);
    let relay = swarm.join(names[0].clone(), began);
    for peer in [fellow, relay] {
        let notice = Notice {
            gained: &[3],
            load: 1,
            drawing: &[],
            origin_age: None,
        };
        swarm.notice(peer, notice, began);
    }
    let actions = swarm.tick(began);
    assert!(
        matches!(actions[..], [Action::Fetch { source: Source::Peer(peer), .. }] if peer == relay),
        "{actions:?}"
    );
}

#[test]
fn what_a_peer_is_drawing_from_the_origin_is_left_to_it_until_it_takes_too_long() {
    let sponsor = |claims: bool| {
        let setting = Setting {
            settle: Duration::ZERO,
            claims,
            ..Setting::for_few_halls()
        };
        let own = Member {
            name: "own".into(),
            hall: "hall-0".into(),
        };
        let mut swarm = Swarm::new(version(), own.clone(), 1, setting, 1, Time::default());
        // Each of them takes itself for the only sponsor, as after a loss of power.
        swarm.set_members(vec![own]);
        let peer = swarm.join("other".into(), Time::default());
        (swarm, peer)
    };
    let claim = Notice {
        gained: &[],
        load: 0,
        drawing: &[0],
        origin_age: None,
    };
    let start = Time::default();
    let (mut swarm, peer) = sponsor(true);
    swarm.notice(peer, claim, start);
    assert_eq!(fetches(&swarm.tick(start)), []);
    let late = start + Setting::for_few_halls().origin_stall;
    swarm.notice(peer, claim, late);
    assert_eq!(fetches(&swarm.tick(late)), [(0, Source::Origin)]);
    // Without claims both draw it.
    let (mut swarm, peer) = sponsor(false);
    swarm.notice(peer, claim, start);
    assert_eq!(fetches(&swarm.tick(start)), [(0, Source::Origin)]);
}
