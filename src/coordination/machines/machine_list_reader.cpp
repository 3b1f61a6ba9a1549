#include "coordination/machines/machine_list_reader.hpp"

#include <algorithm>

namespace damsonport {

namespace {
constexpr int max_page_size = 500;  // maximum of the protocol
constexpr double page_timeout_s = 3.0;
// Share of the cloud's call rate for the list; creating and returning machines needs the rest.
constexpr double cloud_rate_share = 0.5;
// Maximum pause after a failed request, in page gaps. The pause grows by one page gap with each
// consecutive failure.
constexpr int max_pause_gaps = 8;
}  // namespace

double MachineListReader::page_gap_s(const Settings& settings) {
  return 1 / (settings.cloud_rps * cloud_rate_share);
}

Task<Result<MachineList>> MachineListReader::read_page(std::string after) {
  std::string target = "/hosts?limit=" + std::to_string(max_page_size);
  if (!after.empty()) target += "&since=" + after;
  auto reply =
      co_await http_.request(settings_.cloud, Method::get, std::move(target), {}, page_timeout_s);
  if (reply.status != 200) co_return Error{"status " + std::to_string(reply.status)};
  co_return decode_machine_list(decode_map(reply.body));
}

Task<bool> MachineListReader::read(OnMachine on_machine, KeepGoing keep_going,
                                   std::stop_token stop_token) {
  const double gap_s = page_gap_s(settings_);
  std::string after;
  int failures = 0;
  for (;;) {
    const auto page = co_await read_page(after);
    if (stop_token.stop_requested() || !keep_going()) co_return false;
    if (page) {
      failures = 0;
      for (auto& machine : page->machines) on_machine(machine);
      if (!page->more || page->machines.empty()) co_return true;
      after = page->machines.back().id;
    } else {
      failures = std::min(failures + 1, max_pause_gaps);
    }
    const double pause_s = gap_s * std::max(failures, 1) * loop_.uniform(0.9, 1.1);
    if (!co_await Sleep(loop_, pause_s, stop_token) || !keep_going()) co_return false;
  }
}

}  // namespace damsonport
