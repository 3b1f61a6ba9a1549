#include "coordination/quotas/team_quotas.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/quotas/initial_units.hpp"

namespace damsonport::quotas {

namespace {

// What was heard of a region longer ago, in report periods, no longer says what it wants or spares.
constexpr double fresh_reports = 8;
// Budget that was needed within so many leases is kept from work elsewhere that isn't urgent.
constexpr double kept_leases = 2;
// A limit of 0 stands for none, so where nothing may be used the limit is the least there is.
constexpr double nothing = 1e-9;

}  // namespace

const std::vector<TeamQuotas::Resource> TeamQuotas::resources = {
    {&QuotaUnits::cpus, &scheduling::Resources::cpus, &TeamSettings::cpus_max},
    {&QuotaUnits::gpus, &scheduling::Resources::gpus, &TeamSettings::gpus_max}};

TeamQuotas::TeamQuotas(const Settings& settings, const RegionSettings* regions,
                       const RecordCache& cache)
    : settings_(settings), regions_(regions), cache_(cache) {
  if (!regions_) return;
  auto& all = regions_->regions;
  const size_t own = regions_->own_index;
  const uint64_t units = initial_units(all)[own];
  initial_ = {units, units};
  for (auto& team : settings_.teams)
    guarantees_[team.name] = {guarantee_shares(team.cpus, all)[own],
                              guarantee_shares(team.gpus, all)[own], 0};
}

QuotaRecord TeamQuotas::first_record() const {
  QuotaRecord record;
  // Without a file there is no telling what other regions have: nothing, until one is given.
  if (regions_) record.initial = initial_;
  return record;
}

QuotaRecord TeamQuotas::record_of(const TeamSettings& team) const {
  auto it = cache_.quotas().find(team.name);
  return it == cache_.quotas().end() ? first_record() : it->second.record;
}

scheduling::Resources TeamQuotas::limit(const TeamSettings& team) const {
  if (!divided()) return {team.cpus_max, team.gpus_max, 0};
  scheduling::Resources out;
  const auto units = record_of(team).units();
  for (auto& r : resources)
    if (team.*r.limit > 0)
      out.*r.amount = std::max(amount_of(units.*r.units, team.*r.limit), nothing);
  return out;
}

scheduling::Resources TeamQuotas::guarantee(const TeamSettings& team) const {
  if (!regions_) return {team.cpus, team.gpus, 0};
  return guarantees_.at(team.name);
}

void TeamQuotas::begin_lease() {
  peaks_.clear();
  demands_.clear();
  measured_at_ = never;
}

void TeamQuotas::measure(double now) {
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
      peaks[i].note(units_covering(wanted, team.*r.limit), now, settings_.lease_s * kept_leases);
    }
  }
}

Standing TeamQuotas::standing(const TeamSettings& team, const QuotaRecord& record,
                              const Resource& r) const {
  Standing s;
  const double limit = team.*r.limit;
  s.quota = record.units().*r.units;
  s.guaranteed = units_covering(guarantee(team).*r.amount, limit);
  if (auto it = demands_.find(team.name); it != demands_.end()) {
    s.used = units_covering(it->second.used.*r.amount, limit);
    s.urgent_need = units_covering(it->second.urgent_need.*r.amount, limit);
    s.need = units_covering(it->second.need.*r.amount, limit);
    s.smallest = units_covering(it->second.smallest.*r.amount, limit);
  }
  if (auto it = peaks_.find(team.name); it != peaks_.end())
    s.recent_peak = it->second[static_cast<size_t>(&r - resources.data())].value();
  return s;
}

const TeamExchange* TeamQuotas::received_from(size_t region, const std::string& team) const {
  auto it = received_.find(regions_->regions[region].name);
  if (it == received_.end()) return nullptr;
  auto exchange = it->second.teams.find(team);
  return exchange == it->second.teams.end() ? nullptr : &exchange->second;
}

bool TeamQuotas::fresh(size_t region, double now) const {
  auto it = received_.find(regions_->regions[region].name);
  return it != received_.end() &&
         now - it->second.at < settings_.heartbeat_interval_s * fresh_reports;
}

// --- changes of records

// More than all parts can't be: only a peer that doesn't speak the truth brings it.
bool TeamQuotas::plausible(const QuotaRecord& record, const std::string& region,
                           const QuotaUnits& sent) {
  const auto units = record.units(), counted = record.received_from(region);
  return units.cpus + excess(sent.cpus, counted.cpus) <= all_quota_units &&
         units.gpus + excess(sent.gpus, counted.gpus) <= all_quota_units;
}

