#include "storage/quota_record.hpp"

#include "storage/record_fields.hpp"

namespace damsonport {

namespace {

using Totals = std::map<std::string, QuotaUnits>;

QuotaUnits find_total(const Totals& totals, const std::string& region) {
  auto it = totals.find(region);
  return it == totals.end() ? QuotaUnits{} : it->second;
}

Json encode_units(const QuotaUnits& units) { return {units.cpus, units.gpus}; }

QuotaUnits decode_units(const Json& value) {
  return {value.at(0).get<uint64_t>(), value.at(1).get<uint64_t>()};
}

Json encode_totals(const Totals& totals) {
  Json out = Json::object();
  for (auto& [region, units] : totals) out[region] = encode_units(units);
  return out;
}

Totals decode_totals(const Json& value, const char* field) {
  Totals out;
  if (auto it = value.find(field); it != value.end())
    for (auto& [region, units] : it->items()) out[region] = decode_units(units);
  return out;
}

}  // namespace

QuotaUnits QuotaRecord::available_units() const {
  QuotaUnits sum = initial;
  for (auto& [region, units] : received) sum += units;
  for (auto& [region, units] : sent) sum -= units;
  return sum;
}

QuotaUnits QuotaRecord::sent_to(const std::string& region) const {
  return find_total(sent, region);
}

QuotaUnits QuotaRecord::received_from(const std::string& region) const {
  return find_total(received, region);
}

Json encode_quota(const QuotaRecord& record) {
  return {{fields::initial_quota, encode_units(record.initial)},
          {fields::sent_quota, encode_totals(record.sent)},
          {fields::received_quota, encode_totals(record.received)}};
}

QuotaRecord decode_quota(const Json& value) {
  QuotaRecord record;
  record.initial = decode_units(value.at(fields::initial_quota));
  record.sent = decode_totals(value, fields::sent_quota);
  record.received = decode_totals(value, fields::received_quota);
  return record;
}

}  // namespace damsonport
