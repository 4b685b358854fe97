//! Descriptions of members.

use crate::{
    state::member::{Incarnation, Member},
    transport::peers::{
        codec::{read_name, read_text},
        error::DecodeError,
        mesh_capnp::member,
    },
};
use capnp::text;
use std::net::SocketAddr;

pub fn write_member(value: &Member, mut builder: member::Builder) {
    builder.set_name(value.name.as_str());
    builder.set_incarnation(value.incarnation.0);
    builder.set_service(value.service.as_str());
    builder.set_region(value.region.as_str());
    builder.set_availability_zone(value.availability_zone.as_str());
    builder.set_peer_address(value.peer_address.to_string());
    builder.set_operator_address(value.operator_address.to_string());
    builder.set_slots(value.slots);
}

pub fn read_member(reader: member::Reader) -> Result<Member, DecodeError> {
    Ok(Member {
        name: read_name(reader.get_name(), "node name")?.into(),
        incarnation: Incarnation(reader.get_incarnation()),
        service: read_name(reader.get_service(), "service name")?.into(),
        region: read_name(reader.get_region(), "region name")?.into(),
        availability_zone: read_name(reader.get_availability_zone(), "availability zone name")?
            .into(),
        peer_address: read_address(reader.get_peer_address(), "peer address")?,
        operator_address: read_address(reader.get_operator_address(), "operator address")?,
        slots: reader.get_slots(),
    })
}

fn read_address(
    text: capnp::Result<text::Reader>,
    field: &'static str,
) -> Result<SocketAddr, DecodeError> {
    let text = read_text(text, field)?;
    text.parse().map_err(|_| DecodeError::Invalid(field))
}