void TeamQuotas::receive(const TeamSettings& team, QuotaRecord& record) const {
  for (size_t i = 0; i < regions_->regions.size(); ++i) {
    auto* exchange = received_from(i, team.name);
    const auto& region = regions_->regions[i].name;
    if (!exchange || !plausible(record, region, exchange->sent)) continue;
    const auto before = record.received_from(region);
    const auto total = larger(before, exchange->sent);
    if (total == before) continue;
    record.received[region] = total;
  }
}

void TeamQuotas::give(const TeamSettings& team, QuotaRecord& record) const {
  for (size_t i = 0; i < regions_->regions.size(); ++i) {
    auto* exchange = received_from(i, team.name);
    if (i == regions_->own_index || !exchange || !fresh(i, measured_at_)) continue;
    const auto& region = regions_->regions[i].name;
    for (auto& r : resources) {
      const QuotaRequest request{exchange->urgent_request.*r.units, exchange->request.*r.units};
      const uint64_t sent = record.sent_to(region).*r.units;
      const uint64_t on_the_way = excess(sent, exchange->received.*r.units);
      const auto can = surplus(standing(team, record, r), defers_to(i));
      const uint64_t transfer = decide_transfer(can, request, on_the_way);
      if (transfer == 0) continue;
      record.sent[region].*r.units += transfer;
    }
  }
}

Transaction TeamQuotas::next_changes(int most) const {
  Transaction transaction;
  if (!regions_) return transaction;
  for (auto& team : settings_.teams) {
    if (static_cast<int>(transaction.writes.size()) >= most) break;
    if (!limited(team)) continue;
    auto known = cache_.quotas().find(team.name);
    const bool first = known == cache_.quotas().end();
    auto record = record_of(team);
    const auto before = record;
    receive(team, record);
    // Nothing is given from a record that isn't there yet.
    if (!first && exchanging()) give(team, record);
    if (!first && record == before) continue;
    transaction.preconditions[keys::quota(team.name)] = first ? 0 : known->second.version;
    transaction.writes.push_back({keys::quota(team.name), encode_quota(record), 0});
  }
  return transaction;
}

// --- messages

void TeamQuotas::add_surplus(const TeamSettings& team, const QuotaRecord& record, size_t region,
                             TeamExchange& out) const {
  for (auto& r : resources) {
    const auto can = surplus(standing(team, record, r), defers_to(region));
    out.urgent_surplus.*r.units = can.urgent;
    out.surplus.*r.units = can.any;
  }
}

void TeamQuotas::add_requests(const TeamSettings& team, const QuotaRecord& record, size_t region,
                              TeamExchange& out) const {
  for (auto& r : resources) {
    std::vector<Surplus> told(regions_->regions.size());
    for (size_t i = 0; i < told.size(); ++i)
      if (auto* exchange = received_from(i, team.name); exchange && fresh(i, measured_at_))
        told[i] = {exchange->urgent_surplus.*r.units, exchange->surplus.*r.units};
    const auto request = divide_requests(deficit(standing(team, record, r)), told)[region];
    out.urgent_request.*r.units = request.urgent;
    out.request.*r.units = request.any;
  }
}

bool TeamQuotas::any_deficit() const {
  return std::any_of(settings_.teams.begin(), settings_.teams.end(), [&](auto& team) {
    if (!limited(team)) return false;
    const auto record = record_of(team);
    return std::any_of(resources.begin(), resources.end(), [&](auto& r) {
      return team.*r.limit > 0 && deficit(standing(team, record, r)).any > 0;
    });
  });
}

RegionMessage TeamQuotas::message_to(size_t region, uint64_t fencing_token) {
  RegionMessage message;
  message.region = regions_->own().name;
  message.receiver = regions_->regions[region].name;
  message.controller = settings_.controller_name;
  message.fencing_token = fencing_token;
  message.number = next_number_++;
  for (auto& team : settings_.teams) {
    auto known = cache_.quotas().find(team.name);
    if (!limited(team) || known == cache_.quotas().end()) continue;
    auto& record = known->second.record;
    auto& exchange = message.teams.emplace_back();
    exchange.team = team.name;
    exchange.sent = record.sent_to(message.receiver);
    exchange.received = record.received_from(message.receiver);
    add_surplus(team, record, region, exchange);
    add_requests(team, record, region, exchange);
  }
  return message;
}

bool TeamQuotas::receive_message(const RegionMessage& message, double now) {
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
      calls_for_change |= !exchange.request.none();
      known = exchange;
    }
    known.sent = sent;
  }
  return calls_for_change;
}

}  // namespace damsonport::quotas
