//! End-to-end headers.

use crate::{
    constants::{HEAD_LIMIT, HEADER_COUNT_LIMIT},
    transport::peers::{codec::list_length, error::DecodeError, mesh_capnp::header},
};
use capnp::struct_list;
use http::{HeaderMap, HeaderName, HeaderValue};

pub fn write_headers(headers: &HeaderMap, mut list: struct_list::Builder<header::Owned>) {
    for (index, (name, value)) in headers.iter().enumerate() {
        let mut entry = list.reborrow().get(list_length(index));
        entry.set_name(name.as_str());
        entry.set_value(value.as_bytes());
    }
}

pub fn read_headers(list: struct_list::Reader<header::Owned>) -> Result<HeaderMap, DecodeError> {
    if list.len() as usize > HEADER_COUNT_LIMIT {
        return Err(DecodeError::TooLarge {
            field: "header count",
            limit: HEADER_COUNT_LIMIT,
        });
    }
    let mut headers = HeaderMap::with_capacity(list.len() as usize);
    let mut size = 0;
    for entry in list {
        let name = entry.get_name()?.as_bytes();
        let value = entry.get_value()?;
        size += name.len() + value.len();
        if size > HEAD_LIMIT {
            return Err(DecodeError::TooLarge {
                field: "headers",
                limit: HEAD_LIMIT,
            });
        }
        headers.append(read_header_name(name)?, read_header_value(value)?);
    }
    Ok(headers)
}

fn read_header_name(name: &[u8]) -> Result<HeaderName, DecodeError> {
    HeaderName::from_bytes(name).map_err(|_| DecodeError::Invalid("header name"))
}

fn read_header_value(value: &[u8]) -> Result<HeaderValue, DecodeError> {
    HeaderValue::from_bytes(value).map_err(|_| DecodeError::Invalid("header value"))
}
