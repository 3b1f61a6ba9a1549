/// Queue in which request handlers wait until a background task has processed their request.
#pragma once
#include <coroutine>
#include <deque>
#include <utility>
#include <vector>

#include "transport/loop.hpp"

namespace damsonport {

/// FIFO queue of requests, each with the suspended coroutine that awaits the outcome.
///
/// Any number of coroutines may `co_await push(...)`; one background task, the consumer, removes
/// the entries and calls resolve() on each. An entry is stored in the frame of the awaiting
/// coroutine: the consumer may use the entry until it calls resolve(), but not afterwards. A
/// value-initialised `Outcome` must be a valid outcome.
template <class Request, class Outcome>
class PendingQueue {
 public:
  /// A request with its waiting coroutine.
  struct Entry {
    Request request;
    Outcome outcome{};
    std::coroutine_handle<> waiter{};

    /// Resumes the waiting coroutine immediately; the entry is destroyed when resolve() returns.
    void resolve(Outcome result) {
      outcome = result;
      waiter.resume();
    }
  };

  /// Suspends the coroutine until the entry is resolved, and returns the outcome.
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

  /// Awaitable that adds the request to the queue and returns its outcome.
  Awaiter push(Request request) { return Awaiter(*this, std::move(request)); }

  /// For the consumer: waits until a request arrives, `timeout_s` seconds pass or a stop is
  /// requested. Returns false if a stop was requested.
  auto wait_for_arrival(double timeout_s, std::stop_token stop_token) {
    return arrived_.wait(timeout_s, std::move(stop_token));
  }

  bool empty() const { return entries_.empty(); }
  size_t size() const { return entries_.size(); }
  /// The pending entries, the oldest first. The consumer removes the entries that it processes.
  std::deque<Entry*>& entries() { return entries_; }
  /// Returns removed entries to the front of the queue, in the given order.
  void push_front(const std::vector<Entry*>& entries) {
    entries_.insert(entries_.begin(), entries.begin(), entries.end());
  }

 private:
  Notification arrived_;
  std::deque<Entry*> entries_;
};

}  // namespace damsonport
