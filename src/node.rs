//! One node: the process beside an upstream, assembled from the layers.
