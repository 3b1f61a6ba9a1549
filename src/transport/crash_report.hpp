/// A last log line when the process ends by a signal that it can't handle or by an exception.
#pragma once
#include <cstdint>
#include <string_view>

namespace damsonport::crash_report {

/// Installs handlers for the signals that end the process because of a fault, and for exceptions
/// that nothing catches. Each writes one line to standard error, then the process ends as without
/// the handlers. The handlers have a stack of their own, so that the line is written when the
/// process has exhausted its stack too. Must be called once, on the thread of the event loop.
void install();

/// Sets the fencing token under which this controller leads, for the line; 0: it doesn't lead.
void set_fencing_token(uint64_t token);

/// What the line says of a request. The texts are copied, and cut if they are long.
struct RequestSummary {
  std::string_view method;
  std::string_view path;    ///< as received; the line has only its printable characters
  std::string_view sender;  ///< numeric address and port
  std::string_view body;
};

/// Names the request that is being handled while an object of this class exists.
class RequestInProgress {
 public:
  explicit RequestInProgress(const RequestSummary& request);
  ~RequestInProgress();
  RequestInProgress(const RequestInProgress&) = delete;
  RequestInProgress& operator=(const RequestInProgress&) = delete;
};

/// Short digest (64 bits, not cryptographic) by which operators recognise the same body again.
uint64_t body_digest(std::string_view body);

}  // namespace damsonport::crash_report
