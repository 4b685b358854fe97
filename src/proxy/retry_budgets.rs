//! What this node spends of the budgets of repeats.

use crate::{
    coordination::retry_budget::{RetryBudget, RetryBudgetShare},
    proxy::core::ProxyCore,
    state::{
        names::{ClassName, ServiceName},
        timestamp::Timestamp,
    },
};
use std::collections::HashMap;

/// Counts a request that begins at this node.
pub fn count_request(core: &ProxyCore, service: &ServiceName) {
    let now = core.timers.now();
    core.calls_per_execution
        .borrow_mut()
        .record_request(service, now);
    let mut budgets = core.retry_budgets.borrow_mut();
    let budget = budgets.entry(service.clone()).or_default();
    budget.count_request(now, core.limits().repeats);
}

/// Takes one repeat at a service; false if the budget does not hold it.
pub fn take_retry(core: &ProxyCore, service: &ServiceName) -> bool {
    let share = find_share(core);
    let mut budgets = core.retry_budgets.borrow_mut();
    let budget = budgets.entry(service.clone()).or_default();
    budget.try_spend(core.timers.now(), share, 1.0)
}

/// Gives repeats back that were taken and reached no upstream.
pub fn return_retries(core: &ProxyCore, service: &ServiceName, repeats: u16) {
    if let Some(budget) = core.retry_budgets.borrow_mut().get_mut(service) {
        budget.refund(repeats);
    }
}

/// Whether the budgets hold the calls that a repeated run of a class makes again.
pub fn has_call_budget(core: &ProxyCore, class: &ClassName) -> bool {
    let calls = ExpectedCalls::of_run(core, class);
    calls.check_each(&mut core.retry_budgets.borrow_mut(), RetryBudget::can_spend)
}

/// Takes the calls that a repeated run of a class makes again; false, and nothing taken, if a budget does not hold
/// them.
pub fn take_call_budget(core: &ProxyCore, class: &ClassName) -> bool {
    let calls = ExpectedCalls::of_run(core, class);
    let mut budgets = core.retry_budgets.borrow_mut();
    calls.check_each(&mut budgets, RetryBudget::can_spend)
        && calls.check_each(&mut budgets, RetryBudget::try_spend)
}

/// The calls that a repeated run makes again at each service, at the most, and this node's part of the budgets now.
struct ExpectedCalls {
    now: Timestamp,
    share: RetryBudgetShare,
    amounts: Vec<(ServiceName, f64)>,
}

impl ExpectedCalls {
    fn of_run(core: &ProxyCore, class: &ClassName) -> Self {
        let now = core.timers.now();
        Self {
            now,
            share: find_share(core),
            amounts: core
                .calls_per_execution
                .borrow()
                .estimate_max_calls(class, now),
        }
    }

    /// Whether `check` holds for the budget of each service.
    fn check_each(
        &self,
        budgets: &mut HashMap<ServiceName, RetryBudget>,
        check: impl Fn(&mut RetryBudget, Timestamp, RetryBudgetShare, f64) -> bool,
    ) -> bool {
        self.amounts.iter().all(|(service, amount)| {
            let budget = budgets.entry(service.clone()).or_default();
            check(budget, self.now, self.share, *amount)
        })
    }
}

fn find_share(core: &ProxyCore) -> RetryBudgetShare {
    RetryBudgetShare {
        rules: core.limits().repeats,
        nodes: core.directory.borrow().nodes.len(),
        uptime: core.timers.now().since(core.started),
    }
}
