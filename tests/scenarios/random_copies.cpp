#include "scenarios/random_copies.hpp"

#include <fmt/format.h>

#include "scenarios/random_draw.hpp"

namespace damsonport::simulation {

namespace {

constexpr uint64_t seed_mask = 0x636f70696573;  // sets these draws apart from the other ones
constexpr double last_fault_s = 110;

std::string draw_copies(RandomDraw& draw) {
  const auto receivers = draw.one_of("machines", "machines", "state", "cloud", "nodes");
  const auto share = draw.one_of("0.02", "0.1", "0.5");
  const double at_s = draw.uniform(4, 60);
  const double for_s = draw.uniform(10, 90);
  const double min_s = draw.chance(0.5) ? draw.uniform(0.1, 1) : draw.uniform(1, 20);
  const double max_s = min_s + (draw.chance(0.5) ? draw.uniform(0, 5) : draw.uniform(5, 120));
  if (draw.chance(0.3))
    return fmt::format("at {:.2f} copies {} share={} on_return for={:.2f}", at_s, receivers, share,
                       for_s);
  return fmt::format("at {:.2f} copies {} share={} after={:.2f} before={:.2f} for={:.2f}", at_s,
                     receivers, share, min_s, max_s, for_s);
}

std::string draw_quick_return(RandomDraw& draw) {
  const double at_s = draw.uniform(10, last_fault_s);
  const double for_s = draw.uniform(0.1, 0.9);
  if (draw.chance(0.3))
    return fmt::format("at {:.2f} hang {} for={:.2f}", at_s, draw.one_of("m1", "m2,m3"), for_s);
  return fmt::format("at {:.2f} crash {} for={:.2f}", at_s, draw.one_of("leader", "others", "n1"),
                     for_s);
}

}  // namespace

std::vector<std::string> random_copies(uint64_t seed) {
  RandomDraw draw(seed ^ seed_mask);
  std::vector<std::string> lines;
  const int copies = draw.below(3);
  lines.reserve(2 * static_cast<size_t>(copies));
  for (int i = 0; i < copies; ++i) lines.push_back(draw_copies(draw));
  for (int i = 0; i < copies; ++i) lines.push_back(draw_quick_return(draw));
  return lines;
}

}  // namespace damsonport::simulation
