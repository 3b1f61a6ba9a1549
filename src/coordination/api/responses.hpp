/// HTTP responses that several handlers of the user API share.
#pragma once
#include <string>

#include "transport/http.hpp"

namespace damsonport {

/// 400: the request is malformed, and clients do not repeat it. `reason` is the `error` of the
/// body.
HttpResponse bad_request(const std::string& reason);
/// 400: the body can't be decoded. `detail` is for the log.
HttpResponse undecodable(const char* detail);
/// 404: the job or the path doesn't exist.
HttpResponse not_found();
/// 405: the path does not support the method.
HttpResponse method_not_allowed();
/// 422: the request is well formed, but can never be fulfilled, because of `reason`.
HttpResponse unprocessable(const std::string& reason);
/// 429: too many submissions are pending; the client may repeat the request after `retry_after_s`
/// seconds.
HttpResponse too_many_requests(double retry_after_s);
/// 503: this controller can't process the request at the moment; the client may repeat it shortly.
HttpResponse unavailable();

}  // namespace damsonport
