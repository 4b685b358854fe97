//! JSON form in which node records are stored and exchanged. Nodes of other versions read and write it too.

use camphorturn::state::known_node::{NodeRecord, StoredRecord};

/// Records as stored by nodes of version 0.1.0: one with all members, one with only the required ones.
const STORED_JSON: [&str; 2] = [
    r#"{"name":"n1","address":"10.0.0.1:7000","service":"desk","availability_zone":"a","instance":"i-1","born":1767225600123,"slots":6,"leaving":true,"operators":"10.0.0.1:7001"}"#,
    r#"{"name":"n2","address":"[::1]:7000","service":"desk","availability_zone":"b","instance":"i-2","slots":65535,"leaving":false}"#,
];

#[test]
fn node_record_keeps_json_form() {
    for json in STORED_JSON {
        let record: NodeRecord = serde_json::from_str(json).expect("a record");
        assert_eq!(serde_json::to_string(&record).expect("plain data"), json);
        let exchanged = format!(r#"{{"revision":7,"record":{json}}}"#);
        let stored: StoredRecord = serde_json::from_str(&exchanged).expect("a record");
        assert_eq!(stored.record, record);
        assert_eq!(
            serde_json::to_string(&stored).expect("plain data"),
            exchanged
        );
    }
}

#[test]
fn node_record_ignores_members_of_later_versions() {
    let json = STORED_JSON[0].replace('}', r#","later":{"born":1}}"#);
    let record: NodeRecord = serde_json::from_str(&json).expect("a record");
    assert_eq!(
        serde_json::to_string(&record).expect("plain data"),
        STORED_JSON[0]
    );
}

#[test]
fn node_record_without_valid_incarnation_is_rejected() {
    let minimal = STORED_JSON[1];
    let invalid = [
        minimal.replace(r#""instance":"i-2","#, ""),
        minimal.replace(r#""instance":"i-2""#, r#""instance":2"#),
        minimal.replace(
            r#""instance":"i-2""#,
            r#""instance":"i-2","instance":"i-3""#,
        ),
        minimal.replace(r#""instance":"i-2""#, r#""instance":"i-2","born":7.5"#),
        minimal.replace(r#""instance":"i-2""#, r#""instance":"i-2","born":-1"#),
        minimal.replace(r#""instance":"i-2""#, r#""instance":"i-2","born":"7""#),
    ];
    for json in invalid {
        assert!(serde_json::from_str::<NodeRecord>(&json).is_err(), "{json}");
    }
}
