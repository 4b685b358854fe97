//! The routing table in force and the ones before it.

use crate::state::{
    configuration::ConfigurationVersion,
    routing_table::{Route, RouteIndex, RoutingTable},
    table_change::TableChange,
};
use std::{
    collections::{HashMap, VecDeque},
    rc::Rc,
};

/// Tables that are kept to tell what changed since them. A node that is further behind gets the whole table. Tables share the
/// routes that stay, so one costs a pointer a route.
const EARLIER_TABLES: usize = 8;

/// The routing table in force and the ones before it, each with what changed since.
#[derive(Debug, Default)]
pub struct TableHistory {
    current: Option<Rc<RouteIndex>>,
    /// The oldest first.
    earlier: VecDeque<RoutingTable>,
    /// What turned the table of a version into the one in force, as told before; without a version the whole table.
    told: HashMap<Option<ConfigurationVersion>, Rc<TableChange>>,
}

impl TableHistory {
    /// The routing table in force.
    #[must_use]
    pub fn current(&self) -> Option<&Rc<RouteIndex>> {
        self.current.as_ref()
    }

    /// Its version; 0 if there is none.
    #[must_use]
    pub fn version(&self) -> ConfigurationVersion {
        let current = self.current.as_ref();
        current.map_or_else(ConfigurationVersion::default, |current| {
            current.table().version
        })
    }

    /// Puts a table in force unless it is older than the present one. True if it was newer.
    ///
    /// Versions reach a node by several ways. Without this check a late copy would undo a change
    /// that an upstream has already seen the effect of.
    pub fn replace_if_newer(&mut self, mut table: RoutingTable) -> bool {
        if table.version <= self.version() {
            return false;
        }
        if let Some(current) = self.current.take() {
            share_routes(&mut table, current.table());
            self.earlier.push_back(current.table().clone());
            if self.earlier.len() > EARLIER_TABLES {
                self.earlier.pop_front();
            }
        }
        self.told.clear();
        self.current = Some(Rc::new(RouteIndex::new(table)));
        true
    }

    /// What turns the table of a version into the one in force: the whole table if that version isn't kept here, nothing
    /// if it is the one in force or a newer one.
    pub fn change_since(&mut self, version: ConfigurationVersion) -> Option<Rc<TableChange>> {
        if version >= self.version() {
            return None;
        }
        let current = Rc::clone(self.current.as_ref()?);
        let base = self
            .earlier
            .iter()
            .find(|earlier| earlier.version == version);
        // Many nodes ask for the same change within a moment.
        let told = self
            .told
            .entry(base.map(|base| base.version))
            .or_insert_with(|| Rc::new(TableChange::between(base, current.table())));
        Some(Rc::clone(told))
    }
}

/// Has a table use the routes of the one before it where they are equal. A store gives whole tables; without this each of the
/// tables that are kept would hold thousands of routes of its own.
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
