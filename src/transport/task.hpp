/// Task<T>, the coroutine type of the project. Everything runs on the one thread of the event loop,
/// so there is no locking anywhere.
#pragma once
#include <coroutine>
#include <exception>
#include <optional>
#include <utility>

namespace damsonport {

template <class T>
class Task;

namespace detail {

/// Resumes the coroutine that awaits the finished one.
struct FinalAwaiter {
  bool await_ready() const noexcept { return false; }
  template <class Promise>
  std::coroutine_handle<> await_suspend(std::coroutine_handle<Promise> h) const noexcept {
    auto next = h.promise().continuation;
    return next ? next : std::noop_coroutine();
  }
  void await_resume() const noexcept {}
};

struct PromiseBase {
  std::coroutine_handle<> continuation;
  std::exception_ptr error;
  std::suspend_always initial_suspend() const noexcept { return {}; }
  FinalAwaiter final_suspend() const noexcept { return {}; }
  void unhandled_exception() noexcept { error = std::current_exception(); }
};

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

template <>
struct Promise<void> : PromiseBase {
  Task<void> get_return_object();
  void return_void() const noexcept {}
  void result() const {
    if (error) std::rethrow_exception(error);
  }
};
}  // namespace detail

/// A coroutine that starts when it is awaited, and yields a T or throws what it threw.
///
/// The Task owns the coroutine's frame: destroying the Task destroys the frame with all its locals.
/// It may be awaited once. Parameters of a coroutine should be values, since references may not
/// outlive its suspensions. To run one that nobody awaits, see Loop::spawn().
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
