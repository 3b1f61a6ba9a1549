/// A queue in which request handlers wait until a background task has processed their request.
#pragma once
#include <coroutine>
#include <deque>
#include <utility>
#include <vector>

#include "transport/loop.hpp"

namespace damsonport {

/// FIFO queue of requests, each with the suspended coroutine that awaits its outcome.
///
/// Any number of coroutines may `co_await push(...)`; one background task takes the entries out
/// and calls resolve() on each. An entry lives inside the awaiting coroutine's frame: the consumer
/// may use it until it calls resolve(), and not after. A value-initialised `Outcome` must be a
/// valid one.
template <class Request, class Outcome>
class PendingQueue {
 public:
  struct Entry {
    Request request;
    Outcome outcome{};
    std::coroutine_handle<> waiter{};

    /// Resumes the waiting coroutine at once; the entry is gone when this returns.
    void resolve(Outcome result) {
      outcome = result;
      waiter.resume();
    }
  };

  /// Suspends until the entry is resolved, and yields its outcome.
  class [[nodiscard]] Awaiter {
   public:
    Awaiter(PendingQueue& queue, Request request) : queue_(queue), entry_{std::move(request)} {}
    Awaiter(const Awaiter&) = delete;
    Awaiter& operator=(const Awaiter&) = delete;
    bool await_ready() const { return false; }
    void await_suspend(std::coroutine_handle<> handle) {
      entry_.waiter = handle;
      queue_.entries_.push_back(&entry_);
      queue_.arrived_.notify();
    }
    Outcome await_resume() const { return entry_.outcome; }

   private:
    PendingQueue& queue_;
    Entry entry_;
  };

  explicit PendingQueue(Loop& loop) : arrived_(loop) {}

  Awaiter push(Request request) { return Awaiter(*this, std::move(request)); }

  /// For the consumer: waits until a request arrives, `timeout_s` passes or the token is stopped.
  /// False when stopped.
  auto wait_for_arrival(double timeout_s, std::stop_token stop_token) {
    return arrived_.wait(timeout_s, std::move(stop_token));
  }

  bool empty() const { return entries_.empty(); }
  size_t size() const { return entries_.size(); }
  /// The waiting entries, the oldest first; the consumer removes those it takes.
  std::deque<Entry*>& entries() { return entries_; }
  /// Puts entries that were taken back to the front, in their order.
  void push_front(const std::vector<Entry*>& entries) {
    entries_.insert(entries_.begin(), entries.begin(), entries.end());
  }

 private:
  Notification arrived_;
  std::deque<Entry*> entries_;
};

}  // namespace damsonport
