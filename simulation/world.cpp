#include "simulation/world.hpp"

#include <algorithm>

namespace damsonport::simulation {

namespace {
constexpr double min_delay_s = 0.0005;  // bounds of the delay of a message
constexpr double max_delay_s = 0.002;
constexpr double held_message_interval_s = 1e-5;
}  // namespace

std::map<std::string, std::string> query_of(const std::string& target) {
  std::map<std::string, std::string> fields;
  auto separator = target.find('?');
  while (separator != std::string::npos) {
    const auto end = target.find('&', separator + 1);
    const auto word =
        target.substr(separator + 1, end == std::string::npos ? end : end - separator - 1);
    const auto equals = word.find('=');
    fields[word.substr(0, equals)] = equals == std::string::npos ? "" : word.substr(equals + 1);
    separator = end;
  }
  return fields;
}

World::EventId World::at(double time, std::function<void()> event) {
  const EventId id{std::max(time, now_), ++last_sequence_};
  events_.emplace(id, std::move(event));
  return id;
}

void World::run_until(double time) {
  while (!events_.empty() && events_.begin()->first.time <= time) {
    auto event = events_.extract(events_.begin());
    now_ = event.key().time;
    event.mapped()();
  }
  now_ = time;
}

void World::cut(const std::string& from, const std::string& to, Cut how) {
  cuts_[{from, to}].how = how;
}

void World::heal(const std::string& from, const std::string& to) {
  auto it = cuts_.find({from, to});
  if (it == cuts_.end()) return;
  auto held = std::move(it->second.held_messages);
  cuts_.erase(it);
  double delay_s = max_delay_s;
  for (auto& message : held) {
    delay_s += held_message_interval_s;
    in(delay_s, std::move(message));
  }
}

void World::send(const std::string& from, const std::string& to, std::function<void()> arrive) {
  if (auto it = cuts_.find({from, to}); it != cuts_.end()) {
    if (it->second.how == Cut::hold) it->second.held_messages.push_back(std::move(arrive));
    return;
  }
  in(uniform(min_delay_s, max_delay_s), std::move(arrive));
}

void World::send_request(const std::string& from, const std::string& to, Method method,
                         std::string target, std::string body, const ResponseHandler& on_response) {
  const std::string host = host_of(from);
  report_traffic(from, to, std::to_string(static_cast<int>(method)) + " " + target, body);
  send(host, to,
       [this, from, host, to, method, target = std::move(target), body = std::move(body),
        on_response] {
         ResponseHandler respond = [this, host, to, method, target, body,
                                    on_response](const HttpClientResponse& reply) {
           report_traffic(to, host, std::to_string(reply.status), reply.body);
           if (answer_observer_) answer_observer_({host, to, method, target, body, reply.status});
           send(to, host, [on_response, reply] { on_response(reply); });
         };
         auto server = servers_.find(to);
         if (server == servers_.end()) return respond({0, {}});
         server->second(from, method, target, body, respond);
       });
}

void World::deliver_copy(const AnsweredRequest& request) {
  report_traffic(request.from, request.to, "copy of " + request.target, request.body);
  send(request.from, request.to, [this, request] {
    auto server = servers_.find(request.to);
    if (server == servers_.end()) return;
    server->second(request.from, request.method, request.target, request.body,
                   [](const HttpClientResponse&) {});
  });
}

}  // namespace damsonport::simulation
