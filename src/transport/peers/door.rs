//! The accepting side of the hello: all that a connection can reach before it has proven itself.

use crate::{
    constants::{PEER_NONCE_BYTES, PEER_VERSION_MAX, PEER_VERSION_MIN},
    state::member::Member,
    transport::peers::{
        codec::{read_member, write_member, write_refusal},
        connection::{Connection, Link},
        connections::Shared,
        counters::count,
        error::{DecodeError, HelloError, HelloRefusal},
        mesh_capnp::{door, greeting, hello_reply, session},
        mesh_server::MeshServer,
        proof::{Nonce, Side, Transcript},
    },
};
use std::{
    cell::{Cell, OnceCell, RefCell},
    rc::Rc,
};

/// What a side says first.
pub struct Greeting {
    pub min_version: u16,
    pub max_version: u16,
    pub member: Member,
    pub nonce: Nonce,
}

impl Greeting {
    /// This node's greeting, with a fresh challenge.
    pub fn own(member: &Member) -> Self {
        Self {
            min_version: PEER_VERSION_MIN,
            max_version: PEER_VERSION_MAX,
            member: member.clone(),
            nonce: rand::random(),
        }
    }

    pub fn read(reader: greeting::Reader) -> Result<Self, DecodeError> {
        let nonce = reader.get_nonce()?;
        let nonce: [u8; PEER_NONCE_BYTES] = nonce
            .try_into()
            .map_err(|_| DecodeError::Invalid("nonce"))?;
        Ok(Self {
            min_version: reader.get_min_version(),
            max_version: reader.get_max_version(),
            member: read_member(reader.get_member()?)?,
            nonce,
        })
    }

    pub fn write(&self, mut builder: greeting::Builder) {
        builder.set_min_version(self.min_version);
        builder.set_max_version(self.max_version);
        builder.set_nonce(&self.nonce);
        write_member(&self.member, builder.init_member());
    }

    /// The newest version that both sides speak.
    pub fn agree(&self, other: &Self) -> Result<u16, HelloRefusal> {
        let version = self.max_version.min(other.max_version);
        if version < self.min_version.max(other.min_version) {
            return Err(HelloRefusal::Version);
        }
        Ok(version)
    }
}

/// One of the connections that may be in the middle of their hello.
pub struct GreetingPlace(Rc<Cell<usize>>);

