//! Templates and placement: samples load, errors name file, line, key and fix, and few boxes move.

use std::collections::BTreeSet;

use pumicelatch::ctl::directory::Directory;
use pumicelatch::member::{Descriptor, Role, State};
use pumicelatch::placement::{self, Assignment, Demand};
use pumicelatch::spread::Favour;
use pumicelatch::template::fleet::{Fleet, Stage};
use pumicelatch::template::render::{Source, render};
use pumicelatch::weight::Digest;
use quickcheck::{Gen, QuickCheck};

const TEMPLATE: &str = r#"[parameters.halls]
type = "list"

[parameters.share]
type = "integer"
minimum = 0
maximum = 100
default = 0

[parameters.stage]
type = "string"
choices = ["prepared", "moving", "finished", "turned-back"]
default = "prepared"

[side]
halls = "${halls}"

[move]
to = ["new"]
stage = "${stage}"
share = "${share}"

[[models]]
name = "model-${stage}"
replicas = 2

[[models.versions]]
digest = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
bytes = 10
"#;

fn rendered(template: &str, customer: &str) -> Result<Fleet, String> {
    let template = Source {
        name: "t.toml",
        text: template,
    };
    let customer = Source {
        name: "c.toml",
        text: customer,
    };
    render(template, customer).map_err(|error| error.to_string())
}

fn with(values: &str) -> Result<Fleet, String> {
    rendered(TEMPLATE, &format!("template = \"t\"\n[values]\n{values}"))
}

#[test]
fn the_documented_samples_load() {
    let root = env!("CARGO_MANIFEST_DIR");
    for sample in ["nordvind", "simulab"] {
        let directory = Directory::read(&format!("{root}/samples/{sample}")).unwrap();
        assert!(!directory.fleets().unwrap().is_empty());
    }
}

#[test]
fn values_fill_whole_strings_by_type_and_parts_as_text() {
    let fleet = with("halls = [\"a\", \"b\"]\nshare = 30\nstage = \"moving\"").unwrap();
    assert_eq!(fleet.side.halls, ["a", "b"]);
    let relocation = fleet.relocation.as_ref().unwrap();
    assert_eq!((relocation.stage, relocation.share), (Stage::Moving, 30));
    assert_eq!(fleet.models[0].name, "model-moving");
}

#[test]
fn errors_name_file_line_key_and_fix() {
    let cases = [
        (
            "halls = [\"a\"]\nshare = 101",
            "c.toml:4: share: parameter `share` is 101; allowed: 0 to 100",
        ),
        (
            "halls = 7",
            "c.toml:3: halls: parameter `halls` takes a list of strings, got 7",
        ),
        (
            "halls = [\"a\"]\nstage = \"gone\"",
            "c.toml:4: stage: parameter `stage` is \"gone\"; allowed: prepared, moving, finished, turned-back",
        ),
        (
            "halls = [\"a\"]\nhals = 1",
            "c.toml:4: hals: the template has no parameter `hals`; remove it or name one of: halls, share, stage",
        ),
        (
            "share = 1",
            "c.toml:1: halls: parameter `halls` has no default; give it a value under [values]",
        ),
        (
            "halls = []",
            "t.toml:1: side.halls: names no data hall; list at least one",
        ),
        (
            "halls = [\"new\"]",
            "data hall `new` is on both sides of the move; name it once",
        ),
        ("halls = [\"a\"", "c.toml:3: "),
    ];
    for (values, expected) in cases {
        let error = with(values).unwrap_err();
        assert!(
            error.contains(expected),
            "{values:?} gave {error:?}, not {expected:?}"
        );
    }
}

#[test]
fn errors_of_the_template_itself_name_its_line() {
    let values = "template = \"t\"\n[values]\nhalls = [\"a\"]";
    let cases = [
        (
            "replicas = 2",
            "replicas = 0",
            "models.model-prepared.replicas` is 0; give 1 or more",
        ),
        ("bytes = 10", "byte = 10", "t.toml:"),
        (
            "bytes = 10",
            "bytes = 10\nshare = 99",
            "the shares of model `model-prepared` sum to 99; make them 100",
        ),
        (
            "\"model-${stage}\"",
            "\"model-${nothing}\"",
            "has no parameter `nothing`",
        ),
        (
            "\"model-${stage}\"",
            "\"model-${stage\"",
            "`${` without `}`",
        ),
        (
            "\"model-${stage}\"",
            "\"model-${halls}\"",
            "is a list and must be the whole string",
        ),
    ];
    for (from, to, expected) in cases {
        let error = rendered(&TEMPLATE.replace(from, to), values).unwrap_err();
        assert!(
            error.contains(expected),
            "{to:?} gave {error:?}, not {expected:?}"
        );
    }
}

