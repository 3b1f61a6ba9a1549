#include "coordination/machines/machine_list_reader.hpp"

#include <algorithm>

namespace damsonport {

namespace {
constexpr int machines_a_page = 500;  // the most that the protocol allows
constexpr double page_timeout_s = 3.0;
// Of the cloud's calls: rentals and returns need the others.
constexpr double rate_share = 0.5;
// Pause after a refused page, in page gaps: it grows by one with each refusal in a row.
constexpr int longest_pause_gaps = 8;
}  // namespace

double MachineListReader::page_gap_s(const Settings& settings) {
  return 1 / (settings.cloud_rps * rate_share);
}

Task<Result<MachineList>> MachineListReader::read_page(std::string after) {
  std::string target = "/hosts?limit=" + std::to_string(machines_a_page);
  if (!after.empty()) target += "&since=" + after;
  auto reply =
      co_await http_.request(settings_.cloud, Method::get, std::move(target), {}, page_timeout_s);
  if (reply.status != 200) co_return Error{"status " + std::to_string(reply.status)};
  co_return decode_machine_list(decode_map(reply.body));
}

Task<bool> MachineListReader::read(Take take, KeepGoing keep_going, std::stop_token stop_token) {
  const double gap_s = page_gap_s(settings_);
  std::string after;
  int refusals = 0;
  for (;;) {
    const auto page = co_await read_page(after);
    if (stop_token.stop_requested() || !keep_going()) co_return false;
    if (page) {
      refusals = 0;
      for (auto& machine : page->machines) take(machine);
      if (!page->more || page->machines.empty()) co_return true;
      after = page->machines.back().id;
    } else {
      refusals = std::min(refusals + 1, longest_pause_gaps);
    }
    const double pause_s = gap_s * std::max(refusals, 1) * loop_.uniform(0.9, 1.1);
    if (!co_await Sleep(loop_, pause_s, stop_token) || !keep_going()) co_return false;
  }
}

}  // namespace damsonport