impl GreetingPlace {
    pub fn take(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for GreetingPlace {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// State of one accepted connection until its hello is done.
pub struct Accepted {
    /// Set once the connection runs.
    pub link: OnceCell<Rc<Link>>,
    /// Given back once the other side has proven itself.
    pub place: RefCell<Option<GreetingPlace>>,
}

/// What an accepted connection starts with.
pub struct Door {
    shared: Rc<Shared>,
    accepted: Rc<Accepted>,
    used: Cell<bool>,
}

impl Door {
    pub fn new_client(shared: Rc<Shared>, accepted: Rc<Accepted>) -> door::Client {
        capnp_rpc::new_client(Self {
            shared,
            accepted,
            used: Cell::new(false),
        })
    }

    fn greet(&self, reader: greeting::Reader) -> Result<Session, HelloError> {
        // Each hello costs memory; a connection gets one.
        if self.used.replace(true) {
            return Err(HelloRefusal::Malformed.into());
        }
        let dialling = Greeting::read(reader)?;
        let accepting = Greeting::own(&self.shared.identity.member);
        let version = accepting.agree(&dialling)?;
        Ok(Session {
            shared: Rc::clone(&self.shared),
            accepted: Rc::clone(&self.accepted),
            hello: RefCell::new(Some(Hello {
                version,
                dialling,
                accepting,
            })),
        })
    }

    fn reply(&self, session: Result<Session, HelloError>, mut reply: hello_reply::Builder) {
        reply.set_min_version(PEER_VERSION_MIN);
        reply.set_max_version(PEER_VERSION_MAX);
        match session {
            Ok(session) => session.write_welcome(reply.init_welcome()),
            Err(error) => reply.set_refused(write_refusal(self.shared.refuse(&error))),
        }
    }
}

impl door::Server for Door {
    async fn hello(
        self: Rc<Self>,
        params: door::HelloParams,
        mut results: door::HelloResults,
    ) -> capnp::Result<()> {
        let session = self.greet(params.get()?.get_greeting()?);
        self.reply(session, results.get().init_reply());
        Ok(())
    }
}

/// What both sides said.
struct Hello {
    version: u16,
    dialling: Greeting,
    accepting: Greeting,
}

impl Hello {
    fn transcript(&self) -> Transcript<'_> {
        Transcript {
            version: self.version,
            dialling: &self.dialling.member,
            dialling_nonce: &self.dialling.nonce,
            accepting: &self.accepting.member,
            accepting_nonce: &self.accepting.nonce,
        }
    }
}

struct Session {
    shared: Rc<Shared>,
    accepted: Rc<Accepted>,
    /// Taken by the first proof, so that a wrong key can't be followed by guesses.
    hello: RefCell<Option<Hello>>,
}

impl Session {
    fn write_welcome(self, mut builder: crate::transport::peers::mesh_capnp::welcome::Builder) {
        if let Some(hello) = &*self.hello.borrow() {
            let proof = hello
                .transcript()
                .prove(&self.shared.identity.key, Side::Accepting);
            builder.set_proof(&proof);
            hello.accepting.write(builder.reborrow().init_greeting());
        }
        builder.set_session(capnp_rpc::new_client(self));
    }

    fn check(&self, params: &session::ProveParams) -> Result<Member, HelloError> {
        let params = params.get()?;
        let hello = self.hello.borrow_mut().take();
        let hello = hello.ok_or(HelloRefusal::Malformed)?;
        let proof = params.get_proof()?;
        let key = &self.shared.identity.key;
        if !hello.transcript().verify(key, Side::Dialling, proof) {
            return Err(HelloRefusal::WrongKey.into());
        }
        let member = hello.dialling.member;
        let link = self.accepted.link.get().ok_or(HelloRefusal::Malformed)?;
        self.accepted.place.take();
        count(&self.shared.counters.accepted);
        self.shared.adopt(Rc::new(Connection {
            member: member.clone(),
            mesh: params.get_mesh()?,
            link: Rc::clone(link),
        }));
        Ok(member)
    }
}

impl session::Server for Session {
    async fn prove(
        self: Rc<Self>,
        params: session::ProveParams,
        mut results: session::ProveResults,
    ) -> capnp::Result<()> {
        let mut reply = results.get().init_reply();
        match self.check(&params) {
            Ok(member) => {
                reply.set_mesh(MeshServer::new_client(Rc::clone(&self.shared), member));
            }
            Err(error) => reply.set_refused(write_refusal(self.shared.refuse(&error))),
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn greeting(min_version: u16, max_version: u16) -> Greeting {
        let address = "127.0.0.1:1".parse().expect("an address");
        Greeting {
            min_version,
            max_version,
            member: Member {
                name: "a".into(),
                incarnation: crate::state::member::Incarnation(1),
                service: "frontdesk".into(),
                region: "prairie-west".into(),
                availability_zone: "yxe-a".into(),
                peer_address: address,
                operator_address: address,
                slots: 6,
            },
            nonce: [0; PEER_NONCE_BYTES],
        }
    }

    #[test]
    fn agree_newest_common() {
        assert_eq!(greeting(1, 3).agree(&greeting(2, 4)), Ok(3));
        assert_eq!(greeting(2, 4).agree(&greeting(1, 3)), Ok(3));
    }

    #[test]
    fn agree_none_in_common() {
        let refused = Err(HelloRefusal::Version);
        assert_eq!(greeting(1, 2).agree(&greeting(3, 4)), refused);
        assert_eq!(greeting(3, 4).agree(&greeting(1, 2)), refused);
    }
}
