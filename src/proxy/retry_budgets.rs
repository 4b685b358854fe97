//! Spends this node's part of the retry budgets of the services.

use crate::{
    coordination::retry_budget::{RetryBudget, RetryBudgetShare},
    proxy::core::ProxyCore,
    state::{
        names::{ClassName, ServiceName},
        timestamp::Timestamp,
    },
};
use std::collections::HashMap;

/// Counts a client request at this node, which adds to the retry budget of its service.
pub fn count_request(core: &ProxyCore, service: &ServiceName) {
    let now = core.timers.now();
    core.calls_per_execution
        .borrow_mut()
        .record_request(service, now);
    let mut budgets = core.retry_budgets.borrow_mut();
    let budget = budgets.entry(service.clone()).or_default();
    budget.count_request(now, core.limits().retry_budget);
}

/// Spends one retry from the budget of a service; false if the budget is exhausted.
pub fn spend_retry(core: &ProxyCore, service: &ServiceName) -> bool {
    let share = compute_budget_share(core);
    let mut budgets = core.retry_budgets.borrow_mut();
    let budget = budgets.entry(service.clone()).or_default();
    budget.try_spend(core.timers.now(), share, 1.0)
}

/// Returns retries to the budget that were spent and reached no upstream.
pub fn refund_retries(core: &ProxyCore, service: &ServiceName, retries: u16) {
    if let Some(budget) = core.retry_budgets.borrow_mut().get_mut(service) {
        budget.refund(retries);
    }
}

/// Whether the budgets have room for the calls to other services that a retry of a class repeats.
pub fn has_call_budget(core: &ProxyCore, class: &ClassName) -> bool {
    let calls = ExpectedCalls::of_execution(core, class);
    calls.check_budgets(&mut core.retry_budgets.borrow_mut(), RetryBudget::can_spend)
}

/// Spends the calls to other services that a retry of a class repeats from their budgets. Returns false and spends nothing if a
/// budget has no room for them.
pub fn spend_call_budget(core: &ProxyCore, class: &ClassName) -> bool {
    let calls = ExpectedCalls::of_execution(core, class);
    let mut budgets = core.retry_budgets.borrow_mut();
    calls.check_budgets(&mut budgets, RetryBudget::can_spend)
        && calls.check_budgets(&mut budgets, RetryBudget::try_spend)
}

/// Upper limits for the calls that a retry repeats at each service, and this node's current part of the budgets.
struct ExpectedCalls {
    now: Timestamp,
    share: RetryBudgetShare,
    amounts: Vec<(ServiceName, f64)>,
}

impl ExpectedCalls {
    fn of_execution(core: &ProxyCore, class: &ClassName) -> Self {
        let now = core.timers.now();
        Self {
            now,
            share: compute_budget_share(core),
            amounts: core
                .calls_per_execution
                .borrow()
                .estimate_max_calls(class, now),
        }
    }

    /// Whether `check` returns true for the budget of each service. Stops at the first false.
    fn check_budgets(
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

fn compute_budget_share(core: &ProxyCore) -> RetryBudgetShare {
    RetryBudgetShare {
        settings: core.limits().retry_budget,
        nodes: core.directory.borrow().nodes.len(),
        uptime: core.timers.now().since(core.started),
    }
}
