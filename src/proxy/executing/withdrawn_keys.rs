//! Finds out whether a key of an organisation was withdrawn while one of its requests waited for a slot.
//!
//! The entry node checks the key of a request when it arrives, and the executing node knows only the name of the organisation. So
//! the executing node refuses the request if any key of the organisation is gone, and the entry node checks its key again.

use crate::{
    protocol::hop::HopRequest,
    proxy::core::ProxyCore,
    state::{names::OrganisationName, organisations::Organisation},
};
use std::rc::Rc;

/// The organisation of a request as it is when the request arrives; `None` if it has none or this node doesn't know it yet.
pub fn find_organisation(core: &ProxyCore, hop: &HopRequest) -> Option<Rc<Organisation>> {
    find_by_name(core, hop.organisation.as_ref()?)
}

/// Whether the organisation has lost a key since.
pub fn was_key_withdrawn(core: &ProxyCore, known: Option<&Rc<Organisation>>) -> bool {
    let Some(known) = known else {
        return false;
    };
    let Some(current) = find_by_name(core, &known.name) else {
        return true;
    };
    !Rc::ptr_eq(known, &current) && known.keys.iter().any(|key| !current.keys.contains(key))
}

fn find_by_name(core: &ProxyCore, name: &OrganisationName) -> Option<Rc<Organisation>> {
    let routes = core.routes()?;
    routes.organisations()?.find_by_name(name).cloned()
}
