//! Names as shared immutable strings. Cloning a name copies a pointer.

use arcstr::ArcStr;
use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(ArcStr);

        impl $name {
            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(ArcStr::from(text))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                // Unlike `write_str`, `pad` applies the width that tables set in the format string.
                f.pad(&self.0)
            }
        }
    };
}

name_type!(
    /// Name of a node, and of its local upstream. Unique in the mesh.
    NodeName
);
name_type!(
    /// Name of a service, which is a group of interchangeable upstreams.
    ServiceName
);
name_type!(
    /// Name of a class of work, unique within its service.
    ClassName
);
name_type!(
    /// Name of an availability zone.
    AvailabilityZoneName
);
name_type!(
    /// Name of a region.
    RegionName
);
name_type!(
    /// Name of an organisation.
    OrganisationName
);

#[cfg(test)]
mod tests {
    use super::NodeName;

    #[test]
    fn display_node_name_applies_width() {
        let name = NodeName::from("dock-1");
        assert_eq!(
            format!("{name:<8}|{name:>8}|{name}"),
            "dock-1  |  dock-1|dock-1"
        );
    }
}
