//! Levels of sidecars at an entry.

use std::sync::Arc;
use std::time::Duration;

use pumicelatch::clock::Time;
use pumicelatch::gateway::level::Levels;
use pumicelatch::member::replica::Instance;
use quickcheck::{TestResult, quickcheck};

const NOW: Time = Time::from_millis(50_000);

fn instance(number: usize, born: u64) -> Instance {
    Instance {
        id: Arc::from(format!("i-{number}")),
        born,
    }
}

/// Guards against requests that are refused although a replica may take them, at entries with 3 to 150 replicas.
#[test]
fn entries_refuse_only_what_all_fresh_levels_exclude() {
    fn property(levels: Vec<Option<u8>>, urgency: u8, age_ms: u16) -> TestResult {
        if levels.len() < 3 || levels.len() > 150 {
            return TestResult::discard();
        }
        let mut known = Levels::default();
        let instances: Vec<Instance> = (0..levels.len())
            .map(|number| instance(number, 1))
            .collect();
        for (instance, level) in instances.iter().zip(&levels) {
            known.record(instance.clone(), *level, NOW);
        }
        let now = NOW + Duration::from_millis(u64::from(age_ms % 600));
        let excludes = |level: &Option<u8>| level.is_some_and(|level| level < urgency);
        let all = levels.iter().all(excludes) && now.since(NOW) < Duration::from_millis(300);
        let refused = (0..16).filter(|_| known.excluding(urgency, &instances, now).is_some());
        // One in eight asks nevertheless.
        TestResult::from_bool(refused.count() == if all { 14 } else { 0 })
    }
    quickcheck(property as fn(Vec<Option<u8>>, u8, u16) -> TestResult);
}

/// Guards against a level that outlives the instance whose sidecar reported it.
#[test]
fn levels_belong_to_one_instance() {
    let mut known = Levels::default();
    known.record(instance(0, 1), Some(0), NOW);
    assert_eq!(known.excluding(1, &[instance(0, 1)], NOW), Some(0));
    assert_eq!(known.excluding(1, &[instance(0, 2)], NOW), None);
    known.record(instance(0, 1), None, NOW);
    assert_eq!(known.excluding(1, &[instance(0, 1)], NOW), None);
    assert_eq!(known.excluding(1, &[], NOW), None);
}
