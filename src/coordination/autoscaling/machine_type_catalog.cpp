#include "coordination/autoscaling/machine_type_catalog.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace damsonport {

namespace {
constexpr double refresh_s = 120;  // only prices change
}

Task<void> MachineTypeCatalog::follow(std::stop_token stop_token) {
  while (!stop_token.stop_requested()) {
    auto reply = co_await http_.request(settings_.cloud, Method::get, "/catalog", {}, 3.0);
    auto types =
        reply.status == 200
            ? decode_catalog(decode_map(reply.body))
            : Result<std::vector<MachineType>>(Error{"status " + std::to_string(reply.status)});
    if (types && !types->empty()) {
      if (!known()) spdlog::info("catalogue read: {} machine types", types->size());
      types_ = std::move(*types);
    } else if (!known()) {
      const std::string words = types ? "it is empty" : types.error();
      if (auto times = warning_.note(words, loop_.now()))
        spdlog::warn("the catalogue can't be read yet: {} ({} times)", words, *times);
    }
    double pause = known() ? refresh_s : 1.0 / settings_.cloud_rps + 0.2;
    if (!co_await Sleep(loop_, pause * loop_.uniform(0.8, 1.2), stop_token)) co_return;
  }
}

const MachineType* MachineTypeCatalog::type(const std::string& name) const {
  for (auto& t : types_)
    if (t.name == name) return &t;
  return nullptr;
}

double MachineTypeCatalog::dearest_price() const {
  double most = 0;
  for (auto& t : types_) most = std::max(most, t.price);
  return std::max(most, 1e-9);
}

}  // namespace damsonport
