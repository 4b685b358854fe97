//! Gossip.

use crate::{
    constants::{GOSSIP_LIST_LIMIT, PEER_MESSAGE_MARGIN},
    protocol::gossip::{Gossip, LogKnowledge, Revision, Rumour, StateShare},
    state::{
        configuration::ConfigurationVersion,
        member::{Incarnation, Member},
        names::NodeName,
    },
    transport::peers::{
        codec::{
            enums::{read_declared, read_health, write_declared, write_health},
            list_length,
            member::{read_member, write_member},
            read_name,
        },
        error::DecodeError,
        mesh_capnp::{gossip, log_knowledge, rumour, state_share},
    },
};
use bytes::Bytes;
use std::time::Duration;

pub fn write_gossip(value: &Gossip, mut builder: gossip::Builder) {
    builder.set_incarnation(value.incarnation.0);
    builder.set_revision(value.revision.0);
    builder.set_declared(write_declared(value.declared));
    builder.set_digest(value.digest);
    write_log(value.log, builder.reborrow().init_log());
    write_rumours(&value.rumours, builder.reborrow());
    write_wants(value, builder.reborrow());
    write_state(&value.state, builder);
}

pub fn read_gossip(reader: gossip::Reader) -> Result<Gossip, DecodeError> {
    Ok(Gossip {
        incarnation: Incarnation(reader.get_incarnation()),
        revision: Revision(reader.get_revision()),
        declared: read_declared(reader.get_declared()?),
        digest: reader.get_digest(),
        log: read_log(reader.get_log()?),
        rumours: read_rumours(reader)?,
        buckets: read_buckets(reader)?,
        wanted_buckets: read_wanted_buckets(reader)?,
        wanted_descriptions: read_wanted_descriptions(reader)?,
        wants_state_after: match reader.get_wants_state().which()? {
            gossip::wants_state::Which::No(()) => None,
            gossip::wants_state::Which::AfterOffset(offset) => Some(offset),
        },
        state: read_state(reader.get_state()?)?,
    })
}

fn write_log(log: LogKnowledge, mut builder: log_knowledge::Builder) {
    builder.set_configuration_version(log.configuration_version.0);
    builder.set_offset(log.offset);
    builder.set_age_millis(u64::try_from(log.age.as_millis()).unwrap_or(u64::MAX));
}

fn read_log(reader: log_knowledge::Reader) -> LogKnowledge {
    LogKnowledge {
        configuration_version: ConfigurationVersion(reader.get_configuration_version()),
        offset: reader.get_offset(),
        age: Duration::from_millis(reader.get_age_millis()),
    }
}

fn write_rumours(rumours: &[Rumour], builder: gossip::Builder) {
    if rumours.is_empty() {
        return;
    }
    let mut list = builder.init_rumours(list_length(rumours.len()));
    for (index, rumour) in rumours.iter().enumerate() {
        write_rumour(rumour, list.reborrow().get(list_length(index)));
    }
}

fn write_rumour(value: &Rumour, mut builder: rumour::Builder) {
    builder.set_name(value.name.as_str());
    builder.set_incarnation(value.incarnation.0);
    builder.set_revision(value.revision.0);
    builder.set_declared(write_declared(value.declared));
    builder.set_health(write_health(value.health));
    if let Some(suspecting) = &value.suspected_by {
        builder.set_suspected_by(suspecting.as_str());
    }
    if let Some(description) = &value.description {
        write_member(description, builder.init_description());
    }
}

fn read_rumours(reader: gossip::Reader) -> Result<Vec<Rumour>, DecodeError> {
    let list = reader.get_rumours()?;
    check_length(list.len(), "rumours")?;
    list.iter().map(read_rumour).collect()
}

fn read_rumour(reader: rumour::Reader) -> Result<Rumour, DecodeError> {
    let value = Rumour {
        name: read_name(reader.get_name(), "node name")?.into(),
        incarnation: Incarnation(reader.get_incarnation()),
        revision: Revision(reader.get_revision()),
        declared: read_declared(reader.get_declared()?),
        health: read_health(reader.get_health()?),
        suspected_by: if reader.has_suspected_by() {
            Some(read_name(reader.get_suspected_by(), "suspecting node")?.into())
        } else {
            None
        },
        description: if reader.has_description() {
            Some(read_member(reader.get_description()?)?)
        } else {
            None
        },
    };
    let described =
        |member: &Member| member.name == value.name && member.incarnation == value.incarnation;
    if value
        .description
        .as_ref()
        .is_some_and(|member| !described(member))
    {
        return Err(DecodeError::Invalid("description of another member"));
    }
    Ok(value)
}

