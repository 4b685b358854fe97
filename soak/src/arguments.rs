//! The tool's command line.

use bpaf::Bpaf;

/// Injects random faults into real camphorturn processes.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
#[bpaf(options("camphorturn-soak"), version)]
pub enum Command {
    /// Run seeds, one after the other; exit code 0 if no check found a violation
    #[bpaf(command)]
    Run {
        /// First seed
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
        /// Number of seeds to run
        #[bpaf(argument("COUNT"), fallback(1))]
        count: u64,
        /// Time for which a seed injects faults, in seconds
        #[bpaf(argument("SECONDS"), fallback(12))]
        seconds: u64,
        /// Number of nodes; their upstreams belong to two services
        #[bpaf(argument("NODES"), parse(check_node_count), fallback(6))]
        nodes: usize,
        /// Print one JSON object per seed
        json: bool,
    },
    /// Run nodes without faults until Ctrl-C
    #[bpaf(command)]
    Serve {
        /// Number of nodes; their upstreams belong to two services
        #[bpaf(argument("NODES"), parse(check_node_count), fallback(6))]
        nodes: usize,
    },
    /// Run one node; the tool starts its nodes with this command
    #[bpaf(command, hide)]
    Node {
        /// Port on which the node listens for other nodes; they connect to a link in front of it
        #[bpaf(argument("PORT"))]
        behind_link: Option<u16>,
    },
}

/// Limit on `--nodes`. Each node has its own IP address, which differs in the last byte. A node's process takes about
/// 10 MB, and the tool opens about ten files per node.
const MAX_NODES: usize = 200;

fn check_node_count(nodes: usize) -> Result<usize, String> {
    let checked = Some(nodes).filter(|nodes| (1..=MAX_NODES).contains(nodes));
    checked.ok_or_else(|| format!("the number of nodes must be from 1 to {MAX_NODES}"))
}