#[test]
fn a_value_of_over_a_megabyte_is_refused() {
    let text = format!("template = \"t\"\n#{}", "x".repeat(1 << 20));
    let error = rendered(TEMPLATE, &text).unwrap_err();
    assert!(error.contains("over the limit of 1048576 bytes"), "{error}");
}

#[test]
fn a_request_that_has_moved_stays_moved_while_the_share_grows() {
    let at = |share: u32| {
        with(&format!(
            "halls = [\"old\"]\nstage = \"moving\"\nshare = {share}"
        ))
        .unwrap()
    };
    for draw in 0..100 {
        let mut moved = false;
        for share in (0..=100).step_by(5) {
            let now = at(share).serving_halls(draw) == ["new"];
            assert!(now || !moved, "draw {draw} came back at share {share}");
            moved = now;
        }
        assert!(moved);
    }
}

#[test]
fn each_stage_says_who_holds_and_who_serves() {
    let at = |stage: &str| {
        with(&format!(
            "halls = [\"old\"]\nshare = 100\nstage = \"{stage}\""
        ))
        .unwrap()
    };
    let both = ["old", "new"];
    let cases: [(&str, &[&str], &str); 4] = [
        ("prepared", &both, "old"),
        ("moving", &both, "new"),
        ("finished", &["new"], "new"),
        ("turned-back", &both, "old"),
    ];
    for (stage, holding, serving) in cases {
        let fleet = at(stage);
        assert_eq!(fleet.placement_halls(), holding, "{stage}");
        assert_eq!(fleet.serving_halls(50), [serving], "{stage}");
    }
}

fn boxes(count: usize, racks: usize, capacity: u64) -> Vec<Descriptor> {
    (0..count)
        .map(|index| Descriptor {
            name: format!("box-{index:03}").into(),
            hall: "hall".into(),
            rack: format!("rack-{}", index % racks).into(),
            address: ([127, 0, 0, 1], 1).into(),
            role: Role::Model,
            capacity_bytes: capacity,
            state: State::Live,
        })
        .collect()
}

fn demand(number: u8, replicas: u32) -> Demand {
    Demand {
        customer: format!("customer-{number}").into(),
        model: "model".into(),
        version: Digest::of(&[number]),
        bytes: 10,
        adapters: Vec::new(),
        hall: "hall".into(),
        replicas,
        favour: Favour::Time,
    }
}

fn holders(assignment: &Assignment, demand: &Demand) -> BTreeSet<String> {
    let names = assignment.holders(demand.version);
    names.map(|name| name.to_string()).collect()
}

#[test]
fn replicas_spread_over_racks() {
    let boxes = boxes(40, 4, 100);
    let demand = demand(1, 8);
    let assignment = placement::assign(std::slice::from_ref(&demand), boxes.iter());
    let mut racks = [0; 4];
    for name in holders(&assignment, &demand) {
        let listed = boxes.iter().find(|listed| *listed.name == *name).unwrap();
        racks[listed.rack[5..].parse::<usize>().unwrap()] += 1;
    }
    assert_eq!(racks, [2; 4]);
}

#[test]
fn a_box_that_goes_moves_one_replica_of_each_version_it_held() {
    fn holds(gone: usize, count: u8) -> bool {
        let boxes = boxes(30, 3, 1_000);
        let demands: Vec<Demand> = (0..count % 8).map(|number| demand(number, 6)).collect();
        let before = placement::assign(&demands, boxes.iter());
        let gone = &boxes[gone % 30].name;
        let rest = boxes.iter().filter(|listed| listed.name != *gone);
        let after = placement::assign(&demands, rest);
        demands.iter().all(|demand| {
            let (before, after) = (holders(&before, demand), holders(&after, demand));
            let held = usize::from(before.contains(&**gone));
            after.len() == 6 && after.difference(&before).count() == held
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 5))
        .tests(200)
        .quickcheck(holds as fn(usize, u8) -> bool);
}

#[test]
fn capacity_is_kept_and_what_does_not_fit_is_said() {
    let boxes = boxes(5, 1, 25);
    let demands: Vec<Demand> = (0..3).map(|number| demand(number, 5)).collect();
    let assignment = placement::assign(&demands, boxes.iter());
    for carried in assignment.boxes.values() {
        assert!(carried.iter().map(|carry| carry.bytes).sum::<u64>() <= 25);
    }
    let short: u32 = assignment
        .shortfalls
        .iter()
        .map(|short| short.wanted - short.placed)
        .sum();
    assert_eq!(short, 5, "ten of fifteen fit");
}
