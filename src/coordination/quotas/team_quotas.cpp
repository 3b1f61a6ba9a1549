#include "coordination/quotas/team_quotas.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/quotas/initial_units.hpp"

namespace damsonport::quotas {

namespace {

/// Age of a region's last message, in heartbeat intervals, from which on the surplus and requests
/// in the message are ignored.
constexpr double max_hint_age_intervals = 8;
/// Quota that was needed within this many worker leases is not transferred for work of another
/// region that isn't urgent.
constexpr double recent_peak_leases = 2;
/// The limit of a region without quota, in CPUs or accelerators. The scheduler takes a limit of 0
/// as "no limit", so the limit must be above 0, and too small for any task.
constexpr double min_positive_limit = 1e-9;

}  // namespace

const std::vector<TeamQuotas::QuotaResource> TeamQuotas::quota_resources = {
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
  // Without a regions file the quotas of the other regions are unknown, so this region has no quota
  // until a regions file is given.
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
  const auto units = record_of(team).available_units();
  for (const auto& r : quota_resources)
    if (team.*r.limit > 0)
      out.*r.amount = std::max(amount_of(units.*r.units, team.*r.limit), min_positive_limit);
  return out;
}

scheduling::Resources TeamQuotas::guarantee(const TeamSettings& team) const {
  if (!regions_) return {team.cpus, team.gpus, 0};
  return guarantees_.at(team.name);
}

void TeamQuotas::begin_lease() {
  peaks_.clear();
  demands_.clear();
  measured_at_.reset();
}

void TeamQuotas::measure(double now) {
  measured_at_ = now;
  demands_ = measure_demands(cache_);
  for (auto& team : settings_.teams) {
    if (!has_limit(team)) continue;
    auto& peaks = peaks_[team.name];
    peaks.resize(quota_resources.size());
    auto& demand = demands_[team.name];
    for (size_t i = 0; i < quota_resources.size(); ++i) {
      auto& r = quota_resources[i];
      const double wanted = demand.used.*r.amount + demand.need.*r.amount;
      peaks[i].add_sample(units_covering(wanted, team.*r.limit), now,
                          settings_.lease_s * recent_peak_leases);
    }
  }
}

QuotaState TeamQuotas::quota_state(const TeamSettings& team, const QuotaRecord& record,
                                   const QuotaResource& r) const {
  QuotaState s;
  const double limit = team.*r.limit;
  s.quota = record.available_units().*r.units;
  s.guaranteed = units_covering(guarantee(team).*r.amount, limit);
  if (auto it = demands_.find(team.name); it != demands_.end()) {
    s.used = units_covering(it->second.used.*r.amount, limit);
    s.urgent_need = units_covering(it->second.urgent_need.*r.amount, limit);
    s.need = units_covering(it->second.need.*r.amount, limit);
    const double smallest = it->second.smallest_need.*r.amount;
    if (smallest > 0) s.smallest_need = units_covering(smallest, limit);
  }
  if (auto it = peaks_.find(team.name); it != peaks_.end())
    s.recent_peak = it->second[static_cast<size_t>(&r - quota_resources.data())].value();
  return s;
}

const TeamExchange* TeamQuotas::received_from(size_t region, const std::string& team) const {
  auto it = received_.find(regions_->regions[region].name);
  if (it == received_.end()) return nullptr;
  auto exchange = it->second.teams.find(team);
  return exchange == it->second.teams.end() ? nullptr : &exchange->second;
}

bool TeamQuotas::has_recent_message(size_t region, double now) const {
  auto it = received_.find(regions_->regions[region].name);
  if (it == received_.end() || !it->second.received_at) return false;
  return now - *it->second.received_at < settings_.heartbeat_interval_s * max_hint_age_intervals;
}

// --- changes of records

// Total quota never exceeds all units of a limit, so a message that claims more comes from a faulty
// or forged sender.
bool TeamQuotas::is_plausible(const QuotaRecord& record, const std::string& region,
                              const QuotaUnits& sent) {
  const auto units = record.available_units(), counted = record.received_from(region);
  return units.cpus + saturating_difference(sent.cpus, counted.cpus) <= total_quota_units &&
         units.gpus + saturating_difference(sent.gpus, counted.gpus) <= total_quota_units;
}

// Adds the transfers to this region that the messages of other regions state.
void TeamQuotas::add_received_transfers(const TeamSettings& team, QuotaRecord& record) const {
  for (size_t i = 0; i < regions_->regions.size(); ++i) {
    auto* exchange = received_from(i, team.name);
    const auto& region = regions_->regions[i].name;
    if (!exchange || !is_plausible(record, region, exchange->sent)) continue;
    const auto before = record.received_from(region);
    const auto total = elementwise_max(before, exchange->sent);
    if (total == before) continue;
    record.received[region] = total;
  }
}

// Adds new transfers to the regions that request quota, separately for each resource.
void TeamQuotas::add_sent_transfers(const TeamSettings& team, QuotaRecord& record) const {
  for (size_t i = 0; i < regions_->regions.size(); ++i) {
    auto* exchange = received_from(i, team.name);
    if (i == regions_->own_index || !exchange || !is_reachable(i)) continue;
    const auto& region = regions_->regions[i].name;
    for (const auto& r : quota_resources) {
      const QuotaRequest request{exchange->urgent_request.*r.units, exchange->request.*r.units};
      const uint64_t sent = record.sent_to(region).*r.units;
      const uint64_t unacknowledged = saturating_difference(sent, exchange->received.*r.units);
      const auto available = surplus(quota_state(team, record, r), defers_to(i));
      const uint64_t transfer = decide_transfer(available, request, unacknowledged);
      if (transfer == 0) continue;
      record.sent[region].*r.units += transfer;
    }
  }
}

Transaction TeamQuotas::next_changes(int max_writes) const {
  Transaction transaction;
  if (!regions_) return transaction;
  for (auto& team : settings_.teams) {
    if (static_cast<int>(transaction.writes.size()) >= max_writes) break;
    if (!has_limit(team)) continue;
    auto known = cache_.quotas().find(team.name);
    const bool first = known == cache_.quotas().end();
    auto record = record_of(team);
    const auto before = record;
    add_received_transfers(team, record);
    // Quota is transferred only from a record that is committed already.
    if (!first && exchanging()) add_sent_transfers(team, record);
    if (!first && record == before) continue;
    transaction.preconditions[keys::quota(team.name)] = first ? 0 : known->second.version;
    transaction.writes.push_back({keys::quota(team.name), encode_quota(record), 0});
  }
  return transaction;
}

bool TeamQuotas::is_reachable(size_t region) const {
  return measured_at_ && has_recent_message(region, *measured_at_);
}

// --- messages

void TeamQuotas::add_surplus(const TeamSettings& team, const QuotaRecord& record, size_t region,
                             TeamExchange& out) const {
  for (const auto& r : quota_resources) {
    const auto available = surplus(quota_state(team, record, r), defers_to(region));
    out.urgent_surplus.*r.units = available.urgent;
    out.surplus.*r.units = available.any;
  }
}

void TeamQuotas::add_requests(const TeamSettings& team, const QuotaRecord& record, size_t region,
                              TeamExchange& out) const {
  for (const auto& r : quota_resources) {
    std::vector<Surplus> surpluses(regions_->regions.size());
    for (size_t i = 0; i < surpluses.size(); ++i)
      if (auto* exchange = received_from(i, team.name); exchange && is_reachable(i))
        surpluses[i] = {exchange->urgent_surplus.*r.units, exchange->surplus.*r.units};
    const auto request = divide_requests(deficit(quota_state(team, record, r)), surpluses)[region];
    out.urgent_request.*r.units = request.urgent;
    out.request.*r.units = request.any;
  }
}

bool TeamQuotas::any_deficit() const {
  return std::any_of(settings_.teams.begin(), settings_.teams.end(), [&](auto& team) {
    if (!has_limit(team)) return false;
    const auto record = record_of(team);
    return std::any_of(quota_resources.begin(), quota_resources.end(), [&](auto& r) {
      return team.*r.limit > 0 && deficit(quota_state(team, record, r)).any > 0;
    });
  });
}

RegionMessage TeamQuotas::message_to(size_t region, uint64_t fencing_token) {
  RegionMessage message;
  message.region = regions_->own().name;
  message.receiver = regions_->regions[region].name;
  message.controller = settings_.controller_name;
  message.fencing_token = fencing_token;
  message.sequence_number = next_number_++;
  for (auto& team : settings_.teams) {
    auto known = cache_.quotas().find(team.name);
    if (!has_limit(team) || known == cache_.quotas().end()) continue;
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
  const MessageOrder order{message.fencing_token, message.sequence_number};
  const bool newer = order > received.order;
  if (newer) {
    received.order = order;
    received.received_at = now;
  }
  bool records_due = false;
  for (auto& exchange : message.teams) {
    auto* team = settings_.team(exchange.team);
    if (!team) continue;
    if (!is_plausible(record_of(*team), message.region, exchange.sent)) {
      spdlog::error("region {} claims transfers beyond the quota limit of team {}", message.region,
                    team->name);
      continue;
    }
    auto& known = received.teams[exchange.team];
    // Totals only grow, so the largest one received is the current one, in whatever order the
    // messages arrive.
    const auto sent = elementwise_max(known.sent, exchange.sent);
    records_due |= !(sent == known.sent);
    if (newer) {
      records_due |= !exchange.request.none();
      known = exchange;
    }
    known.sent = sent;
  }
  return records_due;
}

}  // namespace damsonport::quotas
