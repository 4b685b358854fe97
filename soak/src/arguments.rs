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
        #[bpaf(argument("NODES"), fallback(6))]
        nodes: usize,
        /// Print a JSON object a seed
        json: bool,
    },
    /// Run nodes without faults until Ctrl-C
    #[bpaf(command)]
    Serve {
        /// Nodes, two services between them
        #[bpaf(argument("NODES"), fallback(6))]
        nodes: usize,
    },
    /// Be one node; the tool starts itself so
    #[bpaf(command, hide)]
    Node,
}
