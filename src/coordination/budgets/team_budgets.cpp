#include "coordination/budgets/team_budgets.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/budgets/initial_parts.hpp"

namespace damsonport::budgets {

namespace {

// What was heard of a region longer ago, in report periods, no longer says what it wants or spares.
constexpr double fresh_reports = 8;
// Budget that was needed within so many leases is kept from work elsewhere that isn't urgent.
constexpr double kept_leases = 2;
// A limit of 0 stands for none, so where nothing may be used the limit is the least there is.
constexpr double nothing = 1e-9;

}  // namespace

const std::vector<TeamBudgets::Resource> TeamBudgets::resources = {
    {&BudgetParts::cpus, &scheduling::Resources::cpus, &TeamSettings::cpus_max},
    {&BudgetParts::gpus, &scheduling::Resources::gpus, &TeamSettings::gpus_max}};

TeamBudgets::TeamBudgets(const Settings& settings, const RegionSettings* regions,
                         const RecordCache& cache)
    : settings_(settings), regions_(regions), cache_(cache) {
  if (!regions_) return;
  auto& all = regions_->regions;
  const size_t own = regions_->own_index;
  const uint64_t parts = initial_parts(all)[own];
  initial_ = {parts, parts};
  for (auto& team : settings_.teams)
    guarantees_[team.name] = {guarantee_shares(team.cpus, all)[own],
                              guarantee_shares(team.gpus, all)[own], 0};
}

BudgetRecord TeamBudgets::first_record() const {
  BudgetRecord record;
  // Without a file there is no telling what other regions have: nothing, until one is given.
  if (regions_) record.initial = initial_;
  return record;
}

BudgetRecord TeamBudgets::record_of(const TeamSettings& team) const {
  auto it = cache_.budgets().find(team.name);
  return it == cache_.budgets().end() ? first_record() : it->second.record;
}

scheduling::Resources TeamBudgets::limit(const TeamSettings& team) const {
  if (!divided()) return {team.cpus_max, team.gpus_max, 0};
  scheduling::Resources out;
  const auto parts = record_of(team).parts();
  for (auto& r : resources)
    if (team.*r.limit > 0)
      out.*r.amount = std::max(amount_of(parts.*r.parts, team.*r.limit), nothing);
  return out;
}

scheduling::Resources TeamBudgets::guarantee(const TeamSettings& team) const {
  if (!regions_) return {team.cpus, team.gpus, 0};
  return guarantees_.at(team.name);
}

void TeamBudgets::begin_lease() {
  peaks_.clear();
  demands_.clear();
  measured_at_ = never;
}

void TeamBudgets::measure(double now) {
  measured_at_ = now;
  demands_ = measure_demands(cache_);
  for (auto& team : settings_.teams) {
    if (!limited(team)) continue;
    auto& peaks = peaks_[team.name];
    peaks.resize(resources.size());
    auto& demand = demands_[team.name];
    for (size_t i = 0; i < resources.size(); ++i) {
      auto& r = resources[i];
      const double wanted = demand.used.*r.amount + demand.need.*r.amount;
      peaks[i].note(parts_covering(wanted, team.*r.limit), now, settings_.lease_s * kept_leases);
    }
  }
}

Standing TeamBudgets::standing(const TeamSettings& team, const BudgetRecord& record,
                               const Resource& r) const {
  Standing s;
  const double limit = team.*r.limit;
  s.budget = record.parts().*r.parts;
  s.guaranteed = parts_covering(guarantee(team).*r.amount, limit);
  if (auto it = demands_.find(team.name); it != demands_.end()) {
    s.used = parts_covering(it->second.used.*r.amount, limit);
    s.urgent_need = parts_covering(it->second.urgent_need.*r.amount, limit);
    s.need = parts_covering(it->second.need.*r.amount, limit);
    s.smallest = parts_covering(it->second.smallest.*r.amount, limit);
  }
  if (auto it = peaks_.find(team.name); it != peaks_.end())
    s.recent_peak = it->second[static_cast<size_t>(&r - resources.data())].value();
  return s;
}

const TeamExchange* TeamBudgets::heard_of(size_t region, const std::string& team) const {
  auto it = received_.find(regions_->regions[region].name);
  if (it == received_.end()) return nullptr;
  auto exchange = it->second.teams.find(team);
  return exchange == it->second.teams.end() ? nullptr : &exchange->second;
}

bool TeamBudgets::fresh(size_t region, double now) const {
  auto it = received_.find(regions_->regions[region].name);
  return it != received_.end() &&
         now - it->second.at < settings_.heartbeat_interval_s * fresh_reports;
}

// --- changes of records

// More than all parts can't be: only a peer that doesn't speak the truth brings it.
bool TeamBudgets::plausible(const BudgetRecord& record, const std::string& region,
                            const BudgetParts& sent) {
  const auto parts = record.parts(), counted = record.received_from(region);
  return parts.cpus + excess(sent.cpus, counted.cpus) <= all_parts &&
         parts.gpus + excess(sent.gpus, counted.gpus) <= all_parts;
}

void TeamBudgets::receive(const TeamSettings& team, BudgetRecord& record) const {
  for (size_t i = 0; i < regions_->regions.size(); ++i) {
    auto* exchange = heard_of(i, team.name);
    const auto& region = regions_->regions[i].name;
    if (!exchange || !plausible(record, region, exchange->sent)) continue;
    const auto before = record.received_from(region);
    const auto total = larger(before, exchange->sent);
    if (total == before) continue;
    record.received[region] = total;
  }
}

void TeamBudgets::give(const TeamSettings& team, BudgetRecord& record) const {
  for (size_t i = 0; i < regions_->regions.size(); ++i) {
    auto* exchange = heard_of(i, team.name);
    if (i == regions_->own_index || !exchange || !fresh(i, measured_at_)) continue;
    const auto& region = regions_->regions[i].name;
    for (auto& r : resources) {
      const Ask ask{exchange->urgent_ask.*r.parts, exchange->ask.*r.parts};
      const uint64_t sent = record.sent_to(region).*r.parts;
      const uint64_t on_the_way = excess(sent, exchange->received.*r.parts);
      const auto can = spare(standing(team, record, r), yields_to(i));
      const uint64_t gift = decide_gift(can, ask, on_the_way);
      if (gift == 0) continue;
      record.sent[region].*r.parts += gift;
    }
  }
}

Transaction TeamBudgets::next_changes(int most) const {
  Transaction transaction;
  if (!regions_) return transaction;
  for (auto& team : settings_.teams) {
    if (static_cast<int>(transaction.writes.size()) >= most) break;
    if (!limited(team)) continue;
    auto known = cache_.budgets().find(team.name);
    const bool first = known == cache_.budgets().end();
    auto record = record_of(team);
    const auto before = record;
    receive(team, record);
    // Nothing is given from a record that isn't there yet.
    if (!first && exchanging()) give(team, record);
    if (!first && record == before) continue;
    transaction.preconditions[keys::budget(team.name)] = first ? 0 : known->second.version;
    transaction.writes.push_back({keys::budget(team.name), encode_budget(record), 0});
  }
  return transaction;
}

// --- messages

void TeamBudgets::add_spare(const TeamSettings& team, const BudgetRecord& record, size_t region,
                            TeamExchange& out) const {
  for (auto& r : resources) {
    const auto can = spare(standing(team, record, r), yields_to(region));
    out.urgent_spare.*r.parts = can.urgent;
    out.spare.*r.parts = can.any;
  }
}

void TeamBudgets::add_asks(const TeamSettings& team, const BudgetRecord& record, size_t region,
                           TeamExchange& out) const {
  for (auto& r : resources) {
    std::vector<Spare> told(regions_->regions.size());
    for (size_t i = 0; i < told.size(); ++i)
      if (auto* exchange = heard_of(i, team.name); exchange && fresh(i, measured_at_))
        told[i] = {exchange->urgent_spare.*r.parts, exchange->spare.*r.parts};
    const auto ask = divide_asks(unmet(standing(team, record, r)), told)[region];
    out.urgent_ask.*r.parts = ask.urgent;
    out.ask.*r.parts = ask.any;
  }
}

bool TeamBudgets::any_unmet() const {
  return std::any_of(settings_.teams.begin(), settings_.teams.end(), [&](auto& team) {
    if (!limited(team)) return false;
    const auto record = record_of(team);
    return std::any_of(resources.begin(), resources.end(), [&](auto& r) {
      return team.*r.limit > 0 && unmet(standing(team, record, r)).any > 0;
    });
  });
}

RegionMessage TeamBudgets::message_to(size_t region, uint64_t fencing_token) {
  RegionMessage message;
  message.region = regions_->own().name;
  message.receiver = regions_->regions[region].name;
  message.node = settings_.node_name;
  message.fencing_token = fencing_token;
  message.number = next_number_++;
  for (auto& team : settings_.teams) {
    auto known = cache_.budgets().find(team.name);
    if (!limited(team) || known == cache_.budgets().end()) continue;
    auto& record = known->second.record;
    auto& exchange = message.teams.emplace_back();
    exchange.team = team.name;
    exchange.sent = record.sent_to(message.receiver);
    exchange.received = record.received_from(message.receiver);
    add_spare(team, record, region, exchange);
    add_asks(team, record, region, exchange);
  }
  return message;
}

bool TeamBudgets::hear(const RegionMessage& message, double now) {
  if (!regions_ || message.receiver != regions_->own().name) return false;
  const auto region = regions_->index_of(message.region);
  if (!region || *region == regions_->own_index) return false;
  auto& received = received_[message.region];
  const bool newer = std::pair(message.fencing_token, message.number) >
                     std::pair(received.fencing_token, received.number);
  if (newer) {
    received.fencing_token = message.fencing_token;
    received.number = message.number;
    received.at = now;
  }
  bool calls_for_change = false;
  for (auto& exchange : message.teams) {
    auto* team = settings_.team(exchange.team);
    if (!team) continue;
    if (!plausible(record_of(*team), message.region, exchange.sent)) {
      spdlog::error("{} claims to have sent more of the limit of {} than there is", message.region,
                    team->name);
      continue;
    }
    auto& known = received.teams[exchange.team];
    // Totals only grow: the largest that was ever heard is true, whenever it comes.
    const auto sent = larger(known.sent, exchange.sent);
    calls_for_change |= !(sent == known.sent);
    if (newer) {
      calls_for_change |= !exchange.ask.none();
      known = exchange;
    }
    known.sent = sent;
  }
  return calls_for_change;
}

}  // namespace damsonport::budgets
