//! Command `serve`: runs nodes without faults, to try requests by hand.

use crate::{mesh::SoakMesh, organisations::UNLIMITED, seed_run::READY_TIMEOUT};
use std::io;
use tokio::signal::ctrl_c;

/// Starts the nodes, prints their addresses and runs them until Ctrl-C.
///
/// # Errors
/// If the nodes can't be started or don't become ready.
pub async fn serve(nodes: usize) -> io::Result<()> {
    let mesh = SoakMesh::start(nodes, None).await?;
    if !mesh.wait_until_ready(READY_TIMEOUT).await {
        return Err(io::Error::other("the nodes did not become ready"));
    }
    println!("{nodes} nodes on loopback; Ctrl-C stops them");
    for vm in &mesh.vms {
        let plan = &vm.plan;
        println!(
            "  n{:<3} zone {}  service {:<8} clients {}  log {}",
            plan.number,
            plan.zone,
            plan.service,
            vm.client_address(),
            vm.log_path().display()
        );
    }
    if let Some(first) = mesh.vms.first() {
        println!(
            "\nSend a request:\n  curl -i -H 'Host: shop.example' -H 'Camphorturn-Request-Id: r1' \
             -H 'Api-Key: {UNLIMITED}' http://{}/look/7",
            first.client_address()
        );
    }
    println!(
        "Show what happened to it:\n  cargo run --release -- explain r1 {}/*.log",
        mesh.folder.display()
    );
    ctrl_c().await?;
    mesh.finish();
    mesh.remove_folder();
    Ok(())
}
