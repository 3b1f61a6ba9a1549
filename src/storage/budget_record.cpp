#include "storage/budget_record.hpp"

namespace damsonport {

namespace {

using Totals = std::map<std::string, BudgetParts>;

BudgetParts total_of(const Totals& totals, const std::string& region) {
  auto it = totals.find(region);
  return it == totals.end() ? BudgetParts{} : it->second;
}

Json encode_parts(const BudgetParts& parts) { return {parts.cpus, parts.gpus}; }

BudgetParts decode_parts(const Json& value) {
  return {value.at(0).get<uint64_t>(), value.at(1).get<uint64_t>()};
}

Json encode_totals(const Totals& totals) {
  Json out = Json::object();
  for (auto& [region, parts] : totals) out[region] = encode_parts(parts);
  return out;
}

Totals decode_totals(const Json& value, const char* field) {
  Totals out;
  if (auto it = value.find(field); it != value.end())
    for (auto& [region, parts] : it->items()) out[region] = decode_parts(parts);
  return out;
}

}  // namespace

BudgetParts BudgetRecord::parts() const {
  BudgetParts sum = initial;
  for (auto& [region, parts] : received) sum += parts;
  for (auto& [region, parts] : sent) sum -= parts;
  return sum;
}

BudgetParts BudgetRecord::sent_to(const std::string& region) const {
  return total_of(sent, region);
}

BudgetParts BudgetRecord::received_from(const std::string& region) const {
  return total_of(received, region);
}

Json encode_budget(const BudgetRecord& record) {
  return {{"initial", encode_parts(record.initial)},
          {"sent", encode_totals(record.sent)},
          {"received", encode_totals(record.received)}};
}

BudgetRecord decode_budget(const Json& value) {
  BudgetRecord record;
  record.initial = decode_parts(value.at("initial"));
  record.sent = decode_totals(value, "sent");
  record.received = decode_totals(value, "received");
  return record;
}

}  // namespace damsonport
