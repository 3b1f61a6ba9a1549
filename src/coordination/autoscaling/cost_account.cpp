#include "coordination/autoscaling/cost_account.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace damsonport {

namespace {

constexpr double seconds_per_hour = 3600;

/// Splits the price of a machine: the share that its tasks occupy counts as in use, the rest as
/// idle. The price of a booting machine counts as booting only.
Cost hourly_cost(const autoscaling::MachineState& machine, double price) {
  if (machine.booting) return {price, 0, 0};
  const double in_use = price * utilisation(machine);
  return {0, in_use, price - in_use};
}

void add_scaled(Cost& sum, const Cost& cost, double factor) {
  sum.booting += cost.booting * factor;
  sum.in_use += cost.in_use * factor;
  sum.idle += cost.idle * factor;
}

std::string format_cost(const Cost& cost) {
  return fmt::format("{:.2f} (booting {:.2f}, in use {:.2f}, idle {:.2f})", cost.total(),
                     cost.booting, cost.in_use, cost.idle);
}

}  // namespace

double utilisation(const autoscaling::MachineState& machine) {
  auto share = [](double total, double free) { return total > 0 ? 1 - free / total : 0; };
  const double highest = std::max({share(machine.total.cpus, machine.free.cpus),
                                   share(machine.total.gpus, machine.free.gpus),
                                   share(machine.total.memory_gb, machine.free.memory_gb)});
  return std::clamp(highest, 0.0, 1.0);
}

void CostAccount::begin_lease(double now) {
  *this = {};
  began_at_ = now;
  charged_until_ = now;
  next_report_at_ = now;
}

void CostAccount::charge(const std::vector<autoscaling::MachineState>& machines,
                         const std::vector<MachineType>& types, double now) {
  const double hours = (now - charged_until_) / seconds_per_hour;
  charged_until_ = now;
  hourly_ = {};
  for (auto& [name, kind] : kinds_) {
    kind.machines = 0;
    kind.hourly = {};
  }
  for (auto& machine : machines) {
    const Cost hourly = hourly_cost(machine, hourly_price(types, machine.type, machine.spot));
    auto& kind = kinds_[machine.type + " in " + machine.zone + (machine.spot ? " (spot)" : "")];
    ++kind.machines;
    add_scaled(kind.hourly, hourly, 1);
    add_scaled(kind.spent, hourly, hours);
    add_scaled(hourly_, hourly, 1);
    add_scaled(spent_, hourly, hours);
  }
}

std::optional<std::string> CostAccount::report(double now, double every_s) {
  if (now < next_report_at_) return std::nullopt;
  next_report_at_ = now + every_s;
  auto line = fmt::format("costs: {} an hour, {} in the {:.0f} s of this lease",
                          format_cost(hourly_), format_cost(spent_), now - began_at_);
  for (auto& [name, kind] : kinds_)
    line += fmt::format("; {} {}: {} an hour, {:.2f} so far", kind.machines, name,
                        format_cost(kind.hourly), kind.spent.total());
  return line;
}

}  // namespace damsonport
