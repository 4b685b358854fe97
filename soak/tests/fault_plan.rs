//! Faults that a seed draws, and malformed documents.

use camphorturn_soak::{
    corruption::{Corruption, corrupt},
    fault_plan::{Fault, draw_faults},
};
use serde_json::Value;
use std::time::Duration;

const SPAN: Duration = Duration::from_secs(12);

#[test]
fn draw_faults_same_for_same_seed() {
    assert_eq!(draw_faults(9, SPAN, 6), draw_faults(9, SPAN, 6));
    assert_ne!(draw_faults(9, SPAN, 6), draw_faults(10, SPAN, 6));
}

#[test]
fn draw_faults_order_and_kinds() {
    let (mut corruptions, mut crashes, mut restores) = (0, 0, 0);
    let (mut failures, mut partitions) = (0, 0);
    for seed in 0..20 {
        let faults = draw_faults(seed, SPAN, 6);
        assert!(faults.is_sorted_by_key(|fault| fault.start));
        let mut kinds = faults.iter().map(|planned| planned.fault);
        assert!(
            kinds.any(|fault| matches!(fault, Fault::Grow(300..))),
            "seed {seed}"
        );
        assert!(kinds.any(|fault| fault == Fault::Configure), "seed {seed}");
        for planned in faults {
            corruptions += usize::from(matches!(planned.fault, Fault::Foreign(..)));
            crashes += usize::from(matches!(planned.fault, Fault::Crash(_)));
            failures += usize::from(matches!(planned.fault, Fault::Fail { .. }));
            partitions += usize::from(planned.fault == Fault::Partition);
            restores += usize::from(matches!(planned.fault, Fault::StoreReturns(_)));
        }
    }
    assert!(failures > 0 && partitions > 0, "{failures}, {partitions}");
    assert!(
        corruptions > 0 && crashes > 0 && restores > 0,
        "{corruptions}, {crashes}, {restores}"
    );
}

#[test]
fn corrupt_field() {
    let document = r#"{"a":1,"b":"x"}"#;
    let read = |bytes: Vec<u8>| serde_json::from_slice::<Value>(&bytes).ok();
    let missing = corrupt(document, Corruption::Missing(2));
    assert_eq!(read(missing), serde_json::from_str(r#"{"b":"x"}"#).ok());
    let other = corrupt(document, Corruption::OtherType(1));
    assert_eq!(read(other), serde_json::from_str(r#"{"a":1,"b":7}"#).ok());
    assert_eq!(read(corrupt(document, Corruption::Unreadable)), None);
}
