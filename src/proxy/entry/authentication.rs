//! Identifies the organisation that sent a request, by its API key.

use crate::{
    proxy::{core::ProxyCore, mesh_contact::ask_for_contact},
    state::{
        organisations::{KeyDigest, Organisation},
        routing_table::{Route, RouteIndex},
    },
    transport::callers::CallerRequest,
};
use http::HeaderMap;
use std::rc::Rc;

/// The route needs a key, and the request has none, several, or one that no organisation holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyRejected;

/// The organisation that sent a request, and the key that identified it.
#[derive(Clone, Debug)]
pub struct Sender {
    /// The organisation.
    pub organisation: Rc<Organisation>,
    key: KeyDigest,
}

impl Sender {
    /// Whether the organisation no longer holds the key.
    pub fn was_key_withdrawn(&self, core: &ProxyCore) -> bool {
        let Some(routes) = core.routes() else {
            return false;
        };
        let Some(organisations) = routes.organisations() else {
            return false;
        };
        let holder = organisations.find_by_key(&self.key);
        holder.is_none_or(|holder| holder.name != self.organisation.name)
    }
}

/// Finds the organisation that holds the key of a request. `None` if the request needs no key and has no valid one.
///
/// # Errors
/// If the route needs a key and the request has no valid one.
pub fn authenticate(
    core: &ProxyCore,
    routes: &RouteIndex,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<Sender>, KeyRejected> {
    let Some(organisations) = routes.organisations() else {
        return Ok(None);
    };
    let sender = read_key(core, headers).and_then(|key| {
        let organisation = Rc::clone(organisations.find_by_key(&key)?);
        Some(Sender { organisation, key })
    });
    if sender.is_none() && !route.is_public {
        return Err(KeyRejected);
    }
    Ok(sender)
}

/// Digest of the key of a request. `None` without a key, or with several: two readers could disagree on which one counts.
fn read_key(core: &ProxyCore, headers: &HeaderMap) -> Option<KeyDigest> {
    let mut keys = headers.get_all(&core.settings.headers.api_key).iter();
    let key = keys.next()?;
    let is_single = keys.next().is_none();
    is_single.then(|| KeyDigest::of(key.as_bytes()))
}

/// Whether this node must not serve by its keys, since it can't tell whether they are current: it has been cut off for too long.
pub async fn have_keys_expired(core: &ProxyCore) -> bool {
    let Some(expiry) = core.limits().key_expiry else {
        return false;
    };
    let is_expired = || core.timers.now().since(core.contact.last()) > expiry;
    if is_expired() {
        ask_for_contact(core).await;
    }
    is_expired()
}

/// Removes what identifies the sender: the key, which no other process may learn, and the name of an organisation, which the
/// upstream trusts. Without organisations, the header of the key has no meaning here and is left.
pub fn remove_identity(core: &ProxyCore, routes: &RouteIndex, req: &mut CallerRequest) {
    let names = &core.settings.headers;
    if routes.organisations().is_some() {
        req.headers.remove(&names.api_key);
    }
    req.headers.remove(&names.organisation);
}
