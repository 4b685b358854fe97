//! The tool's command line.

use bpaf::Bpaf;

/// Plays faults on real camphorturn processes.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
#[bpaf(options("camphorturn-soak"), version)]
pub enum Command {
    /// Play seeds, one after the other; exit code 0 if no promise was broken
    #[bpaf(command)]
    Run {
        /// First seed
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
        /// Seeds to play
        #[bpaf(argument("COUNT"), fallback(1))]
        count: u64,
        /// Length of the faults of a seed, in seconds
        #[bpaf(argument("SECONDS"), fallback(12))]
        seconds: u64,
        /// Nodes, two services between them
        #[bpaf(argument("NODES"), parse(check_nodes), fallback(6))]
        nodes: usize,
        /// Print a JSON object a seed
        json: bool,
    },
    /// Run nodes without faults until Ctrl-C
    #[bpaf(command)]
    Serve {
        /// Nodes, two services between them
        #[bpaf(argument("NODES"), parse(check_nodes), fallback(6))]
        nodes: usize,
    },
    /// Be one node; the tool starts itself so
    #[bpaf(command, hide)]
    Node {
        /// Port to listen on for other nodes, which connect to a link in front of it
        #[bpaf(argument("PORT"))]
        behind_link: Option<u16>,
    },
}

/// Each node has an address of its own that differs in the last byte. A process takes some 10 MB, and the tool some
/// ten files for each.
const MOST_NODES: usize = 200;

fn check_nodes(nodes: usize) -> Result<usize, String> {
    let checked = Some(nodes).filter(|nodes| (1..=MOST_NODES).contains(nodes));
    checked.ok_or_else(|| format!("from 1 to {MOST_NODES} nodes"))
}
