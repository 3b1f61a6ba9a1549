#include "simulation/request_repeater.hpp"

#include <utility>

namespace damsonport::simulation {

namespace {
constexpr int first_success_status = 200;
constexpr int first_redirect_status = 300;
}  // namespace

void RequestRepeater::add(RepeatRule rule) {
  if (rules_.empty())
    world_.observe_answers([this](const AnsweredRequest& request) { on_answered(request); });
  rules_.push_back(std::move(rule));
}

void RequestRepeater::on_answered(const AnsweredRequest& request) {
  const bool carried_out =
      request.status >= first_success_status && request.status < first_redirect_status;
  if (request.method == Method::get || !carried_out) return;
  for (auto& rule : rules_) {
    if (world_.now() >= rule.until || !rule.applies_to(request.to)) continue;
    if (world_.uniform(0, 1) >= rule.share) continue;
    if (!rule.delay) {
      kept_.push_back(request);
      continue;
    }
    world_.in(world_.uniform(rule.delay->min_s, rule.delay->max_s),
              [this, request] { world_.deliver_copy(request); });
  }
}

void RequestRepeater::release_kept() {
  for (auto& request : std::exchange(kept_, {})) world_.deliver_copy(request);
}

}  // namespace damsonport::simulation
