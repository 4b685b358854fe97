//! The routing table in force and earlier versions of it.

use crate::state::{
    configuration::ConfigurationVersion,
    names::OrganisationName,
    organisations::Organisation,
    routing_table::{Route, RouteIndex, RoutingTable},
    table_change::TableChange,
};
use std::{
    collections::{HashMap, VecDeque},
    rc::Rc,
};

/// Number of earlier tables that are kept to compute changes since them. A node that is further behind gets the complete table.
/// Tables share unchanged routes, so each of them costs one pointer per route.
const MAX_EARLIER_TABLES: usize = 8;

/// The routing table in force and earlier ones, with the changes from them to the table in force.
#[derive(Debug, Default)]
pub struct TableHistory {
    current: Option<Rc<RouteIndex>>,
    /// Earlier tables, oldest first.
    earlier: VecDeque<RoutingTable>,
    /// Changes to the table in force that were already computed, by the version that they are based on. The key `None` stands for
    /// the complete table.
    computed_changes: HashMap<Option<ConfigurationVersion>, Rc<TableChange>>,
}

impl TableHistory {
    /// The routing table in force.
    #[must_use]
    pub fn current(&self) -> Option<&Rc<RouteIndex>> {
        self.current.as_ref()
    }

    /// Version of the routing table in force; 0 if there is none.
    #[must_use]
    pub fn version(&self) -> ConfigurationVersion {
        let current = self.current.as_ref();
        current.map_or_else(ConfigurationVersion::default, |current| {
            current.table().version
        })
    }

    /// Puts a table in force if it is newer than the current one. Returns whether it was.
    ///
    /// A version reaches a node on several paths. Without this check, a late copy of an older version would revert a change
    /// whose effect an upstream has already seen.
    pub fn replace_if_newer(&mut self, mut table: RoutingTable) -> bool {
        if table.version <= self.version() {
            return false;
        }
        if let Some(current) = self.current.take() {
            share_unchanged(&mut table, current.table());
            self.earlier.push_back(current.table().clone());
            if self.earlier.len() > MAX_EARLIER_TABLES {
                self.earlier.pop_front();
            }
        }
        self.computed_changes.clear();
        self.current = Some(Rc::new(RouteIndex::new(table)));
        true
    }

    /// The change from a version to the table in force. It holds the complete table if that version isn't kept here. `None` if
    /// that version is the one in force or newer.
    pub fn change_since(&mut self, version: ConfigurationVersion) -> Option<Rc<TableChange>> {
        if version >= self.version() {
            return None;
        }
        let current = Rc::clone(self.current.as_ref()?);
        let base = self
            .earlier
            .iter()
            .find(|earlier| earlier.version == version);
        // Many nodes request the same change at about the same time.
        let change = self
            .computed_changes
            .entry(base.map(|base| base.version))
            .or_insert_with(|| Rc::new(TableChange::between(base, current.table())));
        Some(Rc::clone(change))
    }
}

/// Makes a table share the routes and organisations of the one before it where they are equal. The store returns complete tables;
/// without sharing, each kept table would hold its own copy of thousands of them.
fn share_unchanged(table: &mut RoutingTable, before: &RoutingTable) {
    share_routes(table, before);
    share_organisations(table, before);
}

fn share_organisations(table: &mut RoutingTable, before: &RoutingTable) {
    let known = before.organisations.iter().flatten();
    let known: HashMap<&OrganisationName, &Rc<Organisation>> = known
        .map(|organisation| (&organisation.name, organisation))
        .collect();
    for organisation in table.organisations.iter_mut().flatten() {
        match known.get(&organisation.name) {
            Some(same) if *same == organisation => *organisation = Rc::clone(same),
            _ => {}
        }
    }
}

fn share_routes(table: &mut RoutingTable, before: &RoutingTable) {
    let known = before.routes.iter();
    let known: HashMap<(&str, &str), &Rc<Route>> = known
        .map(|route| ((&*route.host, &*route.path_prefix), route))
        .collect();
    for route in &mut table.routes {
        match known.get(&(&*route.host, &*route.path_prefix)) {
            Some(same) if *same == route => *route = Rc::clone(same),
            _ => {}
        }
    }
}