fn write_wants(value: &Gossip, mut builder: gossip::Builder) {
    if !value.buckets.is_empty() {
        let mut list = builder
            .reborrow()
            .init_buckets(list_length(value.buckets.len()));
        for (index, digest) in value.buckets.iter().enumerate() {
            list.set(list_length(index), *digest);
        }
    }
    if !value.wanted_buckets.is_empty() {
        let mut list = builder
            .reborrow()
            .init_wanted_buckets(list_length(value.wanted_buckets.len()));
        for (index, bucket) in value.wanted_buckets.iter().enumerate() {
            list.set(list_length(index), *bucket);
        }
    }
    if !value.wanted_descriptions.is_empty() {
        let mut list = builder
            .reborrow()
            .init_wanted_descriptions(list_length(value.wanted_descriptions.len()));
        for (index, name) in value.wanted_descriptions.iter().enumerate() {
            list.set(list_length(index), name.as_str());
        }
    }
    let mut wants_state = builder.init_wants_state();
    match value.wants_state_after {
        Some(offset) => wants_state.set_after_offset(offset),
        None => wants_state.set_no(()),
    }
}

fn read_buckets(reader: gossip::Reader) -> Result<Vec<u64>, DecodeError> {
    let list = reader.get_buckets()?;
    check_length(list.len(), "buckets")?;
    Ok(list.iter().collect())
}

fn read_wanted_buckets(reader: gossip::Reader) -> Result<Vec<u8>, DecodeError> {
    let list = reader.get_wanted_buckets()?;
    check_length(list.len(), "wanted buckets")?;
    Ok(list.iter().collect())
}

fn read_wanted_descriptions(reader: gossip::Reader) -> Result<Vec<NodeName>, DecodeError> {
    let list = reader.get_wanted_descriptions()?;
    check_length(list.len(), "wanted descriptions")?;
    list.iter()
        .map(|name| Ok(read_name(name, "node name")?.into()))
        .collect()
}

fn write_state(state: &StateShare, mut builder: gossip::Builder) {
    match state {
        StateShare::None => {}
        StateShare::Snapshot { offset, state } => {
            let mut share = builder.init_state();
            share.set_offset(*offset);
            share.set_snapshot(state);
        }
        StateShare::Records { offset, records } => {
            let mut share = builder.reborrow().init_state();
            share.set_offset(*offset);
            let mut list = share.init_records(list_length(records.len()));
            for (index, record) in records.iter().enumerate() {
                list.set(list_length(index), record);
            }
        }
    }
}

fn read_state(reader: state_share::Reader) -> Result<StateShare, DecodeError> {
    let offset = reader.get_offset();
    match reader.which()? {
        state_share::Which::None(()) => Ok(StateShare::None),
        state_share::Which::Snapshot(state) => Ok(StateShare::Snapshot {
            offset,
            state: Bytes::copy_from_slice(check_size(state?)?),
        }),
        state_share::Which::Records(records) => {
            let records = records?;
            check_length(records.len(), "records")?;
            let records = records
                .iter()
                .map(|record| Ok(Bytes::copy_from_slice(check_size(record?)?)));
            Ok(StateShare::Records {
                offset,
                records: records.collect::<Result<_, DecodeError>>()?,
            })
        }
    }
}

fn check_size(bytes: &[u8]) -> Result<&[u8], DecodeError> {
    if bytes.len() > PEER_MESSAGE_MARGIN {
        return Err(DecodeError::TooLarge {
            field: "state",
            limit: PEER_MESSAGE_MARGIN,
        });
    }
    Ok(bytes)
}

fn check_length(length: u32, field: &'static str) -> Result<(), DecodeError> {
    if length as usize > GOSSIP_LIST_LIMIT {
        return Err(DecodeError::TooLarge {
            field,
            limit: GOSSIP_LIST_LIMIT,
        });
    }
    Ok(())
}
