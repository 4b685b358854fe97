//! The dialling side of the hello.

use crate::transport::peers::{
    codec::read_refusal,
    connection::{Connection, Link, RpcSocket},
    connections::Shared,
    door::Greeting,
    error::{HelloError, HelloRefusal, NotSentReason, PeerError},
    mesh_capnp::{door, hello_reply, mesh, prove_reply, welcome},
    mesh_server::MeshServer,
    proof::{Side, Transcript},
};
use capnp_rpc::rpc_twoparty_capnp;
use std::{net::SocketAddr, rc::Rc};
use tokio::net::TcpStream;

/// Opens a connection and does the hello. Does not wait longer than the connection itself does.
pub async fn dial(shared: &Rc<Shared>, address: SocketAddr) -> Result<Rc<Connection>, PeerError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| not_connected(&error))?;
    let body_limit = shared.identity.body_limit;
    let socket = RpcSocket::new(stream, rpc_twoparty_capnp::Side::Client, None, body_limit);
    let mut socket = socket.map_err(|error| not_connected(&error))?;
    let door = socket.bootstrap::<door::Client>();
    let guard = CloseUnlessKept(Some(socket.start()));
    let connection = say_hello(shared, &door, guard).await;
    connection.map_err(|error| match error {
        HelloError::Refused(refusal) => {
            shared.refuse(&error);
            PeerError::Refused(refusal)
        }
        HelloError::Decode(_) => PeerError::Refused(shared.refuse(&error)),
        HelloError::Connection(error) => {
            PeerError::NotSent(NotSentReason::HelloCut(error.to_string()))
        }
    })
}

fn not_connected(error: &std::io::Error) -> PeerError {
    PeerError::NotSent(NotSentReason::Connect(error.kind()))
}

/// Closes a connection whose hello fails or is given up.
struct CloseUnlessKept(Option<Rc<Link>>);

impl Drop for CloseUnlessKept {
    fn drop(&mut self) {
        if let Some(link) = &self.0 {
            link.close();
        }
    }
}

async fn say_hello(
    shared: &Rc<Shared>,
    door: &door::Client,
    mut guard: CloseUnlessKept,
) -> Result<Rc<Connection>, HelloError> {
    let own = Greeting::own(&shared.identity.member);
    let mut req = door.hello_request();
    own.write(req.get().init_greeting());
    let response = req.send().promise.await?;
    let welcome = read_hello_reply(response.get()?.get_reply()?)?;
    let other = Greeting::read(welcome.get_greeting()?)?;
    let transcript = Transcript {
        version: own.agree(&other)?,
        dialling: &own.member,
        dialling_nonce: &own.nonce,
        accepting: &other.member,
        accepting_nonce: &other.nonce,
    };
    let key = &shared.identity.key;
    if !transcript.verify(key, Side::Accepting, welcome.get_proof()?) {
        return Err(HelloRefusal::WrongKey.into());
    }
    let mut req = welcome.get_session()?.prove_request();
    req.get().set_proof(&transcript.prove(key, Side::Dialling));
    let server = MeshServer::new_client(Rc::clone(shared), other.member.clone());
    req.get().set_mesh(server);
    let response = req.send().promise.await?;
    let mesh = read_prove_reply(response.get()?.get_reply()?)?;
    let link = guard.0.take().ok_or(HelloRefusal::Malformed)?;
    Ok(Rc::new(Connection {
        member: other.member,
        mesh,
        link,
    }))
}

fn read_hello_reply(reply: hello_reply::Reader) -> Result<welcome::Reader, HelloError> {
    match reply.which().map_err(capnp::Error::from)? {
        hello_reply::Which::Welcome(welcome) => Ok(welcome?),
        hello_reply::Which::Refused(refusal) => {
            Err(read_refusal(refusal.map_err(capnp::Error::from)?).into())
        }
    }
}

fn read_prove_reply(reply: prove_reply::Reader) -> Result<mesh::Client, HelloError> {
    match reply.which().map_err(capnp::Error::from)? {
        prove_reply::Which::Mesh(mesh) => Ok(mesh?),
        prove_reply::Which::Refused(refusal) => {
            Err(read_refusal(refusal.map_err(capnp::Error::from)?).into())
        }
    }
}
