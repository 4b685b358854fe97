//! Nodes without faults, to look at.

use crate::{play::READY_PATIENCE, world::World};
use std::io;
use tokio::signal::ctrl_c;

/// Runs nodes until Ctrl-C.
///
/// # Errors
/// If they can't be started.
pub async fn serve(nodes: usize) -> io::Result<()> {
    let world = World::start(nodes, None).await?;
    if !world.wait_ready(READY_PATIENCE).await {
        return Err(io::Error::other("the nodes did not become ready"));
    }
    println!("{nodes} nodes on loopback, Ctrl-C ends them");
    for machine in &world.machines {
        let plan = &machine.plan;
        println!(
            "  n{:<3} zone {}  beside {:<8} clients {}  lines {}",
            plan.number,
            plan.zone,
            plan.service,
            machine.clients(),
            machine.log_path().display()
        );
    }
    if let Some(first) = world.machines.first() {
        println!(
            "\nA request:\n  curl -i -H 'Host: shop.example' -H 'Camphorturn-Request-Id: r1' \
             http://{}/look/7",
            first.clients()
        );
    }
    println!(
        "What became of it:\n  cargo run --release -- explain r1 {}/*.log",
        world.folder.display()
    );
    ctrl_c().await?;
    world.finish();
    world.remove_folder();
    Ok(())
}
