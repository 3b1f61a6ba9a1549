// The users' interface: submissions, polls and cancellations.
#pragma once
#include <deque>
#include <optional>
#include <vector>

#include "coordination/api/arrival_rate.hpp"
#include "coordination/autoscaling/machine_type_catalog.hpp"
#include "coordination/leadership/version_registry.hpp"
#include "storage/record_cache.hpp"

namespace damsonport {

// 400, which is not asked again.
HttpResponse bad_request(const std::string& why);

class UserApi {
 public:
  UserApi(Loop& loop, const Settings& settings, KeyValueClient& store, RecordCache& cache,
          MachineTypeCatalog& catalog, const VersionRegistry& versions);
  Task<void> run_accept_loop(std::stop_token stop_token);
  Task<void> run_confirm_loop(std::stop_token stop_token);
  // Writes that users ask for: those that wait, those told to come back a moment ago, and what is
  // likely to arrive in the next second.
  double wanted_writes() const;
  void forget_refused() { refused_ = std::exchange(refused_lately_, 0); }
  Task<HttpResponse> submit(std::string body);
  Task<HttpResponse> poll(std::string id);
  Task<HttpResponse> cancel(std::string id);

 private:
  enum class Accepted : uint8_t { fresh, known, unavailable };
  struct Submission {
    JobSpec spec;
    Accepted result = Accepted::unavailable;
    std::coroutine_handle<> waiter{};
  };
  enum class Confirmed : uint8_t { yes, changed, unavailable };
  struct Question {
    std::string id;
    uint64_t version;  // of the job's record; 0: neither accepted nor over
    Confirmed result = Confirmed::unavailable;
    std::coroutine_handle<> waiter{};
  };
  template <class T>
  struct Queued;  // waits in a queue for its duty's answer
  Task<HttpResponse> state_of(std::string id);
  Task<std::optional<HttpResponse>> read_state(std::string id);
  // As many of those that wait as one transaction holds.
  std::vector<Submission*> next_submissions();
  Task<void> accept(std::vector<Submission*> batch);
  static void finish(const std::vector<Submission*>& submissions, Accepted result);
  HttpResponse progress(const Job& job) const;
  HttpResponse busy() const;

  Loop& loop_;
  const Settings& settings_;
  KeyValueClient& store_;
  RecordCache& cache_;
  MachineTypeCatalog& catalog_;
  const VersionRegistry& versions_;
  Notification submitted_, asked_;
  std::deque<Submission*> submissions_;
  ArrivalRate write_arrivals_;  // submissions and cancellations that need a write
  size_t refused_ = 0, refused_lately_ = 0;
  std::deque<Question*> questions_;
};

}  // namespace damsonport
