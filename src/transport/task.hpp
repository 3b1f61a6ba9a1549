/// Task<T>, the coroutine type of the project. All coroutines run on the single thread of the event
/// loop, so no locks are needed.
#pragma once
#include <coroutine>
#include <exception>
#include <optional>
#include <utility>

namespace damsonport {

template <class T>
class Task;

namespace detail {

/// Resumes the coroutine that awaits the finished coroutine, if there is one.
struct FinalAwaiter {
  bool await_ready() const noexcept { return false; }
  template <class Promise>
  std::coroutine_handle<> await_suspend(std::coroutine_handle<Promise> h) const noexcept {
    auto next = h.promise().continuation;
    return next ? next : std::noop_coroutine();
  }
  void await_resume() const noexcept {}
};

/// State of a coroutine that is independent of its result type.
struct PromiseBase {
  std::coroutine_handle<> continuation;
  std::exception_ptr error;
  std::suspend_always initial_suspend() const noexcept { return {}; }
  FinalAwaiter final_suspend() const noexcept { return {}; }
  void unhandled_exception() noexcept { error = std::current_exception(); }
};

/// State of a coroutine with a result of type T.
template <class T>
struct Promise : PromiseBase {
  std::optional<T> value;
  Task<T> get_return_object();
  void return_value(T v) { value.emplace(std::move(v)); }
  T result() {
    if (error) std::rethrow_exception(error);
    return std::move(*value);
  }
};

/// State of a coroutine without a result.
template <>
struct Promise<void> : PromiseBase {
  Task<void> get_return_object();
  void return_void() const noexcept {}
  void result() const {
    if (error) std::rethrow_exception(error);
  }
};
}  // namespace detail

/// A coroutine that starts when it is awaited. Awaiting it returns a T, or rethrows the exception
/// that ended the coroutine.
///
/// The Task owns the coroutine frame: its destructor destroys the frame with all local variables. A
/// Task may be awaited only once. Parameters of a coroutine should be passed by value, because a
/// referenced object may be destroyed while the coroutine is suspended. Loop::spawn() runs a Task
/// that is not awaited.
template <class T>
class [[nodiscard]] Task {
 public:
  using promise_type = detail::Promise<T>;
  using Handle = std::coroutine_handle<promise_type>;
  explicit Task(Handle h) : handle_(h) {}
  Task(Task&& other) noexcept : handle_(std::exchange(other.handle_, {})) {}
  Task& operator=(Task&&) = delete;
  ~Task() {
    if (handle_) handle_.destroy();
  }
  bool await_ready() const noexcept { return false; }
  Handle await_suspend(std::coroutine_handle<> caller) {
    handle_.promise().continuation = caller;
    return handle_;
  }
  T await_resume() { return handle_.promise().result(); }

 private:
  Handle handle_;
};

namespace detail {
template <class T>
Task<T> Promise<T>::get_return_object() {
  return Task<T>{std::coroutine_handle<Promise<T>>::from_promise(*this)};
}
inline Task<void> Promise<void>::get_return_object() {
  return Task<void>{std::coroutine_handle<Promise<void>>::from_promise(*this)};
}
}  // namespace detail

}  // namespace damsonport
